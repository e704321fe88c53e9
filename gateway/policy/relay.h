/*
 * Relay: who sends a change of a view on to whom, how often, and when an instance that is behind
 * asks a peer.
 *
 * Decides: the receivers of a change that an instance has learned, the pause after sending one, and
 * the patience of an instance that knows of a newer view.
 * Inputs: bytes of the change; the number of instances that are to have it; the places of sender
 * and receiver in an order of them that is the same everywhere; whether the change came from the
 * store or from a peer; times in milliseconds of the loop.
 * Rule: as long as one instance can send the change to all at little cost, whoever learned it from
 * the store does so. Otherwise the instances form a tree over the order: from the store a change
 * goes to the first places, and each instance sends it on to its children. A sender pauses in
 * proportion to what it has sent, and what changes meanwhile goes out as one change. An instance
 * asks if it has not reached, within its patience, the revision that it first knew it lacked;
 * changes that come in meanwhile and are older do not put this off.
 * Reason: an instance may have a link of 10 Mbit/s. In a storm of configurations (14 kB, ten a
 * second) one that sent each version to the 26 others of its region filled its link, and fell
 * seconds behind with what it sent and with its callers' answers
 * (docs/incidents/2026-12-02-config-storm.md).
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
    size_t own;       /* this instance's place among them, from 0 */
    bool from_store;  /* else a peer sent it */
} relay_input_t;

/* True if this instance sends the change to the one in that place. */
bool relay_sends_to(const relay_input_t *input, size_t place);
/* How long no further change of the same view is sent after `sent` bytes went to peers, summed over
 * the receivers. Milliseconds. */
uint64_t relay_pause_ms(size_t sent);

/* What an instance knows of being behind with one view. */
typedef struct {
    uint64_t lacks;    /* revision that a peer had when it was first noticed, 0: not behind */
    uint64_t since_ms; /* loop time at which it was noticed */
} relay_lag_t;

/* A peer holds a newer view, as of revision `at`. */
void relay_lag_notice(relay_lag_t *lag, uint64_t at, uint64_t now_ms);
/* The own view is complete up to `at` now. */
void relay_lag_reached(relay_lag_t *lag, uint64_t at);
/* True if it is time to ask a peer; `change_bytes` is the size of the last change received. */
bool relay_lag_is_overdue(const relay_lag_t *lag, size_t change_bytes, uint64_t now_ms);
