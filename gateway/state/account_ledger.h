/*
 * Account ledger: the usage of one client account across all instances, and the shares granted to
 * instances. Kept by the account's owner.
 *
 * Each region has one owner per account (membership/owner.h). The region's instances report their
 * usage to it, and the owners exchange their totals (membership/account_sync.h). Every owner
 * charges all admitted requests to its own token bucket, so that the buckets agree within about 100
 * ms. When few tokens are left, policy/account_share.h limits each region and instance to a share
 * in proportion to its recent demand.
 *
 * A granted share is a lease (account_lease.c): an instance that falls silent is assumed to use it,
 * and its next report replaces the assumption. A new owner starts with the tokens and shares that
 * the instances received from the previous one, and treats the rest of the region's share as leased
 * to instances it does not see. It has observed no demand yet and goes by the demand that the
 * reports and the owners of other regions have from before.
 *
 * Owns its reporters and peers. Relies on policy/account_share.h; time is passed in.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"
#include "base/bucket.h"
#include "base/event_rate.h"
#include "gateway/state/config.h"

/* An instance of the own region, identified by a random number per process. */
typedef struct {
    uint64_t source;
    uint64_t used; /* as of its last report */
    uint64_t last_report_ms;
    uint64_t requested;
    event_rate_t demand_rate;
    double demand_per_s;   /* as of its last report */
    double share_per_s;    /* largest share that it may be using */
    double assumed_used;   /* requests charged by assumption since its last report */
    double prior_fraction; /* of the region's share, by the previous owner's grant; 0: none */
    bool sends_keepalives; /* its last grant named a demand above the limit */
    bool silence_charged;  /* it fell silent, and the tokens of its share were charged */
    uint64_t unreachable_since_ms; /* when membership lost contact; 0: reachable */
} ledger_reporter_t;

/* The owner of another region, or a further owner in the own region. */
typedef struct {
    uint64_t source; /* of its ledger */
    size_t mesh;
    addr_t addr;
    double used;    /* as of its last exchange */
    double charged; /* to this ledger's bucket for its exchanges, refunds deducted */
    double demand_per_s;
    double assumed_used;  /* requests charged by assumption since its last exchange */
    bool silence_charged; /* it fell silent, and the tokens of its share were charged */
    uint64_t last_exchange_ms;
} ledger_peer_t;

/* State adopted from the previous owner, and its grants to instances that do not report here. */
typedef struct {
    uint64_t owner;            /* its source; 0: none */
    double tokens;             /* in the previous owner's bucket */
    double region_per_s;       /* share of the region */
    double reporting_per_s;    /* part of the region's share held by instances that report here */
    double assumed_used;       /* requests charged by assumption for the other instances */
    bool other_regions_silent; /* no other region was heard; the rest of the rate is theirs */
} ledger_inherited_t;

typedef struct {
    uint64_t id;               /* of the account */
    uint64_t source;           /* random number of this ledger */
    bucket_t bucket;           /* fills at the account's rate */
    bool limited;              /* instances are limited to their shares */
    bool announced_limited;    /* `limited` as last sent to all instances of the region */
    bool demand_exceeds_limit; /* as of the last update */
    uint64_t created_ms;
    uint64_t last_used_ms;     /* last usage reported, here or to another owner */
    uint64_t last_report_ms;   /* last report received here */
    uint64_t charged_until_ms; /* silent instances are charged up to this time */
    uint64_t last_exchange_ms; /* last exchange sent */
    unsigned exchanges_sent;   /* selects the instance to try in a region without a known owner */
    double used;               /* by the own region since creation, assumptions included */
    double exchanged_used;     /* `used` in the last exchange sent */
    event_rate_t used_rate;
    double reported_demand_per_s; /* in all regions, by other owners; 0: not known */
    ledger_inherited_t inherited;
    ledger_reporter_t *reporters;
    size_t reporter_count;
    size_t reporter_size;
    ledger_peer_t *peers;
    size_t peer_count;
    size_t peer_size;
} ledger_t;

