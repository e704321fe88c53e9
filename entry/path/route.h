/*
 * Where a request goes: a place of this region and a server there, a neighbour with credits, a
 * region with room, the queue, or back to its caller as not run.
 */
#pragma once

#include "entry/path/exchange.h"

/* Starts an attempt, queues the request, or answers it. */
void route_request(exchange_t *x);
/* Sends the request to another entry. */
void route_to_entry(exchange_t *x, const addr_t *addr, hop_t hop);
/* Looks at the waiting requests again, most urgent first. */
void route_run_queue(node_t *node);
void route_dequeue(exchange_t *x);
/* Starts a second attempt beside one that is slow for its class. */
void route_hedge(exchange_t *x, uint64_t now_ms);
