/*
 * The parts of account sync, and how they call each other. Inside of account_sync.h.
 *
 * account_report.c is an instance's side: what it reports of its use, and what it is told.
 * account_grant.c is the owner's side: reports taken in, and what instances are told.
 * account_exchange.c is between owners. account_sync.c does the regular work.
 */
#pragma once

#include "gateway/membership/account_sync.h"
#include "gateway/membership/owner.h"

/* ---- account_sync.c ---- */

uint64_t account_sync_now(const account_sync_t *sync);
/* The account in the configuration in force, if it has a limit there; else NULL. */
const config_account_t *account_sync_find_account(const account_sync_t *sync, uint64_t id);
/* The member of that incarnation; NULL if there is none. */
member_t *account_sync_find_member(const account_sync_t *sync, uint64_t incarnation);
/* This instance may own an account from now on: its ledgers are looked after. */
void account_sync_start_ledger_timer(account_sync_t *sync);

/* ---- account_report.c ---- */

/* An owner that gave no answer, here or to a peer, is left alone for a time. True if it was not
 * before. */
bool account_report_avoid_owner(account_sync_t *sync, uint64_t owner);
/* Takes over what an owner tells of one account. */
void account_report_apply_grant(account_sync_t *sync, uint64_t owner,
                                const Iris__AccountGrant *grant);
/* Something is to be reported; `ctx` is the news. */
void account_report_schedule(void *ctx);

/* ---- account_grant.c ---- */

/* Counts one line of a report and fills its answer. */
void account_grant_record_use(account_sync_t *sync, uint64_t source, const Iris__AccountUse *use,
                              Iris__AccountGrant *answer);
/* Decides whether instances are held; true if that has changed, and was told. */
bool account_grant_update_limited(account_sync_t *sync, ledger_t *ledger);
/* Tells those that do not use the account, or were not reached, that it is at its limit. */
void account_grant_send_to_nonusers(account_sync_t *sync, ledger_t *ledger);

/* ---- account_exchange.c ---- */

/* Sends what is due to the owners of the other regions. */
void account_exchange_send(account_sync_t *sync);
/* Tells the other owners that this one gives the account up: nothing is asked for here any more. */
void account_exchange_send_release(account_sync_t *sync, ledger_t *ledger);
/* The owner in the own region; NULL if there is none. */
member_t *account_exchange_find_owner(const account_sync_t *sync, uint64_t account);
