#include "gateway/state/account_lease.h"

#include <math.h>

#define MS_PER_S 1000.0
/* Demand below which a silent region is assumed to use nothing. */
#define DEMAND_MIN_PER_S 0.02
/* Assumed use of a silent instance or region, as a multiple of its last known demand; callers may
 * move there from other instances. */
#define SILENT_DEMAND_FACTOR 1.5
/* Lower bound of the fraction used as the bucket's depth. */
#define VISIBLE_FRACTION_MIN 0.1
/* Time constant of the usage rate in milliseconds, about the reaction time of account_share.c. */
#define USED_TAU_MS 200.0

enum {
    /* A limited instance counts as silent after this time without a report. It reports every 200 ms
     * (KEEPALIVE_MS in account_uses.c). */
    REPORTER_SILENT_MS = 400,
    /* A region counts as silent after this time without an exchange; its owner sends one at least
     * every 400 ms. The limit is lower while instances are limited, as a silent region may then use
     * its whole share. */
    PEER_SILENT_MS = 1200,
    PEER_SILENT_LIMITED_MS = 600,
    /* An owner that is silent for this long while another owner of its region sends has handed the
     * account over. Above the 400 ms between exchanges. */
    PEER_SUPERSEDED_MS = 450,
    /* The lease of an unreachable instance expires after this time if this instance reaches a
     * majority. Longer than restarts and most network partitions; until then the share of a dead
     * instance is unavailable. */
    LEASE_MS = 30000,
    /* Time within which all instances of a region switch to a new owner: two heartbeats. */
    HANDOVER_MS = 3000,
    /* An instance without a report for this long is removed. Half of IDLE_EXPIRY_MS in
     * account_uses.c, after which the instance drops its own counters. */
    REPORTER_IDLE_MS = 15000,
};

bool
account_lease_is_stale(const ledger_reporter_t *reporter, uint64_t now_ms)
{
    return now_ms - reporter->last_report_ms > REPORTER_IDLE_MS;
}

/* The balance is kept within one bucket depth on either side of zero, so that a counting error
 * cannot block an account. */
void
account_lease_charge(ledger_t *ledger, double requests, uint64_t now_ms)
{
    bucket_charge(&ledger->bucket, requests, now_ms);
    ledger->bucket.tokens = fmax(ledger->bucket.tokens, -ledger->bucket.burst);
    ledger->bucket.tokens = fmin(ledger->bucket.tokens, ledger->bucket.burst);
    event_rate_add(&ledger->used_rate, requests, USED_TAU_MS, now_ms);
}

/* Share of the own region that the previous owner granted to instances that do not report here. */
static double
unreported_lease_per_s(const ledger_t *ledger)
{
    return fmax(0, ledger->inherited.region_per_s - ledger->inherited.reporting_per_s);
}

