/*
 * Account news: what instances tell each other of the client accounts in use, so that an account's
 * limit holds over all of them.
 *
 *  - An instance reports its use of an account to the account's owner in its region
 * (owner.h) 50 ms after the first request that was not reported, all accounts of an owner
 * together.
 *  - The owner answers each report with the instance's share, and tells all instances that use the
 *    account at once when they are held to their shares, and when they are let go.
 *  - The owners of the regions exchange their sums every 50 ms while anything changes, and else
 *    every 0.4 s (account_exchange.c).
 *  - Who gets no answer within 0.25 s reports to the next owner.
 * Nothing of it goes through the store. Messages and memory follow the accounts in use.
 *
 * Owns the ledgers of this instance, and two timers that run only while accounts are in use. Relies
 * on state/account_uses.h and state/account_ledgers.h for what is counted, on peer/link.h.
 */
#pragma once

#include <uv.h>

#include "gateway/membership/members.h"
#include "gateway/state/account_ledgers.h"
#include "gateway/state/account_uses.h"
#include "gateway/state/catalog.h"
#include "peer/link.h"

typedef struct {
    uv_loop_t *loop;
    members_t *members;
    account_uses_t *uses;
    const catalog_t *catalog; /* the limits in force */
    const topology_t *topology;
    peer_hub_t *hub;
    addr_t own; /* where peers reach this instance */
    name_t hall;
    size_t region;
    uint64_t incarnation;
} account_sync_conf_t;

typedef struct {
    account_sync_conf_t conf;
    ledgers_t ledgers;
    uv_timer_t report_timer; /* runs while there is something to report, or an answer is missing */
    uv_timer_t ledger_timer; /* runs while this instance owns an account */
    uint64_t reviewed_ms;
} account_sync_t;

void account_sync_init(account_sync_t *sync, const account_sync_conf_t *conf);
/* A peer reports its use: it is answered on its connection. */
void account_sync_on_report(account_sync_t *sync, peer_conn_t *conn,
                            const Iris__AccountReport *message);
void account_sync_on_grants(account_sync_t *sync, const Iris__AccountGrants *message);
void account_sync_on_exchange(account_sync_t *sync, const Iris__AccountExchange *message);
/* A connection to the member was refused: its process has ended, and spends nothing any more. */
void account_sync_on_connection_refused(account_sync_t *sync, member_t *member);
/* Regular work. */
void account_sync_tick(account_sync_t *sync);
