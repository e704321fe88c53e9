/*
 * Budget of extra requests to backend servers (retries and hedges): a share of the recent
 * requests, so that failures never multiply the load. Pure.
 */
#pragma once

#include <stdbool.h>

typedef struct {
    double tokens;
} extra_budget_t;

void extra_budget_init(extra_budget_t *budget);
/* A caller's request arrived. */
void extra_budget_earn(extra_budget_t *budget);
bool extra_budget_spend(extra_budget_t *budget);
