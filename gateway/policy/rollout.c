#include "gateway/policy/rollout.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/str.h"

/* The canary gets this part of what a bad version may get; the rest is for the ramp. */
#define CANARY_PART 0.6
/* Bound on the share of a service with few requests. */
#define CANARY_MAX 0.3
/* Part of the ordered time before the ramp, and of the ramp. */
#define RAMP_FROM 0.5
#define RAMP_PART 0.2
/* Slots needed per slot that callers use. */
#define SLOTS_PER_DEMAND 1.2

/* Shares of failures and of slow responses tolerated on top of those of the other versions;
 * failures of theirs count this many times. */
#define FAILURES_TOLERATED 0.03
#define SLOW_TOLERATED 0.1
#define BASE_MULTIPLE 2.0
/* Part of the groups that is left out of a verdict, those with the most bad responses. */
#define LEFT_OUT_PART 0.25
/* Standard deviations by which a count must exceed what is tolerated: for a verdict, for a
 * suspicion. */
#define VERDICT_MARGIN 2.0
#define SUSPICION_MARGIN 1.0
/* A response is slow beyond this multiple of what the other versions need. */
#define SLOW_MULTIPLE 2.5
/* A run without the object in memory takes up to this multiple of the median. */
#define COLD_MULTIPLE 4.0
/* Part of the traffic from which a route is judged on its own. */
#define ROUTE_SHARE_MIN 0.1
/* Quantile of the other versions' latencies that is compared. */
#define BASE_QUANTILE 0.9

enum {
    BAD_MIN = 5,           /* failures or slow responses needed for a verdict */
    SUSPECT_MIN = 3,       /* the same for a suspicion */
    JUDGED_MIN = 30,       /* responses of the target needed to call it good */
    ROUTE_JUDGED_MIN = 15, /* the same on each route with a part of the traffic */
    BASE_LATENCY_MIN = 20, /* latencies needed for limits */
    MS_PER_S = 1000,
    SUSPICIONS_MAX = 3,
    SERVER_SEED = 73, /* must be the same on every instance */
};

/* ---- counts ---- */

static void
add_route(rollout_route_t *sum, const rollout_route_t *route)
{
    sum->has_objects |= route->has_objects;
    for (size_t i = 0; i < ROLLOUT_GROUPS; i++) {
        sum->target[i].responses += route->target[i].responses;
        sum->target[i].failures += route->target[i].failures;
        sum->target[i].slow += route->target[i].slow;
    }
    sum->base.responses += route->base.responses;
    sum->base.failures += route->base.failures;
    for (size_t i = 0; i < ROLLOUT_BUCKETS; i++)
        sum->base.latency[i] += route->base.latency[i];
}

rollout_route_t *
rollout_counts_route(rollout_counts_t *counts, uint64_t route)
{
    for (size_t i = 0; i < counts->route_count; i++) {
        if (counts->routes[i].route == route)
            return &counts->routes[i];
    }
    if (counts->route_count == ROLLOUT_ROUTES_MAX)
        return NULL;
    rollout_route_t *added = &counts->routes[counts->route_count++];
    *added = (rollout_route_t){.route = route};
    return added;
}

void
rollout_counts_add(rollout_counts_t *sum, const rollout_counts_t *counts)
{
    add_route(&sum->all, &counts->all);
    for (size_t i = 0; i < counts->route_count; i++) {
        rollout_route_t *route = rollout_counts_route(sum, counts->routes[i].route);
        if (route != NULL)
            add_route(route, &counts->routes[i]);
    }
}

void
rollout_clear_target(rollout_counts_t *counts)
{
    memset(counts->all.target, 0, sizeof(counts->all.target));
    for (size_t i = 0; i < counts->route_count; i++)
        memset(counts->routes[i].target, 0, sizeof(counts->routes[i].target));
}

/* ---- latencies ---- */

size_t
rollout_bucket(double latency_ms)
{
    if (latency_ms <= 1)
        return 0;
    const double bucket = 2 * log2(latency_ms);
    return bucket < ROLLOUT_BUCKETS - 1 ? (size_t)bucket : ROLLOUT_BUCKETS - 1;
}

