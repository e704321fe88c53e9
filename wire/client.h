/*
 * HTTP/1.1 calls to numeric addresses over kept connections, with the http-parser library.
 *
 * The end of a call tells what the other side can have seen: before WIRE_SENT no byte of the
 * request was handed to a connection, so the request has certainly not run. Bytes after a whole
 * answer close the connection; an answer that belongs to another request is skipped, and the
 * connection is not used again.
 *
 * Owns the connections of a pool and the bytes of a call. Relies on libuv, on head.h for heads.
 */
#pragma once

#include <uv.h>

#include "base/addr.h"
#include "base/error.h"
#include "wire/head.h"

typedef struct wire_pool wire_pool_t;
typedef struct wire_call wire_call_t;

typedef enum {
    WIRE_UNSENT,   /* nothing was sent */
    WIRE_SENT,     /* bytes may have gone out */
    WIRE_HEAD,     /* the answer's head has arrived */
    WIRE_COMPLETE, /* the answer is whole */
} wire_stage_t;

typedef struct {
    wire_stage_t stage;
    err_t err;            /* ERR_NONE when whole */
    bool close_delimited; /* whole only because the connection ended */
    bool closed;          /* failed because the other side closed or reset the connection */
} wire_call_result_t;

typedef struct {
    /* True if the answer belongs to this call; optional. */
    bool (*matches)(void *ctx, const wire_head_t *head);
    /* `length` of the body, or WIRE_CHUNKED or WIRE_UNTIL_CLOSE. */
    void (*on_head)(void *ctx, const wire_head_t *head, int64_t length);
    void (*on_data)(void *ctx, const char *ptr, size_t len);
    void (*on_end)(void *ctx,
                   const wire_call_result_t *result); /* last; the call is gone after it */
} wire_call_cbs_t;

typedef struct {
    char *request; /* head and body from malloc; the call frees it */
    size_t request_len;
    uint64_t connect_timeout_ms;
    uint64_t timeout_ms; /* until the answer's first byte; 0 leaves all times to the caller */
    uint64_t
        read_timeout_ms; /* between two reads of the answer; 0: `timeout_ms` is for all of it */
    uint64_t total_timeout_ms; /* for the whole call, where `read_timeout_ms` is set */
    uint64_t idle_max_ms;      /* a kept connection that has rested longer is not used */
    bool head_method;          /* the request's method is HEAD */
    bool probe_before_reuse; /* a kept connection that the other side has closed is not used, though
                         the loop has not told yet; costs a system call */
} wire_call_conf_t;

/* A pool of connections to one address, made as calls need them. */
wire_pool_t *wire_pool_new(uv_loop_t *loop, const addr_t *addr, size_t max_connections);
/* Closes idle connections; the pool is freed once its calls have ended. */
void wire_pool_free(wire_pool_t *pool);
/* The bound holds for new connections; open ones stay. */
void wire_pool_set_max(wire_pool_t *pool, size_t max_connections);
const addr_t *wire_pool_addr(const wire_pool_t *pool);
/* Closes idle connections that have rested for `idle_ms`. */
void wire_pool_close_idle(wire_pool_t *pool, uint64_t idle_ms);

/* The callbacks are never called before wire_call_start() has returned. */
wire_call_t *wire_call_start(wire_pool_t *pool, const wire_call_conf_t *conf,
                             const wire_call_cbs_t *cbs, void *ctx);
/* Ends the call without on_end and closes its connection. */
void wire_call_cancel(wire_call_t *call);
/* The same for a call that got no answer in time: if nothing came on a kept connection, the pool's
 * other kept connections are closed too, since open ones may fall silent together. */
void wire_call_abort_on_timeout(wire_call_t *call);
/* Stops and restarts reading of the answer, for back-pressure. */
void wire_call_pause(wire_call_t *call);
void wire_call_resume(wire_call_t *call);
wire_stage_t wire_call_stage(const wire_call_t *call);
