/*
 * Leases: the shares that an account's owner has granted to silent instances and regions. Internal
 * to account_ledger.h.
 */
#pragma once

#include "gateway/state/account_ledger.h"

/* Charges the bucket with what silent instances and regions may have used until now. */
void account_lease_charge_silent(ledger_t *ledger, uint64_t now_ms);
/* True if the instance may be using its share without reporting. */
bool account_lease_is_silent(const ledger_t *ledger, const ledger_reporter_t *reporter,
                             uint64_t now_ms);
/* Rate granted to silent instances of the own region, by this owner or the previous one. */
double account_lease_silent_per_s(const ledger_t *ledger, uint64_t now_ms);
/* Fraction of the account that this ledger accounts for. Below 1 while a previous owner is
 * unreachable together with other instances of the region. */
double account_lease_visible_fraction(const ledger_t *ledger);
/* True if the instance has been idle for so long that it restarts its counters. */
bool account_lease_is_stale(const ledger_reporter_t *reporter, uint64_t now_ms);
/* Requests that instances and regions which are not silent may have used since their last message,
 * while instances are limited. */
double account_lease_unreported(const ledger_t *ledger, uint64_t now_ms);
/* Requests to charge when a silent instance or region reports again. Use beyond the assumption is
 * not charged, as it is too old to matter; unused assumption is refunded (negative result). */
double account_lease_settle(double used, double assumed);
/* Takes requests from the bucket; a negative number returns them. */
void account_lease_charge(ledger_t *ledger, double requests, uint64_t now_ms);
