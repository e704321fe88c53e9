/*
 * One try of a request at a backend server or at another entry.
 *
 * Asks once more, just before the first byte, whether the credit is still there. Tells its exchange
 * what happens through exchange_t.attempt_cbs. Owns the call and the credit of the attempt; a
 * credit rests until the deadline if the server may still be at work. Relies on http/call.h.
 */
#pragma once

#include "entry/path/exchange.h"

typedef struct {
    backend_t *backend; /* NULL: another entry */
    addr_t entry;
    hop_t hop;
    limiter_row_t *row; /* admitted at the gate; NULL for another entry */
    bool is_long;       /* admitted as a request with a long deadline */
    const char *place;
} attempt_conf_t;

/* Starts an attempt of the exchange, which has at most one beside it. */
void attempt_start(exchange_t *x, const attempt_conf_t *conf);
/* Ends it early; its credit rests until the deadline if bytes may have gone out. */
void attempt_cancel(attempt_t *attempt);
void attempt_pause(attempt_t *attempt);
void attempt_resume(attempt_t *attempt);
const backend_t *attempt_backend(const attempt_t *attempt);
