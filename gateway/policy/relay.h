/*
 * View relay: distributes changes of a view between instances, and decides when a lagging instance
 * pulls a view from a peer.
 *
 *  - The instance that learned a small change from the store sends it to all others. A large change
 *    is distributed along a tree over the instances' common order: from the store's watcher to the
 *    first ranks, and from each instance to its children, even if the change was already known. The
 *    size of the change alone decides which, so that all instances agree.
 *  - After a large change the sender pauses in proportion to the bytes sent; changes that arrive
 *    during the pause are sent as one. Small changes are sent without a pause.
 *  - An instance pulls the view if it does not reach the first revision it knew to be missing
 *    within a time limit. Older changes that arrive meanwhile do not extend the limit.
 *
 * Without this a burst of large changes saturates the small links of some instances (10 Mbit/s).
 *
 * Stateless; relay_lag_t belongs to the caller, and times are those of the loop.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct {
    size_t bytes;     /* size of the change */
    size_t instances; /* instances that receive the change, including this one */
    size_t own;       /* rank of this instance, from 0 */
    bool from_store;  /* learned from the store, not from a peer */
} relay_input_t;

/* True if a change of that size is sent to all at once and without a pause. */
bool relay_is_small(size_t bytes);
/* True if this instance sends the change to the one of rank `rank`. */
bool relay_sends_to(const relay_input_t *input, size_t rank);
/* Returns the pause in milliseconds before the next large change of the same view, after `sent`
 * bytes were sent to all receivers together. `link_bytes_per_s`: 0 if not known. */
uint64_t relay_pause_ms(size_t sent, double link_bytes_per_s);
/* Rate and burst, in bytes, of responses to pulls on such a link. */
double relay_response_rate(double link_bytes_per_s);
double relay_response_burst(double link_bytes_per_s);

/* Lag of an instance with one view. */
typedef struct {
    uint64_t missing_revision; /* first revision known to be missing; 0: up to date */
    uint64_t since_ms;         /* time at which the lag was detected */
    uint64_t expected_ms;      /* time until which the senders' pause may last */
} relay_lag_t;

/* Records that a peer has a newer view, of revision `at`. */
void relay_lag_detected(relay_lag_t *lag, uint64_t at, uint64_t now_ms);
/* Records that the own view is complete up to revision `at`. */
void relay_lag_reached(relay_lag_t *lag, uint64_t at);
/* Records that a peer sent a change of `bytes` bytes, as received; the next one may follow after a
 * pause. */
void relay_lag_change_received(relay_lag_t *lag, size_t bytes, uint64_t now_ms);
/* True if the view is to be pulled from a peer that has revision `at`. */
bool relay_lag_should_pull(const relay_lag_t *lag, uint64_t at, uint64_t now_ms);
