/*
 * Shared objects between entry instances: a new version is pushed along a binary tree over the
 * hall; whoever missed it sees another digest in a heartbeat and compares versions.
 *
 * The region's allocation is pushed to the whole region and stands in no digest: instances of other
 * regions do not hold it. Owns nothing beyond the node's objects. Relies on fleet/objects.h for
 * versions, on peer/link.h for the connections.
 */
#pragma once

#include "entry/node_state.h"

/* Passes a newly adopted object on to this instance's children in the hall's relay tree. */
void gossip_relay(node_t *node, const object_t *object, bool from_store);
/* Asks the seeds for what they hold, while the store is away at start. */
void gossip_sync_seeds(node_t *node);
/* Of the versions held here that every instance should hold. */
uint64_t gossip_digest(const node_t *node);
/* The allocation of the own region, NULL if there is none yet. */
const object_t *gossip_own_allocation(const node_t *node);
/* Sends an object, as an answer on `conn` if there is one, else to that address. */
void gossip_push(node_t *node, peer_conn_t *conn, const addr_t *to, const object_t *object);
/* The same for the list of versions held here. */
void gossip_send_versions(node_t *node, peer_conn_t *conn, const addr_t *to, bool is_answer);
/* Pushes what is newer here; answers with our own list so that the peer can do the same. */
void gossip_on_versions(node_t *node, peer_conn_t *conn, const Iris__VersionList *list);
void gossip_on_push(node_t *node, const Iris__ObjectPush *push);
