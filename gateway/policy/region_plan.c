#include <math.h>
#include <string.h>

#include "gateway/policy/region_plan.h"

/* Use of the own region's slots at peak demand above which requests go to other regions. */
#define TARGET_USE 0.55
/* The same for requests with large responses: higher, as carrying these between regions is
 * expensive. */
#define LARGE_USE 0.88
/* Use of all slots that is assumed before any demand is measured; high, since backends without
 * objects in memory work on each request for longer. */
#define INITIAL_USE 0.7
/* Bounds on the shares moved per second: away from the own region, back to it, and after a loss of
 * slots. The first two are below the platform's bound on traffic shifts (0.15 in 2 s); the last one
 * exceeds it, as a sudden loss is exempt. */
#define OUTBOUND_PER_S 0.03
#define RETURN_PER_S 0.004
#define REBALANCE_PER_S 0.25
/* Distance from the target below which nothing moves: moved objects run cold. */
#define DEAD_BAND 0.08
/* Time constant, in milliseconds, of the decay of peak demand. */
#define PEAK_DECAY_MS 40000.0
/* Loss of a region's slots, as a share, that counts as sudden, and the time in milliseconds for
 * which shares then move fast. */
#define SUDDEN_LOSS 0.15
enum { REBALANCE_MS = 4000 };
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

/* Detects a sudden loss of slots in any region. */
static void
detect_slot_loss(region_plan_t *plan, const region_plan_input_t *input, size_t region_count,
                 uint64_t now_ms)
{
    for (size_t i = 0; i < region_count; i++) {
        if (input->slots[i] < (1 - SUDDEN_LOSS) * plan->slots[i])
            plan->rebalance_until_ms = now_ms + REBALANCE_MS;
        plan->slots[i] = input->slots[i];
    }
}

/* Updates the decaying peak demand of each region. */
static void
update_peak(region_plan_t *plan, const region_plan_input_t *input, size_t region_count,
            uint64_t now_ms)
{
    const double keep = exp(-(double)(now_ms - plan->updated_ms) / PEAK_DECAY_MS);
    for (size_t i = 0; i < region_count; i++)
        plan->peak[i] = fmax(keep * plan->peak[i], input->demand[i]);
    plan->measured_peak = fmax(keep * plan->measured_peak, sum(input->demand, region_count));
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
move_shares(region_plan_t *plan, const double *target, uint64_t now_ms)
{
    double distance = 0;
    for (size_t i = 0; i < plan->region_count; i++)
        distance += fabs(target[i] - plan->share[i]) / 2;
    const bool lost = now_ms < plan->rebalance_until_ms;
    const bool returning = target[plan->own] > plan->share[plan->own];
    const double usual_per_s = returning ? RETURN_PER_S : OUTBOUND_PER_S;
    const double per_s = lost ? REBALANCE_PER_S : usual_per_s;
    const double step = per_s * (double)(now_ms - plan->updated_ms) / MS_PER_S;
    plan->updated_ms = now_ms;
    if (distance <= (plan->converging || lost ? 0 : DEAD_BAND)) {
        plan->converging = false;
        return;
    }
    plan->converging = distance > step;
    const double part = distance > step ? step / distance : 1;
    for (size_t i = 0; i < plan->region_count; i++)
        plan->share[i] += part * (target[i] - plan->share[i]);
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
    plan->demand_seen |= sum(input->demand, region_count) > 0;
    if (!plan->started || !plan->demand_seen) {
        initialize_shares(plan, input, region_count, now_ms);
        return;
    }
    target_shares(input, plan->peak, region_count, own, target);
    update_peak(plan, input, region_count, now_ms);
    move_shares(plan, target, now_ms);
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
    const double stays = plan->share[plan->own] * LARGE_USE / TARGET_USE;
    return point < stays ? plan->own : region_plan_pick(plan, point);
}

double
region_plan_use(const region_plan_t *plan)
{
    const double slots = sum(plan->slots, plan->region_count);
    return slots > 0 ? plan->measured_peak / slots : 0;
}
