#include "gateway/state/account_demand.h"

#include <math.h>

/* Fill level of the previous owner's bucket above which the account was far below its limit. */
#define PLENTIFUL_FRACTION 0.8

bool
account_demand_is_adopting(const ledger_t *ledger, uint64_t now_ms)
{
    return now_ms - ledger->created_ms < ACCOUNT_ADOPTION_MS;
}

/* Keeps the highest value: an instance may have its figure from before a surge. */
void
account_demand_adopt(ledger_t *ledger, double demand_per_s, uint64_t now_ms)
{
    if (account_demand_is_adopting(ledger, now_ms))
        ledger->reported_demand_per_s = fmax(ledger->reported_demand_per_s, demand_per_s);
}

double
account_demand_of_reporter(const ledger_reporter_t *reporter, uint64_t now_ms)
{
    return event_rate_per_s(&reporter->demand_rate, ACCOUNT_DEMAND_TAU_MS, now_ms);
}

double
ledger_region_demand_per_s(const ledger_t *ledger, uint64_t now_ms)
{
    double sum = 0;
    for (size_t i = 0; i < ledger->reporter_count; i++)
        sum += account_demand_of_reporter(&ledger->reporters[i], now_ms);
    return sum;
}

static double
peers_demand_per_s(const ledger_t *ledger)
{
    double sum = 0;
    for (size_t i = 0; i < ledger->peer_count; i++)
        sum += ledger->peers[i].demand_per_s;
    return sum;
}

double
ledger_total_demand_per_s(const ledger_t *ledger, uint64_t now_ms)
{
    return ledger_region_demand_per_s(ledger, now_ms) + peers_demand_per_s(ledger);
}

bool
account_demand_was_low(const ledger_t *ledger)
{
    return ledger->inherited.tokens > PLENTIFUL_FRACTION * ledger->bucket.burst;
}

/* The observed rate of a new ledger rises with ACCOUNT_DEMAND_TAU_MS. What other owners reported
 * decays at the same pace, so the sum stays constant if the demand does. */
account_demand_t
account_demand_total(const ledger_t *ledger, uint64_t now_ms)
{
    const double region_per_s = ledger_region_demand_per_s(ledger, now_ms);
    const double observed_per_s = region_per_s + peers_demand_per_s(ledger);
    const double age_ms = (double)(now_ms - ledger->created_ms);
    const double unobserved_per_s =
        ledger->reported_demand_per_s * exp(-age_ms / ACCOUNT_DEMAND_TAU_MS);
    return (account_demand_t){
        .observed_per_s = observed_per_s,
        .expected_per_s = fmax(observed_per_s, region_per_s + unobserved_per_s),
        .known = !account_demand_is_adopting(ledger, now_ms) || ledger->reported_demand_per_s > 0 ||
                 account_demand_was_low(ledger),
    };
}

double
account_demand_to_report(const account_demand_t *demand)
{
    return demand->known ? fmax(demand->expected_per_s, ACCOUNT_DEMAND_MIN_PER_S) : 0;
}
