#include "gateway/state/recent_ends.h"

static recent_end_t *
find(recent_ends_t *recent, uint64_t incarnation)
{
    for (size_t i = 0; i < recent->count; i++) {
        if (recent->items[i].incarnation == incarnation)
            return &recent->items[i];
    }
    return NULL;
}

bool
recent_ends_add(recent_ends_t *recent, uint64_t incarnation, uint64_t at_ms, bool under_trial)
{
    recent_end_t *known = find(recent, incarnation);
    if (known != NULL) {
        const bool changed = under_trial && !known->under_trial;
        known->under_trial |= under_trial;
        return changed;
    }
    recent->items[recent->next] = (recent_end_t){incarnation, at_ms, under_trial};
    recent->next = (recent->next + 1) % RECENT_ENDS_MAX;
    if (recent->count < RECENT_ENDS_MAX)
        recent->count++;
    return true;
}

unsigned
recent_ends_count_others(const recent_ends_t *recent, uint64_t incarnation, uint64_t at_ms,
                         uint64_t span_ms)
{
    unsigned count = 0;
    for (size_t i = 0; i < recent->count; i++) {
        const recent_end_t *end = &recent->items[i];
        const uint64_t apart_ms = end->at_ms > at_ms ? end->at_ms - at_ms : at_ms - end->at_ms;
        count += end->incarnation != incarnation && !end->under_trial && apart_ms <= span_ms;
    }
    return count;
}
