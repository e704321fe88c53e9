/*
 * Opens a connection for a call, subject to the connect timeout and the pool's connection limit.
 * Failures are reported asynchronously, as the result of the call.
 */
#pragma once

#include "wire/client_conn.h"

/* Connects and sends the request of the connection's call, or fails the call. */
void client_connect(client_conn_t *conn);
