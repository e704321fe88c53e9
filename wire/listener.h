/*
 * An HTTP/1.1 listener on libuv with the http-parser library.
 *
 * libh2o's server is not used on the request path: it does not read a connection while a handler
 * works (a caller that leaves goes unnoticed), has one timeout for slow heads and idle
 * connections, and cannot close idle connections on a planned stop
 * (docs/design/gateway/overview.md).
 *
 * Owns the connections and the requests that are not answered yet. Relies on libuv; server_conn.h,
 * request_reader.h and respond.c are inside of it.
 *
 * One request a connection at a time. The handler is called with the whole request and answers
 * through wire_respond_*(). The request lives until the answer has ended, was aborted, or the
 * caller has left, whichever comes first.
 *
 * What a caller with one request at a time sends is answered, or was not read, as long as the
 * process goes on: answers announce for how long their connection may be used again, a second less
 * than it is kept; a resting connection is closed in one step, and only after the loop has read
 * what has come.
 */
#pragma once

#include <uv.h>

#include "base/addr.h"
#include "base/error.h"
#include "wire/head.h"

typedef struct wire_listener wire_listener_t;
typedef struct wire_request wire_request_t;

typedef struct {
    size_t max_head;          /* bytes; larger ones get 431 */
    size_t max_body;          /* bytes; larger ones get 413 */
    uint64_t head_timeout_ms; /* from a request's first byte to its last */
    uint64_t idle_timeout_ms; /* between requests */
    size_t max_connections;   /* further ones are closed at once */
} wire_limits_t;

typedef void (*wire_handler_t)(void *ctx, wire_request_t *req);

struct wire_request {
    wire_head_t head;
    char *body;
    size_t body_len;
    uint64_t begun_ms; /* loop time of its first byte */
    addr_t caller;     /* where its connection comes from */
    /* Set by the handler. Called once if the caller leaves before the answer ended; the request
     * is gone when it returns. */
    void (*on_disconnect)(void *ctx);
    /* Called when the answer's backlog has been written. */
    void (*on_drain)(void *ctx);
    void *ctx;
};

wire_listener_t *wire_listener_start(uv_loop_t *loop, const addr_t *addr,
                                     const wire_limits_t *limits, wire_handler_t handler, void *ctx,
                                     err_t *err);
uint16_t wire_listener_port(const wire_listener_t *listener);
/* New limits, also for connections that are open; but these may rest for as long as was allowed at
 * their last answer. */
void wire_listener_set_limits(wire_listener_t *listener, const wire_limits_t *limits);
size_t wire_listener_connections(const wire_listener_t *listener);
/* From now on every answer asks the caller to close its connection. */
void wire_listener_drain(wire_listener_t *listener);
/* Accepts the connections that wait, then closes the port. */
void wire_listener_stop_accepting(wire_listener_t *listener);
/* False once connections that waited have been accepted and no more are. */
bool wire_listener_is_accepting(const wire_listener_t *listener);
/* Closes the connections with answers under way, so that a cut answer does not look whole: the
 * process is about to end. Their handlers are not told. */
void wire_listener_abort_responses(wire_listener_t *listener);
/* From now on closes the connections on which no request has begun for this time. */
void wire_listener_close_idle(wire_listener_t *listener, uint64_t idle_ms);

/* Starts an answer. `fields` are whole header lines; `length` may be WIRE_CHUNKED or
 * WIRE_UNTIL_CLOSE. */
void wire_respond_head(wire_request_t *req, int status, str_t fields, int64_t length);
void wire_respond_data(wire_request_t *req, const char *ptr, size_t len);
/* Hands what is buffered to the socket. */
void wire_respond_flush(wire_request_t *req);
/* Ends the answer; `req` is gone afterwards. */
void wire_respond_end(wire_request_t *req);
/* Closes the connection in the middle of an answer, so that it does not look whole. */
void wire_respond_abort(wire_request_t *req);
/* A whole answer; `req` is gone afterwards. */
void wire_respond(wire_request_t *req, int status, str_t fields, str_t body);
/* Bytes not yet taken by the socket. */
size_t wire_respond_backlog(const wire_request_t *req);
