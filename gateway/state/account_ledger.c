#include "gateway/state/account_demand.h"
#include "gateway/state/account_lease.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "gateway/policy/account_share.h"

/* Time constant of the usage rate in milliseconds, as in account_lease.c. */
#define USED_TAU_MS 200.0
#define MS_PER_S 1000.0

enum {
    ITEMS_START = 8,
    /* Interval of exchanges while usage changes, and while there is only demand. The first adds to
     * the reaction time, the second bounds how fast silence is detected. */
    EXCHANGE_MS = 50,
    EXCHANGE_IDLE_MS = 400,
    PEER_ACTIVE_MS = 1200, /* a peer heard within this time is sent exchanges */
    /* Without a report for this long, no instance uses this owner any more; a limited instance
     * reports every 200 ms. */
    NO_REPORTERS_MS = 700,
    IDLE_EXPIRY_MS = 10000, /* idle time before a ledger is removed */
};

static void *
reserve_one(void *items, size_t count, size_t *size, size_t each)
{
    if (count < *size)
        return items;
    *size = *size > 0 ? *size * 2 : ITEMS_START;
    return xrealloc(items, *size * each);
}

ledger_t *
ledger_new(const config_account_t *account, uint64_t owner, double fill, uint64_t now_ms)
{
    ledger_t *ledger = xcalloc(1, sizeof(*ledger));
    const double depth = account_share_depth(account->rate_per_s, account->burst);
    const uint64_t seed_data[] = {owner, now_ms};
    ledger->id = account->id;
    ledger->source = str_hash((str_t){(const char *)seed_data, sizeof(seed_data)}, account->id);
    ledger->created_ms = now_ms;
    ledger->last_used_ms = now_ms;
    ledger->last_report_ms = now_ms;
    ledger->charged_until_ms = now_ms;
    bucket_init(&ledger->bucket, account->rate_per_s, depth, now_ms);
    ledger->bucket.tokens = fill * depth;
    return ledger;
}

void
ledger_free(ledger_t *ledger)
{
    free(ledger->reporters);
    free(ledger->peers);
    free(ledger);
}

bool
ledger_has_no_reporters(const ledger_t *ledger, uint64_t now_ms)
{
    return now_ms - ledger->last_report_ms > NO_REPORTERS_MS;
}

bool
ledger_is_idle(ledger_t *ledger, uint64_t now_ms)
{
    return bucket_tokens(&ledger->bucket, now_ms) >= ledger->bucket.burst &&
           now_ms - ledger->last_used_ms > IDLE_EXPIRY_MS;
}

void
ledger_set_limit(ledger_t *ledger, const config_account_t *account, uint64_t now_ms)
{
    const double depth = account_share_depth(account->rate_per_s, account->burst);
    bucket_set_rate(&ledger->bucket, account->rate_per_s, depth, now_ms);
}

/* ---- usage ---- */

static ledger_reporter_t *
find_reporter(const ledger_t *ledger, uint64_t source)
{
    for (size_t i = 0; i < ledger->reporter_count; i++) {
        if (ledger->reporters[i].source == source)
            return &ledger->reporters[i];
    }
    return NULL;
}

bool
ledger_has_reporter(const ledger_t *ledger, uint64_t source)
{
    return find_reporter(ledger, source) != NULL;
}

/* The previous owner is unreachable, and one of the instances reports the share it was granted.
 * Adopts that share and the corresponding part of the tokens. */
static void
inherit_grant(ledger_t *ledger, const ledger_report_t *report, bool adopts, uint64_t now_ms)
{
    ledger_inherited_t *inherited = &ledger->inherited;
    if (adopts && inherited->owner == 0) {
        *inherited = (ledger_inherited_t){
            .owner = report->owner,
            .tokens = report->tokens,
            .other_regions_silent = ledger->peer_count == 0,
        };
        /* The level that owners of other regions reported before may be lower. */
        ledger->bucket.tokens =
            fmin(fmin(0, report->tokens), bucket_tokens(&ledger->bucket, now_ms));
    }
    if (inherited->owner != report->owner)
        return;
    const double part = report->share_per_s / ledger->bucket.rate;
    inherited->reporting_per_s += report->share_per_s;
    if (adopts) {
        inherited->region_per_s = fmax(inherited->region_per_s, report->region_per_s);
        ledger->bucket.tokens += fmax(0, part * inherited->tokens);
    }
}

