/*
 * View age: how long ago what a view holds was learned from the store, by whichever instance
 * learned it first.
 *
 * Instances have no common clock. The instance that watches the store reckons from the earliest
 * moment at which the change can have been made; each message carries the age of the oldest change
 * in it, and each instance adds the time for which it kept it. The way between two instances is
 * left out: some milliseconds, tens between regions.
 *
 * A plain value; relies on nothing, time is passed in. Milliseconds of the loop's clock.
 */
#pragma once

#include <stddef.h>
#include <stdint.h>

enum {
    VIEW_AGE_POINTS_MAX = 16, /* changes that are told apart: some seconds of them */
    /* An age above this is not told: what came in a list after an outage, or from an instance that
     * does not tell ages, may be of any age. */
    VIEW_AGE_MAX_MS = 600000,
};

typedef struct {
    uint64_t at;         /* revision that the view reached */
    uint64_t learned_ms; /* when the oldest change up to there was learned from the store */
} view_age_point_t;

typedef struct {
    view_age_point_t points[VIEW_AGE_POINTS_MAX]; /* a ring */
    uint64_t count;                               /* of all time */
    uint32_t last_ms;    /* age of the last change when it came into force */
    uint32_t highest_ms; /* the highest of these */
} view_age_t;

/* The view reached revision `at`; the oldest change in it is `age_ms` old. */
void view_age_reached(view_age_t *age, uint64_t at, uint64_t age_ms, uint64_t now_ms);
/* Age of the oldest change after revision `have`, as far as that is known; 0 if there is none. */
uint32_t view_age_since(const view_age_t *age, uint64_t have, uint64_t now_ms);
/* The newest change is in force from now on. */
void view_age_in_force(view_age_t *age, uint64_t now_ms);
