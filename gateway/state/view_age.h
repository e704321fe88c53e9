/*
 * View age: time since the changes in a view were read from the store, by whichever instance read
 * them first.
 *
 * Instances share no clock. The instance that watches the store counts from the earliest time at
 * which the change can have been made. Each message carries the age of its oldest change, and each
 * instance adds the time it held the change. Network latency between instances is not included: a
 * few milliseconds, tens between regions.
 *
 * Plain value without dependencies. Times are passed in, in milliseconds of the loop clock.
 */
#pragma once

#include <stddef.h>
#include <stdint.h>

enum {
    VIEW_AGE_POINTS_MAX = 16, /* changes tracked separately, covering a few seconds */
    /* Greater ages are not reported: changes from a list after an outage, or from an instance that
     * does not report ages, can be of any age. */
    VIEW_AGE_MAX_MS = 600000,
};

typedef struct {
    uint64_t at;         /* revision the view reached */
    uint64_t learned_ms; /* loop time when its oldest change was read from the store */
} view_age_point_t;

typedef struct {
    view_age_point_t points[VIEW_AGE_POINTS_MAX]; /* ring buffer */
    uint64_t count;                               /* total ever recorded */
    uint32_t last_ms;                             /* age of the latest change when it was applied */
    uint32_t highest_ms;                          /* maximum of last_ms */
} view_age_t;

/* Records that the view reached revision `at` with changes up to `age_ms` old. */
void view_age_reached(view_age_t *age, uint64_t at, uint64_t age_ms, uint64_t now_ms);
/* Returns the age of the oldest change after revision `have`, 0 if none is known. */
uint32_t view_age_since(const view_age_t *age, uint64_t have, uint64_t now_ms);
/* Records that the latest change has been applied. */
void view_age_in_force(view_age_t *age, uint64_t now_ms);
