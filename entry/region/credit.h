/*
 * Credits: a region's limit, held in parts by its entry instances.
 *
 * The stored allocation (one object a region) says how many requests in flight each instance may
 * have; its version is the epoch. Between writes, instances lend credits to each other. The sum
 * of what all instances may use never exceeds the region's limit, because
 *   1. adopting an epoch can only lower what an instance may use, until
 *   2. every holder of that epoch has reported that it is settled there (its use is within its
 *      part), and no former holder is left in the object; then the instance may use its part;
 *   3. a lender deducts before it sends, a borrower adds only within the same epoch;
 *   4. a silent holder becomes a former holder, and its credits are reissued only after it must
 *      have lost its authority and its last request's deadline has passed; as a holder uses at
 *      most a third of its part for requests with long deadlines, the rest returns early;
 *   5. an instance has authority only while, within the fence time, the store or a majority of
 *      its epoch's holders have confirmed the epoch; otherwise it uses a floor of one request,
 *      which is not reissued while the platform lists it.
 * Freshness is counted from when the question was sent, so no clocks are compared.
 *
 * Pure: time is passed in, nothing here touches a socket.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "entry/region/allocation.h"

enum {
    /* Authority without confirmation ends after this time. Chosen: docs/design/entry/credits.md. */
    CREDIT_FENCE_MS = 4000,
    CREDIT_SHORT_MS = 5000,  /* deadlines above this are long. Chosen, not measured */
    CREDIT_LONG_DIVISOR = 3, /* part of the credits that long requests may use (commit 57ecd49) */
};

typedef struct credit credit_t;

credit_t *credit_new(const name_t *self, uint64_t incarnation);
void credit_free(credit_t *credit);

/* Takes over `allocation` if its epoch is newer. */
void credit_adopt(credit_t *credit, allocation_t *allocation, uint64_t now_ms);
uint64_t credit_epoch(const credit_t *credit);
const allocation_t *credit_allocation(const credit_t *credit);

typedef struct {
    str_t instance;
    uint64_t incarnation;
    uint64_t epoch;
    bool settled;
    uint64_t asked_ms; /* when the heartbeat it answers was sent, 0 if it answers none */
} credit_report_t;

void credit_peer_report(credit_t *credit, const credit_report_t *report, uint64_t now_ms);
/* The store said, to a question sent at `asked_ms`, that `epoch` is current. */
void credit_store_confirm(credit_t *credit, uint64_t epoch, uint64_t asked_ms);

bool credit_has_authority(const credit_t *credit, uint64_t now_ms);
/* True when all use is within this epoch's part; rows are checked by the caller. */
bool credit_settled(const credit_t *credit);
/* Requests this instance may have in flight now, floor included. */
uint32_t credit_usable(const credit_t *credit, uint64_t now_ms);
uint32_t credit_in_flight(const credit_t *credit);
/* Admits one request; false if the region's limit, as held here, is used up. */
bool credit_acquire(credit_t *credit, bool is_long, uint64_t now_ms);
void credit_release(credit_t *credit, bool is_long);
/* Gives up all authority for good, before a planned stop ends; nothing may be in flight. */
void credit_surrender(credit_t *credit);
bool credit_surrendered(const credit_t *credit);

/* This instance's part of another limit of the region, split as the credits are. */
uint32_t credit_share(const credit_t *credit, uint32_t limit, uint64_t now_ms);
/* Its part of a rate, 0..1. */
double credit_fraction(const credit_t *credit, uint64_t now_ms);

/* Gives away up to `want` free credits to a peer at the same epoch; returns how many. */
uint32_t credit_lend(credit_t *credit, uint64_t epoch, uint32_t want, uint64_t now_ms);
void credit_borrowed(credit_t *credit, uint64_t epoch, uint32_t granted);

/* Long requests that a holder of `credits` may have in flight. */
uint32_t credit_long_share(uint32_t credits);
/* True if the holder reported that its use is within its part of the present epoch. */
bool credit_peer_settled(const credit_t *credit, str_t instance, uint64_t incarnation);
/* True if the holder is known to have adopted the present epoch or a newer one; for self, true. */
bool credit_acked(const credit_t *credit, str_t instance, uint64_t incarnation);
