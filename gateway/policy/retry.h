/*
 * Retry: whether a request is sent to another backend server after an attempt has failed, or in
 * place of one that is overdue.
 *
 * Decides: RETRY_YES, or the reason against it.
 * Inputs: what is known of the attempts so far, the route's terms, the time left, the retry budget.
 * Rule, in this order:
 *  - A request that may not be repeated is not sent again once it may have run.
 *  - One that is held is not sent again: backend servers have ended under it (quarantine.h).
 *  - At most 6 backends are tried, and at most the route's number of sends is made.
 *  - 60 ms must be left.
 *  - Attempts of which no byte went out cost no budget, but at most 4 backends are tried so.
 *  - Otherwise the service's retry budget must have room; one extra send is taken from it.
 * After an attempt whose connection the backend closed, the next one goes out 40 ms later: where
 * many end at once the others are known to have ended by then, and a request that was only there
 * does not meet a second end.
 * An answer of the backend's own is replaced only if it is a 5xx other than 504 to a request that
 * may be repeated, and nothing of it was passed on yet. An overdue attempt is replaced only if its
 * backend is avoided (health.h); what it has sent counts as if it had ended.
 *
 * Pure but for the budget, which is passed in.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "gateway/policy/retry_budget.h"

enum { RETRY_BACKENDS_MAX = 6 }; /* tried for one request; bounds the exchange's list of them */

typedef enum {
    RETRY_NOT_EVALUATED, /* no attempt has failed yet */
    RETRY_YES,
    RETRY_MAY_HAVE_RUN,       /* and the request must not run twice */
    RETRY_ATTEMPTS_EXHAUSTED, /* as many backends or sends as allowed */
    RETRY_NO_TIME,            /* too close to the deadline */
    RETRY_OVER_BUDGET,        /* the service's retry budget is spent */
    RETRY_QUARANTINED,        /* too many backends have ended under it (quarantine.h) */
    RETRY_NOT_AVOIDED,        /* overdue, but its backend is not known to be bad */
    RETRY_VERDICT_COUNT,      /* not a verdict */
} retry_verdict_t;

typedef struct {
    bool repeatable;       /* the request may run more than once */
    bool may_have_run;     /* an attempt ended without certainty */
    bool quarantined;      /* quarantine_may_resend() says no */
    size_t backends_tried; /* including attempts of which nothing was sent */
    uint32_t sends;        /* attempts of which bytes may have gone out */
    uint32_t sends_max;    /* of the route */
    uint64_t left_ms;      /* until the request is given up */
} retry_input_t;

typedef struct {
    retry_budget_t *budget; /* of the service */
    retry_terms_t terms;
    uint64_t now_ms;
} retry_context_t;

/* The last attempt has ended without an answer to pass on. */
retry_verdict_t retry_decide(const retry_input_t *input, const retry_context_t *context);

/* Time until the next attempt; `closed`: the backend closed or reset the last one's connection. */
uint32_t retry_after_ms(bool closed);

/* True if the backend's own failure, an HTTP status, is worth another attempt. `passed_on` tells
 * that the caller got the beginning of it already. */
bool retry_replaces_answer(int status, bool repeatable, bool passed_on);

typedef struct {
    retry_input_t request; /* its sends without that of the overdue attempt */
    bool sent;             /* bytes of the overdue attempt may have gone out */
    bool backend_avoided;
} retry_overdue_t;

/* An attempt takes far longer than usual (slow.h) and nothing of an answer has come. */
retry_verdict_t retry_decide_overdue(const retry_overdue_t *input, const retry_context_t *context);

/* For the log. */
const char *retry_verdict_name(retry_verdict_t verdict);
