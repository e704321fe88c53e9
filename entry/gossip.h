/*
 * Messages between entry instances: which part takes which.
 *
 * The parts are gossip_heartbeat (who lives, region loads), gossip_objects (shared objects) and
 * gossip_credits (lending). Relies on peer/link.h for the connections.
 */
#pragma once

#include "entry/node_state.h"

/* A message has come; `ctx` is the node. */
void gossip_message(void *ctx, peer_conn_t *conn, const Iris__Envelope *message);
