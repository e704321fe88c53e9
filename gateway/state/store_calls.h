/*
 * Store calls: counts and logs the calls to the store by kind of object, call and reason.
 *
 * Every call to the store is paid for and counts against a rate that all instances share; the
 * metric tells an operator what a fleet spends it on, and the log line when.
 *
 * Owns nothing but its metrics. Relies on ports.h for the kinds.
 */
#pragma once

#include "gateway/ports.h"

typedef enum { STORE_CALL_LIST, STORE_CALL_WATCH, STORE_CALL_ANNOUNCE } store_call_t;

typedef enum {
    STORE_REASON_START,          /* the instance knows nothing of the kind yet */
    STORE_REASON_NEXT_PAGE,      /* the list before it had more */
    STORE_REASON_CHANGES,        /* an instance that watches for its region */
    STORE_REASON_HISTORY_GONE,   /* the changes since its revision are not to be had any more */
    STORE_REASON_PEER_REFERRAL,  /* a peer has told to read the store */
    STORE_REASON_RECOVERY_PROBE, /* the store fails: is it back? */
} store_reason_t;

void store_calls_count(view_kind_t kind, store_call_t call, store_reason_t reason);
