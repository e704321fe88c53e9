/*
 * Runs a call on a connection: sends the request, reads the response, reports the result.
 *
 * A call ends exactly once: completed, failed or cancelled. Its connection is then closed or
 * returned to the pool, depending on the response and on the connection's state.
 */
#pragma once

#include "wire/client_conn.h"

/* Sends the request of the connection's call and starts the call's timeout. */
void client_call_send(client_conn_t *conn);
/* Starts reading; idle connections are read too, to detect a close by the server. */
void client_call_start_reading(client_conn_t *conn);
/* Called on a timeout. Closes the pool's idle connections if the connection was reused and nothing
 * was received on it. */
void client_call_close_idle_after_silence(client_conn_t *conn);
/* Ends the connection's call. The connection is closed, or returned to the pool if `reuse`. */
void client_call_end(client_conn_t *conn, bool reuse);
/* Fails the connection's call and closes the connection. ERR_UNAVAILABLE becomes ERR_ANSWER_LOST if
 * the request may have been sent. */
void client_call_fail(client_conn_t *conn, err_code_t code, const char *what);
