/*
 * A connection between two instances: framing, send queue and close. Private to peer/.
 *
 * Owns the socket and its buffers; link.c opens, accepts and closes connections. Depends on libuv
 * and the generated protobuf code.
 */
#pragma once

#include "base/counter.h"
#include "peer/link.h"

struct peer_conn {
    uv_tcp_t tcp;
    peer_hub_t *hub;
    addr_t to; /* remote address; outgoing connections only */
    bool outgoing;
    bool bulk; /* outgoing connection for large messages only */
    bool connected;
    bool closing;
    uint64_t opened_ms;
    uint64_t used_ms;       /* last use: opened, or a message was queued */
    uint64_t received_ms;   /* opened, or bytes were received */
    uint64_t progress_ms;   /* when output last progressed or was first queued */
    size_t last_queue_size; /* unsent bytes of the current write at the last check */
    char *in;               /* start of a frame whose rest has not arrived */
    size_t in_len;
    char *out; /* frames queued behind the connect or the current write */
    size_t out_len;
    bool writing;
    bool stalled;             /* reset on close: what it holds must not overtake newer state */
    size_t waiting;           /* queued bytes: `out` and the current write */
    peer_conn_t *next;        /* in the hub's list of outgoing or incoming connections */
    peer_conn_t *bucket_next; /* outgoing connections with the same hash */
};

enum {
    PEER_BUCKETS = 1024,     /* a power of two; outgoing connections of a large fleet */
    PEER_READ_CHUNK = 65536, /* bytes read at once */
};

struct peer_hub {
    uv_loop_t *loop;
    uv_tcp_t listener;
    uint16_t port;
    peer_cb_t cb;
    peer_refused_cb_t refused_cb; /* NULL: none */
    void *ctx;
    peer_conn_t *outgoing;
    peer_conn_t *incoming;
    peer_conn_t *buckets[PEER_BUCKETS]; /* the same, by hash of the address */
    char chunk[PEER_READ_CHUNK];        /* input of the connection that is being read */
    size_t incoming_count;
    counter_t *bad_frames;
    counter_t *dropped;
    counter_t *bytes_out;
    counter_t *bytes_in;
    counter_t *messages;
    counter_t *waiting; /* gauge: sum of peer_conn.waiting */
};

/* Allocates a connection that is not yet connected. */
peer_conn_t *peer_conn_new(peer_hub_t *hub);
/* Called once connected: sends the queued messages and starts reading. */
void peer_conn_start(peer_conn_t *conn);
void peer_conn_close(peer_conn_t *conn);
/* Returns the list of outgoing connections that holds those to the address. */
peer_conn_t **peer_bucket(peer_hub_t *hub, const addr_t *to);
