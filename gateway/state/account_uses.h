/*
 * Account uses: the requests that this instance has admitted for each client account with a limit,
 * and the last grant from the account's owner.
 *
 * Counts are cumulative over the lifetime of the process, so that lost or duplicated reports are
 * harmless (membership/account_sync.h). An entry is created by an account's first request and
 * removed when the account is idle; memory and messages scale with the active accounts only.
 *
 * Owns the table, 264 bytes an entry. Relies on policy/account_limiter.h for the decision; time is
 * passed in.
 */
#pragma once

#include "base/str.h"
#include "gateway/policy/account_limiter.h"
#include "gateway/state/config.h"

typedef struct {
    uint64_t id; /* of the account */
    name_t name;
    account_limiter_t limiter;
    double rate_per_s;   /* limit of the account at its last request */
    uint64_t used;       /* requests admitted, less those that were not executed */
    uint64_t requested;  /* requests received */
    uint64_t refused;    /* requests refused */
    uint64_t acked_used; /* count acknowledged by an owner; above `used` after refunds */
    uint64_t owner;      /* incarnation of the instance last reported to */
    uint64_t last_report_ms;
    uint64_t owner_unanswered_since_ms; /* oldest unanswered report to `owner` */
    uint64_t unanswered_since_ms;       /* oldest unanswered report; 0: none */
    uint64_t last_request_ms;
    uint64_t last_admitted_ms; /* 0: none was */
    uint32_t refs;             /* requests that hold the entry */
    bool report_due;           /* there is something to report */
    uint64_t grant_owner;      /* incarnation of the owner that sent the current grant */
    double tokens;             /* in the account's bucket, as of the grant */
    double region_per_s;       /* share of the region, as of the grant */
    double demand_per_s;       /* of the account in all regions, as last granted; 0: never */
} account_use_t;

/* Called when there is something to report. */
typedef void (*account_uses_cb_t)(void *ctx);

typedef struct {
    account_use_t **items; /* sorted by id; pointers stay valid */
    size_t count;
    size_t size;
    unsigned instances; /* number of instances in the fleet */
    account_uses_cb_t on_due;
    void *ctx;
} account_uses_t;

/* Returns NULL if there is none. */
account_use_t *account_uses_find(const account_uses_t *uses, uint64_t id);
/* Finds or creates an entry. */
account_use_t *account_uses_get(account_uses_t *uses, const config_account_t *account,
                                uint64_t now_ms);
/* Decides on a new request of the account. If it is refused, `retry_after_ms` is when the caller
 * may retry, spread by `random_fraction` in [0, 1). The entry is held in either case until
 * account_uses_release(); `out` is NULL for an account without a limit. */
bool account_uses_admit(account_uses_t *uses, const config_account_t *account,
                        double random_fraction, uint64_t now_ms, account_use_t **out,
                        uint32_t *retry_after_ms);
/* Holds the entry of an account whose request a peer has admitted; NULL without a limit. */
account_use_t *account_uses_hold(account_uses_t *uses, const config_account_t *account,
                                 uint64_t now_ms);
/* Counts a further attempt of the request at another backend server. */
void account_uses_charge(account_uses_t *uses, account_use_t *use);
/* Takes back an admitted request that was not executed. */
void account_uses_refund(account_uses_t *uses, account_use_t *use);
void account_uses_release(account_use_t *use);
/* True if the owner answers, or no report is outstanding. */
bool account_use_is_connected(const account_use_t *use, uint64_t now_ms);
/* Admitted requests that no owner has acknowledged. */
uint64_t account_use_unacknowledged(const account_use_t *use);
/* True if reports are sent at the keep-alive interval: the account is limited, or asks for more
 * than its limit. */
bool account_use_needs_keepalive(const account_use_t *use);
/* True if a report is to be sent: there are new requests, or the keep-alive interval has passed
 * while limited. */
bool account_use_report_is_due(const account_use_t *use, uint64_t now_ms);
/* Periodic work: removes idle entries. */
void account_uses_expire(account_uses_t *uses, uint64_t now_ms);
void account_uses_free(account_uses_t *uses);
