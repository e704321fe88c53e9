/*
 * Object rates: how often this instance is asked for each object, for replicas.h.
 *
 * A count-min sketch of exponentially decaying counts: its size does not depend on the number of
 * objects, and it never tells less than the true count. Owns its counts, 16 kB. Relies on nothing;
 * time is passed in.
 */
#pragma once

#include <stdint.h>

enum {
    OBJECT_RATES_ROWS = 2,      /* counts of an object, of which the least is taken */
    OBJECT_RATES_COLUMNS = 2048 /* chosen: two objects of 3,000 share both counts once in 1,400 */
};

typedef struct {
    float counts[OBJECT_RATES_ROWS][OBJECT_RATES_COLUMNS];
    uint64_t decayed_ms;
} object_rates_t;

/* One more request about an object; `object` is its hash. */
void object_rates_count(object_rates_t *rates, uint64_t object);
/* Requests a second about it, 0 while there were too few to tell. */
double object_rates_per_s(const object_rates_t *rates, uint64_t object);
/* Lets the counts decay up to now. */
void object_rates_decay(object_rates_t *rates, uint64_t now_ms);
