/*
 * What an exchange holds, its lifetime and its timer. Inside of the exchange.
 *
 * Its files call each other in this direction only: exchange.c (the beginning), time_limit.c (what
 * happens when time runs out), dispatch.c (attempts, one after the other), completion.c (the
 * answer), and this. What comes from outside - a timer, an attempt's end, a caller that leaves -
 * enters by a callback that one of them has set.
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
    config_t *config; /* the version that decides this request, from its arrival to its answer */
    const config_route_t *route;
    const config_account_t *account; /* of the configuration; NULL: nobody's */
    key_verdict_t key;
    account_use_t *account_use; /* of the account's limit; NULL without one */
    bool account_admitted;      /* the request counts against it */
    uint32_t possible_runs;     /* attempts that ran it, or may have */
    service_t *service;
    request_metadata_t metadata;
    fingerprint_t fingerprint;
    uint64_t object;         /* from router_object() */
    uint64_t deadline_at_ms; /* loop time at which it is given up */
    uint64_t
        overdue_at_ms;     /* loop time at which the attempt is overdue; 0: it is, or none is set */
    uint64_t resend_at_ms; /* loop time at which it is sent again; 0: no such time is set */
    uint64_t permit_wait_until_ms; /* loop time until which a permit is waited for */
    uv_timer_t timer;              /* for the earliest of these */
    uv_timer_cb on_timer;          /* set by exchange.c */
    attempt_t attempt;
    permit_wait_t *permit;                /* the request waits for a permit; NULL: it does not */
    backend_t *permit_backend;            /* that backend, a reference */
    unsigned permits_refused;             /* to the request */
    choice_t choice;                      /* the last one; its backend may be gone */
    retry_verdict_t retry;                /* of the last decision to retry */
    backend_t *tried[RETRY_BACKENDS_MAX]; /* in this order, a reference to each */
    size_t tried_count;
    uint32_t sends;       /* ended attempts of which bytes may have gone out */
    double prior_wait_ms; /* that the caller has lost before this request, by refusals */
    bool may_have_run;    /* one of them ended without certainty */
    uint64_t
        required_version; /* a trial goes only to backends of that software version; 0: to any */
    bool is_trial;        /* it is sent to learn whether it ends backend servers */
    bool done;
};

/* Loop time. */
uint64_t exchange_now_ms(const exchange_t *ex);
/* Time until the exchange is given up. */
uint64_t exchange_remaining_ms(const exchange_t *ex);
/* The backend server of the latest attempt, NULL before the first one. */
backend_t *exchange_last_tried(const exchange_t *ex);
/* Sets the timer for what comes first: the attempt is overdue, the request is sent again, or the
 * exchange is given up. */
void exchange_set_timer(exchange_t *ex);
/* Whatever was asked for as to a permit is not wanted any more; `late`: no answer came in time. */
void exchange_cancel_permit(exchange_t *ex, bool late);
/* The exchange has ended; it is freed once its timer is closed. */
void exchange_release(exchange_t *ex);
