/*
 * Retries: whether a request is sent to another backend server after a failed attempt, or in place
 * of an overdue one. The first rule that applies counts:
 *
 *  - A request that may not be repeated is not retried once it may have run.
 *  - A quarantined request is not retried (quarantine.h).
 *  - At most 6 backends are tried, and the route's limit of sends applies.
 *  - There must be time for the shortest run that was seen lately.
 *  - Attempts of which no byte was sent don't count against the retry budget, but at most 4
 *    backends are tried that way.
 *  - Otherwise one extra send is taken from the retry budget of the service.
 *
 * After an attempt whose connection was closed by the backend the next one is delayed by 40 ms: if
 * many backends end at once, the others are then known to have ended.
 *
 * A response of the backend is replaced only if it is a 5xx other than 504, the request may be
 * repeated, and nothing of the response was forwarded yet. An overdue attempt is replaced only if
 * its backend is avoided (health.h). It is not replaced in a region where others wait for
 * slots (region_backlog.h): it waits in a queue, and the replacement would join the end of
 * another one, while the backend may still run the first. Requests that only this region may serve
 * would otherwise be sent time and again, until nearly all that runs there was sent twice.
 *
 * Stateless except for the budget, which is passed in.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "gateway/policy/retry_budget.h"

enum { RETRY_BACKENDS_MAX = 6 }; /* per request; bounds the exchange's list of backends */

typedef enum {
    RETRY_NOT_EVALUATED, /* no attempt has failed */
    RETRY_YES,
    RETRY_MAY_HAVE_RUN,       /* and the request must not run twice */
    RETRY_ATTEMPTS_EXHAUSTED, /* the limit of backends or sends is reached */
    RETRY_NO_TIME,            /* too close to the deadline */
    RETRY_OVER_BUDGET,        /* the retry budget of the service is exhausted */
    RETRY_QUARANTINED,        /* quarantined: backends have ended under it */
    RETRY_NOT_AVOIDED,        /* overdue, but the backend is not avoided */
    RETRY_REGION_FULL,        /* overdue, but requests queue in its region */
    RETRY_VERDICT_COUNT,      /* number of verdicts */
} retry_verdict_t;

typedef struct {
    bool repeatable;       /* the request may run more than once */
    bool may_have_run;     /* an attempt ended with unknown result */
    bool quarantined;      /* quarantine_may_resend() is false */
    size_t backends_tried; /* including attempts that sent nothing */
    uint32_t sends;        /* attempts that may have sent bytes */
    uint32_t sends_max;    /* limit of the route */
    uint64_t left_ms;      /* time until the deadline */
    double run_ms;         /* shortest run of the route seen lately; 0: not known */
} retry_input_t;

typedef struct {
    retry_budget_t *budget; /* budget of the service */
    retry_terms_t terms;
    uint64_t now_ms;
    double random; /* uniform in [0, 1) */
} retry_context_t;

/* Decides after an attempt has ended without a response to forward. */
retry_verdict_t retry_decide(const retry_input_t *input, const retry_context_t *context);

/* Returns the delay before the next attempt; `closed`: the backend closed or reset the connection
 * of the last one. */
uint32_t retry_after_ms(bool closed);

/* True if a failure response of the backend may be replaced by another attempt. `passed_on`: a part
 * of it was already forwarded. */
bool retry_replaces_answer(int status, bool repeatable, bool passed_on);

typedef struct {
    retry_input_t request; /* sends without that of the overdue attempt */
    bool sent;             /* the overdue attempt may have sent bytes */
    bool backend_avoided;
    /* It waits in the queue of a backend that answers others, and requests queue in all of the
     * region (region_backlog.h): its replacement would queue behind others. */
    bool waits_in_queue;
} retry_overdue_t;

/* Decides for an attempt that is overdue (slow.h) and has not received any response. */
retry_verdict_t retry_decide_overdue(const retry_overdue_t *input, const retry_context_t *context);

/* Returns the name of a verdict for the log. */
const char *retry_verdict_name(retry_verdict_t verdict);
