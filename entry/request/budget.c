#include "entry/request/budget.h"

/* Extra requests a caller's request earns, and how many may be saved up. Chosen, not measured
 * alone: docs/design/entry/choice.md. */
#define EXTRA_PER_REQUEST 0.08
#define TOKENS_MAX 10.0

void
extra_budget_init(extra_budget_t *budget)
{
    budget->tokens = TOKENS_MAX;
}

void
extra_budget_earn(extra_budget_t *budget)
{
    budget->tokens += EXTRA_PER_REQUEST;
    if (budget->tokens > TOKENS_MAX)
        budget->tokens = TOKENS_MAX;
}

bool
extra_budget_spend(extra_budget_t *budget)
{
    if (budget->tokens < 1)
        return false;
    budget->tokens -= 1;
    return true;
}
