/*
 * What becomes of a request's attempts: the first answer wins, a failed attempt is retried within
 * the budget or ends the request, a caller that leaves ends the work.
 *
 * Decides on retries; route.c decides where they go. Relies on route.h, attempt.h and answer.h.
 */
#pragma once

#include "entry/path/exchange.h"

/* For exchange_t.attempt_cbs. */
extern const attempt_cbs_t outcome_cbs;

/* The caller has left. A keyed request that was handed over goes on: its outcome is recorded. */
void outcome_caller_left(exchange_t *x);
/* The caller has taken what was sent to it. */
void outcome_caller_ready(exchange_t *x);
/* Regular work: notices callers that left, slow answers to hedge and links that opened again. */
void outcome_sweep(node_t *node);
