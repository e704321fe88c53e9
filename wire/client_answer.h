/*
 * The answer to a call, as its bytes arrive: parsed, told to the call's callbacks.
 *
 * Skips interim answers and answers that belong to another request. Decides whether the connection
 * can take another request as far as the answer tells: `reusable`. Neither ends the call nor closes
 * the connection; client_call.c does, by what is returned here.
 *
 * Owns the parser, the head and the marks `skip`, `reusable` and `keep_ms` of a connection. Relies
 * on http-parser.
 */
#pragma once

#include "wire/client_conn.h"

typedef enum {
    ANSWER_UNFINISHED, /* more bytes have to come */
    ANSWER_WHOLE,      /* the call's stage is WIRE_COMPLETE */
    ANSWER_INVALID,    /* not HTTP, or a head that is too large */
    ANSWER_CANCELLED,  /* a callback has cancelled the call */
} client_answer_t;

/* Gets ready for the answer to a request that is about to be sent. */
void client_answer_begin(client_conn_t *conn);
/* Takes the next bytes; none tell that the connection has ended. */
client_answer_t client_answer_read(client_conn_t *conn, const char *ptr, size_t len);
/* What is wrong with an invalid answer. */
const char *client_answer_fault(const client_conn_t *conn);
