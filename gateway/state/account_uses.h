/*
 * Account uses: what this instance has let through of each client account with a limit, and what
 * the owner of the account's ledger said of it.
 *
 * Counts are cumulative within the life of the process, so that a report that is lost or comes
 * twice changes nothing (membership/account_news.h). An entry is made with an account's first
 * request and forgotten when the account has rested; memory and messages follow the accounts in
 * use, not all of them.
 *
 * Owns the table, 224 bytes an entry (size of the struct). Relies on policy/account_gate.h for the
 * decision; time is passed in.
 */
#pragma once

#include "base/str.h"
#include "gateway/policy/account_gate.h"
#include "gateway/state/config.h"

typedef struct {
    uint64_t id; /* of the account */
    name_t name;
    account_gate_t gate;
    uint64_t used;                      /* requests let through, less those that were never sent */
    uint64_t requested;                 /* requests that came */
    uint64_t refused;                   /* of these */
    uint64_t acked_used;                /* up to which an owner has answered */
    uint64_t owner;                     /* incarnation of the instance that was reported to */
    uint64_t last_report_ms;            /* last report */
    uint64_t owner_unanswered_since_ms; /* when the oldest report to that instance without an answer
                                           was sent */
    uint64_t unanswered_since_ms; /* when the oldest report without an answer was sent; 0: none */
    uint64_t last_request_ms;     /* last request */
    uint32_t refs;                /* requests that hold the entry */
    bool report_due;              /* there is something to report */
    uint64_t
        grant_owner;     /* incarnation of the owner that told the gate's share, and what follows */
    double tokens;       /* in the account's bucket, in requests */
    double region_per_s; /* share of the region */
} account_use_t;

/* There is something to report. */
typedef void (*account_uses_cb_t)(void *ctx);

typedef struct {
    account_use_t **items; /* sorted by id; an entry never moves */
    size_t count;
    size_t size;
    unsigned instances; /* of the whole fleet */
    account_uses_cb_t on_due;
    void *ctx;
} account_uses_t;

/* NULL if there is none. */
account_use_t *account_uses_find(const account_uses_t *uses, uint64_t id);
/* The same, made if it is new. */
account_use_t *account_uses_get(account_uses_t *uses, const config_account_t *account,
                                uint64_t now_ms);
/* A request of the account has come: true if it may go on; else `retry_after_ms` is when its caller
 * may come back, with a random `point` in [0, 1). The entry is held either way until
 * account_uses_release(); NULL without a limit. */
bool account_uses_admit(account_uses_t *uses, const config_account_t *account,
                        double random_fraction, uint64_t now_ms, account_use_t **out,
                        uint32_t *retry_after_ms);
/* It is sent to one more backend server, and runs there once more. */
void account_uses_charge(account_uses_t *uses, account_use_t *use);
/* The admitted request has not been run. */
void account_uses_refund(account_uses_t *uses, account_use_t *use);
void account_uses_release(account_use_t *use);
/* True if the owner answers, or has nothing to answer. */
bool account_use_is_connected(const account_use_t *use, uint64_t now_ms);
/* True if there is something to report: requests, or, while instances are held, that this one is in
 * touch. */
bool account_use_report_is_due(const account_use_t *use, uint64_t now_ms);
/* Regular work: forgets what has rested. */
void account_uses_expire(account_uses_t *uses, uint64_t now_ms);
void account_uses_free(account_uses_t *uses);
