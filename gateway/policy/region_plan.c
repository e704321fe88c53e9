#include <math.h>
#include <string.h>

#include "gateway/policy/region_plan.h"

/* Use of the own region's slots at peak demand above which requests go to other regions. */
#define TARGET_USE 0.55
/* The same for requests with large responses: higher, since they fill the links between
 * regions. */
#define LARGE_USE 0.88
/* Use of all slots that is assumed before any demand is measured; high, since backends without
 * objects in memory work on each request for longer. */
#define INITIAL_USE 0.7
/* Bounds on the shares moved per second, distances and times. */
typedef struct {
    double outbound_per_s;  /* away from the own region */
    double return_per_s;    /* back to it */
    double rebalance_per_s; /* for some seconds after a loss of slots */
    double dead_band;       /* distance from the target below which nothing moves */
} plan_terms_t;

/* Moved objects run cold. The first two bounds are below the platform's bound on traffic shifts
 * (0.15 in 2 s); the third one exceeds it, as a sudden loss is taken to be exempt
 * (docs/design/gateway/overview.md, questions to the users). */
static const plan_terms_t usual_terms = {
    .outbound_per_s = 0.03,
    .return_per_s = 0.004,
    .rebalance_per_s = 0.25,
    .dead_band = 0.08,
};
/* For counted work. Only a large loss of slots exceeds the platform's bound. */
static const plan_terms_t counted_terms = {
    .outbound_per_s = 0.03,
    .return_per_s = 0.004,
    .rebalance_per_s = 0.06,
    .dead_band = 0.08,
};
/* For counted work while slots are short: a share that is off by 0.02 in a region with a tenth of
 * all slots has some 0.02 more of its callers' requests refused. What runs cold after a move costs
 * less than refusals, and offered work does not fall while callers are refused. */
static const plan_terms_t short_terms = {
    .outbound_per_s = 0.06,
    .return_per_s = 0.06,
    .rebalance_per_s = 0.06,
    .dead_band = 0.02,
};
/* Use of all slots by offered work from which these terms hold. Backends are loaded unevenly, so
 * requests are refused before all slots are needed. */
#define SHORT_USE 0.8
/* Use until which they hold. */
#define SHORT_UNTIL_USE 0.72
/* Bound on the change per second of the use by which requests with large responses leave. */
#define LARGE_USE_PER_S 0.03
/* Time constant, in milliseconds, of the decay of peak demand. */
#define PEAK_DECAY_MS 40000.0
/* Loss of a region's slots, as a share, that counts as sudden, and the time in milliseconds for
 * which shares then move fast. */
#define SUDDEN_LOSS 0.15
enum { REBALANCE_MS = 4000 };
/* Loss after which the platform's bound would leave requests without slots for too long, as that of
 * one of two data halls: shares of any service then move as fast as usual_terms allow. */
#define LARGE_LOSS 0.4
#define MS_PER_S 1000.0

static double
sum(const double *values, size_t count)
{
    double total = 0;
    for (size_t i = 0; i < count; i++)
        total += values[i];
    return total;
}

/* Computes the target shares. `peak` NULL: no demand is known. */
static void
target_shares(const region_plan_input_t *input, const double *peak, size_t count, size_t own,
              double *target)
{
    double demand[TOPOLOGY_REGIONS_MAX];
    const double total_slots = sum(input->slots, count);
    memset(target, 0, sizeof(double) * TOPOLOGY_REGIONS_MAX);
    for (size_t i = 0; i < count; i++)
        demand[i] = peak != NULL ? peak[i] : INITIAL_USE * total_slots / (double)count;

    /* If the total demand exceeds the target use, the load is spread evenly. */
    const double use = total_slots > 0 ? fmax(TARGET_USE, sum(demand, count) / total_slots) : 0;
    const double own_limit = use * input->slots[own];
    const double local = demand[own] > own_limit ? own_limit / demand[own] : 1;
    double spare[TOPOLOGY_REGIONS_MAX] = {0};
    for (size_t i = 0; i < count; i++) {
        const double free_slots = use * input->slots[i] - demand[i];
        if (i != own && free_slots > 0)
            spare[i] = free_slots;
    }
    const double all_spare = sum(spare, count);
    for (size_t i = 0; i < count; i++)
        target[i] = all_spare > 0 ? (1 - local) * spare[i] / all_spare : 0;
    target[own] = all_spare > 0 ? local : 1;
}

/* The same for counted work: at its recent peaks, or as it is now while slots are short. */
static void
counted_shares(region_plan_t *plan, const region_plan_input_t *input, double *target)
{
    region_work_t work;
    memcpy(work.slots, input->slots, sizeof(work.slots));
    memcpy(work.demand, input->demand, sizeof(work.demand));
    memcpy(work.bound, input->bound, sizeof(work.bound));
    plan->use = region_targets_use(&work, plan->region_count, TARGET_USE);
    plan->is_short = plan->use >= (plan->is_short ? SHORT_UNTIL_USE : SHORT_USE);
    if (!plan->is_short) {
        memcpy(work.demand, plan->peak, sizeof(work.demand));
        memcpy(work.bound, plan->bound, sizeof(work.bound));
        plan->use = region_targets_use(&work, plan->region_count, TARGET_USE);
    }
    region_targets_shares(&work, plan->region_count, plan->own, plan->use, target);
}

