#include "gateway/state/departures.h"

#include <stdlib.h>
#include <string.h>

#include "base/search.h"
#include "base/xmalloc.h"

enum {
    ITEMS_START = 16,
    /* Exceeds the delay of views behind peers (seconds) and the age of a list read from the store
     * (up to the 15 s timeout of the call, platform/store.c). */
    RETENTION_MS = 30000,
};

/* Search key of is_below(). */
typedef struct {
    const departures_t *departures;
    str_t backend;
} search_key_t;

static bool
is_below(const void *ctx, size_t index)
{
    const search_key_t *key = ctx;
    return str_compare(name_str(&key->departures->items[index].backend), key->backend) < 0;
}

/* Index of the first departure whose backend is not below `backend`. */
static size_t
lower_bound(const departures_t *departures, str_t backend)
{
    const search_key_t key = {departures, backend};
    return search_lower_bound(departures->count, is_below, &key);
}

static bool
is_at(const departures_t *departures, size_t index, str_t backend)
{
    return index < departures->count && name_eq(&departures->items[index].backend, backend);
}

bool
departures_add(departures_t *departures, const departure_t *departure)
{
    const str_t backend = name_str(&departure->backend);
    const size_t index = lower_bound(departures, backend);
    if (is_at(departures, index, backend)) {
        if (departures->items[index].revision >= departure->revision)
            return false;
        departures->items[index] = *departure;
        return true;
    }
    if (departures->count == departures->size) {
        departures->size = departures->size > 0 ? departures->size * 2 : ITEMS_START;
        departures->items =
            xrealloc(departures->items, departures->size * sizeof(*departures->items));
    }
    memmove(&departures->items[index + 1], &departures->items[index],
            (departures->count - index) * sizeof(*departures->items));
    departures->items[index] = *departure;
    departures->count++;
    return true;
}

const departure_t *
departures_find(const departures_t *departures, str_t backend, uint64_t revision)
{
    if (departures->count == 0)
        return NULL;
    const size_t index = lower_bound(departures, backend);
    if (!is_at(departures, index, backend))
        return NULL;
    const departure_t *departure = &departures->items[index];
    return departure->revision > revision ? departure : NULL;
}

void
departures_expire(departures_t *departures, uint64_t now_ms)
{
    size_t kept = 0;
    for (size_t i = 0; i < departures->count; i++) {
        if (now_ms - departures->items[i].learned_ms <= RETENTION_MS)
            departures->items[kept++] = departures->items[i];
    }
    departures->count = kept;
}

void
departures_free(departures_t *departures)
{
    free(departures->items);
    *departures = (departures_t){0};
}
