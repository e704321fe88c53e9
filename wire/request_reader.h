/*
 * Parses a connection's input into requests for the handler.
 *
 * Input that arrives while a request is being handled, or while responses wait to be written, is
 * kept until it can be parsed. Reading from the socket stops while no more fits. Invalid input and
 * requests above the limits are rejected with 400, 408, 413, 431, 501 or 505, and the connection is
 * closed.
 */
#pragma once

#include "wire/server_conn.h"

/* Bytes that may be read from the socket now. */
size_t request_reader_room(const wire_conn_t *conn);
/* Parses received bytes, at most request_reader_room(); may call the handler or close the
 * connection. */
void request_reader_feed(wire_conn_t *conn, const char *ptr, size_t len);
/* Prepares the connection for its next request after a response, and parses pipelined input. */
void request_reader_next(wire_conn_t *conn);
/* Rejects the current input with `status` and ends the connection. */
void request_reader_refuse(wire_conn_t *conn, int status);
