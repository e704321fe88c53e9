/*
 * The requests that wait for room, most urgent first: by priority, then by deadline.
 *
 * Owns the list in the node and the exchanges' marks of it; route.c looks at it again.
 */
#pragma once

#include "entry/path/exchange.h"

/* Lets the request wait, at most half of the time it has left. */
void waiting_add(exchange_t *x);
/* Takes it out, if it waits. */
void waiting_remove(exchange_t *x);
