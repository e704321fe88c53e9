/*
 * State, lifetime and timer of an exchange. Internal to the exchange modules.
 *
 * Calls go in one direction only: exchange.c (start), time_limit.c (timeouts), dispatch.c
 * (attempts), completion.c (final response), exchange_state.c. External events such as timers,
 * finished attempts and disconnecting callers enter through callbacks that these files register.
 *
 * Owns exchange_t with its references to the configuration and to backend servers.
 */
#pragma once

#include "gateway/path/attempt.h"
#include "gateway/path/exchange.h"
#include "gateway/policy/key_check.h"
#include "gateway/policy/retry.h"

typedef struct exchange exchange_t;

struct exchange {
    exchanges_t *owner;
    wire_request_t *req;
    config_t *config; /* configuration used for this request until its response */
    const config_route_t *route;
    const config_account_t *account; /* client account in `config`; NULL if none */
    key_verdict_t key;
    account_use_t *account_use; /* usage counter of the account's limit; NULL without a limit */
    bool account_admitted;      /* the request counts against the account's limit */
    uint32_t possible_runs;     /* attempts that executed the request or may have */
    service_t *service;
    request_metadata_t metadata;
    fingerprint_t fingerprint;
    uint64_t object;         /* from router_object() */
    uint64_t deadline_at_ms; /* loop time of the deadline */
    bool is_overdue;         /* the attempt is counted as overdue at its backend */
    uint64_t overdue_at_ms;  /* loop time at which the attempt is overdue; 0 if passed or unset */
    uint64_t resend_at_ms;   /* loop time of the next resend; 0 if not set */
    uint64_t permit_wait_until_ms; /* loop time at which waiting for a permit ends */
    uv_timer_t timer;              /* fires at the earliest of these times */
    uv_timer_cb on_timer;          /* set by exchange.c */
    attempt_t attempt;
    pending_permit_t *permit;     /* pending permit request; NULL if none */
    backend_t *permit_backend;    /* backend of the pending permit, a counted reference */
    unsigned permits_refused;     /* permits refused for this request */
    bool stayed_in_queue;         /* its attempt was overdue, but not replaced: RETRY_REGION_FULL */
    bool choice_made;             /* `choice` was made at least once */
    load_probe_wait_t probe_wait; /* for the load of a candidate */
    uint64_t probe_wait_until_ms; /* loop time at which this ends; 0 before the first wait */
    bool load_probed;             /* the candidates were asked, or are not to be */
    backend_t *candidates[LOAD_PROBE_CANDIDATES_MAX]; /* to be asked; counted references */
    size_t candidate_count;
    choice_t choice;                      /* last choice; its backend may no longer exist */
    retry_verdict_t retry;                /* result of the last retry decision */
    backend_t *tried[RETRY_BACKENDS_MAX]; /* in order; counted references */
    size_t tried_count;
    uint32_t sends;            /* finished attempts that may have sent bytes */
    uint32_t retry_after_ms;   /* Retry-After of its refusal; 0: none */
    bool from_peer;            /* in transit from a peer (transit.h); it takes no further hop */
    bool declined;             /* in transit, and not taken */
    bool in_transit;           /* the attempt is at a peer */
    unsigned transits;         /* peers that it was sent to */
    bool may_have_run;         /* an attempt ended with unknown outcome */
    uint64_t required_version; /* use only backends of this software version; 0 for any */
    bool is_trial;             /* sent to test whether the request still crashes backend servers */
    bool ignores_shortest_run; /* sent although the shortest known run leaves no time for it */
    bool done;
};

/* Returns the current loop time. */
uint64_t exchange_now_ms(const exchange_t *ex);
/* Returns the time left until the deadline. */
uint64_t exchange_remaining_ms(const exchange_t *ex);
/* Returns the backend server of the latest attempt, NULL before the first one. */
backend_t *exchange_last_tried(const exchange_t *ex);
/* Arms the timer for the earliest event: attempt overdue, resend, end of the wait for a permit or
 * for a load probe, or deadline. */
void exchange_set_timer(exchange_t *ex);
/* Cancels a pending permit request. `late` is true if no answer came in time. */
void exchange_cancel_permit(exchange_t *ex, bool late);
/* Ends the wait for load probes, if any. */
void exchange_end_probe_wait(exchange_t *ex);
/* Releases a completed exchange; it is freed once its timer is closed. */
void exchange_release(exchange_t *ex);
