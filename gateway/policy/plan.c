#include <math.h>
#include <string.h>

#include "gateway/policy/plan.h"

/* Use of the own region's slots, at the highest demand lately seen, above which requests go
 * elsewhere. */
#define PLAN_TARGET_USE 0.55
/* The same for requests with large answers. */
#define PLAN_LARGE_USE 0.88
/* Use of all slots assumed before any demand was measured, spread evenly over the regions: high,
 * since upstreams that have no object in memory yet work on each request for longer. */
#define PLAN_FIRST_USE 0.7
/* The most of the mix that moves away in a second, comes back, and moves when room was lost. */
#define PLAN_AWAY_PER_S 0.03
#define PLAN_BACK_PER_S 0.004
#define PLAN_LOST_PER_S 0.25
/* A distance from the target below which nothing moves: a moved object is cold where it goes. */
#define PLAN_DEAD_BAND 0.08
/* Time constant with which a past peak of the demand is forgotten. */
#define PLAN_PEAK_MS 40000.0
/* Loss of a region's room, as a share, that counts as sudden. */
#define PLAN_LOSS 0.15
enum { PLAN_LOST_MS = 4000 };
#define MS_PER_S 1000.0

static double
sum(const double *values, size_t count)
{
    double total = 0;
    for (size_t i = 0; i < count; i++)
        total += values[i];
    return total;
}

/* Where the shares should be, leaving out how they are. */
static void
target_shares(const plan_input_t *input, const double *peak, size_t count, size_t own,
              double *target)
{
    double demand[TOPOLOGY_REGIONS_MAX];
    const double all_room = sum(input->room, count);
    memset(target, 0, sizeof(double) * TOPOLOGY_REGIONS_MAX);
    for (size_t i = 0; i < count; i++)
        demand[i] = peak != NULL ? peak[i] : PLAN_FIRST_USE * all_room / (double)count;

    /* If all regions together are over the target, all of them are over it alike. */
    const double use = all_room > 0 ? fmax(PLAN_TARGET_USE, sum(demand, count) / all_room) : 0;
    const double bearable = use * input->room[own];
    const double local = demand[own] > bearable ? bearable / demand[own] : 1;
    double spare[TOPOLOGY_REGIONS_MAX] = {0};
    for (size_t i = 0; i < count; i++) {
        const double free_room = use * input->room[i] - demand[i];
        if (i != own && free_room > 0)
            spare[i] = free_room;
    }
    const double all_spare = sum(spare, count);
    for (size_t i = 0; i < count; i++)
        target[i] = all_spare > 0 ? (1 - local) * spare[i] / all_spare : 0;
    target[own] = all_spare > 0 ? local : 1;
}

/* Notes a sudden loss of room anywhere. */
static void
watch_room(plan_t *plan, const plan_input_t *input, size_t region_count, uint64_t now_ms)
{
    for (size_t i = 0; i < region_count; i++) {
        if (input->room[i] < (1 - PLAN_LOSS) * plan->room[i])
            plan->lost_until_ms = now_ms + PLAN_LOST_MS;
        plan->room[i] = input->room[i];
    }
}

/* The highest demand of each region, slowly forgotten. */
static void
follow_peak(plan_t *plan, const plan_input_t *input, size_t region_count, uint64_t now_ms)
{
    const double keep = exp(-(double)(now_ms - plan->updated_ms) / PLAN_PEAK_MS);
    for (size_t i = 0; i < region_count; i++)
        plan->peak[i] = fmax(keep * plan->peak[i], input->demand[i]);
    plan->measured_peak = fmax(keep * plan->measured_peak, sum(input->demand, region_count));
}

/* Before any demand was seen the shares follow the room at once: upstreams become known one by one.
 */
static void
start(plan_t *plan, const plan_input_t *input, size_t region_count, uint64_t now_ms)
{
    const double room = sum(input->room, region_count);
    if (room <= 0)
        return;
    target_shares(input, NULL, region_count, plan->own, plan->share);
    for (size_t i = 0; i < region_count; i++)
        plan->peak[i] = PLAN_FIRST_USE * room / (double)region_count;
    plan->started = true;
    plan->updated_ms = now_ms;
}

void
plan_update(plan_t *plan, const plan_input_t *input, size_t region_count, size_t own,
            uint64_t now_ms)
{
    double target[TOPOLOGY_REGIONS_MAX];
    if (region_count == 0 || own >= region_count)
        return;
    plan->own = own;
    plan->region_count = region_count;
    watch_room(plan, input, region_count, now_ms);
    plan->used |= sum(input->demand, region_count) > 0;
    if (!plan->started || !plan->used) {
        start(plan, input, region_count, now_ms);
        return;
    }
    target_shares(input, plan->peak, region_count, own, target);
    follow_peak(plan, input, region_count, now_ms);
    double distance = 0;
    for (size_t i = 0; i < region_count; i++)
        distance += fabs(target[i] - plan->share[i]) / 2;
    const bool lost = now_ms < plan->lost_until_ms;
    const double per_s = lost                             ? PLAN_LOST_PER_S
                         : target[own] > plan->share[own] ? PLAN_BACK_PER_S
                                                          : PLAN_AWAY_PER_S;
    const double step = per_s * (double)(now_ms - plan->updated_ms) / MS_PER_S;
    plan->updated_ms = now_ms;
    if (distance <= (plan->moving || lost ? 0 : PLAN_DEAD_BAND)) {
        plan->moving = false;
        return;
    }
    plan->moving = distance > step;
    const double part = distance > step ? step / distance : 1;
    for (size_t i = 0; i < region_count; i++)
        plan->share[i] += part * (target[i] - plan->share[i]);
}

size_t
plan_region(const plan_t *plan, double point)
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
plan_region_large(const plan_t *plan, double point)
{
    const double stays = plan->share[plan->own] * PLAN_LARGE_USE / PLAN_TARGET_USE;
    return point < stays ? plan->own : plan_region(plan, point);
}

double
plan_use(const plan_t *plan)
{
    const double room = sum(plan->room, plan->region_count);
    return room > 0 ? plan->measured_peak / room : 0;
}
