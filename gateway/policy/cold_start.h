/*
 * Cold-start pacing: which instances send to a backend server that is cold, and how fast.
 *
 * Decides: whether this instance may send a request to a cold backend now.
 * Inputs: the instances this one has ever heard of, the rate that a cold backend can take (requests
 * a second over all instances), the time in milliseconds.
 * Rule: two instances send, the first by rendezvous hash among the instances of the backend's
 * region (of all regions if none is there), each at 0.4 of the rate with a burst of one.
 * Reason: a higher rate overloads a cold backend, and instances have no time to agree on who sends.
 * Lost instances stay in the list, so that a partition does not make new senders; two instances
 * with different lists choose at most twice the number, which the platform's bound (1.5 times the
 * rate and a constant) allows.
 * Measured: docs/design/gateway/cold-start.md names the tests that hold it.
 *
 * Owns: nothing; the token bucket is a part of its backend. Time is passed in.
 */
#pragma once

#include <stddef.h>

#include "base/bucket.h"

enum { COLD_SENDERS = 2 }; /* instances that send to one cold backend */

/* An instance that may become a sender. */
typedef struct {
    uint64_t key; /* hash of the instance's name */
    size_t region;
} cold_sender_t;

/* True if the instance `own_key` sends to that backend while it is cold. `instances` holds the own
 * instance too. */
bool cold_start_is_sender(uint64_t backend_key, size_t backend_region, uint64_t own_key,
                          const cold_sender_t *instances, size_t count);
/* Sets the pace for a backend that turned cold; `per_s` is what it can take, 0 for no bound. */
void cold_start_begin(bucket_t *tokens, double per_s, uint64_t now_ms);
/* The same for a backend whose service is not in the configuration. */
void cold_start_begin_unknown(bucket_t *tokens, uint64_t now_ms);
/* True if one more request may go; takes nothing. */
bool cold_start_may_send(bucket_t *tokens, uint64_t now_ms);
void cold_start_count_send(bucket_t *tokens, uint64_t now_ms);
