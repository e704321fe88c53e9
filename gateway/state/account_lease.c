#include "gateway/state/account_lease.h"

#include <math.h>

#define MS_PER_S 1000.0
/* Asked in a second below which a region that falls silent is taken to spend nothing. */
#define DEMAND_MIN_PER_S 0.02
/* Times what was asked lately that is taken to be spent where nothing is heard. Chosen: callers of
 * other instances come to it. */
#define SILENT_DEMAND_FACTOR 1.5
/* The least part of a bucket that is worth deciding by. Chosen */
#define VISIBLE_FRACTION_MIN 0.1
/* Time constant of how fast the room is taken, in milliseconds: about the reaction time of
 * account_share.c. */
#define USED_TAU_MS 200.0

enum {
    /* Silence after which an instance that is held is taken for out of touch: it reports every
     * 200 ms (account_uses.h), and may be a tenth of a second behind. */
    REPORTER_SILENT_MS = 400,
    /* Silence after which another region is: its owner tells it something every 400 ms, 40 ms away;
     * the same while instances are held, when a silent region may be spending much. */
    PEER_SILENT_MS = 1200,
    PEER_SILENT_LIMITED_MS = 600,
    /* One owner of a region is silent for so long while another speaks: it has given the account
     * up. Above the 400 ms of an exchange. */
    PEER_SUPERSEDED_MS = 450,
    /* What a silent instance was lent lapses after this time, where more than half of the instances
     * are heard: the other side of a cut goes on with what it was lent. Chosen: longer than
     * restarts and most cuts; meanwhile callers of dead instances share what the living have. */
    LEASE_MS = 30000,
    /* Time in which all instances of a region come to a new owner: two heartbeats. Chosen. */
    HANDOVER_MS = 3000,
    /* Rest after which a user is forgotten, which has no share by then: half of the rest after
     * which it forgets the account (account_uses.c). */
    REPORTER_IDLE_MS = 15000,
};

bool
account_lease_is_stale(const ledger_reporter_t *reporter, uint64_t now_ms)
{
    return now_ms - reporter->last_report_ms > REPORTER_IDLE_MS;
}

/* More than a bucket below nothing is a fault of the counting, and must not shut an account out. */
void
account_lease_charge(ledger_t *ledger, double requests, uint64_t now_ms)
{
    bucket_charge(&ledger->bucket, requests, now_ms);
    ledger->bucket.tokens = fmax(ledger->bucket.tokens, -ledger->bucket.burst);
    ledger->bucket.tokens = fmin(ledger->bucket.tokens, ledger->bucket.burst);
    event_rate_add(&ledger->used_rate, requests, USED_TAU_MS, now_ms);
}

/* Lent by the owner before in the own region to instances that do not report here. */
static double
unreported_lease_per_s(const ledger_t *ledger)
{
    return fmax(0, ledger->inherited.region_per_s - ledger->inherited.reporting_per_s);
}

/* Milliseconds of the span up to now in which it was silent. */
static double
silent_ms(uint64_t heard_ms, uint64_t silent_after_ms, uint64_t from_ms, uint64_t now_ms)
{
    if (now_ms - heard_ms <= silent_after_ms)
        return 0;
    /* The time until it was noticed counts too, once. */
    const bool charged_before = from_ms > heard_ms + silent_after_ms;
    return (double)(now_ms - (charged_before ? from_ms : heard_ms));
}

double
account_lease_unreported(const ledger_t *ledger, uint64_t now_ms)
{
    const double total_demand_per_s = ledger_total_demand_per_s(ledger, now_ms);
    double sum = 0;
    for (size_t i = 0; i < ledger->reporter_count; i++) {
        const ledger_reporter_t *reporter = &ledger->reporters[i];
        if (!account_lease_is_silent(ledger, reporter, now_ms))
            sum += reporter->share_per_s * (double)(now_ms - reporter->last_report_ms) / MS_PER_S;
    }
    for (size_t i = 0; i < ledger->peer_count && total_demand_per_s > 0; i++) {
        const ledger_peer_t *peer = &ledger->peers[i];
        const uint64_t age_ms = now_ms - peer->last_exchange_ms;
        if (age_ms <= PEER_SILENT_LIMITED_MS)
            sum += ledger->bucket.rate * peer->demand_per_s / total_demand_per_s * (double)age_ms /
                   MS_PER_S;
    }
    return sum;
}

