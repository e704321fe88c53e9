/*
 * Where a request goes: a place of this region (local.h), another entry (remote.h), the queue
 * (waiting.h), or back to its caller as not run.
 */
#pragma once

#include "entry/path/exchange.h"

/* Starts an attempt, queues the request, or answers it. */
void route_request(exchange_t *x);
/* Looks at the waiting requests again, most urgent first. */
void route_run_queue(node_t *node);
/* Starts a second attempt beside one that is slow for its class. */
void route_hedge(exchange_t *x, uint64_t now_ms);
