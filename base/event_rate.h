/*
 * Rate of recent events, from an exponentially decaying count.
 *
 * Zero-initialise it. The caller passes the time.
 */
#pragma once

#include <stdint.h>

typedef struct {
    double count; /* decayed count; an event `tau_ms` ago counts 1/e */
    uint64_t updated_ms;
} event_rate_t;

/* Adds `events`, which may be negative. `tau_ms` is the time constant of the decay. */
void event_rate_add(event_rate_t *rate, double events, double tau_ms, uint64_t now_ms);
/* Returns events per second, at least 0. */
double event_rate_per_s(const event_rate_t *rate, double tau_ms, uint64_t now_ms);
