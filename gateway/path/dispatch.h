/*
 * Dispatch: the attempts of an exchange, one after the other.
 *
 * Has a backend server chosen, sends the request to it, and after the attempt forwards the
 * response, retries or refuses (decided by policy/retry.h). Tracks what has been sent and
 * whether it may have been executed. Relies on the router for choices and load, on attempt.h for
 * a single attempt.
 */
#pragma once

#include "gateway/path/exchange_state.h"

/* Chooses a backend. `may_request_permit`: it may be one that requires a permit. */
choice_t dispatch_choose(const exchange_t *ex, bool may_request_permit);
/* Starts an attempt on the given backend, or ends the request if its caller has left. */
void dispatch_send(exchange_t *ex, backend_t *backend);
/* Chooses a backend and starts an attempt, or refuses the request. */
void dispatch_next(exchange_t *ex);
/* Handles a permit request that timed out. */
void dispatch_on_permit_timeout(exchange_t *ex);
/* Chooses without the answers of load probes that did not come in time. */
void dispatch_on_probe_timeout(exchange_t *ex);
/* Resends a request whose connection was closed, after the delay. */
void dispatch_resend(exchange_t *ex);
/* Cancels the attempt in progress, if any. */
void dispatch_cancel(exchange_t *ex);
/* Decides whether the request may be sent again, and takes the send from the retry budget. */
bool dispatch_may_retry(exchange_t *ex);
/* Collects the input of a retry decision. */
retry_input_t dispatch_retry_input(const exchange_t *ex);
/* Callback for notices in a response; `ctx` is the exchange. */
void dispatch_on_backend_notice(void *ctx, const backend_statement_t *statement, bool ran);
/* Callback for a finished attempt; `ctx` is the exchange. */
void dispatch_on_attempt_end(void *ctx, attempt_outcome_t outcome);
