/*
 * Deadline: how long a request may take before it is given up.
 *
 * Decides: the time allowed from a request's first byte to the end of its answer.
 * Inputs: the route's time limit and the caller's own deadline, in milliseconds.
 * Rule: the shorter of the two.
 *
 * Pure: no state, no clock.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

typedef struct {
    uint32_t route_limit_ms; /* 0 if the configuration sets none */
    bool has_caller_limit;
    uint32_t caller_limit_ms; /* time that the caller waits */
} deadline_input_t;

/* Milliseconds, at least 1. */
uint64_t deadline_allowed_ms(const deadline_input_t *input);
