#include "gateway/policy/quarantine.h"

enum {
    QUARANTINE_ENDS = 2, /* one end may be a coincidence */
    MS_PER_S = 1000,
    USUAL_LOST_WITH = 1, /* other backend servers; coincidences are rare */
    TRIAL_LOST_WITH = 3, /* a request that is not held yet may end two */
    /* An end that follows another by this or more may be that of a trial. Half of the first term,
     * since instances learn of an end at different times. */
    TRIAL_APART_MS = 1500,
};

/* Terms by number of ends, from QUARANTINE_ENDS on; the last one applies to all above. Backend
 * servers that ended together are back within the first term. */
static const uint32_t terms_s[] = {3, 30, 120, 480, 86400};

static bool
is_first_of_version(const quarantine_end_t *ends, size_t index)
{
    for (size_t i = 0; i < index; i++) {
        if (ends[i].version == ends[index].version || ends[i].version == 0)
            return false;
    }
    return ends[index].version != 0;
}

static bool
may_be_failed_trial(const quarantine_end_t *ends, size_t index)
{
    switch (ends[index].run) {
    case QUARANTINE_RUN_USUAL_LOST:
    case QUARANTINE_RUN_TRIAL_LOST:
        return false;
    case QUARANTINE_RUN_TRIAL:
        return true;
    case QUARANTINE_RUN_UNKNOWN:
    case QUARANTINE_RUN_USUAL:
        break;
    }
    return ends[index].at_ms - ends[index - 1].at_ms >= TRIAL_APART_MS;
}

unsigned
quarantine_count_ends(const quarantine_end_t *ends, size_t count)
{
    unsigned counted = 0;
    for (size_t i = 0; i < count; i++)
        counted +=
            i < QUARANTINE_ENDS || may_be_failed_trial(ends, i) || is_first_of_version(ends, i);
    return counted;
}

quarantine_run_t
quarantine_judge_loss(quarantine_run_t run, unsigned others)
{
    if (run == QUARANTINE_RUN_USUAL && others >= USUAL_LOST_WITH)
        return QUARANTINE_RUN_USUAL_LOST;
    if (run == QUARANTINE_RUN_TRIAL && others >= TRIAL_LOST_WITH)
        return QUARANTINE_RUN_TRIAL_LOST;
    return run;
}

uint64_t
quarantine_term_ms(unsigned ends)
{
    const size_t most = sizeof(terms_s) / sizeof(terms_s[0]) - 1;
    if (ends < QUARANTINE_ENDS)
        return 0;
    const size_t index = ends - QUARANTINE_ENDS;
    return (uint64_t)terms_s[index < most ? index : most] * MS_PER_S;
}

quarantine_t
quarantine_decide(const quarantine_input_t *input)
{
    const uint64_t term_ms = quarantine_term_ms(input->ends);
    if (term_ms == 0 || input->unexplained_ends == 0)
        return (quarantine_t){.verdict = QUARANTINE_FREE};
    uint64_t held_ms = term_ms > input->since_end_ms ? term_ms - input->since_end_ms : 0;
    if (input->new_version)
        held_ms = 0;
    if (input->trial_left_ms > held_ms)
        held_ms = input->trial_left_ms;
    if (held_ms > 0)
        return (quarantine_t){.verdict = QUARANTINE_HELD, .held_ms = held_ms};
    return (quarantine_t){.verdict = QUARANTINE_TRIAL};
}

static size_t
find_verdict(const quarantine_t *of_versions, size_t count, quarantine_verdict_t wanted)
{
    size_t index = 0;
    while (index < count && of_versions[index].verdict != wanted)
        index++;
    return index;
}

size_t
quarantine_pick_version(const quarantine_t *any, const quarantine_t *of_versions, size_t count)
{
    if (any->verdict == QUARANTINE_FREE)
        return count;
    const size_t free = find_verdict(of_versions, count, QUARANTINE_FREE);
    if (free < count || any->verdict == QUARANTINE_TRIAL)
        return free;
    return find_verdict(of_versions, count, QUARANTINE_TRIAL);
}

bool
quarantine_may_resend(unsigned ends)
{
    return ends < QUARANTINE_ENDS;
}
