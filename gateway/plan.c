#include <math.h>
#include <string.h>

#include "gateway/plan.h"

/* Use of the own region's slots above which requests go elsewhere. */
#define PLAN_TARGET_USE 0.65
/* Use of all slots assumed before any demand was measured, spread evenly over the regions. */
#define PLAN_FIRST_USE 0.4
/* The most of the mix that moves in a second. */
#define PLAN_STEP_PER_S 0.03
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
target_shares(const plan_input_t *input, size_t count, size_t own, double *target)
{
    double demand[TOPOLOGY_REGIONS_MAX];
    const double all_room = sum(input->room, count);
    const double measured = sum(input->demand, count);
    memset(target, 0, sizeof(double) * TOPOLOGY_REGIONS_MAX);
    for (size_t i = 0; i < count; i++)
        demand[i] = measured > 0 ? input->demand[i] : PLAN_FIRST_USE * all_room / (double)count;

    const double bearable = PLAN_TARGET_USE * input->room[own];
    double local = demand[own] > bearable ? bearable / demand[own] : 1;
    double spare[TOPOLOGY_REGIONS_MAX] = {0};
    for (size_t i = 0; i < count; i++) {
        const double free_room = PLAN_TARGET_USE * input->room[i] - demand[i];
        if (i != own && free_room > 0)
            spare[i] = free_room;
    }
    const double all_spare = sum(spare, count);
    if (all_spare <= 0)
        local = input->room[own] > 0 ? 1 : local;
    /* What the others can't bear either stays at home. */
    const double away = (1 - local) * demand[own];
    if (all_spare > 0 && away > all_spare && input->room[own] > 0)
        local = 1 - all_spare / demand[own];
    for (size_t i = 0; i < count; i++)
        target[i] = all_spare > 0 ? (1 - local) * spare[i] / all_spare : 0;
    target[own] = all_spare > 0 ? local : 1;
}

void
plan_update(plan_t *plan, const plan_input_t *input, size_t region_count, size_t own,
            uint64_t now_ms)
{
    double target[TOPOLOGY_REGIONS_MAX];
    if (region_count == 0 || own >= region_count)
        return;
    target_shares(input, region_count, own, target);
    plan->own = own;
    plan->region_count = region_count;
    if (!plan->started) {
        if (sum(input->room, region_count) <= 0)
            return;
        memcpy(plan->share, target, sizeof(target));
        plan->started = true;
        plan->updated_ms = now_ms;
        return;
    }
    double distance = 0;
    for (size_t i = 0; i < region_count; i++)
        distance += fabs(target[i] - plan->share[i]) / 2;
    const double step = PLAN_STEP_PER_S * (double)(now_ms - plan->updated_ms) / MS_PER_S;
    plan->updated_ms = now_ms;
    if (distance <= 0)
        return;
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
