/*
 * Sending a request to a place of this region: the place is drawn by the shares, the region's gate
 * admits, a server with room is chosen.
 *
 * A place beyond the shares counts against its cap. Relies on region/limiter.h, backend/backend.h
 * and lookup/steer.h, on attempt.h to send.
 */
#pragma once

#include "entry/path/exchange.h"

/* Starts an attempt here; false leaves the reason in x->refusal. */
bool local_try(exchange_t *x, service_t *service);
