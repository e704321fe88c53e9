/*
 * What the owner of an account has lent to those it does not hear. Inside of account_ledger.h.
 */
#pragma once

#include "gateway/state/account_ledger.h"

/* Charges the ledger's room with what the silent may have spent up to now. */
void account_lease_charge_silent(ledger_t *ledger, uint64_t now_ms);
/* True if the instance may be spending what is not reported. */
bool account_lease_is_silent(const ledger_t *ledger, const ledger_reporter_t *reporter,
                             uint64_t now_ms);
/* Requests a second that were lent to instances of the own region that are silent, by this owner or
 * the one before. */
double account_lease_silent_per_s(const ledger_t *ledger, uint64_t now_ms);
/* The part of the account that this ledger speaks for: below one where an owner before is out of
 * reach with others of the region. */
double account_lease_visible_fraction(const ledger_t *ledger);
/* True if the instance would begin its count anew. */
bool account_lease_is_stale(const ledger_reporter_t *reporter, uint64_t now_ms);
/* Requests that those who are not silent may have spent since they were last heard, while instances
 * are held. */
double account_lease_unreported(const ledger_t *ledger, uint64_t now_ms);
/* What is to be charged for so many requests of one that was silent: not more than it was taken to
 * spend, since the window in which that mattered has passed, and what it did not spend comes back.
 */
double account_lease_settle(double used, double assumed);
/* So many requests are taken from the room; below 0: they are given back. */
void account_lease_charge(ledger_t *ledger, double requests, uint64_t now_ms);
