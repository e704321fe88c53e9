#include "gateway/policy/cold_start.h"

#include "base/str.h"

/* Share of the configured rate that is used, as a margin for requests sent in one second that
 * arrive in the next. */
#define RATE_SHARE 0.8
/* Requests per second to a backend whose service is not in the configuration. */
#define UNKNOWN_RATE_PER_S 1.0
/* Rate if the configuration sets no limit. */
#define UNBOUNDED_RATE_PER_S 1e6
/* Requests that may be sent back to back. */
#define BURST 1.0

static uint64_t
rank(uint64_t backend_key, uint64_t instance_key)
{
    const uint64_t pair[] = {backend_key, instance_key};
    return str_hash((str_t){(const char *)pair, sizeof(pair)}, 0);
}

bool
cold_start_is_sender(uint64_t backend_key, size_t backend_mesh, uint64_t own_key,
                     const cold_sender_t *instances, size_t count)
{
    bool own_in_mesh = false;
    bool any_in_mesh = false;
    for (size_t i = 0; i < count; i++) {
        const bool in_mesh = instances[i].mesh == backend_mesh;
        any_in_mesh |= in_mesh;
        own_in_mesh |= in_mesh && instances[i].key == own_key;
    }
    if (any_in_mesh && !own_in_mesh)
        return false;
    const uint64_t own_rank = rank(backend_key, own_key);
    size_t before = 0;
    for (size_t i = 0; i < count; i++) {
        if (any_in_mesh && instances[i].mesh != backend_mesh)
            continue;
        before += rank(backend_key, instances[i].key) < own_rank;
    }
    return before < COLD_SENDERS;
}

static void
start(bucket_t *tokens, double per_s, uint64_t now_ms)
{
    bucket_init(tokens, per_s * RATE_SHARE / COLD_SENDERS, BURST, now_ms);
}

void
cold_start_begin(bucket_t *tokens, double per_s, uint64_t now_ms)
{
    start(tokens, per_s > 0 ? per_s : UNBOUNDED_RATE_PER_S, now_ms);
}

void
cold_start_begin_unknown(bucket_t *tokens, uint64_t now_ms)
{
    start(tokens, UNKNOWN_RATE_PER_S, now_ms);
}

bool
cold_start_may_send(bucket_t *tokens, uint64_t now_ms)
{
    return bucket_tokens(tokens, now_ms) >= 1;
}

void
cold_start_count_send(bucket_t *tokens, uint64_t now_ms)
{
    bucket_charge(tokens, 1, now_ms);
}
