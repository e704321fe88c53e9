/*
 * Dispatch: the attempts of an exchange, one after the other.
 *
 * Has a backend server chosen, sends the request to it, and when the attempt ends passes the answer
 * on, sends again or refuses (policy/retry.h decides). Keeps count of what has been sent and
 * whether it may have run. Relies on the router for choices and load, on attempt.h for one attempt.
 */
#pragma once

#include "gateway/path/exchange_state.h"

/* Asks for a backend. `may_ask`: it may be one that takes a permit. */
choice_t dispatch_choose(const exchange_t *ex, bool may_ask);
/* Starts an attempt at that backend. */
void dispatch_send(exchange_t *ex, backend_t *backend);
/* Chooses a backend and starts an attempt, or refuses the request. */
void dispatch_next(exchange_t *ex);
/* No answer as to a permit has come in time. */
void dispatch_permit_late(exchange_t *ex);
/* The time has come to send a request again whose connection broke. */
void dispatch_resend(exchange_t *ex);
/* Breaks off the attempt under way, if there is one. */
void dispatch_cancel(exchange_t *ex);
/* What the decision on another attempt depends on. */
retry_input_t dispatch_retry_input(const exchange_t *ex);
/* The backend of the attempt tells something of itself; `ctx` is the exchange. */
void dispatch_on_said(void *ctx, const backend_statement_t *said, bool ran);
/* An attempt has ended by itself; `ctx` is the exchange. */
void dispatch_on_attempt_end(void *ctx, attempt_outcome_t outcome);
