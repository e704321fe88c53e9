/*
 * Parses a connection's input into requests for the handler.
 *
 * Input that arrives while a request is being handled is buffered until its response has ended.
 * Invalid input and requests above the limits are rejected with 400, 408, 413, 431, 501 or 505, and
 * the connection is closed.
 */
#pragma once

#include "wire/server_conn.h"

/* Parses received bytes; may call the handler or close the connection. */
void request_reader_feed(wire_conn_t *conn, const char *ptr, size_t len);
/* Prepares the connection for its next request after a response, and parses pipelined input. */
void request_reader_next(wire_conn_t *conn);
/* Rejects the current input with `status` and ends the connection. */
void request_reader_refuse(wire_conn_t *conn, int status);
