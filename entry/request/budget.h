/*
 * Budget for extra attempts at backend servers (retries and hedges). It is a fraction of the recent
 * requests, so failures do not multiply the load. Performs no I/O.
 */
#pragma once

#include <stdbool.h>

typedef struct {
    double tokens;
} attempt_budget_t;

void attempt_budget_init(attempt_budget_t *budget);
/* Adds the allowance of one incoming request. */
void attempt_budget_deposit(attempt_budget_t *budget);
bool attempt_budget_withdraw(attempt_budget_t *budget);