/* Evaluates what the previous owner granted to an instance that reports here for the first time. */
static void
apply_predecessor_grant(ledger_t *ledger, const ledger_report_t *report, uint64_t now_ms)
{
    const bool adopts = account_demand_is_adopting(ledger, now_ms);
    account_demand_adopt(ledger, report->demand_per_s, now_ms);
    /* A takeover must not release the instances: in a surge they would admit requests until this
     * ledger has counted enough of them. */
    if (adopts && report->limited)
        ledger->limited = true;
    if (report->owner_unreachable)
        inherit_grant(ledger, report, adopts, now_ms);
    else if (adopts)
        ledger->bucket.tokens = fmin(report->tokens, bucket_tokens(&ledger->bucket, now_ms));
}

uint64_t
ledger_predecessor(const ledger_t *ledger)
{
    return ledger->inherited.owner;
}

/* Adds an instance. Only requests that no owner has acknowledged are charged; the others were
 * counted by previous owners. */
static ledger_reporter_t *
add_reporter(ledger_t *ledger, uint64_t source, const ledger_report_t *report, uint64_t now_ms)
{
    const uint64_t unacked =
        report->used > report->acked_used ? report->used - report->acked_used : 0;
    ledger->reporters = reserve_one(ledger->reporters, ledger->reporter_count,
                                    &ledger->reporter_size, sizeof(*ledger->reporters));
    ledger_reporter_t *reporter = &ledger->reporters[ledger->reporter_count++];
    *reporter = (ledger_reporter_t){
        .source = source,
        .used = report->acked_used,
        .requested = report->requested - unacked,
    };
    if (report->has_grant) {
        if (report->limited && report->region_per_s > 0)
            reporter->prior_fraction = report->share_per_s / report->region_per_s;
        apply_predecessor_grant(ledger, report, now_ms);
    }
    return reporter;
}

void
ledger_report(ledger_t *ledger, uint64_t source, const ledger_report_t *report, uint64_t now_ms)
{
    ledger_reporter_t *reporter = find_reporter(ledger, source);
    if (reporter != NULL && account_lease_is_stale(reporter, now_ms)) {
        *reporter = ledger->reporters[--ledger->reporter_count];
        reporter = NULL;
    }
    if (reporter == NULL)
        reporter = add_reporter(ledger, source, report, now_ms);
    const int64_t used = (int64_t)(report->used - reporter->used);
    const int64_t requested = (int64_t)(report->requested - reporter->requested);
    const double charged = account_lease_settle((double)used, reporter->assumed_used);
    account_lease_charge(ledger, charged, now_ms);
    ledger->used += charged;
    ledger->last_used_ms = now_ms;
    ledger->last_report_ms = now_ms;
    reporter->used = report->used;
    reporter->requested = report->requested;
    reporter->assumed_used = 0;
    reporter->silence_charged = false;
    reporter->last_report_ms = now_ms;
    reporter->unreachable_since_ms = 0;
    reporter->share_per_s = report->share_per_s;
    event_rate_add(&reporter->demand_rate, (double)requested, ACCOUNT_DEMAND_TAU_MS, now_ms);
    reporter->demand_per_s = account_demand_of_reporter(reporter, now_ms);
}

void
ledger_remove_reporter(ledger_t *ledger, uint64_t source)
{
    ledger_reporter_t *reporter = find_reporter(ledger, source);
    if (reporter == NULL)
        return;
    ledger->bucket.tokens =
        fmin(ledger->bucket.burst, ledger->bucket.tokens + reporter->assumed_used);
    ledger->used -= reporter->assumed_used;
    *reporter = ledger->reporters[--ledger->reporter_count];
}

static ledger_peer_t *
find_peer(const ledger_t *ledger, uint64_t source)
{
    for (size_t i = 0; i < ledger->peer_count; i++) {
        if (ledger->peers[i].source == source)
            return &ledger->peers[i];
    }
    return NULL;
}

/* Adds a peer. The count of a ledger that was just created is charged in full; an older ledger's
 * count includes requests that other owners have already counted or assumed. What this ledger
 * inherited is older than any that was just created. */
