/*
 * Exchange: one request of a caller's, from its arrival to its answer.
 *
 * Asks for each decision and carries it out: route and service, backend server (router.h), attempt
 * (attempt.h), retry (policy/retry.h), final answer (policy/final_answer.h). Keeps the one fact
 * that everything else depends on: whether an attempt may have run the request. Owns the request
 * from the listener until it is answered, aborted, or its caller has left. Relies on the router for
 * what is known, on the dialect for the platform's header fields. Its files: exchange_state.h.
 */
#pragma once

#include "gateway/membership/permit_exchange.h"
#include "gateway/ports.h"
#include "gateway/router.h"
#include "gateway/state/account_uses.h"
#include "gateway/state/suspects.h"
#include "wire/listener.h"

typedef struct {
    router_t *router;
    const dialect_port_t *dialect;
    suspects_t *suspects;
    account_uses_t *account_uses;
    permit_exchange_t *permits;
    size_t active; /* exchanges under way */
} exchanges_t;

/* Takes a request over; always answers it unless the caller leaves. */
void exchange_start(exchanges_t *exchanges, wire_request_t *req);
