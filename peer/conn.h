/*
 * A connection between two instances: its frames, its output and its end. Inside of link.h.
 *
 * link.c opens, accepts and sweeps connections. Owns socket and buffers. Relies on libuv, on the
 * generated code for the messages.
 */
#pragma once

#include "base/counter.h"
#include "peer/link.h"

struct peer_conn {
    uv_tcp_t tcp;
    peer_hub_t *hub;
    addr_t to; /* of outgoing connections */
    bool outgoing;
    bool bulk; /* outgoing, for large messages only */
    bool connected;
    bool closing;
    uint64_t opened_ms; /* when it was opened */
    uint64_t used_ms;
    uint64_t progress_ms;   /* when output last moved, or began to wait */
    size_t last_queue_size; /* bytes of the running write when that was last looked at */
    char *in;
    size_t in_len;
    size_t in_size;
    char *out; /* frames waiting for the connection or for the running write */
    size_t out_len;
    bool writing;
    size_t waiting; /* bytes that the socket has not taken: `out` and the running write */
    peer_conn_t *next;
};

struct peer_hub {
    uv_loop_t *loop;
    uv_tcp_t listener;
    uint16_t port;
    peer_cb_t cb;
    peer_refused_cb_t refused_cb; /* NULL: nobody is told */
    void *ctx;
    peer_conn_t *outgoing;
    size_t incoming_count;
    counter_t *bad_frames;
    counter_t *dropped;
    counter_t *bytes_out;
    counter_t *bytes_in;
    counter_t *messages;
    counter_t *waiting; /* gauge: sum over the connections */
};

/* An unconnected connection of that hub. */
peer_conn_t *peer_conn_new(peer_hub_t *hub);
/* The connection has come up: messages that wait are sent, and arriving ones delivered. */
void peer_conn_start(peer_conn_t *conn);
void peer_conn_close(peer_conn_t *conn);
