/*
 * Ending: how an exchange ends, once and for all: each is logged, answered and released here.
 *
 * What a refused caller is told is policy/final_answer.h's decision. Relies on access_log.h for the
 * log, on the listener for answers, on the dialect for the header fields of an answer of our own.
 */
#pragma once

#include "gateway/path/exchange_state.h"
#include "gateway/policy/final_answer.h"

/* Ends the exchange with an answer of the gateway's own. */
void completion_refuse(exchange_t *ex, outcome_t why);
/* Refuses a request for which the last choice found no backend. */
void completion_refuse_no_backend(exchange_t *ex);
/* Refuses a request of which nothing was sent: it is held for that time. */
void completion_refuse_quarantined(exchange_t *ex, uint64_t held_ms);
/* Refuses a request of which nothing was sent: its client account is beyond its limit. */
void completion_refuse_over_limit(exchange_t *ex, uint32_t retry_after_ms);
/* Ends an answer that cannot be completed, so that it does not look complete. */
void completion_abort(exchange_t *ex, outcome_t outcome);
/* Passes the backend's answer on, or the rest of it. */
void completion_forward(exchange_t *ex);
/* Ends the exchange of a caller that has left. */
void completion_caller_disconnected(exchange_t *ex);
