/*
 * Watching the entry's object store: a full list at start and now and then, a watch in between.
 *
 * Only two instances of each hall watch (the first two by rendezvous hash among the live), so the
 * calls grow with halls, not with instances. Every delay is drawn at random around its mean, and
 * failures back off, so that instances do not return to the store all at once.
 * Owns the state of the calls. Relies on object_store/client.h, and on gossip.h to pass on what is
 * new. The gateway's store_watch.h does the same for another protocol.
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
