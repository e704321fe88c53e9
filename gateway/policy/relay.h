/*
 * Relay: who sends a change of a view on to whom, how often, and when an instance that is behind
 * asks a peer.
 *
 * Decides: the receivers of a change that an instance has learned, the pause after sending one, and
 * the patience of an instance that knows of a newer view.
 * Inputs: bytes of the change; the number of instances that are to have it; the ranks of sender and
 * receiver in an order of them that is the same everywhere; whether the change came from the store
 * or from a peer; times in milliseconds of the loop.
 * Rule: a small change goes at once from whoever learned it from the store to all. For a large one
 * the instances form a tree over the order: from the store it goes to the first ranks, and each
 * instance sends it on to its children, also where it was no news. Which of the two depends on the
 * size of the change alone, so that all instances agree. After a large change a sender pauses in
 * proportion to what it has sent, and what changes meanwhile goes out as one change; small ones do
 * not wait. An instance asks if it has not reached, within its patience, the revision that it first
 * knew it lacked; changes that come in meanwhile and are older do not put this off. Reason: an
 * instance may have a link of 10 Mbit/s. In a storm of configurations (14 kB, ten a second) one
 * that sent each version to the 26 others of its region filled its link, and fell seconds behind
 * with what it sent and with its callers' answers (docs/incidents/2026-12-02-config-storm.md).
 *
 * Pure: no clock; the state is the caller's.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct {
    size_t bytes;     /* of the change */
    size_t instances; /* that are to have it, this one too */
    size_t own;       /* this instance's rank among them, from 0 */
    bool from_store;  /* else a peer sent it */
} relay_input_t;

/* True if a change of that many bytes goes to all at once and without a pause. */
bool relay_is_small(size_t bytes);
/* True if this instance sends the change to the one of that rank. */
bool relay_sends_to(const relay_input_t *input, size_t rank);
/* How long no further large change of the same view is sent after `sent` bytes went to peers,
 * summed over the receivers, on a link of so many bytes a second; 0 if that is not known.
 * Milliseconds. */
uint64_t relay_pause_ms(size_t sent, double link_bytes_per_s);
/* Bytes a second, and in a burst, that answers to peers' requests for views may take on such a
 * link. */
double relay_response_rate(double link_bytes_per_s);
double relay_response_burst(double link_bytes_per_s);

/* What an instance knows of being behind with one view. */
typedef struct {
    uint64_t
        missing_revision; /* revision that a peer had when it was first noticed, 0: not behind */
    uint64_t since_ms;    /* loop time at which it was noticed */
    uint64_t expected_ms; /* loop time up to which the senders' pause may last */
} relay_lag_t;

/* A peer holds a newer view, as of revision `at`. */
void relay_lag_detected(relay_lag_t *lag, uint64_t at, uint64_t now_ms);
/* The own view is complete up to `at` now. */
void relay_lag_reached(relay_lag_t *lag, uint64_t at);
/* A peer sent a change of that many bytes, packed as it came: the next one may come after a pause.
 */
void relay_lag_change_received(relay_lag_t *lag, size_t bytes, uint64_t now_ms);
/* True if it is time to ask a peer that holds the view as of revision `at`. */
bool relay_lag_should_pull(const relay_lag_t *lag, uint64_t at, uint64_t now_ms);
