/*
 * Connections between instances of one program: length-prefixed protobuf frames over TCP.
 *
 * One outgoing connection a peer, opened on first use and again after a failure, and one more for
 * large state messages, so that heartbeats do not wait behind them; answers come back on the
 * connection that brought the question. Delivery is not guaranteed: every message is idempotent and
 * repeated by its sender's next round. A frame that is too long, truncated, malformed or of a newer
 * schema closes its connection and is counted.
 *
 * Owns the connections. Relies on libuv and on peer.proto for the messages; both programs use it.
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
    PEER_FRAME_MAX = 2 << 20,   /* bytes; a whole view has about 1 MB at most */
    PEER_BACKLOG_MAX = 8 << 20, /* unsent bytes a connection may hold */
};

typedef void (*peer_cb_t)(void *ctx, peer_conn_t *conn, const Iris__Envelope *message);

/* A connection to that address was refused: no process listens there. */
typedef void (*peer_refused_cb_t)(void *ctx, const addr_t *to);
/* Has it called with the ctx of peer_hub_start(). */
void peer_hub_on_refused(peer_hub_t *hub, peer_refused_cb_t cb);

/* NULL with an error if the port cannot be opened; port 0 lets the system choose. Lives as long as
 * its process. */
peer_hub_t *peer_hub_start(uv_loop_t *loop, const addr_t *listen, peer_cb_t cb, void *ctx,
                           err_t *err);
uint16_t peer_hub_port(const peer_hub_t *hub);
/* Sends to a peer's listening address; drops the message if too much is waiting. */
void peer_send(peer_hub_t *hub, const addr_t *to, const Iris__Envelope *message);
/* Sends, unless earlier messages to that peer still wait for its connection: for state that peers
 * ask for if they miss it, so that old state does not queue before new. Large messages may be
 * overtaken by small ones. False if it was not sent. */
bool peer_try_send(peer_hub_t *hub, const addr_t *to, const Iris__Envelope *message);
/* Answers on the connection that brought the message. */
void peer_reply(peer_conn_t *conn, const Iris__Envelope *message);
/* The same, unless earlier messages still wait for the connection. False if it was not sent. */
bool peer_try_reply(peer_conn_t *conn, const Iris__Envelope *message);
/* True if the message came on a connection that the peer opened: it is no answer. */
bool peer_conn_is_incoming(const peer_conn_t *conn);
/* Closes outgoing connections unused for `idle_ms`. */
void peer_hub_sweep_idle(peer_hub_t *hub, uint64_t idle_ms);
/* Closes outgoing connections that have not come up for so long. */
void peer_hub_sweep_unconnected(peer_hub_t *hub, uint64_t age_ms);
/* Closes outgoing connections whose output has not moved for `stalled_ms`, and those for large
 * messages that are not in use. */
void peer_hub_sweep_stalled(peer_hub_t *hub, uint64_t stalled_ms);
