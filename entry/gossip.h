/*
 * Messages between entry instances.
 *
 * Heartbeats go once a second to every instance of the region; each carries the last stamp received
 * from its addressee, so no separate answers are needed. Objects travel by push along a binary tree
 * over the hall and by comparing digests; region loads go to a few random peers.
 * Owns nothing beyond the node's state. Relies on peer/link.h for the connections.
 */
#pragma once

#include "entry/node_state.h"

/* A message has come; `ctx` is the node. */
void gossip_message(void *ctx, peer_conn_t *conn, const Iris__Envelope *message);
/* Sends heartbeats, the once-a-second round. */
void gossip_round(node_t *node);
/* Passes a newly adopted object on to this instance's children in the hall's relay tree. */
void gossip_relay(node_t *node, const object_t *object, bool from_store);
/* Asks the member with the most free credits for some. */
void gossip_borrow(node_t *node);
/* Asks the seeds for what they hold, while the store is away at start. */
void gossip_sync_seeds(node_t *node);
