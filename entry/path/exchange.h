/*
 * One request of a caller, from admission to its last byte: its state and its lifetime.
 *
 * The files of this folder work on it in one direction: serve.c, arrival.c (start), claims.c
 * (keys), outcome.c (what becomes of attempts), route.c (where it goes), local.c (to a place of
 * this region), remote.c (to another entry), waiting.c (to the queue), attempt.c (one try),
 * answer.c (what the caller gets). Freed once its caller, its attempts and its claim are gone.
 * Relies on node_state.h.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "base/trace.h"
#include "entry/node_state.h"

enum {
    ATTEMPTS_MAX = 2,    /* at once: one, and a hedge */
    REQUEST_ID_MAX = 80, /* bytes of an id, with its end */
};

typedef struct attempt attempt_t;

/* Lives in the request's memory pool; tells the exchange when the request is gone. */
typedef struct {
    h2o_generator_t generator;
    exchange_t *exchange; /* NULL once either is gone */
} responder_t;

typedef struct {
    bool whole;   /* the answer is complete */
    bool sent;    /* bytes of the request may have gone out */
    bool not_run; /* the other side said so, or nothing was sent */
    bool unknown; /* another entry said that it does not know whether the request ran */
    bool timed_out;
    int status;
} attempt_result_t;

/* What an attempt tells its exchange. */
typedef struct {
    /* False if the answer is not wanted: another attempt has won. */
    bool (*on_head)(exchange_t *x, attempt_t *attempt, const http_head_t *head);
    void (*on_data)(exchange_t *x, attempt_t *attempt, const char *ptr, size_t len);
    void (*on_end)(exchange_t *x, attempt_t *attempt, const attempt_result_t *result);
} attempt_cbs_t;

typedef struct {
    char *ptr;
    size_t len;
    size_t size;
} byte_buf_t;

typedef enum { OUTCOME_NOT_RUN, OUTCOME_UNKNOWN, OUTCOME_RAN } outcome_t;

typedef enum {
    HOP_CALLER, /* came from a caller */
    HOP_ENTRY,  /* came from another entry that has no room or no share */
    HOP_OWNER,  /* came from another entry: this one owns the key */
} hop_t;

struct exchange {
    node_t *node;
    h2o_req_t *req; /* NULL once the caller is gone */
    responder_t *responder;
    char id[REQUEST_ID_MAX];
    name_t service;
    table_class_t class_;
    hop_t hop;
    trace_t trace;
    uint64_t started_us;
    uint64_t started_ms;
    uint64_t deadline_ms; /* steady */
    uint64_t deadline_wall_ms;

    char *head; /* request head lines to pass on, after the request line */
    char *line; /* "METHOD PATH HTTP/1.1\r\n" */
    char *body;
    size_t body_len;
    bool head_method;

    key_record_t *record; /* of a keyed request that this instance runs */
    char key[KEY_TEXT_MAX];

    const attempt_cbs_t *attempt_cbs;
    attempt_t *attempts[ATTEMPTS_MAX];
    attempt_t *winner;
    const backend_t *tried;
    unsigned tries;
    bool may_have_run;
    bool at_owner; /* sent to the entry that owns its key: no other may run it */
    bool hedged;
    bool answered; /* with an error or a recorded outcome; only its disposal is left */
    bool head_sent;
    bool answer_whole;
    bool answer_cut;
    bool sending;
    bool paused_by_link;
    byte_buf_t filling;
    byte_buf_t flying;
    const char *refusal; /* why there was no room at the last try */

    int status;     /* of the answer being passed on */
    bool resolving; /* a claim is being looked at in the store */
    bool queued;
    uint64_t queue_until_ms;
    exchange_t *queue_next;
    exchange_t *prev; /* among all of the node */
    exchange_t *next;
};

/* A new exchange among those of the node. */
exchange_t *exchange_new(node_t *node, h2o_req_t *req);
bool exchange_has_attempts(const exchange_t *x);
/* Frees it if nothing needs it any more. */
void exchange_free_if_done(exchange_t *x);
/* Closes the record of its key, if it has one, with that state and the answer's status. */
void exchange_set_record(exchange_t *x, key_state_t state, int status);
/* What is measured of its request class; NULL if there are too many classes. */
class_stats_t *exchange_class_stats(exchange_t *x);
