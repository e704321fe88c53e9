#include "gateway/state/view_age.h"

void
view_age_reached(view_age_t *age, uint64_t at, uint64_t age_ms, uint64_t now_ms)
{
    const uint64_t capped_ms = age_ms < now_ms ? age_ms : now_ms;
    age->points[age->count++ % VIEW_AGE_POINTS_MAX] = (view_age_point_t){at, now_ms - capped_ms};
}

static uint64_t
oldest_point(const view_age_t *age)
{
    return age->count > VIEW_AGE_POINTS_MAX ? age->count - VIEW_AGE_POINTS_MAX : 0;
}

uint32_t
view_age_since(const view_age_t *age, uint64_t have, uint64_t now_ms)
{
    uint64_t oldest_ms = 0;
    for (uint64_t i = oldest_point(age); i < age->count; i++) {
        const view_age_point_t *point = &age->points[i % VIEW_AGE_POINTS_MAX];
        const uint64_t age_ms = now_ms - point->learned_ms;
        if (point->at > have && age_ms > oldest_ms && age_ms <= VIEW_AGE_MAX_MS)
            oldest_ms = age_ms;
    }
    return (uint32_t)oldest_ms;
}

void
view_age_in_force(view_age_t *age, uint64_t now_ms)
{
    if (age->count == 0)
        return;
    const uint64_t age_ms = now_ms - age->points[(age->count - 1) % VIEW_AGE_POINTS_MAX].learned_ms;
    if (age_ms > VIEW_AGE_MAX_MS)
        return;
    age->last_ms = (uint32_t)age_ms;
    if (age->last_ms > age->highest_ms)
        age->highest_ms = age->last_ms;
}
