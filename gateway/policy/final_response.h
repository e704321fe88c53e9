/*
 * Final response: how a request ended, and the response that the gateway itself sends.
 *
 * 503 with Retry-After means that no backend has run the request and none will; it is sent only if
 * no attempt may have run. Otherwise the caller gets 502, or 504 at the deadline. 429 means that
 * the client account is over its limit, 401 that no account has the request's key. An instance that
 * knows of a newer configuration, or may be cut off from it (isolation.h), does not respond with
 * 404, as that one may have the route. The
 * response is sent at once; requests are not held back to delay a retry.
 *
 * Retry-After is the time at which the reason for the refusal may be gone, by what is known: when a
 * backend server may be sent requests again, when an instance that has just started reads the store
 * itself. Where nothing is known, that is with the next heartbeats of the other instances: they
 * bring what is new of backend servers and configurations. Times are spread over another heartbeat,
 * so that callers who were refused together do not come back together. Refusals for lack of room
 * have times of their own (return_time.h).
 *
 * Stateless.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/* How a request ended; the label `outcome` of irisstall_requests_total and the log key of that
 * name. */
typedef enum {
    OUTCOME_ANSWERED,
    OUTCOME_BACKEND_FAILED,      /* a 5xx of the backend was forwarded */
    OUTCOME_NOT_RUN,             /* attempts failed, none of them ran the request */
    OUTCOME_NO_CAPACITY,         /* no backend admitted it */
    OUTCOME_NO_BACKEND,          /* the service has no usable backend */
    OUTCOME_ALL_SKIPPED,         /* all usable backends are skipped (backend_skip.h) */
    OUTCOME_QUARANTINED,         /* refused: backend servers have ended under it (quarantine.h) */
    OUTCOME_NO_CONFIGURATION,    /* the instance has just started */
    OUTCOME_CONFIGURATION_STALE, /* no route, but a newer configuration exists */
    OUTCOME_NO_ROUTE,            /* no route in the configuration */
    OUTCOME_DENIED,              /* no client account has its key */
    OUTCOME_OVER_LIMIT,          /* its client account is over its limit */
    OUTCOME_UNKNOWN,             /* it may have run, its response was lost */
    OUTCOME_TIMEOUT,             /* as OUTCOME_UNKNOWN, at the deadline */
    OUTCOME_TIMEOUT_UNSENT,      /* the deadline passed, or is too near for a run; it has not run */
    OUTCOME_CUT_BY_BACKEND,      /* the backend aborted a response that was being forwarded */
    OUTCOME_CUT_AT_DEADLINE,     /* the deadline passed while a response was being forwarded */
    OUTCOME_CALLER_LEFT,
    OUTCOME_COUNT, /* not an outcome */
} outcome_t;

typedef struct {
    int status;              /* HTTP */
    uint32_t retry_after_ms; /* 0: no Retry-After */
    outcome_t outcome;       /* for metrics and log */
} final_response_t;

/* Returns the outcome of a request without a route; `newer_known`: a newer configuration exists. */
outcome_t final_response_no_route(bool newer_known);
/* What is known of when the reason for a refusal may be gone; milliseconds from now. */
typedef struct {
    uint32_t heartbeat_ms;    /* between two heartbeats of another instance */
    uint64_t available_in_ms; /* until a backend server may be sent requests again; 0: not known */
    uint64_t reads_in_ms;     /* until this instance, without a configuration, reads the store */
    double point;             /* random in [0, 1): place within the spread */
} retry_after_input_t;

/* Returns the response to a request that failed because of `why`. */
final_response_t final_response(outcome_t why, bool may_have_run, const retry_after_input_t *input);
/* Returns the response to a request of a client account that is over its limit. */
final_response_t final_response_over_limit(uint32_t retry_after_ms);
/* Returns the response to a request that has not run because of `why` and for which there is no
 * room for `retry_after_ms` (return_time.h). */
final_response_t final_response_no_room(outcome_t why, uint32_t retry_after_ms);
/* Returns the response to a quarantined request of which nothing was sent; it may be retried after
 * `held_ms`. Where its service has no usable backend, that is the reason given: the quarantine
 * would hide the outage. */
final_response_t final_response_held(uint64_t held_ms, const retry_after_input_t *input,
                                     bool has_backend);
const char *outcome_name(outcome_t outcome);
