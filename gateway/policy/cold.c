#include "gateway/policy/cold.h"

/* Below the bound, for requests that were sent in one second and arrive in the next. */
#define COLD_RATE_SHARE 0.8

static uint64_t
rank(uint64_t backend_key, uint64_t peer_key)
{
    const uint64_t pair[] = {backend_key, peer_key};
    return str_hash((str_t){(const char *)pair, sizeof(pair)}, 0);
}

bool
cold_is_user(uint64_t backend_key, size_t backend_region, uint64_t own_key,
             const cold_peer_t *peers, size_t count)
{
    bool own_near = false;
    bool any_near = false;
    for (size_t i = 0; i < count; i++) {
        const bool near = peers[i].region == backend_region;
        any_near |= near;
        own_near |= near && peers[i].key == own_key;
    }
    if (any_near && !own_near)
        return false;
    const uint64_t own_rank = rank(backend_key, own_key);
    size_t before = 0;
    for (size_t i = 0; i < count; i++) {
        if (any_near && peers[i].region != backend_region)
            continue;
        before += rank(backend_key, peers[i].key) < own_rank;
    }
    return before < COLD_USERS;
}

void
cold_start(backend_t *backend, double per_s, uint64_t now_ms)
{
    bucket_init(&backend->cold, per_s * COLD_RATE_SHARE / COLD_USERS, 1, now_ms);
}

bool
cold_may_take(backend_t *backend, uint64_t now_ms)
{
    return bucket_tokens(&backend->cold, now_ms) >= 1;
}

void
cold_take(backend_t *backend, uint64_t now_ms)
{
    bucket_charge(&backend->cold, 1, now_ms);
}
