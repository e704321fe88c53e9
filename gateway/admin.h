/* The admin pages of an instance: metrics, table, status, explanation. */
#pragma once

#include "gateway/path/exchange.h"
#include "gateway/membership/heartbeat.h"
#include "wire/listener.h"

typedef struct {
    const router_t *router;
    const sync_t *sync;
    const heartbeat_t *heartbeat;
    const exchanges_t *exchanges;
    const wire_listener_t *callers;
} admin_t;

void admin_answer(const admin_t *admin, wire_request_t *req);
