/*
 * Account sync: shares the usage of client accounts between instances, so that an account's rate
 * limit holds across all of them.
 *
 *  - An instance reports its usage of an account to the account's owner in its region (owner.h)
 *    50 ms after the first unreported request, with all accounts of that owner in one message.
 *  - The owner answers each report with the instance's share. When an account reaches its limit, or
 *    falls below it again, the owner notifies all instances of its region at once.
 *  - The owners in the regions exchange their sums every 50 ms while these change, and otherwise
 *    every 0.4 s (account_exchange.c).
 *  - An instance that gets no answer within 0.25 s reports to the next owner.
 *
 * The store is not involved. Traffic and memory grow with the number of accounts in use.
 *
 * Owns the ledgers of this instance, and two timers that run only while accounts are in use.
 * Depends on state/account_uses.h and state/account_ledgers.h for the counters, and on peer/link.h.
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
    const catalog_t *catalog; /* limits in force */
    const topology_t *topology;
    peer_hub_t *hub;
    addr_t own; /* address for peers */
    name_t hall;
    size_t region;
    uint64_t incarnation;
} account_sync_conf_t;

typedef struct {
    account_sync_conf_t conf;
    ledgers_t ledgers;
    uv_timer_t report_timer; /* runs while reports are due or unanswered */
    uv_timer_t ledger_timer; /* runs while this instance owns an account */
    uint64_t reviewed_ms;
} account_sync_t;

void account_sync_init(account_sync_t *sync, const account_sync_conf_t *conf);
/* Records a peer's usage and replies on the same connection. */
void account_sync_on_report(account_sync_t *sync, peer_conn_t *conn,
                            const Iris__AccountReport *message);
void account_sync_on_grants(account_sync_t *sync, const Iris__AccountGrants *message);
void account_sync_on_exchange(account_sync_t *sync, const Iris__AccountExchange *message);
/* The member refused a connection: its process has ended and uses no account any more. */
void account_sync_on_connection_refused(account_sync_t *sync, member_t *member);
/* Reviews the ledgers and drops expired entries; called on every tick. */
void account_sync_tick(account_sync_t *sync);
