/*
 * Store state: whether this instance watches the store, whether the store fails, and for whom.
 *
 * Internal to the store watch (store_watch.h), which makes the calls and owns what is kept here.
 * Relies on membership/members_store.h for what other instances report.
 */
#pragma once

#include "gateway/state/store_watch.h"

/* Rank of this instance in its mesh: among all instances, or if `served` among those that the store
 * serves. */
size_t store_state_rank(const store_watch_t *watch, bool served, uint64_t now_ms);
/* Loop time at which a starting instance reads the store, unless its peers have sent it the views
 * by then. */
uint64_t store_state_start_at_ms(const store_watch_t *watch);
/* False while a starting instance waits for its peers to send the views. */
bool store_state_start_delay_is_over(const store_watch_t *watch, uint64_t now_ms);
/* True if this instance watches the store, by its rank or for lack of other watchers. */
bool store_state_should_watch(store_watch_t *watch);
/* Records a failed call. A call that started before the store's recovery does not indicate a new
 * outage. */
void store_state_record_failure(store_watch_t *watch, const kind_watch_t *failed, uint64_t now_ms);
/* Ends the outage on the first sign: an answer here, a peer that the store serves, or a change
 * received from a peer. */
void store_state_end_outage(store_watch_t *watch, const char *sign);
/* Cancels an outage: a call started before its detection was answered, so only other instances
 * failed. */
void store_state_cancel_outage(store_watch_t *watch);
/* Takes over what heartbeats of other instances tell. */
void store_state_update_from_peers(store_watch_t *watch);
