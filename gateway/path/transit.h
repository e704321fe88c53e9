/*
 * Transit: sends requests by way of peers while this instance reaches no backend server, and takes
 * such requests of peers.
 *
 * The hop is a call over HTTP/1.1 to a port of the peer that only instances use: it streams
 * responses with back-pressure, breaks when the caller leaves, and tells whether anything was sent.
 * Nothing is connected until it is needed.
 *
 * policy/transit.h decides which peer, and whether a peer takes the request; transit_fields.h has
 * what goes with it. Owns the connections to peers, each with a circuit breaker.
 */
#pragma once

#include "gateway/membership/members.h"
#include "gateway/path/reach_monitor.h"
#include "gateway/path/transit_fields.h"
#include "gateway/router.h"

typedef struct exchange exchange_t;

typedef struct {
    uv_loop_t *loop;
    const members_t *members;
    router_t *router;
    reach_monitor_t *reach;
    addr_t own_peer;   /* peer address of this instance */
    backend_t **peers; /* that requests were sent to; the backend stands for the peer */
    size_t peer_count;
    size_t received; /* requests of peers in progress */
} transit_t;

/* Why a request of a peer is declined. */
typedef enum {
    TRANSIT_ACCEPTED,
    TRANSIT_INVALID,     /* its fields can't be read */
    TRANSIT_NOT_READY,   /* no configuration, or an older one than the sender's */
    TRANSIT_UNREACHABLE, /* this instance reaches no backend server either */
    TRANSIT_FULL,        /* too many requests in transit */
} transit_verdict_t;

/* Sends the request to a peer, or refuses it if there is none and no other way. Returns false if
 * this instance is to send it to a backend server itself. */
bool transit_dispatch(exchange_t *ex);
/* The attempt at a peer has ended. */
void transit_on_attempt_end(exchange_t *ex, attempt_outcome_t outcome);
/* Cancels the attempt at a peer. */
void transit_cancel(exchange_t *ex);
/* Decides whether a request of a peer is taken; `active` counts the requests of own callers. */
transit_verdict_t transit_accept(const transit_t *transit, const transit_terms_t *terms,
                                 size_t active);
/* Counts a request of a peer by its result. */
void transit_count_received(transit_result_t result);
/* Closes idle connections, and those to peers that are no longer used; called on every tick. */
void transit_tick(transit_t *transit);
