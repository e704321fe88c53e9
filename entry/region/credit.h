/*
 * Credits divide a region's limit of requests in flight among its entry instances.
 *
 * The stored allocation (one object per region) assigns credits to instances; its version is the
 * epoch. Between writes, instances lend each other credits. The credits usable by all instances
 * never add up to more than the region's limit:
 *   1. Adopting an epoch can only lower what an instance may use.
 *   2. An instance may use a larger share once every holder of the epoch has reported that it is
 *      settled (its use is within its share) and no former holder is active.
 *   3. A lender deducts credits before it sends them; a borrower adds them only in the same epoch.
 *   4. A holder that stops responding becomes a former holder. Its credits are reissued once its
 *      authority has expired and the deadline of its last request has passed. At most a third of
 *      a share may be used for requests with long deadlines, so the rest is reissued earlier.
 *   5. An instance has authority only if the store or a majority of the epoch's holders confirmed
 *      the epoch within CREDIT_FENCE_MS. Without authority it may use CREDIT_FLOOR requests, which
 *      are not reissued while the platform lists the instance.
 * Confirmations are timed from when the request was sent, so clocks are never compared.
 *
 * Performs no I/O; the caller passes the time in.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "entry/region/allocation.h"

enum {
    /* authority expires this long after the last confirmation */
    CREDIT_FENCE_MS = 4000,
    CREDIT_SHORT_MS = 5000,  /* requests with a longer deadline are long */
    CREDIT_LONG_DIVISOR = 3, /* long requests may use 1/CREDIT_LONG_DIVISOR of the credits */
};

typedef struct credit credit_t;

credit_t *credit_new(const name_t *self, uint64_t incarnation);
void credit_free(credit_t *credit);

/* Takes ownership of `allocation` and adopts it if its epoch is newer. */
void credit_adopt(credit_t *credit, allocation_t *allocation, uint64_t now_ms);
uint64_t credit_epoch(const credit_t *credit);
const allocation_t *credit_allocation(const credit_t *credit);

typedef struct {
    str_t instance;
    uint64_t incarnation;
    uint64_t epoch;
    bool settled;
    uint64_t asked_ms; /* send time of the heartbeat it answers, 0 if none */
} credit_report_t;

void credit_peer_report(credit_t *credit, const credit_report_t *report, uint64_t now_ms);
/* The store confirmed `epoch` as current in reply to a request sent at `asked_ms`. */
void credit_store_confirm(credit_t *credit, uint64_t epoch, uint64_t asked_ms);

bool credit_has_authority(const credit_t *credit, uint64_t now_ms);
/* True if use is within this epoch's share; the caller checks row limits. */
bool credit_settled(const credit_t *credit);
/* Number of requests this instance may have in flight now, floor included. */
uint32_t credit_usable(const credit_t *credit, uint64_t now_ms);
uint32_t credit_in_flight(const credit_t *credit);
/* Takes a credit for one request; false if none is available. */
bool credit_acquire(credit_t *credit, bool is_long, uint64_t now_ms);
void credit_release(credit_t *credit, bool is_long);
/* Gives up all credits permanently before a shutdown; nothing may be in flight. */
void credit_surrender(credit_t *credit);
bool credit_surrendered(const credit_t *credit);

/* This instance's share of another limit of the region, divided like the credits. */
uint32_t credit_share(const credit_t *credit, uint32_t limit, uint64_t now_ms);
/* This instance's fraction of a rate, 0..1. */
double credit_fraction(const credit_t *credit, uint64_t now_ms);

/* Lends up to `want` free credits to a peer in the same epoch; returns the number lent. */
uint32_t credit_lend(credit_t *credit, uint64_t epoch, uint32_t want, uint64_t now_ms);
void credit_borrowed(credit_t *credit, uint64_t epoch, uint32_t granted);

/* Number of long requests that a holder of `credits` may have in flight. */
uint32_t credit_long_share(uint32_t credits);
/* True if the holder reported that its use is within its share of the current epoch. */
bool credit_peer_settled(const credit_t *credit, str_t instance, uint64_t incarnation);
/* True if the holder has adopted the current epoch or a newer one; always true for self. */
bool credit_acked(const credit_t *credit, str_t instance, uint64_t incarnation);
