/*
 * Connections between instances of one program: length-prefixed protobuf frames over TCP.
 *
 * Each peer has one outgoing connection, opened on first use and reopened after a failure, and a
 * second one for large state messages, so that heartbeats are not queued behind them. Replies use
 * the connection of the request. Delivery is not guaranteed: messages are idempotent and the sender
 * repeats them periodically. A frame that is too long, truncated, malformed or of a newer schema
 * closes its connection and is counted.
 *
 * Owns the connections. Depends on libuv and peer.proto; used by irisstall-gateway and
 * irisstall-entry.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <uv.h>

#include "base/addr.h"
#include "base/error.h"
#include "peer/peer.pb-c.h"

typedef struct peer_hub peer_hub_t;
typedef struct peer_conn peer_conn_t; /* valid during the callback that passes it */

enum {
    PEER_SCHEMA = 1,
    PEER_FRAME_MAX = 2 << 20,   /* bytes; a complete view is about 1 MB at most */
    PEER_BACKLOG_MAX = 8 << 20, /* unsent bytes per connection */
};

typedef void (*peer_cb_t)(void *ctx, peer_conn_t *conn, const Iris__Envelope *message);

/* Called when a connection is refused, that is, no process listens on `to`. */
typedef void (*peer_refused_cb_t)(void *ctx, const addr_t *to);
/* Sets the callback; it receives the ctx of peer_hub_start(). */
void peer_hub_on_refused(peer_hub_t *hub, peer_refused_cb_t cb);

/* Starts listening; port 0 selects a free port. Returns NULL and sets `err` if that fails. The hub
 * is never freed. */
peer_hub_t *peer_hub_start(uv_loop_t *loop, const addr_t *listen, peer_cb_t cb, void *ctx,
                           err_t *err);
uint16_t peer_hub_port(const peer_hub_t *hub);
/* Sends to a peer's listening address; drops the message if the send queue is full. */
void peer_send(peer_hub_t *hub, const addr_t *to, const Iris__Envelope *message);
/* Sends unless too much data is already queued for that peer; returns false if not sent. For state
 * that peers request when it is missing, so that outdated state does not delay newer state. Small
 * messages may overtake large ones. */
bool peer_try_send(peer_hub_t *hub, const addr_t *to, const Iris__Envelope *message);
/* Sends on the connection that delivered the request. */
void peer_reply(peer_conn_t *conn, const Iris__Envelope *message);
/* Like peer_reply(), unless too much data is already queued; returns false if not sent. */
bool peer_try_reply(peer_conn_t *conn, const Iris__Envelope *message);
/* Returns true if the peer opened the connection, so its messages are not replies. */
bool peer_conn_is_incoming(const peer_conn_t *conn);
/* Closes outgoing connections unused for `idle_ms`. */
void peer_hub_sweep_idle(peer_hub_t *hub, uint64_t idle_ms);
/* Closes outgoing connections that are still not connected after `age_ms`. */
void peer_hub_sweep_unconnected(peer_hub_t *hub, uint64_t age_ms);
/* Closes incoming connections on which nothing was received for `silent_ms`: the other end may have
 * lost power. One that lives opens another when it has something to send. */
void peer_hub_sweep_silent(peer_hub_t *hub, uint64_t silent_ms);
/* Closes all connections without a reset: the kernel still delivers what it was given. */
void peer_hub_close_connections(peer_hub_t *hub);
/* Resets outgoing connections without send progress for `stalled_ms`, and closes idle bulk
 * connections. */
void peer_hub_sweep_stalled(peer_hub_t *hub, uint64_t stalled_ms);
