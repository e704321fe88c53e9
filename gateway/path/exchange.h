/*
 * Exchange: one request of a caller, from its arrival to its response.
 *
 * Obtains each decision and carries it out: route and service, backend server (router.h),
 * attempt (attempt.h), retry (policy/retry.h), final response (policy/final_response.h). Tracks
 * whether an attempt may have executed the request. Owns the request from the listener until it
 * is answered, aborted or its caller disconnects. Relies on the router for the known state and
 * on the dialect for the platform's header fields. exchange_state.h lists the files of this
 * module.
 */
#pragma once

#include "gateway/membership/permit_exchange.h"
#include "gateway/path/load_probes.h"
#include "gateway/path/transit.h"
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
    transit_t *transit;
    reach_monitor_t *reach;
    load_probes_t load_probes;
    size_t active; /* exchanges in progress */
} exchanges_t;

/* Takes ownership of a request and answers it unless the caller disconnects first. */
void exchange_start(exchanges_t *exchanges, wire_request_t *req);
/* The same for a request of a caller of a peer, in transit (transit.h). */
void exchange_start_transit(exchanges_t *exchanges, wire_request_t *req);
