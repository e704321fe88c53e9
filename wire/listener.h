/*
 * HTTP/1.1 server on libuv and http-parser.
 *
 * libh2o's server is not used here: it does not read from a connection while a request is being
 * handled, so it cannot detect a disconnect; it has a single timeout for slow heads and idle
 * connections; and it cannot close idle connections on shutdown.
 *
 * A connection handles one request at a time. The handler gets the complete request and responds
 * with wire_respond_*(). A request lives until its response has ended, it was aborted, or the
 * client has disconnected.
 *
 * A client that does not pipeline either gets a response to its request or knows that the request
 * was not read: the announced Keep-Alive timeout is one second below the actual one, and an idle
 * connection is closed only after pending input has been read.
 */
#pragma once

#include <uv.h>

#include "base/addr.h"
#include "base/error.h"
#include "wire/head.h"

typedef struct wire_listener wire_listener_t;
typedef struct wire_request wire_request_t;

typedef struct {
    size_t max_head;          /* bytes; larger heads get 431 */
    size_t max_body;          /* bytes; larger bodies get 413 */
    uint64_t head_timeout_ms; /* from a request's first byte to its last */
    uint64_t idle_timeout_ms; /* between requests */
    size_t max_connections;   /* connections above the limit are closed immediately */
    size_t max_bodies; /* bytes of request bodies over all connections; a single one may exceed it.
                          0: none */
    /* Time without any byte taken by the client after which a response is given up; 0: 5 s. */
    uint64_t stall_timeout_ms;
} wire_limits_t;

typedef void (*wire_handler_t)(void *ctx, wire_request_t *req);

struct wire_request {
    wire_head_t head;
    char *body;
    size_t body_len;
    uint64_t begun_ms; /* loop time at its first byte */
    addr_t caller;     /* peer address of the connection */
    /* Set by the handler. Called once if the client disconnects before the response has ended; the
     * request is freed afterwards. */
    void (*on_disconnect)(void *ctx);
    /* Called when all buffered response bytes have been written. */
    void (*on_drain)(void *ctx);
    void *ctx;
};

wire_listener_t *wire_listener_start(uv_loop_t *loop, const addr_t *addr,
                                     const wire_limits_t *limits, wire_handler_t handler, void *ctx,
                                     err_t *err);
uint16_t wire_listener_port(const wire_listener_t *listener);
/* Applies to open connections too, but a shorter idle timeout takes effect on them only with their
 * next response. */
void wire_listener_set_limits(wire_listener_t *listener, const wire_limits_t *limits);
size_t wire_listener_connections(const wire_listener_t *listener);
/* Response bytes of all connections that are not yet written to the socket. */
size_t wire_listener_held(const wire_listener_t *listener);
/* Bytes held for request bodies of all connections, announced lengths included. */
size_t wire_listener_bodies(const wire_listener_t *listener);
/* Adds "Connection: close" to all further responses. */
void wire_listener_drain(wire_listener_t *listener);
/* Accepts the connections in the backlog, then closes the listening socket. */
void wire_listener_stop_accepting(wire_listener_t *listener);
/* False after the listening socket has been closed. */
bool wire_listener_is_accepting(const wire_listener_t *listener);
/* Closes the connections with unfinished responses before the process exits, such that the client
 * can detect the truncation. on_disconnect is not called. */
void wire_listener_abort_responses(wire_listener_t *listener);
/* From now on closes connections that have been idle for `idle_ms`. */
void wire_listener_close_idle(wire_listener_t *listener, uint64_t idle_ms);

/* True if the client has closed its connection, which the loop has not read yet. */
bool wire_request_is_abandoned(const wire_request_t *req);
/* Closes the connection of such a request and calls its on_disconnect. */
void wire_request_abandon(wire_request_t *req);

/* Starts a response. `fields` holds complete header lines; `length` may be WIRE_CHUNKED or
 * WIRE_UNTIL_CLOSE: the response is then sent in chunks, to an HTTP/1.0 client up to the close.
 * With WIRE_UNTIL_CLOSE the connection is closed after it. */
void wire_respond_head(wire_request_t *req, int status, str_t fields, int64_t length);
void wire_respond_data(wire_request_t *req, const char *ptr, size_t len);
/* Writes buffered bytes to the socket. */
void wire_respond_flush(wire_request_t *req);
/* Ends the response; `req` is invalid afterwards. */
void wire_respond_end(wire_request_t *req);
/* Closes the connection during a response, such that the client can detect the truncation. */
void wire_respond_abort(wire_request_t *req);
/* Sends a complete response; `req` is invalid afterwards. */
void wire_respond(wire_request_t *req, int status, str_t fields, str_t body);
/* Response bytes not yet written to the socket. */
size_t wire_respond_backlog(const wire_request_t *req);
/* The same of all connections of the request's listener. */
size_t wire_respond_total_backlog(const wire_request_t *req);