double
account_lease_settle(double used, double assumed)
{
    return assumed > 0 ? fmin(0, used - assumed) : used;
}

double
account_lease_visible_fraction(const ledger_t *ledger)
{
    const ledger_inherited_t *inherited = &ledger->inherited;
    if (inherited->owner == 0 || inherited->region_per_s <= 0)
        return 1;
    return fmin(1,
                fmax(VISIBLE_FRACTION_MIN, inherited->reporting_per_s / inherited->region_per_s));
}

bool
account_lease_is_silent(const ledger_t *ledger, const ledger_reporter_t *reporter, uint64_t now_ms)
{
    return reporter->unreachable_since_ms != 0 || reporter->silence_charged ||
           (ledger->limited && now_ms - reporter->last_report_ms > REPORTER_SILENT_MS);
}

/* Requests a second that a silent instance is taken to spend: all that it was lent while instances
 * are held, and else what its callers asked for lately and half as much again. By shares alone
 * accounts at a hundredth of their limit were found to have spent all of it. */
static double
silent_reporter_per_s(const ledger_t *ledger, const ledger_reporter_t *reporter)
{
    if (ledger->limited)
        return reporter->share_per_s;
    return fmin(reporter->share_per_s, SILENT_DEMAND_FACTOR * reporter->demand_per_s);
}

/* The part of what was lent that those who are heard ask for, and half as much again: the others
 * are taken to do alike, or to spend all while instances are held. */
static double
assumed_lease_fraction(const ledger_t *ledger, uint64_t now_ms)
{
    const double reporting_per_s = ledger->inherited.reporting_per_s;
    const double demand_per_s = SILENT_DEMAND_FACTOR * ledger_region_demand_per_s(ledger, now_ms);
    if (ledger->limited || reporting_per_s <= 0)
        return 1;
    return fmin(1, demand_per_s / reporting_per_s);
}

double
account_lease_silent_per_s(const ledger_t *ledger, uint64_t now_ms)
{
    double sum = ledger->inherited.owner != 0 ? unreported_lease_per_s(ledger) : 0;
    for (size_t i = 0; i < ledger->reporter_count; i++) {
        if (account_lease_is_silent(ledger, &ledger->reporters[i], now_ms))
            sum += silent_reporter_per_s(ledger, &ledger->reporters[i]);
    }
    return sum;
}

/* Requests that the silent user may have spent since that was last looked at. */
static double
reporter_assumed(const ledger_t *ledger, const ledger_reporter_t *reporter, uint64_t now_ms)
{
    const uint64_t threshold_ms = ledger->limited ? REPORTER_SILENT_MS : 0;
    if (!account_lease_is_silent(ledger, reporter, now_ms))
        return 0;
    const double span_ms =
        silent_ms(reporter->last_report_ms, threshold_ms, ledger->charged_until_ms, now_ms);
    return silent_reporter_per_s(ledger, reporter) * span_ms / MS_PER_S;
}

/* True if another owner of its region was heard since: what that one does not see is in its sums.
 */
static bool
is_superseded(const ledger_t *ledger, const ledger_peer_t *peer)
{
    for (size_t i = 0; i < ledger->peer_count; i++) {
        const ledger_peer_t *other = &ledger->peers[i];
        if (other->region == peer->region &&
            other->last_exchange_ms > peer->last_exchange_ms + PEER_SUPERSEDED_MS)
            return true;
    }
    return false;
}

static double
peer_assumed(const ledger_t *ledger, const ledger_peer_t *peer, double total_demand_per_s,
             uint64_t now_ms)
{
    const uint64_t threshold_ms = ledger->limited ? PEER_SILENT_LIMITED_MS : PEER_SILENT_MS;
    if (peer->demand_per_s < DEMAND_MIN_PER_S || total_demand_per_s <= 0 ||
        is_superseded(ledger, peer))
        return 0;
    const double span_ms =
        silent_ms(peer->last_exchange_ms, threshold_ms, ledger->charged_until_ms, now_ms);
    const double part_per_s = ledger->bucket.rate * peer->demand_per_s / total_demand_per_s;
    const double per_s =
        ledger->limited ? part_per_s : fmin(part_per_s, SILENT_DEMAND_FACTOR * peer->demand_per_s);
    return per_s * span_ms / MS_PER_S;
}

