#include "gateway/state/account_lent.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "gateway/policy/account_share.h"

/* Time constants, in milliseconds: of how fast the room is taken (as in account_lent.c), and of
 * what is asked where, long enough that an instance with a request in three seconds keeps a share.
 */
#define USED_TAU_MS 200.0
#define ASKED_TAU_MS 5000.0
#define MS_PER_S 1000.0
/* Part of a bucket above which an owner before saw its account far below the limit: at half of it a
 * surge that a bucket without a burst had half filled for was let through. */
#define PLENTY 0.8
/* Asked in a second below which nothing needs to be told. */
#define ASKED_MIN_PER_S 0.02

enum {
    ITEMS_START = 8,
    /* For so long a ledger that begins takes the room that others tell it. Chosen: the report that
     * began it, and those of the instances that noticed a little later. */
    LEARNING_MS = 1000,
    /* Exchanges go out this often while anything changes, and at the least while anything is asked.
     * The first is a part of the reaction time; the second bounds how late silence is noticed. */
    EXCHANGE_MS = 50,
    EXCHANGE_IDLE_MS = 400,
    HEARD_MS = 1200, /* an owner that was heard within this time is to hear of this one */
    /* Time without a report after which no instance comes to this owner any more: one that is held
     * reports every 200 ms. Chosen. */
    DESERTED_MS = 700,
    FORGET_MS = 10000, /* rest after which a ledger may be forgotten. Chosen */
};

static void *
grow(void *items, size_t count, size_t *size, size_t each)
{
    if (count < *size)
        return items;
    *size = *size > 0 ? *size * 2 : ITEMS_START;
    return xrealloc(items, *size * each);
}

ledger_t *
ledger_new(const config_account_t *account, uint64_t owner, double room, uint64_t now_ms)
{
    ledger_t *ledger = xcalloc(1, sizeof(*ledger));
    const double depth = account_share_depth(account->rate_per_s, account->burst);
    const uint64_t life[] = {owner, now_ms};
    ledger->id = account->id;
    ledger->source = str_hash((str_t){(const char *)life, sizeof(life)}, account->id);
    ledger->begun_ms = now_ms;
    ledger->touched_ms = now_ms;
    ledger->reported_ms = now_ms;
    ledger->assumed_ms = now_ms;
    bucket_init(&ledger->room, account->rate_per_s, depth, now_ms);
    ledger->room.tokens = room * depth;
    return ledger;
}

void
ledger_free(ledger_t *ledger)
{
    free(ledger->users);
    free(ledger->peers);
    free(ledger);
}

bool
ledger_is_deserted(const ledger_t *ledger, uint64_t now_ms)
{
    return now_ms - ledger->reported_ms > DESERTED_MS;
}

bool
ledger_has_rested(ledger_t *ledger, uint64_t now_ms)
{
    return bucket_tokens(&ledger->room, now_ms) >= ledger->room.burst &&
           now_ms - ledger->touched_ms > FORGET_MS;
}

void
ledger_set_limit(ledger_t *ledger, const config_account_t *account, uint64_t now_ms)
{
    const double depth = account_share_depth(account->rate_per_s, account->burst);
    bucket_set_rate(&ledger->room, account->rate_per_s, depth, now_ms);
}

/* ---- use ---- */

static ledger_user_t *
find_user(const ledger_t *ledger, uint64_t source)
{
    for (size_t i = 0; i < ledger->user_count; i++) {
        if (ledger->users[i].source == source)
            return &ledger->users[i];
    }
    return NULL;
}

bool
ledger_has_user(const ledger_t *ledger, uint64_t source)
{
    return find_user(ledger, source) != NULL;
}

/* The owner before is out of reach, and told one of its users a share: that is known, and the part
 * of the room that goes with it is there. */
static void
inherit(ledger_t *ledger, const ledger_report_t *report, bool learns)
{
    ledger_inherited_t *inherited = &ledger->inherited;
    if (learns && inherited->owner == 0) {
        *inherited = (ledger_inherited_t){
            .owner = report->owner,
            .room = report->room,
            .others_unheard = ledger->peer_count == 0,
        };
        ledger->room.tokens = fmin(0, report->room);
    }
    if (inherited->owner != report->owner)
        return;
    const double part = report->share_per_s / ledger->room.rate;
    inherited->seen_per_s += report->share_per_s;
    if (learns) {
        inherited->region_per_s = fmax(inherited->region_per_s, report->region_per_s);
        ledger->room.tokens += fmax(0, part * inherited->room);
    }
}

/* What the owner before told one of its users. */
static void
learn(ledger_t *ledger, const ledger_report_t *report, uint64_t now_ms)
{
    const bool learns = now_ms - ledger->begun_ms < LEARNING_MS;
    if (report->owner_silent)
        inherit(ledger, report, learns);
    else if (learns)
        ledger->room.tokens = fmin(report->room, bucket_tokens(&ledger->room, now_ms));
}

