/*
 * The entry and its object store: lists and watches the objects, and decides when to ask again.
 *
 * The gateway's store_watch.h does the same for another protocol, and passes changes on
 * differently. Owns the state of the calls. Relies on object_store/client.h, and on gossip.h to
 * pass on what is new.
 */
#pragma once

#include "entry/node_state.h"

/* Starts; lives as long as the node. */
store_follower_t *store_follow(node_t *node);
/* Regular work. */
void store_tick(store_follower_t *follower);
/* Asks the store for the region's allocation, to confirm or replace the epoch held. */
void store_check_allocation(node_t *node);
/* Reads the full list again at once, after this process stood still. */
void store_resync(store_follower_t *follower);
/* True while calls fail. */
bool store_failing(const store_follower_t *follower);
