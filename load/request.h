/*
 * One request of the load, as a caller makes it: look-up, key, call, repeats, verdict.
 *
 * Its outcome goes to the report and the history. Owns the request until it is finished; the run it
 * belongs to (load_t) is its owner's. Relies on steering.h for look-ups and keys, on http/call.h.
 */
#pragma once

#include "base/history.h"
#include "base/rng.h"
#include "load/config.h"
#include "load/report.h"
#include "load/steering.h"

/* A run of the load. */
typedef struct {
    uv_loop_t *loop;
    steering_t *steering;
    load_config_t config;
    report_t report;
    history_t history;
    rng_t rng;
    uint64_t run_id;   /* first part of each request's id */
    uint64_t sequence; /* second part */
    uint64_t start_us; /* wall */
    uint64_t end_us;
    size_t in_flight; /* requests */
} load_t;

/* Starts a request that was due at `intended_us`; counts it as missed if too many are under way. */
void request_start(load_t *load, size_t class_index, uint64_t intended_us);
