/*
 * Admin pages of an instance: metrics, table, status, explanation, client accounts, quarantine;
 * used by irisctl and by monitoring.
 *
 * Owns the gauges. Reads the state of the instance; the only change it makes is lifting a
 * quarantine with POST. The pages are written by inspect.h, inspect_accounts.h and
 * inspect_suspects.h.
 */
#pragma once

#include "gateway/path/exchange.h"
#include "gateway/membership/account_sync.h"
#include "gateway/membership/heartbeat.h"
#include "wire/listener.h"

typedef struct {
    const router_t *router;
    const members_t *members;
    const store_watch_t *store_watch;
    const views_t *views;
    const heartbeat_t *heartbeat;
    const exchanges_t *exchanges;
    suspects_t *suspects;
    const account_sync_t *accounts;
    const wire_listener_t *callers;
} admin_t;

/* Handles a request on the admin port. */
void admin_handle_request(const admin_t *admin, wire_request_t *req);
