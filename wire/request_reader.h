/*
 * Request reader: turns the bytes of a caller's connection into requests for the handler.
 *
 * One request at a time; bytes of the next one are kept until the answer has ended. Input that is
 * no request, or exceeds the limits, is answered with 400, 408, 413 or 431, and the connection
 * ends.
 *
 * client.c parses answers with the same library; the two share head.h and little else, since an
 * answer may belong to another call and its body is passed on as it comes.
 * Relies on the http-parser library, on server_conn.h for the connection, on wire_respond() for the
 * refusals.
 */
#pragma once

#include "wire/server_conn.h"

/* Parses bytes as they arrive; may call the handler, and close the connection. */
void request_reader_feed(wire_conn_t *conn, const char *ptr, size_t len);
/* The answer has ended: makes the connection ready for its next request, which may be here already.
 */
void request_reader_next(wire_conn_t *conn);
/* Answers input that is no request and ends the connection. */
void request_reader_refuse(wire_conn_t *conn, int status);
