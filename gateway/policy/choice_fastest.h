/*
 * Choice by response time: which of an object's backends gets a request if the first one in the
 * ranking is slow or full at this moment. Internal to choice.c, which has the rule.
 *
 * Stateless.
 */
#pragma once

#include "gateway/policy/choice.h"

/* A backend that may get the request. */
typedef struct {
    backend_t *backend;
    double score; /* rank for the request's object, higher first */
    bool avoided; /* from health_is_avoided() */
} candidate_t;

/* If the first of the `kept` replicas is slow or full, moves the one with the lowest expected
 * response time to the front, among them and the next of the `found` ones in the ranking, and sets
 * `moved`. Returns the number of replicas, one more if that next one is now the first. */
size_t choice_put_fastest_first(const choice_input_t *input, candidate_t *replicas, size_t kept,
                                size_t found, bool *moved);
