/*
 * How many events a second there are lately: a count that decays exponentially.
 *
 * A plain value, zero at first; relies on nothing, time is passed in.
 */
#pragma once

#include <stdint.h>

typedef struct {
    double count; /* of which an event `tau_ms` ago counts 1/e */
    uint64_t updated_ms;
} event_rate_t;

/* So many more events; fewer if `events` is below 0. `tau_ms` is the time constant. */
void event_rate_add(event_rate_t *rate, double events, double tau_ms, uint64_t now_ms);
/* Events a second; never below 0. */
double event_rate_per_s(const event_rate_t *rate, double tau_ms, uint64_t now_ms);
