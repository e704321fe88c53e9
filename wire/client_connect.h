/*
 * Connecting: a new connection for a call, within a time limit and the pool's bound.
 *
 * Owns a connection until it is connected; then its call is sent (client_call.h). A failure is told
 * as the call's end, never before the caller has returned to the loop.
 */
#pragma once

#include "wire/client_conn.h"

/* Connects and then sends the connection's call, or fails the call. */
void client_connect(client_conn_t *conn);
