/*
 * Object rates: how often this instance is asked for each object, for replicas.h.
 *
 * A count-min sketch with exponential decay: its size does not depend on the number of objects, and
 * it never underestimates a count. Owns its counts, 16 kB. Time is passed in.
 */
#pragma once

#include <stdint.h>

enum {
    OBJECT_RATES_ROWS = 2,      /* the estimate is the minimum over the rows */
    OBJECT_RATES_COLUMNS = 2048 /* one of 3,000 objects shares both with another once in 1,400 */
};

typedef struct {
    float counts[OBJECT_RATES_ROWS][OBJECT_RATES_COLUMNS];
    uint64_t decayed_ms;
} object_rates_t;

/* Counts a request for an object; `object` is its hash. */
void object_rates_count(object_rates_t *rates, uint64_t object);
/* Estimated requests a second for an object; 0 if there are too few. */
double object_rates_per_s(const object_rates_t *rates, uint64_t object);
/* The same from any number of requests, without the one counted last: unreliable for a single
 * object, of use where the error costs one run. */
double object_rates_before_per_s(const object_rates_t *rates, uint64_t object);
/* Applies the decay up to now. */
void object_rates_decay(object_rates_t *rates, uint64_t now_ms);
