/*
 * Account ledger: what the owner of a client account knows of its use everywhere, and the shares
 * that it lends.
 *
 * An account has an owner in each region, one of its instances (membership/owner.h). The
 * instances of the region report their use to it, and the owners of the regions exchange their sums
 * (membership/account_news.h). So each owner takes every admitted request from a bucket of its own
 * that fills at the account's rate, and all come to the same room, some 100 ms late.
 * While the room is small, policy/account_share.h has instances held to shares: of each region and
 * instance in proportion to what was asked there lately.
 *
 * What is lent is bound (account_lease.c): who falls silent is assumed to spend the share it had,
 * and what it is found to have spent replaces the assumption once it is heard again. An owner that
 * takes over begins with the room and the shares that the instances were told by the one before,
 * and takes the rest of the region's share for lent to instances it does not see.
 *
 * Owns its users and peers. Relies on policy/account_share.h; time is passed in.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"
#include "base/bucket.h"
#include "base/event_rate.h"
#include "gateway/state/config.h"

/* An instance of the own region, told apart by a random number for each life of its process. */
typedef struct {
    uint64_t source;
    uint64_t used;           /* as of its last report */
    uint64_t last_report_ms; /* when that came */
    uint64_t requested;
    event_rate_t demand_rate;
    double demand_per_s;  /* as of its last report */
    double share_per_s;   /* that it may be spending */
    double assumed_used;  /* requests that it is taken to have spent since its last report */
    bool silence_charged; /* it fell silent while instances were held, and was not heard since */
    uint64_t unreachable_since_ms; /* since when membership takes it for lost; 0: it is not */
} ledger_reporter_t;

/* The owner of another region, or another one of the own. */
typedef struct {
    uint64_t source; /* which ledger */
    size_t region;
    addr_t addr; /* where it is reached */
    double used; /* as of its last exchange */
    double demand_per_s;
    double assumed_used;  /* as above */
    bool silence_charged; /* it fell silent, and was not heard since */
    uint64_t last_exchange_ms;
} ledger_peer_t;

/* What the owner before had lent to others than those that report here. */
typedef struct {
    uint64_t owner;            /* its source; 0: there was none */
    double tokens;             /* as it told */
    double region_per_s;       /* share of the region */
    double reporting_per_s;    /* of this, of the instances that report here */
    double assumed_used;       /* requests that the others are taken to have spent */
    bool other_regions_silent; /* no other region was heard yet: they have the rest of the rate */
} ledger_inherited_t;

typedef struct {
    uint64_t id;     /* of the account */
    uint64_t source; /* random number of this ledger */
    bucket_t bucket; /* at the account's rate */
    bool limited;    /* instances are held to their shares */
    uint64_t created_ms;
    uint64_t last_used_ms;     /* last use reported, here or to another owner */
    uint64_t last_report_ms;   /* here */
    uint64_t charged_until_ms; /* up to which the silent are charged */
    uint64_t last_exchange_ms; /* last exchange sent */
    double used;           /* by the own region since the ledger began, what is assumed included */
    double exchanged_used; /* in that exchange */
    event_rate_t used_rate;
    ledger_inherited_t inherited;
    ledger_reporter_t *reporters;
    size_t reporter_count;
    size_t reporter_size;
    ledger_peer_t *peers;
    size_t peer_count;
    size_t peer_size;
} ledger_t;

/* One line of a report. Counts are cumulative. */
typedef struct {
    uint64_t used;
    uint64_t requested;
    uint64_t acked_used;    /* of these, known to an owner already */
    bool has_grant;         /* an owner told what follows */
    uint64_t owner;         /* which one */
    bool owner_unreachable; /* it gives no answer, and its process is not known to have ended */
    double tokens;
    double share_per_s;
    double region_per_s; /* the region's share */
} ledger_report_t;

/* One line of an exchange. */
typedef struct {
    uint64_t source;
    size_t region;
    addr_t addr;
    double used;     /* since the ledger began */
    uint64_t age_ms; /* since then */
    double demand_per_s;
    double tokens;
} ledger_exchange_t;

/* What a user is told. */
typedef struct {
    bool limited;
    double share_per_s;
    double region_per_s;
    double tokens;
} ledger_grant_t;

/* What membership knows of the instance behind a source. */
typedef enum {
    SOURCE_ALIVE,
    SOURCE_UNREACHABLE, /* silent */
    SOURCE_ENDED,       /* its process has ended, or started anew */
} source_state_t;

typedef struct {
    source_state_t (*state_of)(void *ctx, uint64_t source);
    void *ctx;
    bool has_majority; /* this instance hears more than half of the instances it knows */
} ledger_view_t;

/* `room`: part of the bucket that is there at first. */
ledger_t *ledger_new(const config_account_t *account, uint64_t owner, double room, uint64_t now_ms);
void ledger_free(ledger_t *ledger);
/* The account's limit in the configuration in force. */
void ledger_set_limit(ledger_t *ledger, const config_account_t *account, uint64_t now_ms);
void ledger_report(ledger_t *ledger, uint64_t source, const ledger_report_t *report,
                   uint64_t now_ms);
void ledger_exchange(ledger_t *ledger, const ledger_exchange_t *exchange, uint64_t now_ms);
/* Charges what the silent may have spent, and decides whether instances are held; true if that has
 * changed. */
bool ledger_update_limited(ledger_t *ledger, uint64_t now_ms);
/* The instance reports to another owner from now on. */
void ledger_remove_reporter(ledger_t *ledger, uint64_t source);
/* The owner before, in whose place this one is told to all; 0: none. */
uint64_t ledger_predecessor(const ledger_t *ledger);
/* Regular work: who has fallen silent, and whose lease is over. */
void ledger_expire_leases(ledger_t *ledger, const ledger_view_t *view, uint64_t now_ms);
ledger_grant_t ledger_grant(ledger_t *ledger, uint64_t source, uint64_t now_ms);
/* What is asked in a second, of the own region, and of all. */
double ledger_region_demand_per_s(const ledger_t *ledger, uint64_t now_ms);
double ledger_total_demand_per_s(const ledger_t *ledger, uint64_t now_ms);
/* True if the other owners are to be told. */
bool ledger_exchange_is_due(const ledger_t *ledger, uint64_t now_ms);
ledger_exchange_t ledger_next_exchange(ledger_t *ledger, uint64_t now_ms);
/* True if no instance reports here any more. */
bool ledger_has_no_reporters(const ledger_t *ledger, uint64_t now_ms);
/* True if the instance has a line of its own: others are told of the account only while it is at
 * its limit. */
bool ledger_has_reporter(const ledger_t *ledger, uint64_t source);
/* True if it may be forgotten: it has rested until its bucket was full. */
bool ledger_is_idle(ledger_t *ledger, uint64_t now_ms);