/* Upper bound of a bucket. */
static double
bucket_end_ms(size_t bucket)
{
    return exp2((double)(bucket + 1) / 2);
}

static uint32_t
count_latencies(const rollout_base_counts_t *base)
{
    uint32_t count = 0;
    for (size_t i = 0; i < ROLLOUT_BUCKETS; i++)
        count += base->latency[i];
    return count;
}

static double
quantile_ms(const rollout_base_counts_t *base, double quantile)
{
    const double wanted = quantile * count_latencies(base);
    double below = 0;
    size_t bucket = 0;
    while (bucket < ROLLOUT_BUCKETS - 1 && below + base->latency[bucket] < wanted)
        below += base->latency[bucket++];
    return bucket_end_ms(bucket);
}

double
rollout_slow_ms(const rollout_route_t *route)
{
    const rollout_base_counts_t *base = &route->base;
    if (count_latencies(base) < BASE_LATENCY_MIN)
        return 0;
    const double median_ms = quantile_ms(base, 0.5);
    if (!route->has_objects)
        return SLOW_MULTIPLE * median_ms;
    const double high_ms = quantile_ms(base, BASE_QUANTILE);
    const double cold_ms = COLD_MULTIPLE * median_ms;
    return SLOW_MULTIPLE * (cold_ms > high_ms ? cold_ms : high_ms);
}

/* Share of the other versions' responses that would count as slow. */
static double
base_slow_share(const rollout_route_t *route)
{
    const uint32_t count = count_latencies(&route->base);
    uint32_t slow = 0;
    for (size_t i = rollout_bucket(rollout_slow_ms(route)); i < ROLLOUT_BUCKETS; i++)
        slow += route->base.latency[i];
    return count > 0 ? (double)slow / count : 0;
}

/* ---- verdict ---- */

/* What makes a number of bad responses count. */
typedef struct {
    double least;  /* bad responses */
    double margin; /* standard deviations beyond the tolerated number */
} evidence_t;

static const evidence_t for_verdict = {BAD_MIN, VERDICT_MARGIN};
static const evidence_t for_suspicion = {SUSPECT_MIN, SUSPICION_MARGIN};

/* True if `bad` of `count` responses are more than the tolerated share. */
static bool
exceeds(double bad, double count, double tolerated, evidence_t evidence)
{
    const double expected = tolerated * count;
    return bad >= evidence.least && bad > expected + evidence.margin * sqrt(expected);
}

rollout_group_t
rollout_sum_groups(const rollout_route_t *route)
{
    rollout_group_t sum = {0};
    for (size_t i = 0; i < ROLLOUT_GROUPS; i++) {
        sum.responses += route->target[i].responses;
        sum.failures += route->target[i].failures;
        sum.slow += route->target[i].slow;
    }
    return sum;
}

/* Orders by the share of bad responses, highest first; groups without responses come last. */
static int
compare_groups(const void *left, const void *right)
{
    const rollout_group_t *a = left;
    const rollout_group_t *b = right;
    if (a->responses == 0 || b->responses == 0)
        return (a->responses == 0) - (b->responses == 0);
    const double share_a = (double)(a->failures + a->slow) / a->responses;
    const double share_b = (double)(b->failures + b->slow) / b->responses;
    return (share_a < share_b) - (share_a > share_b);
}

/* Returns the sum without the groups that have the most bad responses. */
static rollout_group_t
sum_without_worst(const rollout_route_t *route)
{
    rollout_route_t sorted = *route;
    size_t used = 0;
    for (size_t i = 0; i < ROLLOUT_GROUPS; i++)
        used += route->target[i].responses > 0;
    qsort(sorted.target, ROLLOUT_GROUPS, sizeof(sorted.target[0]), compare_groups);
    /* With two groups or one, a fault of the version and of a server look the same. */
    const size_t left_out = used > 2 ? (size_t)ceil(LEFT_OUT_PART * (double)used) : 0;
    for (size_t i = 0; i < left_out; i++)
        sorted.target[i] = (rollout_group_t){0};
    return rollout_sum_groups(&sorted);
}

