/*
 * The parts of account news, and how they call each other. Inside of account_news.h.
 *
 * account_report.c is an instance's side: what it reports of its use, and what it is told.
 * account_grant.c is the owner's side: reports taken in, and what instances are told.
 * account_exchange.c is between owners. account_news.c does the regular work.
 */
#pragma once

#include "gateway/membership/account_news.h"
#include "gateway/membership/owner.h"

/* ---- account_news.c ---- */

uint64_t account_news_now(const account_news_t *news);
/* The account in the configuration in force, if it has a limit there; else NULL. */
const config_account_t *account_news_account(const account_news_t *news, uint64_t id);
/* The member of that incarnation; NULL if there is none. */
member_t *account_news_member(const account_news_t *news, uint64_t incarnation);
/* This instance may own an account from now on: its ledgers are looked after. */
void account_news_own(account_news_t *news);

/* ---- account_report.c ---- */

/* An owner that gave no answer, here or to a peer, is left alone for a time. True if it was not
 * before. */
bool account_report_avoid(account_news_t *news, uint64_t owner);
/* Takes over what an owner tells of one account. */
void account_report_apply(account_news_t *news, uint64_t owner, const Iris__AccountGrant *grant);
/* Something is to be reported; `ctx` is the news. */
void account_report_soon(void *ctx);

/* ---- account_grant.c ---- */

/* Counts one line of a report and fills its answer. */
void account_grant_take(account_news_t *news, uint64_t source, const Iris__AccountUse *use,
                        Iris__AccountGrant *answer);
/* Decides whether instances are held; true if that has changed, and was told. */
bool account_grant_decide(account_news_t *news, ledger_t *ledger);
/* Tells those that do not use the account, or were not reached, that it is at its limit. */
void account_grant_tell_rest(account_news_t *news, ledger_t *ledger);

/* ---- account_exchange.c ---- */

/* Sends what is due to the owners of the other regions. */
void account_exchange_send(account_news_t *news);
/* Tells the other owners that this one gives the account up: nothing is asked for here any more. */
void account_exchange_leave(account_news_t *news, ledger_t *ledger);
/* The owner in the own region; NULL if there is none. */
member_t *account_exchange_owner(const account_news_t *news, uint64_t account);
