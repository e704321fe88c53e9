/*
 * A simulated client request: lookup, key, call, retries and outcome.
 *
 * Records the outcome in the run's report and history, then frees the request.
 */
#pragma once

#include "base/history.h"
#include "base/rng.h"
#include "load/config.h"
#include "load/report.h"
#include "load/steering.h"

/* State of a load run. */
typedef struct {
    uv_loop_t *loop;
    steering_t *steering;
    load_config_t config;
    report_t report;
    history_t history;
    rng_t rng;
    uint64_t run_id;   /* prefix of request ids */
    uint64_t sequence; /* suffix of the next request id */
    uint64_t start_us; /* wall clock */
    uint64_t end_us;
    size_t in_flight; /* requests */
} load_t;

/* Starts a request due at `intended_us`; counts it as missed if too many are in flight. */
void request_start(load_t *load, size_t class_index, uint64_t intended_us);
