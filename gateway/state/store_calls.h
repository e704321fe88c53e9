/*
 * Store calls: counts and logs the calls to the store by kind of object, call and reason.
 *
 * Store calls are billed and share a rate limit across all instances. The metric shows what a fleet
 * spends them on, the log shows when.
 *
 * Owns only its metrics. Depends on ports.h for the kinds.
 */
#pragma once

#include "gateway/ports.h"

typedef enum {
    STORE_CALL_LIST,
    STORE_CALL_WATCH,
    STORE_CALL_ANNOUNCE,
    STORE_CALL_RECORD,
} store_call_t;

typedef enum {
    STORE_REASON_START,          /* the instance has no data of this kind yet */
    STORE_REASON_NEXT_PAGE,      /* continuation of a paged list */
    STORE_REASON_CHANGES,        /* regular watch on behalf of the region */
    STORE_REASON_HISTORY_GONE,   /* changes since the known revision are no longer available */
    STORE_REASON_PEER_REFERRAL,  /* a peer referred this instance to the store */
    STORE_REASON_RECOVERY_PROBE, /* checks whether a failing store has recovered */
    STORE_REASON_ROLLOUT,        /* records the state of a roll-out */
} store_reason_t;

void store_calls_count(view_kind_t kind, store_call_t call, store_reason_t reason);
