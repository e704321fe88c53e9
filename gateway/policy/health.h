/*
 * Outlier detection: which backend servers are avoided because too many attempts at them failed.
 *
 * A moving failure rate is averaged over 2 s or, if outcomes are rare, over the last few. An
 * attempt counts as failed if it failed or was slow (slow.h). Above a rate of 0.6 the backend is
 * avoided until the rate has decayed to 0.25. choice.c limits how many backends are avoided.
 *
 * The objects of an avoided backend run cold elsewhere, which costs more than some failures; the
 * rate must therefore be high, and must stay low for a while before the objects return. In a large
 * fleet a single instance sends a backend too few requests to judge it, so instances exchange
 * outcomes in heartbeats.
 *
 * See docs/design/gateway/choice.md. health_t is part of the backend; the time is passed in.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

typedef struct {
    double failure_rate;       /* moving average over attempts, decays with time */
    double weight;             /* number of outcomes that the average stands for */
    uint64_t updated_ms;       /* time of the last update of both */
    bool avoided;              /* as of updated_ms; use health_is_avoided() */
    uint32_t unsent_successes; /* own outcomes not sent to other instances yet */
    uint32_t unsent_failures;
} health_t;

/* Records the outcome of one of this instance's attempts. */
void health_record(health_t *health, bool failed, uint64_t now_ms);
/* Adds outcomes of attempts of another instance. */
void health_add_report(health_t *health, uint32_t good, uint32_t bad, uint64_t now_ms);
/* True if there are outcomes to be sent to the other instances. */
bool health_has_unsent(const health_t *health, uint64_t now_ms);
/* Discards the unsent outcomes, sent or not. */
void health_mark_sent(health_t *health);
/* True if other backends are to be preferred. */
bool health_is_avoided(const health_t *health, uint64_t now_ms);
