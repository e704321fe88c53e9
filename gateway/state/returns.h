/*
 * Returns: the refused callers of a service whom this instance promised room at a later time, as
 * the work that they will bring, by region and by short periods of time.
 *
 * Owns a ring of periods per region, allocated with the first promise there. Holds own promises
 * only; policy/return_time.h decides them and keeps each instance within its share of the room, so
 * that they need not be exchanged. Lost with the instance. Time is passed in.
 */
#pragma once

#include <stdint.h>

#include "gateway/membership/topology.h"

enum {
    RETURNS_PERIOD_MS = 250,
    /* 10 s: a third of the longest usual deadline, 30 s, which is as long as callers wait. */
    RETURNS_PERIODS = 40,
};

typedef struct {
    double *busy_ms[TOPOLOGY_REGIONS_MAX]; /* slot milliseconds promised, by number of the period
                                              modulo RETURNS_PERIODS; NULL: none */
    uint64_t first;                        /* number of the current period */
} returns_t;

/* Number of the period that a time falls into. */
uint64_t returns_period(uint64_t at_ms);
/* Drops the periods that have passed. */
void returns_advance(returns_t *returns, uint64_t now_ms);
/* Slot milliseconds promised in a period; 0 if it is not one of those kept. */
double returns_busy_ms(const returns_t *returns, size_t region, uint64_t period);
/* Milliseconds of a period in which a request that begins at `at_ms` keeps a slot busy. */
double returns_overlap_ms(uint64_t at_ms, double work_ms, uint64_t period);
/* Adds a request that will keep a slot busy for `work_ms`. Work after the last period is dropped.
 */
void returns_promise(returns_t *returns, size_t region, uint64_t at_ms, double work_ms);
/* Slot milliseconds promised in all periods and regions. */
double returns_total_ms(const returns_t *returns);
void returns_free(returns_t *returns);
