/*
 * Parses the response to a call and invokes the call's callbacks.
 *
 * Skips interim responses and those that belong to another request. Maintains `head`, `parser`,
 * `skip_response`, `reusable` and `keep_alive_ms` of the connection. Never ends the call or closes
 * the connection; client_call.c does so depending on the returned state.
 */
#pragma once

#include "wire/client_conn.h"

typedef enum {
    RESPONSE_INCOMPLETE, /* more input needed */
    RESPONSE_COMPLETE,   /* the call's stage is WIRE_COMPLETE */
    RESPONSE_INVALID,    /* malformed, or the head is too large */
    RESPONSE_CANCELLED,  /* a callback cancelled the call */
} client_response_state_t;

/* Resets the parser for the response to the next request. */
void client_response_begin(client_conn_t *conn);
/* Parses the next bytes. */
client_response_state_t client_response_parse(client_conn_t *conn, const char *ptr, size_t len);
/* The server has closed the connection, which ends a response without a length. */
client_response_state_t client_response_end(client_conn_t *conn);
/* Describes the parse error of an invalid response. */
const char *client_response_error(const client_conn_t *conn);