static double
failures_tolerated(const rollout_route_t *route)
{
    /* Adds one failure in JUDGED_MIN responses, so that few responses do not give a rate of 0. */
    const double base_rate =
        (route->base.failures + 1.0) / ((double)route->base.responses + JUDGED_MIN);
    return FAILURES_TOLERATED + BASE_MULTIPLE * base_rate;
}

static double
slow_tolerated(const rollout_route_t *route)
{
    return SLOW_TOLERATED + base_slow_share(route);
}

static bool
fails(const rollout_route_t *route)
{
    const rollout_group_t target = sum_without_worst(route);
    return exceeds(target.failures, target.responses, failures_tolerated(route), for_verdict);
}

static bool
is_slow(const rollout_route_t *route)
{
    const rollout_group_t target = sum_without_worst(route);
    return exceeds(target.slow, target.responses, slow_tolerated(route), for_verdict);
}

static bool
is_suspect(const rollout_route_t *route)
{
    const rollout_group_t target = rollout_sum_groups(route);
    return exceeds(target.failures, target.responses, failures_tolerated(route), for_suspicion) ||
           exceeds(target.slow, target.responses, slow_tolerated(route), for_suspicion);
}

static rollout_verdict_t
judge_route(const rollout_route_t *route)
{
    if (fails(route))
        return ROLLOUT_FAILING;
    if (is_slow(route))
        return ROLLOUT_SLOW;
    if (is_suspect(route))
        return ROLLOUT_SUSPECT;
    return rollout_sum_groups(route).responses >= JUDGED_MIN ? ROLLOUT_GOOD : ROLLOUT_UNJUDGED;
}

/* A route with little of the service's traffic does not delay the ramp. */
static bool
has_enough_responses(const rollout_route_t *route, const rollout_route_t *all)
{
    return route->base.responses < ROUTE_SHARE_MIN * all->base.responses ||
           rollout_sum_groups(route).responses >= ROUTE_JUDGED_MIN;
}

rollout_verdict_t
rollout_judge(const rollout_counts_t *counts, uint64_t *route)
{
    rollout_verdict_t worst = judge_route(&counts->all);
    bool judged = true;
    *route = 0;
    for (size_t i = 0; i < counts->route_count; i++) {
        const rollout_verdict_t verdict = judge_route(&counts->routes[i]);
        judged &= has_enough_responses(&counts->routes[i], &counts->all);
        if (verdict <= worst || verdict < ROLLOUT_SUSPECT)
            continue;
        worst = verdict;
        *route = counts->routes[i].route;
    }
    return worst == ROLLOUT_GOOD && !judged ? ROLLOUT_UNJUDGED : worst;
}

/* ---- schedule ---- */

bool
rollout_is_given_up(unsigned suspicions)
{
    return suspicions >= SUSPICIONS_MAX;
}

bool
rollout_ramp_is_due(const rollout_schedule_t *schedule)
{
    return schedule->judged &&
           (double)schedule->elapsed_ms >= RAMP_FROM * (double)schedule->duration_ms;
}

double
rollout_canary_share(const rollout_exposure_t *exposure, double requests_per_s,
                     uint64_t duration_ms)
{
    const double requests = requests_per_s * (double)duration_ms / MS_PER_S;
    const double more = requests > 0 ? exposure->slack / requests : 0;
    const double share = CANARY_PART * (exposure->share + more);
    return share < CANARY_MAX ? share : CANARY_MAX;
}

double
rollout_share(const rollout_schedule_t *schedule)
{
    const double canary = schedule->canary_share;
    const double length_ms = RAMP_PART * (double)schedule->duration_ms;
    if (schedule->ramp_ms == 0)
        return canary;
    if ((double)schedule->ramp_ms >= length_ms)
        return 1;
    /* Rises by the same factor in equal times, so that most of the ramp exposes little. */
    return canary * pow(1 / canary, (double)schedule->ramp_ms / length_ms);
}

uint64_t
rollout_server_hash(uint64_t key, unsigned suspicions)
{
    return str_hash((str_t){(const char *)&key, sizeof(key)}, SERVER_SEED + suspicions);
}

bool
rollout_target_has_capacity(double target_slots, double demand)
{
    return target_slots > 0 && target_slots >= SLOTS_PER_DEMAND * demand;
}
