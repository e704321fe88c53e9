/*
 * Request deadline: the time allowed from a request's first byte to the end of its response.
 *
 * The shorter of the route's limit and the caller's own deadline applies. Stateless.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

typedef struct {
    uint32_t route_limit_ms; /* 0: not configured */
    bool has_caller_limit;
    uint32_t caller_limit_ms; /* time until the caller gives up */
} deadline_input_t;

/* Returns the allowed time in milliseconds, at least 1. */
uint64_t deadline_allowed_ms(const deadline_input_t *input);