/* Detects a sudden loss of slots in any region. */
static void
detect_slot_loss(region_plan_t *plan, const region_plan_input_t *input, size_t region_count,
                 uint64_t now_ms)
{
    for (size_t i = 0; i < region_count; i++) {
        if (input->slots[i] < (1 - SUDDEN_LOSS) * plan->slots[i])
            plan->rebalance_until_ms = now_ms + REBALANCE_MS;
        if (input->slots[i] < (1 - LARGE_LOSS) * plan->slots[i])
            plan->large_loss_until_ms = now_ms + REBALANCE_MS;
        plan->slots[i] = input->slots[i];
    }
}

static const plan_terms_t *
terms_of(const region_plan_t *plan, const region_plan_input_t *input, uint64_t now_ms)
{
    if (!input->counted || now_ms < plan->large_loss_until_ms)
        return &usual_terms;
    return plan->is_short ? &short_terms : &counted_terms;
}

/* Updates the decaying peak demand of each region. */
static void
update_peak(region_plan_t *plan, const region_plan_input_t *input, size_t region_count,
            uint64_t now_ms)
{
    const double keep = exp(-(double)(now_ms - plan->updated_ms) / PEAK_DECAY_MS);
    for (size_t i = 0; i < region_count; i++) {
        plan->peak[i] = fmax(keep * plan->peak[i], input->demand[i]);
        plan->bound[i] = fmax(keep * plan->bound[i], input->bound[i]);
    }
    const double measured = sum(input->demand, region_count) + sum(input->bound, region_count);
    plan->measured_peak = fmax(keep * plan->measured_peak, measured);
}

/* Sets the shares at once while no demand was seen: backends become known one by one. */
static void
initialize_shares(region_plan_t *plan, const region_plan_input_t *input, size_t region_count,
                  uint64_t now_ms)
{
    const double slots = sum(input->slots, region_count);
    if (slots <= 0)
        return;
    target_shares(input, NULL, region_count, plan->own, plan->share);
    for (size_t i = 0; i < region_count; i++)
        plan->peak[i] = INITIAL_USE * slots / (double)region_count;
    plan->started = true;
    plan->updated_ms = now_ms;
}

/* Moves the shares towards the target, within the rate limits. */
static void
move_shares(region_plan_t *plan, const double *target, const plan_terms_t *terms, uint64_t now_ms)
{
    double distance = 0;
    for (size_t i = 0; i < plan->region_count; i++)
        distance += fabs(target[i] - plan->share[i]) / 2;
    const bool lost = now_ms < plan->rebalance_until_ms;
    const bool returning = target[plan->own] > plan->share[plan->own];
    const double usual_per_s = returning ? terms->return_per_s : terms->outbound_per_s;
    const double per_s = lost ? terms->rebalance_per_s : usual_per_s;
    const double step = per_s * (double)(now_ms - plan->updated_ms) / MS_PER_S;
    plan->updated_ms = now_ms;
    if (distance <= (plan->converging || lost ? 0 : terms->dead_band)) {
        plan->converging = false;
        return;
    }
    plan->converging = distance > step;
    const double part = distance > step ? step / distance : 1;
    for (size_t i = 0; i < plan->region_count; i++)
        plan->share[i] += part * (target[i] - plan->share[i]);
}

static void
move_large_use(region_plan_t *plan, uint64_t now_ms)
{
    const double step = LARGE_USE_PER_S * (double)(now_ms - plan->updated_ms) / MS_PER_S;
    plan->large_use += fmax(-step, fmin(plan->use - plan->large_use, step));
}

void
region_plan_update(region_plan_t *plan, const region_plan_input_t *input, size_t region_count,
                   size_t own, uint64_t now_ms)
{
    double target[TOPOLOGY_REGIONS_MAX];
    if (region_count == 0 || own >= region_count)
        return;
    plan->own = own;
    plan->region_count = region_count;
    detect_slot_loss(plan, input, region_count, now_ms);
    plan->demand_seen |= sum(input->demand, region_count) + sum(input->bound, region_count) > 0;
    if (!plan->started || !plan->demand_seen) {
        initialize_shares(plan, input, region_count, now_ms);
        return;
    }
    plan->use = 0;
    if (input->counted)
        counted_shares(plan, input, target);
    else
        target_shares(input, plan->peak, region_count, own, target);
    move_large_use(plan, now_ms);
    update_peak(plan, input, region_count, now_ms);
    move_shares(plan, target, terms_of(plan, input, now_ms), now_ms);
}

size_t
region_plan_pick(const region_plan_t *plan, double point)
{
    if (!plan->started || point < plan->share[plan->own])
        return plan->own;
    double left = point - plan->share[plan->own];
    size_t last = plan->own;
    for (size_t i = 0; i < plan->region_count; i++) {
        if (i == plan->own || plan->share[i] <= 0)
            continue;
        if (left < plan->share[i])
            return i;
        left -= plan->share[i];
        last = i;
    }
    return last;
}

size_t
region_plan_pick_large(const region_plan_t *plan, double point)
{
    const double use = fmax(plan->large_use, TARGET_USE);
    const double stays = plan->share[plan->own] * fmax(1, LARGE_USE / use);
    return point < stays ? plan->own : region_plan_pick(plan, point);
}

double
region_plan_use(const region_plan_t *plan)
{
    const double slots = sum(plan->slots, plan->region_count);
    return slots > 0 ? plan->measured_peak / slots : 0;
}