uint64_t
ledger_predecessor(const ledger_t *ledger)
{
    return ledger->inherited.owner;
}

/* One heard anew: what no owner has counted yet is new, the rest is what other owners counted. */
static ledger_user_t *
add_user(ledger_t *ledger, uint64_t source, const ledger_report_t *report, uint64_t now_ms)
{
    const uint64_t fresh = report->used - report->told_used;
    ledger->users =
        grow(ledger->users, ledger->user_count, &ledger->user_size, sizeof(*ledger->users));
    ledger_user_t *user = &ledger->users[ledger->user_count++];
    *user = (ledger_user_t){
        .source = source,
        .used = report->told_used,
        .asked = report->asked - fresh,
    };
    if (report->told)
        learn(ledger, report, now_ms);
    return user;
}

static double
user_weight(const ledger_user_t *user, uint64_t now_ms)
{
    return event_rate_per_s(&user->asked_rate, ASKED_TAU_MS, now_ms);
}

void
ledger_report(ledger_t *ledger, uint64_t source, const ledger_report_t *report, uint64_t now_ms)
{
    ledger_user_t *user = find_user(ledger, source);
    if (user != NULL && account_lent_is_old(user, now_ms)) {
        *user = ledger->users[--ledger->user_count];
        user = NULL;
    }
    if (user == NULL)
        user = add_user(ledger, source, report, now_ms);
    const int64_t used = (int64_t)(report->used - user->used);
    const int64_t asked = (int64_t)(report->asked - user->asked);
    const double charged = account_lent_settle((double)used, user->assumed);
    account_lent_charge(ledger, charged, now_ms);
    ledger->used += charged;
    ledger->touched_ms = now_ms;
    ledger->reported_ms = now_ms;
    user->used = report->used;
    user->asked = report->asked;
    user->assumed = 0;
    user->quiet = false;
    user->heard_ms = now_ms;
    user->lost_ms = 0;
    user->share_per_s = report->share_per_s;
    event_rate_add(&user->asked_rate, (double)asked, ASKED_TAU_MS, now_ms);
    user->asked_per_s = user_weight(user, now_ms);
}

