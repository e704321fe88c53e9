/*
 * Client connections and their pool; internal to the HTTP client.
 *
 * Dependencies between its files go in this direction only: client.c (public interface),
 * client_connect.c, client_call.c (calls), client_response.c (responses), pool.c (connections).
 */
#pragma once

#include <http_parser.h>

#include "wire/body.h"
#include "wire/client.h"

typedef struct client_conn client_conn_t;

struct wire_pool {
    uv_loop_t *loop;
    addr_t addr;
    size_t max;
    size_t idle_count;
    size_t busy_count;
    client_conn_t *idle; /* most recently used first */
    unsigned holds;      /* functions in progress that use the pool afterwards */
    bool freed;
};

struct client_conn {
    uv_tcp_t tcp;
    uv_connect_t connect;
    uv_write_t write;
    uv_timer_t timer; /* connect and call timeouts, deferred failures */
    int open_handles;
    wire_pool_t *pool;
    client_conn_t *next;
    http_parser parser;
    wire_head_t head;
    wire_body_t body;
    wire_call_t *call;
    uint64_t opened_ms;
    uint64_t connect_ms;     /* time that the connection took to come up */
    uint64_t ack_timeout_ms; /* in force; 0: none yet */
    uint64_t idle_since_ms;
    uint64_t keep_alive_ms; /* the server's Keep-Alive timeout, 0 if none */
    char *request;          /* of the call, until it is written; NULL afterwards */
    size_t request_len;
    bool reused;      /* a call was made on it before the current one */
    bool undelivered; /* the server has not acknowledged all of a request that has ended */
    bool closed;
    bool head_complete;   /* the current response's head is parsed */
    bool framing_invalid; /* its end cannot be found (framing.h, body.h) */
    bool skip_response;   /* the current response belongs to another request */
    size_t skipped;       /* bytes of skipped responses since the request was sent */
    bool reusable;
};

struct wire_call {
    client_conn_t *conn;
    wire_call_cbs_t cbs;
    void *ctx;
    wire_call_conf_t conf;
    wire_call_result_t result;
    uint64_t deadline_ms;  /* loop time; limit of the whole call */
    bool timeout_deferred; /* timed out, but unread input is processed first */
    bool done;
};

/* Closes a connection that is not in the pool's idle list; resets it if it is undelivered. */
void client_conn_close(client_conn_t *conn);
/* Removes an idle connection from its pool and closes it. */
void client_conn_close_idle(client_conn_t *conn);
/* The connection owns the request from now on, and frees it when it is closed at the latest. */
void client_conn_take_request(client_conn_t *conn, char *request, size_t len);
/* Frees the request, if it has not been freed yet. It must not be being written. */
void client_conn_free_request(client_conn_t *conn);
/* Allocates a connection; it is not connected yet. */
client_conn_t *client_conn_open(wire_pool_t *pool);
/* Takes a reusable idle connection out of the pool, NULL if there is none. Closes connections whose
 * Keep-Alive timeout has expired and, with `probe_before_reuse`, those closed by the server. */
client_conn_t *client_conn_acquire(wire_pool_t *pool, uint64_t idle_max_ms,
                                   bool probe_before_reuse);
/* Returns a connection to the pool after its call has ended. */
void client_conn_release(client_conn_t *conn);
/* Frees the pool if wire_pool_free() was called and no connection is left. */
void wire_pool_release(wire_pool_t *pool);