static ledger_peer_t *
add_peer(ledger_t *ledger, const ledger_exchange_t *exchange, uint64_t now_ms)
{
    const bool is_older = exchange->age_ms >= now_ms - ledger->created_ms;
    const bool is_uncounted =
        (!is_older || ledger->inherited.owner != 0) && exchange->age_ms < ACCOUNT_ADOPTION_MS;
    ledger->peers =
        reserve_one(ledger->peers, ledger->peer_count, &ledger->peer_size, sizeof(*ledger->peers));
    ledger_peer_t *peer = &ledger->peers[ledger->peer_count++];
    *peer = (ledger_peer_t){
        .source = exchange->source,
        .mesh = exchange->mesh,
        .used = is_uncounted ? 0 : exchange->used,
    };
    if (is_older)
        account_demand_adopt(ledger, exchange->total_demand_per_s, now_ms);
    if (is_older && ledger->inherited.owner == 0)
        ledger->bucket.tokens = fmin(exchange->tokens, bucket_tokens(&ledger->bucket, now_ms));
    ledger->inherited.other_regions_silent = false;
    return peer;
}

/* Requests to charge for a peer's new count. The count falls when the peer takes back what it had
 * assumed of silent instances; only what was charged here is refunded for that. */
static double
settle_peer(ledger_peer_t *peer, double used)
{
    const double charged_before = peer->charged + peer->assumed_used;
    const double change = account_lease_settle(used - peer->used, peer->assumed_used);
    const double charge = fmax(change, -charged_before);
    peer->charged = charged_before + charge;
    return charge;
}

void
ledger_exchange(ledger_t *ledger, const ledger_exchange_t *exchange, uint64_t now_ms)
{
    ledger_peer_t *peer = find_peer(ledger, exchange->source);
    if (peer == NULL)
        peer = add_peer(ledger, exchange, now_ms);
    account_lease_charge(ledger, settle_peer(peer, exchange->used), now_ms);
    ledger->last_used_ms = now_ms;
    peer->used = exchange->used;
    peer->addr = exchange->addr;
    peer->assumed_used = 0;
    peer->silence_charged = false;
    peer->demand_per_s = exchange->demand_per_s;
    peer->last_exchange_ms = now_ms;
}

/* ---- shares ---- */

/* Where the previous owner's bucket was nearly full, only observed demand counts: the part of it
 * that was adopted so far is small, and must not limit an account below its limit. */
static account_share_input_t
limit_input(ledger_t *ledger, const account_demand_t *demand, uint64_t now_ms)
{
    return (account_share_input_t){
        .rate_per_s = ledger->bucket.rate,
        .depth = ledger->bucket.burst * account_lease_visible_fraction(ledger),
        .level = bucket_tokens(&ledger->bucket, now_ms),
        .admitted_per_s = event_rate_per_s(&ledger->used_rate, USED_TAU_MS, now_ms),
        .demand_per_s =
            account_demand_was_low(ledger) ? demand->observed_per_s : demand->expected_per_s,
        .demand_known = demand->known,
        .limited = ledger->limited,
    };
}

bool
ledger_update_limited(ledger_t *ledger, uint64_t now_ms)
{
    const account_demand_t demand = account_demand_total(ledger, now_ms);
    ledger->demand_exceeds_limit =
        account_share_is_exceeded(demand.observed_per_s, ledger->bucket.rate);
    account_lease_charge_silent(ledger, now_ms);
    account_share_input_t input = limit_input(ledger, &demand, now_ms);
    if (ledger->limited)
        input.level -= account_lease_unreported(ledger, now_ms);
    ledger->limited = account_share_limits(&input);
    const bool changed = ledger->limited != ledger->announced_limited;
    ledger->announced_limited = ledger->limited;
    return changed;
}

/* Rate available to the own region. */
static double
region_share(const ledger_t *ledger, const account_share_input_t *input,
             const account_demand_t *demand, uint64_t now_ms)
{
    const double total = ledger->limited ? account_share_total(input) : input->rate_per_s;
    const double own = ledger_region_demand_per_s(ledger, now_ms);
    const double part = demand->observed_per_s > 0 ? own / demand->observed_per_s * total : 0;
    const bool bound = ledger->inherited.owner != 0 && ledger->inherited.other_regions_silent;
    return bound ? fmin(part, ledger->inherited.region_per_s) : part;
}

static double
reporting_demand_per_s(const ledger_t *ledger, uint64_t now_ms)
{
    double sum = 0;
    for (size_t i = 0; i < ledger->reporter_count; i++) {
        if (!account_lease_is_silent(ledger, &ledger->reporters[i], now_ms))
            sum += account_demand_of_reporter(&ledger->reporters[i], now_ms);
    }
    return sum;
}

