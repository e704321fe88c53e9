/*
 * Functions that the account sync files share; private to account_sync.h.
 *
 * account_report.c reports this instance's usage and applies grants. account_grant.c is the owner's
 * side: it records reports and sends grants. account_exchange.c exchanges sums between owners.
 * account_sync.c runs the timers and the periodic review.
 */
#pragma once

#include "gateway/membership/account_sync.h"
#include "gateway/membership/owner.h"

/* ---- account_sync.c ---- */

uint64_t account_sync_now(const account_sync_t *sync);
/* Returns the account from the current configuration, or NULL if it has no limit there. */
const config_account_t *account_sync_find_account(const account_sync_t *sync, uint64_t id);
/* Returns the member with that incarnation, or NULL. */
member_t *account_sync_find_member(const account_sync_t *sync, uint64_t incarnation);
/* Starts the ledger timer if this instance has ledgers. */
void account_sync_start_ledger_timer(account_sync_t *sync);

/* ---- account_report.c ---- */

/* Passes over an owner that did not answer, here or at a peer, for AVOID_MS. Returns true if it was
 * not avoided before. */
bool account_report_avoid_owner(account_sync_t *sync, uint64_t owner);
/* Applies an owner's grant for one account. */
void account_report_apply_grant(account_sync_t *sync, uint64_t owner,
                                const Iris__AccountGrant *grant);
/* Schedules the next report; `ctx` is the account_sync_t. */
void account_report_schedule(void *ctx);

/* ---- account_grant.c ---- */

/* Records one entry of a report and fills its answer. */
void account_grant_record_use(account_sync_t *sync, uint64_t source, const Iris__AccountUse *use,
                              Iris__AccountGrant *answer);
/* Updates whether the account is limited. Returns true if that changed and was sent to the
 * region. */
bool account_grant_update_limited(account_sync_t *sync, ledger_t *ledger);
/* Sends the limit to instances that do not use the account or were not reached. */
void account_grant_send_to_nonusers(account_sync_t *sync, ledger_t *ledger);

/* ---- account_exchange.c ---- */

/* Sends the sums that are due to the owners in the other regions. */
void account_exchange_send(account_sync_t *sync);
/* Tells the other owners that this instance gives up the account and requests no share of it. */
void account_exchange_send_release(account_sync_t *sync, ledger_t *ledger);
/* Returns the owner in this region, or NULL. */
member_t *account_exchange_find_owner(const account_sync_t *sync, uint64_t account);
