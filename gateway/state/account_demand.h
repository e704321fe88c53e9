/*
 * Demand: the requests per second that a client account's callers send in all regions, refused ones
 * included, as far as its ledger knows. Internal to account_ledger.h.
 *
 * A new ledger has observed nothing yet. Until its own observation is complete it adds what other
 * owners have reported.
 */
#pragma once

#include "gateway/state/account_ledger.h"

/* Time constant of the demand in milliseconds: long enough for an instance with one request in
 * three seconds to keep a share. */
#define ACCOUNT_DEMAND_TAU_MS 5000.0
/* Demand, in requests per second, below which no exchange is needed. */
#define ACCOUNT_DEMAND_MIN_PER_S 0.02

/* A new ledger adopts token counts and the demand from other owners' messages for this long, which
 * covers the reports of instances that detect the new owner later. */
enum { ACCOUNT_ADOPTION_MS = 1000 };

typedef struct {
    double observed_per_s; /* by this ledger and its peers */
    double expected_per_s; /* with the part of the reported demand that is not observed yet */
    bool known;            /* observed for long enough, reported, or far below the limit */
} account_demand_t;

/* True while the ledger adopts the state of other owners. */
bool account_demand_is_adopting(const ledger_t *ledger, uint64_t now_ms);
/* Adopts the demand of all regions that another owner reported; 0: it did not know. */
void account_demand_adopt(ledger_t *ledger, double demand_per_s, uint64_t now_ms);
double account_demand_of_reporter(const ledger_reporter_t *reporter, uint64_t now_ms);
/* True if the previous owner's bucket was nearly full: the account had not come near its limit. */
bool account_demand_was_low(const ledger_t *ledger);
account_demand_t account_demand_total(const ledger_t *ledger, uint64_t now_ms);
/* The demand to report to instances and other owners; 0: not known. */
double account_demand_to_report(const account_demand_t *demand);