/* One account in an instance's report. Counts are cumulative. */
typedef struct {
    uint64_t used;
    uint64_t requested;
    uint64_t acked_used;    /* count that an owner has acknowledged; above `used` after refunds */
    bool has_grant;         /* the fields below hold the last grant received */
    uint64_t owner;         /* that sent the grant */
    bool owner_unreachable; /* it does not answer, and its process is not known to have ended */
    double tokens;
    double share_per_s;
    double region_per_s; /* share of the region */
    double demand_per_s; /* in all regions, as the owner knew it; 0: not known */
    bool limited;        /* the owner limited instances to their shares */
} ledger_report_t;

/* One account in an exchange between owners. */
typedef struct {
    uint64_t source;
    size_t mesh;
    addr_t addr;
    double used;     /* since the ledger's creation */
    uint64_t age_ms; /* of the ledger */
    double demand_per_s;
    double total_demand_per_s; /* in all regions; 0: not known yet */
    double tokens;
} ledger_exchange_t;

/* What the owner sends in reply to a report. */
typedef struct {
    bool limited;
    double share_per_s;
    double region_per_s;
    double tokens;
    double demand_per_s; /* in all regions; 0: not known yet */
} ledger_grant_t;

/* State of the instance behind a source, according to membership. */
typedef enum {
    SOURCE_ALIVE,
    SOURCE_UNREACHABLE,
    SOURCE_ENDED, /* its process has ended or restarted */
} source_state_t;

typedef struct {
    source_state_t (*state_of)(void *ctx, uint64_t source);
    void *ctx;
    bool has_majority; /* this instance reaches more than half of the known instances */
} ledger_view_t;

/* `fill` is the initial fill level of the bucket, from 0 to 1. */
ledger_t *ledger_new(const config_account_t *account, uint64_t owner, double fill, uint64_t now_ms);
void ledger_free(ledger_t *ledger);
/* Applies the account's limit from the current configuration. */
void ledger_set_limit(ledger_t *ledger, const config_account_t *account, uint64_t now_ms);
void ledger_report(ledger_t *ledger, uint64_t source, const ledger_report_t *report,
                   uint64_t now_ms);
void ledger_exchange(ledger_t *ledger, const ledger_exchange_t *exchange, uint64_t now_ms);
/* Charges assumed usage of silent instances, and updates whether instances are limited. True if
 * that has changed. */
bool ledger_update_limited(ledger_t *ledger, uint64_t now_ms);
/* Removes an instance that now reports to another owner, and refunds its assumed usage. */
void ledger_remove_reporter(ledger_t *ledger, uint64_t source);
/* Source of the previous owner that this ledger replaces; 0: none. */
uint64_t ledger_predecessor(const ledger_t *ledger);
/* Periodic work: updates reachability, and removes expired leases. */
void ledger_expire_leases(ledger_t *ledger, const ledger_view_t *view, uint64_t now_ms);
ledger_grant_t ledger_grant(ledger_t *ledger, uint64_t source, uint64_t now_ms);
/* Demand in requests a second, of the own region and of all regions. */
double ledger_region_demand_per_s(const ledger_t *ledger, uint64_t now_ms);
double ledger_total_demand_per_s(const ledger_t *ledger, uint64_t now_ms);
/* True if an exchange is to be sent to the other owners. */
bool ledger_exchange_is_due(const ledger_t *ledger, uint64_t now_ms);
ledger_exchange_t ledger_next_exchange(ledger_t *ledger, uint64_t now_ms);
/* True if no instance has reported here lately. */
bool ledger_has_no_reporters(const ledger_t *ledger, uint64_t now_ms);
/* True if the instance reports here. Other instances receive grants only while the account is
 * limited. */
bool ledger_has_reporter(const ledger_t *ledger, uint64_t source);
/* True if the ledger may be removed: its bucket is full and it has not been used for a while. */
bool ledger_is_idle(ledger_t *ledger, uint64_t now_ms);
