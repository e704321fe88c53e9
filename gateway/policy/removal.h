/*
 * Backend removal: how long a backend server is still used after it has disappeared from the
 * store's list.
 *
 *  - After an outage of the store: until 2.2 s after its return.
 *  - Mass loss: 1.4 s, if more than half of the backends disappeared together and the store failed
 *    an instance within the last 2.2 s.
 *  - Otherwise it is removed at once.
 *
 * Entries that were removed on purpose must take effect at once. Entries also expire during an
 * outage, and live backends renew them within about 2 s of the store's return (the platform's
 * pages): callers would be refused meanwhile although their backend servers live. Many entries that
 * disappear together close to a store failure indicate an outage that was too short to be detected.
 * Single removals are not delayed: a backend that has left gets no requests.
 *
 * A backend whose address responds as another one (attempt.c), or that announces its shutdown, gets
 * no further requests in any case.
 *
 * Stateless.
 */
#pragma once

#include <stddef.h>
#include <stdint.h>

typedef enum {
    REMOVAL_AT_ONCE,
    REMOVAL_AFTER_OUTAGE, /* the store was down for all instances */
    REMOVAL_MASS_LOSS,    /* most backends disappeared together */
    REMOVAL_UNUSABLE,     /* its entry can't be parsed any more; removed at once */
} removal_reason_t;

/* Time since an event that is not known to have occurred. */
#define REMOVAL_NEVER UINT64_MAX

/* Availability of the store as known to this instance, in milliseconds. */
typedef struct {
    uint64_t since_return_ms; /* since the end of its last outage for all instances; 0 during one */
    uint64_t since_failure_ms; /* since it last failed for any instance */
} removal_store_t;

typedef struct {
    removal_store_t store;
    size_t listed; /* backends in the newest list */
    size_t known;  /* backends known before that list */
} removal_input_t;

typedef struct {
    uint64_t grace_ms;
    removal_reason_t reason;
} removal_t;

removal_t removal_decide(const removal_input_t *input);
const char *removal_reason_name(removal_reason_t reason);
