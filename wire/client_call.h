/*
 * A call on a connection: its request is sent, its answer read, its end told.
 *
 * A call ends once: whole, failed, or cancelled. Its connection then closes or goes back to its
 * pool, as the answer and the state of the connection allow.
 *
 * Owns wire_call_t from client_call_send() on, and a connection while it is busy. Relies on
 * client_response.h for the answer, on pool.c for keeping and closing connections.
 */
#pragma once

#include "wire/client_conn.h"

/* Sends the request of the call that has a connection, and starts the call's time limit. */
void client_call_send(client_conn_t *conn);
/* Starts reading, also while the connection is idle: then it tells that the other side closes. */
void client_call_start_reading(client_conn_t *conn);
/* Nothing came in time: if the connection was a kept one, the idle ones of its pool are closed. */
void client_call_close_idle_after_silence(client_conn_t *conn);
/* Ends the call of a busy connection, which is closed or goes back to the pool. */
void client_call_end(client_conn_t *conn, bool reuse);
/* The same after a failure. What may have been sent turns ERR_UNAVAILABLE into ERR_ANSWER_LOST. */
void client_call_fail(client_conn_t *conn, err_code_t code, const char *what);
