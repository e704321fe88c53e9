#include "gateway/state/permits.h"

#include <math.h>
#include <stdlib.h>

#include "base/xmalloc.h"

enum {
    ITEMS_START = 8,
    RETENTION_MS = 60000,
    MS_PER_S = 1000,
};

static permit_bucket_t *
get_bucket(permits_t *permits, uint64_t incarnation, permit_rate_t rate, uint64_t now_ms)
{
    for (size_t i = 0; i < permits->count; i++) {
        if (permits->items[i].incarnation == incarnation)
            return &permits->items[i];
    }
    if (permits->count == permits->size) {
        permits->size = permits->size > 0 ? permits->size * 2 : ITEMS_START;
        permits->items = xrealloc(permits->items, permits->size * sizeof(*permits->items));
    }
    permit_bucket_t *item = &permits->items[permits->count++];
    item->incarnation = incarnation;
    bucket_init(&item->tokens, rate.per_s, rate.burst, now_ms);
    bucket_charge(&item->tokens, rate.burst, now_ms);
    return item;
}

bool
permits_take(permits_t *permits, uint64_t incarnation, permit_rate_t rate, uint64_t now_ms,
             uint32_t *wait_ms)
{
    permit_bucket_t *item = get_bucket(permits, incarnation, rate, now_ms);
    item->last_request_ms = now_ms;
    bucket_set_rate(&item->tokens, rate.per_s, rate.burst, now_ms);
    if (bucket_take(&item->tokens, 1, now_ms))
        return true;
    const double missing = 1 - bucket_tokens(&item->tokens, now_ms);
    *wait_ms = (uint32_t)ceil(missing / rate.per_s * MS_PER_S);
    return false;
}

void
permits_expire(permits_t *permits, uint64_t now_ms)
{
    size_t kept = 0;
    for (size_t i = 0; i < permits->count; i++) {
        if (now_ms - permits->items[i].last_request_ms < RETENTION_MS)
            permits->items[kept++] = permits->items[i];
    }
    permits->count = kept;
}

void
permits_free(permits_t *permits)
{
    free(permits->items);
    *permits = (permits_t){0};
}
