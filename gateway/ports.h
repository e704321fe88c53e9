/*
 * Ports: interfaces of the gateway to the platform it runs on, as structs of functions.
 *
 * platform/ implements them for the users' platform; the gateway itself knows no header field,
 * object kind or object field of a platform. Implementations translate and make no decisions.
 * Relies on wire/head.h for the heads of requests and responses.
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
    VIEW_CONFIG,                   /* operators' configuration */
    VIEW_BACKENDS,                 /* list of backend servers */
    VIEW_CLOSURES,                 /* data halls closed to requests */
    VIEW_ROLLOUTS,                 /* orders to move a service to another software version */
    VIEW_INSTANCES,                /* instances of this system */
    VIEW_WATCHED = VIEW_INSTANCES, /* kinds below this value are watched continuously */
} view_kind_t;

/* Where a roll-out stands. */
typedef enum {
    ROLLOUT_NONE, /* nothing recorded for the ordered version */
    ROLLOUT_RUNNING,
    ROLLOUT_COMPLETED,
    ROLLOUT_ROLLED_BACK,
} rollout_state_t;

/* An object of the store. The strings are owned by the code that passes the item. */
typedef struct {
    str_t name;
    uint64_t revision; /* of the last change: from the store port its revision, else a position */
    bool gone;         /* in changes: the object was removed */
    str_t body;        /* input of the decoder */
} store_item_t;

typedef enum {
    STORE_OK,
    STORE_HISTORY_GONE, /* the watch must restart from a list */
    STORE_CONFLICT,     /* the object already exists or was changed */
    STORE_REFUSED,      /* not executed: rate limit exceeded, or this instance is refused */
    STORE_FAILED,       /* no response; a write may still take effect */
    STORE_UNUSABLE,     /* unusable response: too large, malformed or unexpected status */
} store_outcome_t;

typedef struct {
    store_outcome_t outcome;
    err_t err;                 /* error detail unless STORE_OK */
    const store_item_t *items; /* valid during the callback */
    size_t item_count;
    bool more;    /* the list continues after its last item */
    uint64_t at;  /* store revision of the response */
    uint64_t era; /* of the store's history, that the response names; 0: none */
} store_answer_t;

typedef void (*store_cb_t)(void *ctx, const store_answer_t *answer);

/* Each call invokes its callback exactly once, never before the call has returned. */
typedef struct {
    /* Lists the objects of a kind whose names follow `after`. `timeout_ms`: time until the first
     * byte of the answer; a shorter one than the adapter's own is raised to that. */
    void (*list)(void *ctx, view_kind_t kind, str_t after, uint32_t timeout_ms, store_cb_t cb,
                 void *cb_ctx);
    /* Waits up to `wait_ms` for changes of a kind after revision `from`; none if the time runs out.
     * The first byte of the answer may come `timeout_ms` later. */
    void (*watch)(void *ctx, view_kind_t kind, uint64_t from, uint32_t wait_ms, uint32_t timeout_ms,
                  store_cb_t cb, void *cb_ctx);
    /* Creates an object of VIEW_INSTANCES. */
    void (*announce)(void *ctx, str_t name, str_t address, str_t hall, store_cb_t cb, void *cb_ctx);
    /* Records the state of an object of VIEW_ROLLOUTS, unless its revision is no longer `revision`:
     * STORE_CONFLICT. */
    void (*record_rollout)(void *ctx, str_t name, uint64_t revision, rollout_state_t state,
                           str_t version, store_cb_t cb, void *cb_ctx);
    void *ctx;
} store_port_t;

/* ---- stored objects ---- */

enum { ROLLOUT_VERSION_MAX = 63 }; /* bytes of a software version's name */

/* An order to move the traffic of a service to the backend servers of one software version. */
typedef struct {
    name_t service;
    char version_name[ROLLOUT_VERSION_MAX + 1];
    uint64_t version; /* as in backend_info_t */
    uint32_t duration_ms;
    rollout_state_t recorded; /* in the store, for this version */
} rollout_order_t;

typedef struct {
    /* Returns a new reference, or NULL with an error if the object is invalid. */
    config_t *(*config)(str_t body, err_t *err);
    bool (*backend)(str_t name, str_t body, backend_info_t *out, err_t *err);
    /* Decodes an order. `out` holds what could be read of an invalid one. */
    bool (*rollout)(str_t body, rollout_order_t *out, err_t *err);
    /* Decodes an instance's peer address and data hall. */
    bool (*instance)(str_t body, addr_t *out, name_t *hall, err_t *err);
} decoder_port_t;

/* ---- requests and responses ---- */

/* Number of account keys in a request. */
typedef enum {
    KEY_NONE,
    KEY_SINGLE,
    KEY_MULTIPLE, /* ambiguous: the account cannot be determined */
} key_presence_t;

/* Metadata of a caller's request. Strings point into the head. */
typedef struct {
    str_t id;  /* id of the caller's attempt */
    str_t key; /* key of a client account; never logged or forwarded */
    key_presence_t key_form;
    str_t object; /* object that the request is about; empty if not stated */
    bool has_deadline;
    uint32_t deadline_ms; /* time the caller waits */
} request_metadata_t;

/* Metadata added to a request for a backend server. */
typedef struct {
    str_t backend; /* id of the intended backend */
    str_t account; /* name of the client account, empty if none */
    uint32_t left_ms;
} forward_metadata_t;

typedef enum {
    VERDICT_RESPONSE,    /* response of the backend, to be forwarded */
    VERDICT_NOT_RUN,     /* the backend reports that it did not execute the request */
    VERDICT_MISDIRECTED, /* the address belongs to another backend; not executed */
    VERDICT_INVALID,     /* not a valid response of the protocol */
} response_verdict_t;

typedef struct {
    void (*read_request)(const wire_head_t *head, request_metadata_t *out);
    /* Appends the header fields for a backend, except body framing, which the gateway adds. Keys
     * are removed, and the account field of the caller is replaced by the account's name, empty if
     * none. */
    void (*write_request)(const wire_head_t *head, const forward_metadata_t *terms,
                          wire_text_t *out);
    /* Returns true if the response belongs to the request with this id. */
    bool (*answers)(const wire_head_t *head, str_t id);
    response_verdict_t (*judge)(const wire_head_t *head);
    /* Returns false if the response reports no load. */
    bool (*load)(const wire_head_t *head, reported_load_t *out);
    /* Name of the field that holds the id of the backend in a response on the health path. */
    str_t probed_id;
    /* Reads the notices in a response. */
    void (*notice)(const wire_head_t *head, backend_statement_t *out);
    /* Appends the header fields of a response for the caller. */
    void (*write_response)(const wire_head_t *head, wire_text_t *out);
    /* Appends the header fields of a response generated by the gateway. `retry_ms` 0 omits the
     * retry time. */
    void (*write_gateway_response)(str_t id, uint32_t retry_ms, wire_text_t *out);
} dialect_port_t;

/* ---- directory and readiness ---- */

/* Strings point into the head; empty if not given. */
typedef struct {
    str_t service;
    str_t region;
    str_t hall;
} directory_query_t;

typedef struct {
    bool (*is_readiness_query)(const wire_head_t *head);
    bool (*read_query)(const wire_head_t *head, directory_query_t *out);
    /* Appends header fields and body. `ttl_s` is the time in seconds for which the caller may cache
     * the response. */
    void (*write_addresses)(const addr_t *addrs, size_t count, double ttl_s, wire_text_t *fields,
                            wire_text_t *body);
} directory_port_t;
