/*
 * Heartbeats between entry instances, and the region loads that some of them carry.
 *
 * Sent once a second to every instance of the region; each carries the last stamp received from its
 * addressee, so no separate answers are needed. Region loads go to a few random peers.
 * Owns nothing beyond the node's members, loads and credit. Relies on gossip_objects.h where a
 * heartbeat shows that objects differ, on peer/link.h for the connections.
 */
#pragma once

#include "entry/node_state.h"

/* Sends heartbeats, the once-a-second round. */
void gossip_round(node_t *node);
void gossip_on_heartbeat(node_t *node, peer_conn_t *conn, const Iris__Heartbeat *beat);