/* Length of the silence within the interval that ends now, in milliseconds. */
static double
silent_ms(uint64_t heard_ms, uint64_t silent_after_ms, uint64_t from_ms, uint64_t now_ms)
{
    if (now_ms - heard_ms <= silent_after_ms)
        return 0;
    /* The time before the silence was detected is charged once. */
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

/* True if the instance reports at its keep-alive interval. */
static bool
expects_keepalives(const ledger_t *ledger, const ledger_reporter_t *reporter)
{
    return ledger->limited || reporter->sends_keepalives;
}

bool
account_lease_is_silent(const ledger_t *ledger, const ledger_reporter_t *reporter, uint64_t now_ms)
{
    return reporter->unreachable_since_ms != 0 || reporter->silence_charged ||
           (expects_keepalives(ledger, reporter) &&
            now_ms - reporter->last_report_ms > REPORTER_SILENT_MS);
}

/* Assumed rate of a silent instance: its whole share while limited, otherwise its recent demand
 * times SILENT_DEMAND_FACTOR, up to its share. Charging whole shares would exhaust accounts that
 * are far below their limit. */
static double
silent_reporter_per_s(const ledger_t *ledger, const ledger_reporter_t *reporter)
{
    if (ledger->limited)
        return reporter->share_per_s;
    return fmin(reporter->share_per_s, SILENT_DEMAND_FACTOR * reporter->demand_per_s);
}

/* Assumed use of inherited grants as a fraction of them: all while limited, otherwise the same
 * fraction as the reporting instances, times SILENT_DEMAND_FACTOR. */
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

/* Requests that a silent instance may have used since the last charge. */
static double
reporter_assumed(const ledger_t *ledger, const ledger_reporter_t *reporter, uint64_t now_ms)
{
    const uint64_t threshold_ms = expects_keepalives(ledger, reporter) ? REPORTER_SILENT_MS : 0;
    if (!account_lease_is_silent(ledger, reporter, now_ms))
        return 0;
    const double span_ms =
        silent_ms(reporter->last_report_ms, threshold_ms, ledger->charged_until_ms, now_ms);
    return silent_reporter_per_s(ledger, reporter) * span_ms / MS_PER_S;
}

/* True if another owner of the same mesh has been heard since; that owner accounts for the
 * instances which do not report to it. */
static bool
is_superseded(const ledger_t *ledger, const ledger_peer_t *peer)
{
    for (size_t i = 0; i < ledger->peer_count; i++) {
        const ledger_peer_t *other = &ledger->peers[i];
        if (other->mesh == peer->mesh &&
            other->last_exchange_ms > peer->last_exchange_ms + PEER_SUPERSEDED_MS)
            return true;
    }
    return false;
}

static double
peer_assumed(const ledger_t *ledger, const ledger_peer_t *peer, double total_demand_per_s,
             uint64_t now_ms)
{
    const uint64_t threshold_ms =
        ledger->limited || ledger->demand_exceeds_limit ? PEER_SILENT_LIMITED_MS : PEER_SILENT_MS;
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

/* Assumed use of the previous owner's grants in the own region. */
static double
unreported_lease_assumed(const ledger_t *ledger, uint64_t now_ms)
{
    if (ledger->inherited.owner == 0)
        return 0;
    const double per_s = assumed_lease_fraction(ledger, now_ms) * unreported_lease_per_s(ledger);
    return per_s * (double)(now_ms - ledger->charged_until_ms) / MS_PER_S;
}

/* Assumed use of the other regions while none of them has been heard. */
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

/* Fraction of the assumed requests that fits above the lower bound of the bucket. The rest is not
 * charged, so that a later refund never exceeds the charge. */
static double
chargeable_fraction(ledger_t *ledger, double requests, uint64_t now_ms)
{
    const double left = bucket_tokens(&ledger->bucket, now_ms) + ledger->bucket.burst;
    return requests > left ? fmax(0, left) / requests : 1;
}

/* Tokens that correspond to a share. A silent instance may report to another owner, which starts
 * with these tokens. */
static double
share_of_tokens(ledger_t *ledger, double share_per_s, uint64_t now_ms)
{
    const double tokens = fmax(0, bucket_tokens(&ledger->bucket, now_ms));
    return ledger->bucket.rate > 0 ? tokens * fmin(1, share_per_s / ledger->bucket.rate) : 0;
}

/* Marks instances and peers that became silent and charges their part of the tokens. Returns the
 * part of the own region. */
static double
charge_newly_silent(ledger_t *ledger, double total_demand_per_s, uint64_t now_ms)
{
    const uint64_t threshold_ms =
        ledger->limited || ledger->demand_exceeds_limit ? PEER_SILENT_LIMITED_MS : PEER_SILENT_MS;
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

/* ---- lease expiry ---- */

/* True if the instance is to be removed: its process has ended, its lease has expired or it is
 * idle. */
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

/* Refunds what was assumed of a process that has ended. */
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

/* A previous owner that is alive has handed the account over; one that is unreachable may still
 * grant shares; one that has ended grants none. The share of other regions stays reserved until
 * they are heard. */
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
