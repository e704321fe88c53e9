#include "gateway/policy/key_check.h"

static key_verdict_t
denial_verdict(const key_input_t *input)
{
    if (input->form == KEY_NONE)
        return KEY_ABSENT;
    if (input->form == KEY_MULTIPLE)
        return KEY_AMBIGUOUS;
    return input->key.len == 0 ? KEY_EMPTY : KEY_UNKNOWN;
}

key_verdict_t
key_check(const key_input_t *input)
{
    if (!input->has_accounts)
        return KEY_NOT_NEEDED;
    if (input->form == KEY_SINGLE && input->is_known)
        return KEY_KNOWN;
    if (input->form == KEY_SINGLE && input->is_unusable)
        return KEY_UNUSABLE;
    if (input->allows_anonymous)
        return KEY_NOT_NEEDED;
    return input->keys_missing ? KEY_CONFIGURATION_STALE : denial_verdict(input);
}

bool
key_is_denied(key_verdict_t verdict)
{
    return verdict >= KEY_ABSENT;
}

bool
key_is_deferred(key_verdict_t verdict)
{
    return verdict == KEY_CONFIGURATION_STALE || verdict == KEY_UNUSABLE;
}

const char *
key_verdict_name(key_verdict_t verdict)
{
    static const char *const names[] = {
        [KEY_NOT_NEEDED] = "not_needed",
        [KEY_KNOWN] = "known",
        [KEY_CONFIGURATION_STALE] = "behind",
        [KEY_UNUSABLE] = "unusable",
        [KEY_ABSENT] = "absent",
        [KEY_AMBIGUOUS] = "several",
        [KEY_EMPTY] = "empty",
        [KEY_UNKNOWN] = "unknown",
    };
    return names[verdict];
}
