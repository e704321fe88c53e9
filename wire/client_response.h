/*
 * The answer to a call, as its bytes arrive: parsed, told to the call's callbacks.
 *
 * Skips interim answers and answers that belong to another request. Decides whether the connection
 * can take another request as far as the answer tells: `reusable`. Neither ends the call nor closes
 * the connection; client_call.c does, by what is returned here.
 *
 * Owns the parser, the head and the marks `skip_response`, `reusable` and `keep_alive_ms` of a
 * connection. Relies on http-parser.
 */
#pragma once

#include "wire/client_conn.h"

typedef enum {
    RESPONSE_INCOMPLETE, /* more bytes have to come */
    RESPONSE_COMPLETE,   /* the call's stage is WIRE_COMPLETE */
    RESPONSE_INVALID,    /* not HTTP, or a head that is too large */
    RESPONSE_CANCELLED,  /* a callback has cancelled the call */
} client_response_state_t;

/* Gets ready for the answer to a request that is about to be sent. */
void client_response_begin(client_conn_t *conn);
/* Takes the next bytes; none tell that the connection has ended. */
client_response_state_t client_response_parse(client_conn_t *conn, const char *ptr, size_t len);
/* What is wrong with an invalid answer. */
const char *client_response_error(const client_conn_t *conn);
