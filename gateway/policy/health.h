/*
 * Outlier detection: which backend servers are avoided because too many attempts at them failed.
 *
 * Decides: whether others are preferred to a backend. choice.c limits how many may be avoided.
 * Inputs: outcomes of this instance's attempts and of the other instances', and the time in
 * milliseconds. An attempt is bad if it failed, or was slow (slow.h).
 * Rule: a moving failure rate, averaged over 2 s or, where outcomes are rare, over the last few.
 * Above 0.6 the backend is avoided until the rate has decayed to 0.25.
 * Reason: an avoided backend's objects run cold elsewhere, which costs more than some failures;
 * so the rate must be high, and must stay low for a while before the objects move back.
 * In a large fleet one instance alone sends a backend too few requests to judge it. Instances
 * therefore send each other their outcomes in heartbeats, and agree on whom to avoid.
 * Measured: docs/design/gateway/choice.md, "Avoided backend servers" and "Tried and left".
 *
 * Owns: health_t, a part of its backend. Relies on nothing; time is passed in.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

typedef struct {
    double failure_rate;       /* moving average over attempts, decaying with time */
    double weight;             /* number of outcomes that the average stands for */
    uint64_t updated_ms;       /* when both were last brought up to date */
    bool avoided;              /* as of updated_ms; use health_is_avoided() */
    uint32_t unsent_successes; /* own outcomes that were not sent to the other instances yet */
    uint32_t unsent_failures;
} health_t;

/* Records the outcome of one of this instance's attempts. */
void health_record(health_t *health, bool failed, uint64_t now_ms);
/* Adds outcomes of another instance's attempts. */
void health_add_report(health_t *health, uint32_t good, uint32_t bad, uint64_t now_ms);
/* True if there are own outcomes that the other instances should get. */
bool health_has_unsent(const health_t *health, uint64_t now_ms);
/* Forgets the unsent outcomes: they were sent, or are not worth sending. */
void health_mark_sent(health_t *health);
/* True if so many attempts failed lately that other backends are preferred. */
bool health_is_avoided(const health_t *health, uint64_t now_ms);