void
ledger_forget_user(ledger_t *ledger, uint64_t source)
{
    ledger_user_t *user = find_user(ledger, source);
    if (user == NULL)
        return;
    ledger->room.tokens = fmin(ledger->room.burst, ledger->room.tokens + user->assumed);
    ledger->used -= user->assumed;
    *user = ledger->users[--ledger->user_count];
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

/* One heard anew. What a ledger that has just begun has counted is new; an older one spoke for
 * instances that others counted before, or took to spend what they were lent. */
static ledger_peer_t *
add_peer(ledger_t *ledger, const ledger_exchange_t *exchange, uint64_t now_ms)
{
    const bool is_older = exchange->age_ms >= now_ms - ledger->begun_ms;
    const bool has_begun = !is_older && exchange->age_ms < LEARNING_MS;
    ledger->peers =
        grow(ledger->peers, ledger->peer_count, &ledger->peer_size, sizeof(*ledger->peers));
    ledger_peer_t *peer = &ledger->peers[ledger->peer_count++];
    *peer = (ledger_peer_t){
        .source = exchange->source,
        .region = exchange->region,
        .used = has_begun ? 0 : exchange->used,
    };
    if (is_older && ledger->inherited.owner == 0)
        ledger->room.tokens = fmin(exchange->room, bucket_tokens(&ledger->room, now_ms));
    ledger->inherited.others_unheard = false;
    return peer;
}

void
ledger_exchange(ledger_t *ledger, const ledger_exchange_t *exchange, uint64_t now_ms)
{
    ledger_peer_t *peer = find_peer(ledger, exchange->source);
    if (peer == NULL)
        peer = add_peer(ledger, exchange, now_ms);
    account_lent_charge(ledger, account_lent_settle(exchange->used - peer->used, peer->assumed),
                        now_ms);
    ledger->touched_ms = now_ms;
    peer->used = exchange->used;
    peer->addr = exchange->addr;
    peer->assumed = 0;
    peer->quiet = false;
    peer->asked_per_s = exchange->asked_per_s;
    peer->heard_ms = now_ms;
}

/* ---- shares ---- */

double
ledger_asked_per_s(const ledger_t *ledger, uint64_t now_ms)
{
    double sum = 0;
    for (size_t i = 0; i < ledger->user_count; i++)
        sum += user_weight(&ledger->users[i], now_ms);
    return sum;
}

double
ledger_asked_everywhere(const ledger_t *ledger, uint64_t now_ms)
{
    double sum = ledger_asked_per_s(ledger, now_ms);
    for (size_t i = 0; i < ledger->peer_count; i++)
        sum += ledger->peers[i].asked_per_s;
    return sum;
}

static account_share_input_t
share_input(ledger_t *ledger, uint64_t now_ms)
{
    return (account_share_input_t){
        .rate_per_s = ledger->room.rate,
        .depth = ledger->room.burst * account_lent_seen_part(ledger),
        .level = bucket_tokens(&ledger->room, now_ms),
        .admitted_per_s = event_rate_per_s(&ledger->used_rate, USED_TAU_MS, now_ms),
        .demand_per_s = ledger_asked_everywhere(ledger, now_ms),
        .demand_known = now_ms - ledger->begun_ms > LEARNING_MS ||
                        ledger->inherited.room > PLENTY * ledger->room.burst,
        .limited = ledger->limited,
    };
}

bool
ledger_decide(ledger_t *ledger, uint64_t now_ms)
{
    account_lent_assume(ledger, now_ms);
    account_share_input_t input = share_input(ledger, now_ms);
    const bool before = ledger->limited;
    if (before)
        input.level -= account_lent_pending(ledger, now_ms);
    ledger->limited = account_share_limits(&input);
    return ledger->limited != before;
}

/* Requests a second that the own region may spend. */
static double
region_share(const ledger_t *ledger, const account_share_input_t *input, uint64_t now_ms)
{
    const double total = ledger->limited ? account_share_total(input) : input->rate_per_s;
    const double own = ledger_asked_per_s(ledger, now_ms);
    const double part = input->demand_per_s > 0 ? own / input->demand_per_s * total : 0;
    const bool bound = ledger->inherited.owner != 0 && ledger->inherited.others_unheard;
    return bound ? fmin(part, ledger->inherited.region_per_s) : part;
}

static double
asked_by_heard(const ledger_t *ledger, uint64_t now_ms)
{
    double sum = 0;
    for (size_t i = 0; i < ledger->user_count; i++) {
        if (!account_lent_is_silent(ledger, &ledger->users[i], now_ms))
            sum += user_weight(&ledger->users[i], now_ms);
    }
    return sum;
}

/* The part of an instance in what the heard ones of its region may spend. While shares are not in
 * force they are told with the answer to a report, just after a request: by what was asked without
 * that one, and half of it evenly, since an instance has a request in three seconds and the parts
 * of all are to come to one. */
static double
part_of(const ledger_t *ledger, const ledger_user_t *user, uint64_t now_ms)
{
    const double asked_per_s = asked_by_heard(ledger, now_ms);
    const double weight = user_weight(user, now_ms);
    if (asked_per_s <= 0)
        return 0;
    if (ledger->limited)
        return weight / asked_per_s;
    const double before = fmax(0, weight - MS_PER_S / ASKED_TAU_MS);
    return (before / asked_per_s + 1 / (double)ledger->user_count) / 2;
}

ledger_grant_t
ledger_grant(ledger_t *ledger, uint64_t source, uint64_t now_ms)
{
    const account_share_input_t input = share_input(ledger, now_ms);
    const double region_per_s = region_share(ledger, &input, now_ms);
    const double heard_per_s = fmax(0, region_per_s - account_lent_silent_per_s(ledger, now_ms));
    ledger_user_t *user = find_user(ledger, source);
    const ledger_grant_t grant = {
        .limited = ledger->limited,
        .share_per_s = user != NULL ? part_of(ledger, user, now_ms) * heard_per_s : 0,
        .region_per_s = region_per_s,
        .room = input.level,
    };
    /* Until it reports again, it may have either. */
    if (user != NULL)
        user->share_per_s = fmax(user->share_per_s, grant.share_per_s);
    return grant;
}

/* ---- exchanges ---- */

/* Another owner speaks: it is to hear of this one. */
static bool
hears_any(const ledger_t *ledger, uint64_t now_ms)
{
    for (size_t i = 0; i < ledger->peer_count; i++) {
        if (ledger->peers[i].asked_per_s > ASKED_MIN_PER_S &&
            now_ms - ledger->peers[i].heard_ms < HEARD_MS)
            return true;
    }
    return false;
}

bool
ledger_exchange_is_due(const ledger_t *ledger, uint64_t now_ms)
{
    const uint64_t age_ms = now_ms - ledger->told_ms;
    if (ledger->used != ledger->told_used)
        return age_ms >= EXCHANGE_MS;
    return age_ms >= EXCHANGE_IDLE_MS &&
           (hears_any(ledger, now_ms) || ledger_asked_per_s(ledger, now_ms) > ASKED_MIN_PER_S);
}

ledger_exchange_t
ledger_next_exchange(ledger_t *ledger, uint64_t now_ms)
{
    ledger->told_ms = now_ms;
    ledger->told_used = ledger->used;
    return (ledger_exchange_t){
        .source = ledger->source,
        .used = ledger->used,
        .age_ms = now_ms - ledger->begun_ms,
        .asked_per_s = ledger_asked_per_s(ledger, now_ms),
        .room = bucket_tokens(&ledger->room, now_ms),
    };
}
