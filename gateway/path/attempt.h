/*
 * Attempt: one request sent to one backend server, and its response.
 *
 * The outcome is ATTEMPT_NOT_RUN only if no byte was sent or the backend says that it did not
 * execute the request. Small responses are buffered before they are forwarded, so that a broken
 * one can still be replaced; large ones are streamed with back-pressure. Reports load, failures
 * and health to the backend's state.
 * Owns the call to the backend and the buffered response. Relies on wire/client.h for the
 * connection, on the dialect for the platform's header fields, on slow.h for the threshold of
 * slow attempts.
 * With `via_peer` the request goes to another instance, which sends it on (transit.h).
 */
#pragma once

#include "gateway/path/transit_fields.h"
#include "gateway/ports.h"
#include "gateway/state/backend.h"
#include "wire/client.h"
#include "wire/listener.h"

typedef enum {
    ATTEMPT_ANSWERED,  /* the response is complete */
    ATTEMPT_NOT_RUN,   /* the backend certainly did not execute the request */
    ATTEMPT_UNKNOWN,   /* it may have been executed; nothing was forwarded */
    ATTEMPT_TRUNCATED, /* the response broke off while it was being forwarded */
} attempt_outcome_t;

typedef struct attempt attempt_t;

/* Called when the attempt has ended; its outcome is already recorded for the backend. */
typedef void (*attempt_cb_t)(void *ctx, attempt_outcome_t outcome);
/* Called with the notices in the head of a response. `ran`: the backend executed the request. */
typedef void (*attempt_notice_cb_t)(void *ctx, const backend_statement_t *statement, bool ran);

struct attempt {
    uv_loop_t *loop;
    const dialect_port_t *dialect;
    wire_request_t *req;
    str_t id;
    str_t account;        /* name of the client account, empty if none */
    uint64_t fingerprint; /* of the request, for the log */
    attempt_notice_cb_t on_notice;
    attempt_cb_t cb;
    void *ctx;
    backend_t *backend; /* NULL while no attempt is in progress */
    wire_call_t *call;
    uint64_t sent_ms;
    uint64_t head_ms; /* loop time of the head of the response; 0 before */
    bool sent;        /* bytes may have been sent; kept after the end */
    bool closed;      /* the other side closed or reset the connection; kept after the end */
    bool via_peer;    /* `backend` stands for an instance (transit.h) */
    bool reused;      /* of the connection; kept after the end */
    bool link_failed; /* the connection did not come up, or acknowledged nothing */
    bool queued;      /* all slots of the backend were in use when it was sent */
    bool head_seen;
    bool streaming;
    bool paused;             /* reading waits for the caller */
    uint64_t paused_from_ms; /* loop time of that */
    uint64_t paused_ms;      /* of earlier pauses since the request was sent */
    bool slots_full;         /* the response reported that all slots of the backend are in use */
    bool recorded;           /* the outcome is recorded in the backend's health */
    uint32_t slow_ms;        /* from slow_after_ms(); 0 if no limit */
    transit_report_t report; /* of the peer, with `via_peer` */
    response_verdict_t verdict;
    int status;
    size_t discarded; /* bytes of a body that is not forwarded */
    size_t received;  /* bytes of responses, over all attempts */
    int64_t length;
    wire_text_t fields;
    wire_text_t body;
};

typedef struct {
    backend_t *backend;
    uint32_t left_ms; /* time left for the response */
    bool repeatable;  /* otherwise only a recently used connection is taken */
    bool queued;      /* all slots of the backend are in use */
    bool is_retry; /* an earlier attempt failed: kept connections are checked before use, since the
                      cause may affect this backend too */
    uint32_t slow_ms; /* from slow_after_ms(); 0 if no limit */
    bool via_peer;    /* `backend` stands for an instance (transit.h) */
    str_t fields;     /* header lines added to the request */
} attempt_conf_t;

/* True if the backend server turned the request away because it was full. */
bool attempt_found_no_room(const attempt_t *attempt);
/* Ends the request if its caller has closed the connection; returns true if so. Called before each
 * send: a loop that is late reads a request, or comes to a retry, before the close behind it. */
bool attempt_end_if_abandoned(attempt_t *attempt);
/* Sends the request. The fields from `loop` to `ctx` must be set. The struct can be reused once the
 * attempt has ended. The exchange must hold a reference to the backend. */
void attempt_start(attempt_t *attempt, const attempt_conf_t *conf);
/* Time in milliseconds since the request was sent, without that in which the caller did not read.
 */
uint64_t attempt_elapsed_ms(const attempt_t *attempt);
/* True if the caller kept the backend waiting for so long that the end of the attempt says nothing
 * about the backend. */
bool attempt_waited_for_caller(const attempt_t *attempt);
/* Records the outcome in the backend's health, at most once per attempt. */
void attempt_record(attempt_t *attempt, bool failed);
/* Returns true if the attempt is slow enough to count as a failure of the backend. */
bool attempt_is_slow(const attempt_t *attempt);
/* True if the head of the response says that the request was not executed. */
bool attempt_says_not_run(const attempt_t *attempt);
/* Cancels the attempt without calling the callback and closes the connection. */
void attempt_cancel(attempt_t *attempt);
/* Resumes reading the response after the caller has drained its send buffer. */
void attempt_on_caller_drained(attempt_t *attempt);
/* Forwards the response or the rest of it; the request must not be used afterwards. */
void attempt_forward_response(attempt_t *attempt);
void attempt_free(attempt_t *attempt);
