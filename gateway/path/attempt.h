/*
 * Attempt: one request sent to one backend server, and its answer.
 *
 * Its outcome says what is certain: ATTEMPT_NOT_RUN only if no byte went out or the backend says
 * so. Small answers are collected before they are passed on, so that a broken one can still be
 * replaced; large ones are streamed under back-pressure. Reports what it sees to the backend: load,
 * breaker, health.
 * Owns the call to the backend and the buffered answer. Relies on wire/client.h for the connection,
 * on the dialect for the platform's header fields, on slow.h for what counts as slow.
 */
#pragma once

#include "gateway/ports.h"
#include "gateway/state/backend.h"
#include "wire/client.h"
#include "wire/listener.h"

typedef enum {
    ATTEMPT_ANSWERED, /* the backend's answer is complete */
    ATTEMPT_NOT_RUN,  /* the backend has certainly not run the request */
    ATTEMPT_UNKNOWN,  /* it may have run, and nothing was passed on */
    ATTEMPT_CUT,      /* the answer broke off while it was being passed on */
} attempt_outcome_t;

typedef struct attempt attempt_t;

/* The attempt has ended and its outcome is recorded at the backend. */
typedef void (*attempt_cb_t)(void *ctx, attempt_outcome_t outcome);
/* The head of an answer of the backend has come. `ran`: it answers a request that it ran. */
typedef void (*attempt_said_cb_t)(void *ctx, const backend_statement_t *said, bool ran);

struct attempt {
    uv_loop_t *loop;
    const dialect_port_t *dialect;
    wire_request_t *req;
    str_t id;
    str_t account;        /* name of the client account, empty for none */
    uint64_t fingerprint; /* of the request, for the log */
    attempt_said_cb_t on_said;
    attempt_cb_t cb;
    void *ctx;
    backend_t *backend; /* NULL while no attempt is under way */
    wire_call_t *call;
    uint64_t sent_ms;
    bool sent;   /* bytes may have gone out; kept after the end */
    bool closed; /* its connection was closed or reset by the other side; kept after the end */
    bool queued; /* the backend's slots were all taken when it was sent */
    bool head_seen;
    bool streaming;
    bool paused;
    bool full;        /* the answer told that all slots of the backend were taken */
    bool recorded;    /* its outcome is in the backend's health already */
    uint32_t slow_ms; /* from slow_after_ms(); 0 for no limit */
    answer_verdict_t verdict;
    int status;
    size_t received; /* bytes of answers, of all attempts */
    int64_t length;
    wire_text_t fields;
    wire_text_t body;
};

typedef struct {
    backend_t *backend;
    uint32_t left_ms; /* time that the backend has for its answer */
    bool repeatable;  /* else a fresher connection is used */
    bool queued;      /* all of the backend's slots are taken */
    bool again;       /* another attempt of the request has failed: what took its backend may have
                         taken this one, so its kept connections are looked at first */
    uint32_t slow_ms; /* from slow_after_ms(); 0 for no limit */
} attempt_conf_t;

/* Sends the request. The fields from `loop` to `ctx` must be set; the attempt may be used again
 * after it has ended. The exchange keeps a reference to the backend. */
void attempt_start(attempt_t *attempt, const attempt_conf_t *conf);
/* Records the outcome in the backend's health; at most once per attempt. */
void attempt_record(attempt_t *attempt, bool failed);
/* True if it is so slow that it counts as a failure of the backend. */
bool attempt_is_slow(const attempt_t *attempt);
/* Breaks it off without the callback and closes the connection. */
void attempt_cancel(attempt_t *attempt);
/* The caller has read what was buffered for it: the answer is read on. */
void attempt_caller_drained(attempt_t *attempt);
/* Passes the complete answer on, or the rest of it; the request is gone afterwards. */
void attempt_pass_on(attempt_t *attempt);
void attempt_free(attempt_t *attempt);
