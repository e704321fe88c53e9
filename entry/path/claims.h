/*
 * Keys of requests that may not be repeated: who may run the request.
 *
 * A minted key names its owner. A key of the caller's own is claimed by a conditional create in
 * the store; whoever claimed it first is its owner for good. A request whose key another entry
 * owns is sent there, and never run here.
 * Owns the claims under way. Relies on route.h and remote.h to run a request, on answer.h to
 * refuse it.
 */
#pragma once

#include "entry/path/exchange.h"

/* Decides who runs a request with that key; goes on with its route or an answer. */
void claims_resolve(exchange_t *x, str_t key);
