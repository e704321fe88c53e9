/*
 * Removal: from when on a backend server that is gone from the store's list gets no more requests.
 *
 * Decides: how long it is still used after it has disappeared, with the reason.
 * Inputs: the time since the store's return from an outage for all instances, and since it failed
 * any of them, and how many backends are listed now and were known before.
 * Rule:
 *  - Outage: used until 2.2 s after the store's return, whenever the entry went.
 *  - Mass loss: 1.4 s if more than half of the backends are gone together and the store failed an
 *    instance within the last 2.2 s.
 *  - At once in all other cases.
 * Reason: an entry that was removed on purpose must take effect at once. Entries also lapse while
 * the store is down, and live backends renew them within about 2 s of its return: what is still
 * missing then is gone, and what goes later was removed on purpose. Many entries that go together
 * near a failure point at an outage too short to be known for one; days with one of 5 s were worth
 * up to 0.042 less without that time. Granting time to single ones after trouble of single
 * instances with the store sent requests to backends that had left (commit c2341eb).
 * Also gone: a backend whose address answers for another one (attempt.c marks it departed), and one
 * that announces that it is leaving; both get no further requests from that moment on.
 *
 * Pure: no state, no clock.
 */
#pragma once

#include <stddef.h>
#include <stdint.h>

typedef enum {
    REMOVAL_AT_ONCE,
    REMOVAL_AFTER_OUTAGE, /* the store was down for all instances */
    REMOVAL_MASS_LOSS,    /* most backends are gone together */
    REMOVAL_UNUSABLE,     /* its entry cannot be read any more; at once */
} removal_reason_t;

/* A time since something that is not known to have happened. */
#define REMOVAL_NEVER UINT64_MAX

/* The store's trouble as far as an instance knows, in milliseconds. */
typedef struct {
    uint64_t since_return_ms;  /* from its last outage for all instances; 0 during one */
    uint64_t since_failure_ms; /* since it last failed any instance */
} removal_store_t;

typedef struct {
    removal_store_t store;
    size_t listed; /* backends in the newest list */
    size_t known;  /* backends known before it */
} removal_input_t;

typedef struct {
    uint64_t grace_ms;
    removal_reason_t reason;
} removal_t;

removal_t removal_decide(const removal_input_t *input);
const char *removal_reason_name(removal_reason_t reason);
