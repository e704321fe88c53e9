/*
 * Client connection: a connection to a backend server or to the store, and its pool. Inside of the
 * client. Its files call each other in this direction only: client.c (what others may call),
 * client_connect.c, client_call.c (a call on a connection), client_response.c (its answer) and
 * pool.c (which connection).
 */
#pragma once

#include <http_parser.h>

#include "wire/client.h"

typedef struct client_conn client_conn_t;

struct wire_pool {
    uv_loop_t *loop;
    addr_t addr;
    size_t max;
    size_t idle_count;
    size_t busy_count;
    client_conn_t *idle; /* the most recently used first */
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
    wire_call_t *call;
    uint64_t idle_since_ms;
    uint64_t keep_alive_ms; /* announced idle time, 0 if none */
    char *request;
    bool reused; /* it has carried a call before the one under way */
    bool closed;
    bool writing;
    bool skip_response; /* the answer being read belongs to another request */
    bool reusable;
};

struct wire_call {
    client_conn_t *conn;
    wire_call_cbs_t cbs;
    void *ctx;
    wire_call_conf_t conf;
    wire_call_result_t result;
    uint64_t deadline_ms;  /* loop time by which an answer that goes on has to be whole */
    bool timeout_deferred; /* its time is over, and the socket is read once more */
    bool done;
};

/* Closes the connection, which no longer counts in its pool. */
void client_conn_close(client_conn_t *conn);
/* Closes a connection that lies in its pool. */
void client_conn_close_idle(client_conn_t *conn);
/* A new connection, not connected yet. */
client_conn_t *client_conn_open(wire_pool_t *pool);
/* A kept connection that is young enough, NULL if there is none; older ones, and with
 * `probe_before_reuse` those that the other side has closed, are closed on the way. */
client_conn_t *client_conn_acquire(wire_pool_t *pool, uint64_t idle_max_ms,
                                   bool probe_before_reuse);
/* Puts a connection whose call has ended into its pool. */
void client_conn_release(client_conn_t *conn);
/* Frees a pool that is given up once nothing of it is left. */
void wire_pool_release(wire_pool_t *pool);
