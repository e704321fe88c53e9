/*
 * What a caller gets: errors, recorded outcomes, and the answer of a backend server as it comes.
 *
 * The caller is told "not_run" only if no byte of the request was handed to a connection, or the
 * backend server itself said that it did not run it; everything else that fails is "unknown". An
 * answer that breaks off reaches the caller as a broken message.
 * Owns the buffered bytes of the answer. Relies on exchange.h and on libh2o's responses.
 */
#pragma once

#include "entry/path/exchange.h"

/* Final answers without a server's; they end the exchange. */
void answer_refuse(exchange_t *x, int status, const char *error);
void answer_unknown(exchange_t *x, int status, const char *error);
/* Repeats a recorded outcome. */
void answer_replay(exchange_t *x, const key_record_t *record);
/* No more tries: the answer is unknown if any attempt may have run, else not run. */
void answer_give_up(exchange_t *x, bool timed_out, const char *error);

/* Writes the outcome to the history and the request's span. */
void answer_record(const exchange_t *x, outcome_t outcome, int status);
/* Buffers bytes of the server's answer. */
void answer_append(exchange_t *x, const char *ptr, size_t len);
/* Passes on what is buffered. The last part may complete at once, which ends the request and frees
 * the exchange: nothing of it may be used afterwards. */
void answer_flush(exchange_t *x);
