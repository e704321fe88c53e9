/*
 * Ports: what the gateway asks of the platform that it runs on, as structs of functions.
 *
 * platform/ implements them for the users' platform; the gateway knows no header, kind or field of
 * a platform. Implementations translate and decide nothing. Relies on wire/head.h for the heads of
 * requests and answers.
 */
#pragma once

#include "base/addr.h"
#include "base/error.h"
#include "gateway/state/backend.h"
#include "gateway/state/config.h"
#include "gateway/state/notices.h"
#include "wire/head.h"

/* ---- the store ---- */

/* Kinds of objects in the store. */
typedef enum {
    VIEW_CONFIG,                   /* the operators' configuration */
    VIEW_BACKENDS,                 /* the list of backend servers */
    VIEW_CLOSURES,                 /* data halls that must get no requests */
    VIEW_INSTANCES,                /* the instances of this system */
    VIEW_WATCHED = VIEW_INSTANCES, /* kinds below this one are watched all the time */
} view_kind_t;

/* One object as the store gives it. The texts belong to whoever passes the item. */
typedef struct {
    str_t name;
    uint64_t revision; /* of its last change */
    bool gone;         /* in changes: it was removed */
    str_t body;        /* for the decoder */
} store_item_t;

typedef enum {
    STORE_OK,
    STORE_HISTORY_GONE, /* the watch must start again from a list */
    STORE_CONFLICT,     /* the object is there already or was changed */
    STORE_REFUSED,      /* not done: over the rate, or this instance is refused */
    STORE_FAILED,       /* no answer; a write may have been done or be done later */
    STORE_UNUSABLE,     /* an answer of no use: too large, malformed, of an unexpected status */
} store_outcome_t;

typedef struct {
    store_outcome_t outcome;
    err_t err;                 /* the detail unless STORE_OK */
    const store_item_t *items; /* valid during the callback */
    size_t item_count;
    bool more;   /* a list goes on after its last item */
    uint64_t at; /* the store's revision */
} store_answer_t;

typedef void (*store_cb_t)(void *ctx, const store_answer_t *answer);

/* Each call is answered once; never before it has returned. */
typedef struct {
    /* Lists a kind, from the first name after `after` on. */
    void (*list)(void *ctx, view_kind_t kind, str_t after, store_cb_t cb, void *cb_ctx);
    /* Changes of a kind after revision `from`, as soon as there are any, or none after `wait_ms`.
     */
    void (*watch)(void *ctx, view_kind_t kind, uint64_t from, uint32_t wait_ms, store_cb_t cb,
                  void *cb_ctx);
    /* Makes an object of VIEW_INSTANCES. */
    void (*announce)(void *ctx, str_t name, str_t address, str_t hall, store_cb_t cb, void *cb_ctx);
    void *ctx;
} store_port_t;

/* ---- the objects ---- */

typedef struct {
    /* NULL with an error if it breaks a rule; the caller gets a reference. */
    config_t *(*config)(str_t body, err_t *err);
    bool (*backend)(str_t name, str_t body, backend_info_t *out, err_t *err);
    /* An instance's address for its peers, and its data hall. */
    bool (*instance)(str_t body, addr_t *out, name_t *hall, err_t *err);
} decoder_port_t;

/* ---- requests and answers ---- */

/* The key that a request brings. */
typedef enum {
    KEY_NONE,
    KEY_ONE,
    KEY_SEVERAL, /* whose request it is cannot be told */
} key_form_t;

/* What a request says beside its method, target and body. Texts point into the head. */
typedef struct {
    str_t id;  /* of this attempt of the caller's */
    str_t key; /* of a client account; it goes to no log and no backend server */
    key_form_t key_form;
    str_t object; /* what the request is about; empty if it does not say */
    bool has_deadline;
    uint32_t deadline_ms; /* time that the caller waits */
} caller_terms_t;

/* What a backend server is told beside the request. */
typedef struct {
    str_t backend; /* id that the request is meant for */
    str_t account; /* name of the client account, empty for none */
    uint32_t left_ms;
} backend_terms_t;

typedef enum {
    VERDICT_ANSWER,      /* the backend's answer, to be passed on */
    VERDICT_NOT_RUN,     /* the backend says that it did not run the request */
    VERDICT_MISDIRECTED, /* another backend has the address; not run */
    VERDICT_BAD,         /* not an answer of the protocol */
} answer_verdict_t;

typedef struct {
    void (*read_request)(const wire_head_t *head, caller_terms_t *out);
    /* Appends the request's fields for a backend; the body's framing is added by the gateway. Keys
     * are left out, and the client account's name stands in place of what the caller sent: empty
     * for none. */
    void (*write_request)(const wire_head_t *head, const backend_terms_t *terms, wire_text_t *out);
    /* True if the answer belongs to the request with that id. */
    bool (*answers)(const wire_head_t *head, str_t id);
    answer_verdict_t (*judge)(const wire_head_t *head);
    /* False if the answer reports no load. */
    bool (*load)(const wire_head_t *head, reported_load_t *out);
    /* What the answer says beside it. */
    void (*notice)(const wire_head_t *head, backend_statement_t *out);
    /* Appends the answer's fields for the caller. */
    void (*write_answer)(const wire_head_t *head, wire_text_t *out);
    /* Appends the fields of an answer of the gateway's own; `retry_ms` 0 leaves out when to come
     * back. */
    void (*write_own_answer)(str_t id, uint32_t retry_ms, wire_text_t *out);
} dialect_port_t;

/* ---- the directory and readiness ---- */

/* Texts point into the head; empty where the question does not say. */
typedef struct {
    str_t service;
    str_t region;
    str_t hall;
} directory_question_t;

typedef struct {
    bool (*is_ready_question)(const wire_head_t *head);
    bool (*read_question)(const wire_head_t *head, directory_question_t *out);
    /* Appends fields and body; `ttl_s` is how long, in seconds, the caller may keep the answer. */
    void (*write_addresses)(const addr_t *addrs, size_t count, double ttl_s, wire_text_t *fields,
                            wire_text_t *body);
} directory_port_t;
