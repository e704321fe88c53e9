/*
 * Sending a request to another entry: to the owner of its key, to a neighbour with credits, to a
 * region with room.
 *
 * Relies on fleet/ for members, instances and region loads, on attempt.h to send.
 */
#pragma once

#include "entry/path/exchange.h"

void remote_send(exchange_t *x, const addr_t *addr, hop_t hop);
/* Sends the request to the entry of this region that has the most free credits. */
bool remote_try_neighbour(exchange_t *x);
/* Sends the request to an entry of another region that has room; `moved` counts it against the cap
 * of its place there. */
bool remote_try_region(exchange_t *x, service_t *service, bool moved);
