/*
 * Budget of extra requests to backend servers (retries and hedges): a share of the recent
 * requests, so that failures never multiply the load. Pure.
 */
#pragma once

#include <stdbool.h>

typedef struct {
    double tokens;
} attempt_budget_t;

void attempt_budget_init(attempt_budget_t *budget);
/* A caller's request arrived. */
void attempt_budget_deposit(attempt_budget_t *budget);
bool attempt_budget_withdraw(attempt_budget_t *budget);
