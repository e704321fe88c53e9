/*
 * HTTP/1.1 client for numeric addresses with keep-alive connections, on http-parser.
 *
 * The stage of a finished call tells what the server may have received: below WIRE_SENT no byte of
 * the request was written, so the request was certainly not processed. Bytes after a complete
 * response close the connection. A response that belongs to another request is skipped and its
 * connection is not reused. What is skipped before a response is bounded, as is its head.
 */
#pragma once

#include <uv.h>

#include "base/addr.h"
#include "base/error.h"
#include "wire/head.h"

typedef struct wire_pool wire_pool_t;
typedef struct wire_call wire_call_t;

typedef enum {
    WIRE_UNSENT,   /* no byte was written */
    WIRE_SENT,     /* bytes may have been sent */
    WIRE_HEAD,     /* the response head was received */
    WIRE_COMPLETE, /* the response is complete */
} wire_stage_t;

typedef struct {
    wire_stage_t stage;
    err_t err;            /* ERR_NONE if the response is complete */
    bool close_delimited; /* end of the response marked by the close */
    bool closed;          /* failed on a close or reset by the server */
    bool reused;          /* the connection had been used by an earlier call */
    bool over_limit;      /* failed as the pool may open no further connection */
    bool timed_out;       /* the connection did not come up, or nothing was acknowledged */
} wire_call_result_t;

typedef struct {
    /* Optional. True if the response belongs to this call. */
    bool (*matches)(void *ctx, const wire_head_t *head);
    /* Optional. Upper bound of the next read of the response, in bytes, above 0. */
    size_t (*read_max)(void *ctx);
    /* Optional. Called when a new connection has come up, before the request is written; returns
     * false if it has cancelled the call. */
    bool (*on_connected)(void *ctx);
    /* `length` is the body length, WIRE_CHUNKED or WIRE_UNTIL_CLOSE. */
    void (*on_head)(void *ctx, const wire_head_t *head, int64_t length);
    void (*on_data)(void *ctx, const char *ptr, size_t len);
    /* Optional. Called after the data of one read, if the call has not ended. */
    void (*on_read_end)(void *ctx);
    /* Last callback; the call is freed afterwards. */
    void (*on_end)(void *ctx, const wire_call_result_t *result);
} wire_call_cbs_t;

typedef struct {
    char *request; /* head and body, allocated with malloc; the call takes ownership */
    size_t request_len;
    uint64_t connect_timeout_ms;
    uint64_t timeout_ms; /* until the first byte of the response; 0: no timeouts */
    /* Between two reads of the response; 0: `timeout_ms` covers the whole call. */
    uint64_t read_timeout_ms;
    uint64_t total_timeout_ms; /* for the whole call; used only with `read_timeout_ms` */
    uint64_t idle_max_ms;      /* connections idle for longer are not reused */
    bool head_method;          /* the request's method is HEAD */
    /* Checks an idle connection with recv(MSG_PEEK) before reusing it, which detects a close that
     * the loop has not reported yet. */
    bool probe_before_reuse;
} wire_call_conf_t;

/* A pool of connections to one address, opened on demand. */
wire_pool_t *wire_pool_new(uv_loop_t *loop, const addr_t *addr, size_t max_connections);
/* Closes idle connections; the pool is freed after its last call has ended. */
void wire_pool_free(wire_pool_t *pool);
/* True if the pool has no connection. */
bool wire_pool_is_empty(const wire_pool_t *pool);
/* Limits new connections; open ones are kept. */
void wire_pool_set_max(wire_pool_t *pool, size_t max_connections);
const addr_t *wire_pool_addr(const wire_pool_t *pool);
/* Closes connections that have been idle for more than `idle_ms`. */
void wire_pool_close_idle(wire_pool_t *pool, uint64_t idle_ms);

/* Bytes of the requests that calls of all pools hold, because they are not written yet. */
size_t wire_client_request_bytes(void);

/* Callbacks never run before wire_call_start() has returned. */
wire_call_t *wire_call_start(wire_pool_t *pool, const wire_call_conf_t *conf,
                             const wire_call_cbs_t *cbs, void *ctx);
/* Closes the connection and frees the call without calling on_end. */
void wire_call_cancel(wire_call_t *call);
/* Like wire_call_cancel(), for a call that timed out. If a reused connection received nothing, the
 * pool's idle connections are closed too, because they are likely to be dead as well. */
void wire_call_abort_on_timeout(wire_call_t *call);
/* Ends the call as an invalid response: on_end is called, and the connection is closed. */
void wire_call_reject(wire_call_t *call, const char *why);
/* Pauses and resumes reading of the response, for back-pressure. */
void wire_call_pause(wire_call_t *call);
void wire_call_resume(wire_call_t *call);
wire_stage_t wire_call_stage(const wire_call_t *call);