/* Lent by the owner before in the own region. */
static double
unreported_lease_assumed(const ledger_t *ledger, uint64_t now_ms)
{
    if (ledger->inherited.owner == 0)
        return 0;
    const double per_s = assumed_lease_fraction(ledger, now_ms) * unreported_lease_per_s(ledger);
    return per_s * (double)(now_ms - ledger->charged_until_ms) / MS_PER_S;
}

/* In other regions, while none of them is heard. */
static double
other_regions_assumed(const ledger_t *ledger, uint64_t now_ms)
{
    if (ledger->inherited.owner == 0 || !ledger->inherited.other_regions_silent)
        return 0;
    const double per_s = assumed_lease_fraction(ledger, now_ms) *
                         fmax(0, ledger->bucket.rate - ledger->inherited.region_per_s);
    return per_s * (double)(now_ms - ledger->charged_until_ms) / MS_PER_S;
}

static double
total_assumed(const ledger_t *ledger, double total_demand_per_s, uint64_t now_ms)
{
    double sum = unreported_lease_assumed(ledger, now_ms) + other_regions_assumed(ledger, now_ms);
    for (size_t i = 0; i < ledger->reporter_count; i++)
        sum += reporter_assumed(ledger, &ledger->reporters[i], now_ms);
    for (size_t i = 0; i < ledger->peer_count; i++)
        sum += peer_assumed(ledger, &ledger->peers[i], total_demand_per_s, now_ms);
    return sum;
}

/* No more is assumed than the room has down to a bucket below nothing: what is given back later
 * must have been taken. */
static double
chargeable_fraction(ledger_t *ledger, double requests, uint64_t now_ms)
{
    const double left = bucket_tokens(&ledger->bucket, now_ms) + ledger->bucket.burst;
    return requests > left ? fmax(0, left) / requests : 1;
}

/* The part of the room that goes with a share: who falls silent may have an owner elsewhere that
 * begins with it. */
static double
share_of_tokens(ledger_t *ledger, double share_per_s, uint64_t now_ms)
{
    const double room = fmax(0, bucket_tokens(&ledger->bucket, now_ms));
    return ledger->bucket.rate > 0 ? room * fmin(1, share_per_s / ledger->bucket.rate) : 0;
}

/* Notes who has fallen silent, and takes their parts of the room; returns those of the own region.
 */
static double
charge_newly_silent(ledger_t *ledger, double total_demand_per_s, uint64_t now_ms)
{
    const uint64_t threshold_ms = ledger->limited ? PEER_SILENT_LIMITED_MS : PEER_SILENT_MS;
    double own = 0;
    double others = 0;
    for (size_t i = 0; i < ledger->reporter_count; i++) {
        ledger_reporter_t *reporter = &ledger->reporters[i];
        if (reporter->silence_charged || !account_lease_is_silent(ledger, reporter, now_ms))
            continue;
        reporter->silence_charged = true;
        const double part = share_of_tokens(ledger, reporter->share_per_s, now_ms);
        reporter->assumed_used += part;
        own += part;
    }
    for (size_t i = 0; i < ledger->peer_count && total_demand_per_s > 0; i++) {
        ledger_peer_t *peer = &ledger->peers[i];
        if (peer->silence_charged || now_ms - peer->last_exchange_ms <= threshold_ms ||
            is_superseded(ledger, peer))
            continue;
        peer->silence_charged = true;
        const double part = share_of_tokens(
            ledger, ledger->bucket.rate * peer->demand_per_s / total_demand_per_s, now_ms);
        peer->assumed_used += part;
        others += part;
    }
    account_lease_charge(ledger, own + others, now_ms);
    return own;
}

