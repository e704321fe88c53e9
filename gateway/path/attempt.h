/*
 * One try of a request at one upstream.
 *
 * Its outcome says what is certain: *not run* only if no byte went out or the upstream says so.
 * Small answers are collected before they are passed on, so that a broken one can still be
 * replaced; large ones are streamed under back-pressure.
 */
#pragma once

#include "gateway/state/backends.h"
#include "wire/listener.h"

typedef enum {
    ATTEMPT_ANSWERED, /* the upstream's answer is whole */
    ATTEMPT_NOT_RUN,  /* certainly */
    ATTEMPT_UNKNOWN,  /* it may have run, and nothing was passed on */
    ATTEMPT_CUT,      /* the answer broke while it was passed on */
} attempt_outcome_t;

typedef struct attempt attempt_t;

/* The attempt is over, and its upstream's record is brought up to date. */
typedef void (*attempt_cb_t)(void *ctx, attempt_outcome_t outcome);

struct attempt {
    uv_loop_t *loop;
    const dialect_port_t *dialect;
    wire_request_t *req;
    str_t id;
    attempt_cb_t cb;
    void *ctx;
    backend_t *backend; /* NULL while no attempt is under way */
    wire_call_t *call;
    uint64_t sent_ms;
    bool sent;   /* bytes may have gone out; kept after the end */
    bool waited; /* sent to an upstream whose slots were all taken */
    bool head_seen;
    bool streaming;
    bool paused;
    bool recorded;    /* its outcome is in the upstream's health already */
    uint32_t slow_ms; /* an answer that takes longer counts as failed, 0 for no limit */
    answer_verdict_t verdict;
    int status;
    int64_t length;
    wire_text_t fields;
    wire_text_t body;
};

typedef struct {
    backend_t *backend;
    uint32_t left_ms; /* told to the upstream */
    bool repeatable;  /* else a fresher connection is wanted */
    bool waited;
    uint32_t slow_ms; /* an answer that takes longer counts as failed, 0 for no limit */
} attempt_conf_t;

/* `loop` to `ctx` must be set. */
void attempt_start(attempt_t *attempt, const attempt_conf_t *conf);
/* Takes how it goes into its upstream's health, once. */
void attempt_record(attempt_t *attempt, bool failed);
/* It takes far longer than usual, and not for having to wait or for a cold upstream. */
bool attempt_is_slow(const attempt_t *attempt);
/* Ends it without the callback; the connection is closed. */
void attempt_cancel(attempt_t *attempt);
/* The caller took all that was waiting. */
void attempt_caller_drained(attempt_t *attempt);
/* Passes the whole answer on, or its rest; the request is gone afterwards. */
void attempt_pass_on(attempt_t *attempt);
void attempt_free(attempt_t *attempt);
