#include "entry/request/budget.h"

/* Extra attempts that each incoming request adds to the budget, and the maximum balance. */
#define TOKENS_PER_REQUEST 0.08
#define TOKENS_MAX 10.0

void
attempt_budget_init(attempt_budget_t *budget)
{
    budget->tokens = TOKENS_MAX;
}

void
attempt_budget_deposit(attempt_budget_t *budget)
{
    budget->tokens += TOKENS_PER_REQUEST;
    if (budget->tokens > TOKENS_MAX)
        budget->tokens = TOKENS_MAX;
}

bool
attempt_budget_withdraw(attempt_budget_t *budget)
{
    if (budget->tokens < 1)
        return false;
    budget->tokens -= 1;
    return true;
}