/* Fraction of the region's rate while other instances are yet to report: no more than the previous
 * owner granted, or than the instance's part of the demand of all regions. */
static double
adopted_fraction(const ledger_t *ledger, const ledger_reporter_t *reporter, double own_per_s,
                 double demand_per_s)
{
    const double prior = reporter->prior_fraction > 0 ? reporter->prior_fraction
                                                      : own_per_s / ledger->reported_demand_per_s;
    return fmin(prior, own_per_s / demand_per_s);
}

/* Fraction of the region's rate that the instance gets, among those that report. Outside of
 * limiting, the grant is sent in reply to a report that follows a request. That request is left
 * out, and half of the rate is divided evenly, because an instance may have one request in three
 * seconds and all fractions must add up to one. */
static double
reporter_fraction(const ledger_t *ledger, const ledger_reporter_t *reporter, uint64_t now_ms)
{
    const double demand_per_s = reporting_demand_per_s(ledger, now_ms);
    const double own_per_s = account_demand_of_reporter(reporter, now_ms);
    if (demand_per_s <= 0)
        return 0;
    if (ledger->limited && account_demand_is_adopting(ledger, now_ms) &&
        ledger->reported_demand_per_s > 0)
        return adopted_fraction(ledger, reporter, own_per_s, demand_per_s);
    if (ledger->limited)
        return own_per_s / demand_per_s;
    const double prior_per_s = fmax(0, own_per_s - MS_PER_S / ACCOUNT_DEMAND_TAU_MS);
    return (prior_per_s / demand_per_s + 1 / (double)ledger->reporter_count) / 2;
}

ledger_grant_t
ledger_grant(ledger_t *ledger, uint64_t source, uint64_t now_ms)
{
    const account_demand_t demand = account_demand_total(ledger, now_ms);
    const account_share_input_t input = limit_input(ledger, &demand, now_ms);
    const double region_per_s = region_share(ledger, &input, &demand, now_ms);
    const double available_per_s =
        fmax(0, region_per_s - account_lease_silent_per_s(ledger, now_ms));
    ledger_reporter_t *reporter = find_reporter(ledger, source);
    const ledger_grant_t grant = {
        .limited = ledger->limited,
        .share_per_s =
            reporter != NULL ? reporter_fraction(ledger, reporter, now_ms) * available_per_s : 0,
        .region_per_s = region_per_s,
        .tokens = input.level,
        .demand_per_s = account_demand_to_report(&demand),
    };
    /* The instance may use either share until its next report. */
    if (reporter != NULL) {
        reporter->share_per_s = fmax(reporter->share_per_s, grant.share_per_s);
        reporter->sends_keepalives =
            account_share_is_exceeded(grant.demand_per_s, ledger->bucket.rate);
    }
    return grant;
}

/* ---- exchanges ---- */

/* True if another owner is active and expects exchanges. */
static bool
has_active_peer(const ledger_t *ledger, uint64_t now_ms)
{
    for (size_t i = 0; i < ledger->peer_count; i++) {
        if (ledger->peers[i].demand_per_s > ACCOUNT_DEMAND_MIN_PER_S &&
            now_ms - ledger->peers[i].last_exchange_ms < PEER_ACTIVE_MS)
            return true;
    }
    return false;
}

bool
ledger_exchange_is_due(const ledger_t *ledger, uint64_t now_ms)
{
    const uint64_t age_ms = now_ms - ledger->last_exchange_ms;
    if (ledger->used != ledger->exchanged_used)
        return age_ms >= EXCHANGE_MS;
    return age_ms >= EXCHANGE_IDLE_MS &&
           (has_active_peer(ledger, now_ms) ||
            ledger_region_demand_per_s(ledger, now_ms) > ACCOUNT_DEMAND_MIN_PER_S);
}

ledger_exchange_t
ledger_next_exchange(ledger_t *ledger, uint64_t now_ms)
{
    const account_demand_t demand = account_demand_total(ledger, now_ms);
    ledger->last_exchange_ms = now_ms;
    ledger->exchanges_sent++;
    ledger->exchanged_used = ledger->used;
    return (ledger_exchange_t){
        .source = ledger->source,
        .used = ledger->used,
        .age_ms = now_ms - ledger->created_ms,
        .demand_per_s = ledger_region_demand_per_s(ledger, now_ms),
        .total_demand_per_s = account_demand_to_report(&demand),
        .tokens = bucket_tokens(&ledger->bucket, now_ms),
    };
}
