#include "gateway/policy/retry_budget.h"

/* Parts of the configured bound that are earned, and that are saved at most. Services with few
 * requests live on what is saved of the constant. */
#define RATIO_EARNED_SHARE 0.7
#define RATIO_SAVED_SHARE 0.2
#define CONSTANT_EARNED_SHARE 0.45
#define CONSTANT_SAVED_SHARE 0.45

/* Shortest time between two lives of an instance. A life begins with what it would have earned of
 * the constant meanwhile. */
enum { START_MS = 500 };

/* This instance's part of the constant. */
static double
own_constant(const retry_terms_t *terms)
{
    return terms->instances > 0 ? terms->constant / terms->instances : 0;
}

static void
expire_slices(retry_budget_t *budget, const retry_terms_t *terms, uint64_t now_ms)
{
    const uint64_t slice = now_ms / (terms->window_ms / RETRY_BUDGET_SLICES);
    const uint64_t passed = slice - budget->newest;
    for (uint64_t i = 0; i < passed && i < RETRY_BUDGET_SLICES; i++)
        budget->requests[(slice - i) % RETRY_BUDGET_SLICES] = 0;
    budget->newest = slice;
}

/* Largest number of extra sends that may be saved now. */
static double
saved_max(const retry_budget_t *budget, const retry_terms_t *terms)
{
    uint32_t requests = 0;
    for (int i = 0; i < RETRY_BUDGET_SLICES; i++)
        requests += budget->requests[i];
    return RATIO_SAVED_SHARE * terms->ratio * requests + CONSTANT_SAVED_SHARE * own_constant(terms);
}

static void
save(retry_budget_t *budget, const retry_terms_t *terms, double earned)
{
    const double max = saved_max(budget, terms);
    budget->saved += earned;
    if (budget->saved > max)
        budget->saved = max;
}

/* Earns this instance's part of the constant up to now. */
static void
advance(retry_budget_t *budget, const retry_terms_t *terms, uint64_t now_ms)
{
    const uint64_t since_ms = budget->updated_ms > 0 ? now_ms - budget->updated_ms : START_MS;
    const double windows = (double)since_ms / (double)terms->window_ms;
    budget->updated_ms = now_ms;
    expire_slices(budget, terms, now_ms);
    save(budget, terms, CONSTANT_EARNED_SHARE * own_constant(terms) * windows);
}

void
retry_budget_count_request(retry_budget_t *budget, const retry_terms_t *terms, uint64_t now_ms)
{
    advance(budget, terms, now_ms);
    budget->requests[budget->newest % RETRY_BUDGET_SLICES]++;
    budget->totals.requests++;
    save(budget, terms, RATIO_EARNED_SHARE * terms->ratio);
}

double
retry_budget_left(const retry_budget_t *budget, const retry_terms_t *terms, uint64_t now_ms)
{
    retry_budget_t current = *budget;
    advance(&current, terms, now_ms);
    return current.saved;
}

/* Spends what is saved on a chance of one extra send. */
static bool
take_chance(retry_budget_t *budget, double random)
{
    const bool granted = random < budget->saved;
    budget->saved = 0;
    return granted;
}

static bool
take(retry_budget_t *budget, const retry_terms_t *terms, double random)
{
    if (budget->saved >= 1) {
        budget->saved -= 1;
        return true;
    }
    const bool is_first = budget->totals.granted == 0;
    return (is_first || saved_max(budget, terms) < 1) && take_chance(budget, random);
}

bool
retry_budget_take(retry_budget_t *budget, const retry_terms_t *terms, double random,
                  uint64_t now_ms)
{
    retry_totals_t *totals = &budget->totals;
    advance(budget, terms, now_ms);
    if (!take(budget, terms, random)) {
        totals->refused++;
        return false;
    }
    if (totals->fewest_instances == 0 || terms->instances < totals->fewest_instances)
        totals->fewest_instances = terms->instances;
    totals->granted++;
    return true;
}
