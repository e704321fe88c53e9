/*
 * Final answer: how a request ended, and the response to a request that is given up.
 *
 * Decides: status and Retry-After of a response that the gateway itself makes.
 * Inputs: why the request is given up, whether an attempt at it may have run, and for how long the
 * instance has run; for a request without a route, whether a newer configuration than the one in
 * force is known of.
 * Rule: 503 with a Retry-After means that no backend has run the request and none will. It is
 * given only if no attempt may have run; otherwise the caller gets 502, or 504 at the deadline.
 * 429 says that the client account is beyond its limit, 503 that there is no room; a request whose
 * key no account has gets 401. A route is denied (404) only by an instance that knows of no newer
 * configuration: another may have the route, and tells the caller to come back. The answer is given
 * at once: a request is never held back to delay the caller's retry. A started instance that knows
 * nothing yet says when it will: a caller that comes back sooner is refused again, and many come
 * back only once.
 *
 * Pure: no state, no clock.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/* How a request ended: the label `outcome` of irisstall_requests_total and of the log. */
typedef enum {
    OUTCOME_ANSWERED,
    OUTCOME_BACKEND_FAILED,      /* the backend's own 5xx was passed on */
    OUTCOME_NOT_RUN,             /* attempts failed, none of them ran the request */
    OUTCOME_NO_CAPACITY,         /* not admitted anywhere */
    OUTCOME_NO_BACKEND,          /* no backend of the service may be used */
    OUTCOME_ALL_SKIPPED,         /* those that may take no more now, as they say themselves */
    OUTCOME_QUARANTINED,         /* refused: backend servers have ended under it */
    OUTCOME_NO_CONFIGURATION,    /* this instance has just started */
    OUTCOME_CONFIGURATION_STALE, /* no route, and a newer configuration is known of */
    OUTCOME_NO_ROUTE,            /* the configuration has none for it */
    OUTCOME_DENIED,              /* no client account has its key */
    OUTCOME_OVER_LIMIT,          /* its client account is beyond its limit */
    OUTCOME_UNKNOWN,             /* it may have run, its answer is lost */
    OUTCOME_TIMEOUT,             /* the same, at its deadline */
    OUTCOME_TIMEOUT_UNSENT,      /* its deadline passed and it certainly has not run */
    OUTCOME_CUT_BY_BACKEND,      /* the backend broke off an answer that was being passed on */
    OUTCOME_CUT_AT_DEADLINE,     /* the deadline passed while an answer was being passed on */
    OUTCOME_CALLER_LEFT,
    OUTCOME_COUNT, /* not an outcome */
} outcome_t;

typedef struct {
    int status;              /* HTTP */
    uint32_t retry_after_ms; /* 0: no Retry-After */
    outcome_t outcome;       /* as counted and logged */
} final_answer_t;

/* Why a request is given up for which the configuration in force has no route. */
outcome_t final_answer_no_route(bool newer_known);
/* The answer to a request that is given up because of `why`. */
final_answer_t final_answer(outcome_t why, bool may_have_run, uint64_t uptime_ms);
/* The answer to a request of a client account that is beyond its limit: it comes back when there is
 * room. */
final_answer_t final_answer_over_limit(uint32_t retry_after_ms);
/* The answer to a request for which every backend is passed over (backend_skip.h), the first one
 * for `wait_ms`, 0 if that is not known; `point`: random in [0, 1). Callers refused together do not
 * come back together. */
final_answer_t final_answer_all_skipped(bool may_have_run, uint64_t wait_ms, double point);
/* The answer to a request that is held for that time before anything of it was sent: it comes back
 * to be tried, not sooner. */
final_answer_t final_answer_held(uint64_t held_ms);
const char *outcome_name(outcome_t outcome);