void
account_lease_charge_silent(ledger_t *ledger, uint64_t now_ms)
{
    const double total_demand_per_s = ledger_total_demand_per_s(ledger, now_ms);
    double own = charge_newly_silent(ledger, total_demand_per_s, now_ms);
    const double requests = total_assumed(ledger, total_demand_per_s, now_ms);
    const double part = chargeable_fraction(ledger, requests, now_ms);
    const double unreported = part * unreported_lease_assumed(ledger, now_ms);
    ledger->inherited.assumed_used += unreported;
    own += unreported;
    for (size_t i = 0; i < ledger->reporter_count && requests > 0; i++) {
        const double spent = part * reporter_assumed(ledger, &ledger->reporters[i], now_ms);
        ledger->reporters[i].assumed_used += spent;
        own += spent;
    }
    for (size_t i = 0; i < ledger->peer_count && requests > 0; i++)
        ledger->peers[i].assumed_used +=
            part * peer_assumed(ledger, &ledger->peers[i], total_demand_per_s, now_ms);
    ledger->used += own;
    ledger->charged_until_ms = now_ms;
    if (requests > 0)
        account_lease_charge(ledger, part * requests, now_ms);
}

/* ---- whose lease is over ---- */

/* True if it is to be forgotten: it spends nothing, or its lease has lapsed. */
static bool
is_expired(ledger_reporter_t *reporter, const ledger_view_t *view, uint64_t now_ms)
{
    const source_state_t state = view->state_of(view->ctx, reporter->source);
    if (state == SOURCE_ALIVE)
        reporter->unreachable_since_ms = 0;
    else if (reporter->unreachable_since_ms == 0)
        reporter->unreachable_since_ms = now_ms;
    if (state == SOURCE_ENDED)
        return true;
    if (reporter->unreachable_since_ms != 0)
        return view->has_majority && now_ms - reporter->unreachable_since_ms > LEASE_MS;
    return account_lease_is_stale(reporter, now_ms);
}

/* A process that has ended spent nothing of what it was taken to. */
static void
refund_assumed(ledger_t *ledger, double assumed, uint64_t now_ms)
{
    account_lease_charge(ledger, -assumed, now_ms);
    ledger->used -= assumed;
}

static void
expire_reporters(ledger_t *ledger, const ledger_view_t *view, uint64_t now_ms)
{
    size_t kept = 0;
    for (size_t i = 0; i < ledger->reporter_count; i++) {
        ledger_reporter_t *reporter = &ledger->reporters[i];
        if (!is_expired(reporter, view, now_ms))
            ledger->reporters[kept++] = *reporter;
        else if (reporter->assumed_used > 0 &&
                 view->state_of(view->ctx, reporter->source) == SOURCE_ENDED)
            refund_assumed(ledger, reporter->assumed_used, now_ms);
    }
    ledger->reporter_count = kept;
}

static void
expire_peers(ledger_t *ledger)
{
    size_t kept = 0;
    for (size_t i = 0; i < ledger->peer_count; i++) {
        const ledger_peer_t peer = ledger->peers[i];
        if (!is_superseded(ledger, &peer))
            ledger->peers[kept++] = peer;
    }
    ledger->peer_count = kept;
}

/* An owner before that lives has given the account up, and its instances come here; one that is
 * lost may still speak for some; one that has ended speaks for nobody. What other regions have
 * stays bound until they are heard. */
static void
expire_inherited(ledger_t *ledger, const ledger_view_t *view, uint64_t now_ms)
{
    ledger_inherited_t *inherited = &ledger->inherited;
    const uint64_t age_ms = now_ms - ledger->created_ms;
    const source_state_t state = view->state_of(view->ctx, inherited->owner);
    if (state == SOURCE_ENDED) {
        refund_assumed(ledger, inherited->assumed_used, now_ms);
        inherited->assumed_used = 0;
        inherited->reporting_per_s = inherited->region_per_s;
    }
    const bool handed_over = state == SOURCE_ALIVE && age_ms > HANDOVER_MS;
    const bool ended = state == SOURCE_ENDED && !inherited->other_regions_silent;
    if (handed_over || ended || (view->has_majority && age_ms > LEASE_MS))
        *inherited = (ledger_inherited_t){0};
}

void
ledger_expire_leases(ledger_t *ledger, const ledger_view_t *view, uint64_t now_ms)
{
    expire_reporters(ledger, view, now_ms);
    expire_peers(ledger);
    if (ledger->inherited.owner != 0)
        expire_inherited(ledger, view, now_ms);
}
