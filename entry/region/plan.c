#include <stdlib.h>
#include <string.h>

#include "base/mutate.h"
#include "base/xmalloc.h"
#include "entry/region/plan.h"

/* When this instance first saw that a former holder can no longer renew its authority. */
typedef struct {
    name_t instance;
    uint64_t incarnation;
    uint64_t left_epoch; /* distinguishes repeated departures of one incarnation */
    uint64_t since_ms;
} expiry_t;

struct planner {
    expiry_t *expiries;
    size_t count;
};

planner_t *
planner_new(void)
{
    return xcalloc(1, sizeof(planner_t));
}

void
planner_free(planner_t *planner)
{
    if (planner == NULL)
        return;
    free(planner->expiries);
    free(planner);
}

static const plan_member_t *
find_member(const plan_input_t *input, const name_t *instance, uint64_t incarnation)
{
    for (size_t i = 0; i < input->member_count; i++) {
        const plan_member_t *member = &input->members[i];
        if (member->incarnation == incarnation && name_eq(&member->instance, name_str(instance)))
            return member;
    }
    return NULL;
}

/* A new incarnation of an instance means that the previous one has ended. */
static bool
is_listed(const plan_input_t *input, const former_holder_t *former)
{
    for (size_t i = 0; i < input->member_count; i++) {
        const plan_member_t *member = &input->members[i];
        if (!name_eq(&member->instance, name_str(&former->instance)))
            continue;
        return member->listed && (member->incarnation == former->incarnation || !member->alive);
    }
    return false;
}

static const holder_t *
find_holder(const allocation_t *allocation, const plan_member_t *member)
{
    for (size_t i = 0; allocation != NULL && i < allocation->holder_count; i++) {
        const holder_t *holder = &allocation->holders[i];
        if (holder->incarnation == member->incarnation &&
            name_eq(&holder->instance, name_str(&member->instance)))
            return holder;
    }
    return NULL;
}

static bool
all_holders_acked(const credit_t *credit, const allocation_t *allocation)
{
    for (size_t i = 0; i < allocation->holder_count; i++) {
        const holder_t *holder = &allocation->holders[i];
        if (!credit_acked(credit, name_str(&holder->instance), holder->incarnation))
            return false;
    }
    return true;
}

/* Former holders can renew each other's authority only as a majority of their old epoch. */
static bool
former_holders_lack_majority(const allocation_t *allocation, const plan_input_t *input,
                             const former_holder_t *former)
{
    size_t listed = 0;
    for (size_t i = 0; i < allocation->former_count; i++) {
        if (is_listed(input, &allocation->formers[i]))
            listed++;
    }
    return listed <= former->quorum_of / 2;
}

static expiry_t *
find_expiry(const planner_t *planner, const former_holder_t *former)
{
    for (size_t i = 0; i < planner->count; i++) {
        expiry_t *expiry = &planner->expiries[i];
        if (expiry->incarnation == former->incarnation &&
            expiry->left_epoch == former->left_epoch &&
            name_eq(&expiry->instance, name_str(&former->instance)))
            return expiry;
    }
    return NULL;
}

/* Advances the stage of a former holder once its authority and its requests have expired. */
static former_holder_stage_t
next_stage(planner_t *planner, const credit_t *credit, const allocation_t *allocation,
           const plan_input_t *input, const former_holder_t *former, uint64_t now_ms)
{
    if (mutate_is(MUTATE_EARLY_REISSUE))
        return FORMER_HOLDER_FLOOR_ONLY;
    if (former->stage == FORMER_HOLDER_FLOOR_ONLY || !all_holders_acked(credit, allocation))
        return former->stage;
    if (is_listed(input, former) && !former_holders_lack_majority(allocation, input, former))
        return former->stage;
    const expiry_t *expiry = find_expiry(planner, former);
    if (expiry == NULL) {
        planner->expiries =
            xrealloc(planner->expiries, (planner->count + 1) * sizeof(*planner->expiries));
        planner->expiries[planner->count++] = (expiry_t){.instance = former->instance,
                                                         .incarnation = former->incarnation,
                                                         .left_epoch = former->left_epoch,
                                                         .since_ms = now_ms};
        return former->stage;
    }
    const uint64_t authority_end_ms = expiry->since_ms + CREDIT_FENCE_MS;
    if (now_ms >= authority_end_ms + input->longest_deadline_ms)
        return FORMER_HOLDER_FLOOR_ONLY;
    return now_ms >= authority_end_ms + CREDIT_SHORT_MS ? FORMER_HOLDER_LONG_ONLY : former->stage;
}

static void
add_former_holder(allocation_t *next, const former_holder_t *former)
{
    next->formers = xrealloc(next->formers, (next->former_count + 1) * sizeof(*next->formers));
    next->formers[next->former_count++] = *former;
}

/* True if a former holder is alive again and has reported that it holds no credits in use. */
static bool
has_rejoined(const credit_t *credit, const plan_input_t *input, const former_holder_t *former)
{
    const plan_member_t *member = find_member(input, &former->instance, former->incarnation);
    return member != NULL && member->alive &&
           credit_peer_settled(credit, name_str(&former->instance), former->incarnation);
}

static void
carry_former_holders(planner_t *planner, const credit_t *credit, const allocation_t *old,
                     const plan_input_t *input, allocation_t *next, uint64_t now_ms)
{
    for (size_t i = 0; i < old->former_count; i++) {
        former_holder_t former = old->formers[i];
        if (has_rejoined(credit, input, &former))
            continue;
        former.stage = next_stage(planner, credit, old, input, &former, now_ms);
        if (former.stage != FORMER_HOLDER_FLOOR_ONLY || is_listed(input, &former))
            add_former_holder(next, &former);
    }
    for (size_t i = 0; i < old->holder_count; i++) {
        const holder_t *holder = &old->holders[i];
        const plan_member_t *member = find_member(input, &holder->instance, holder->incarnation);
        if (member != NULL && (member->alive || member->surrendered))
            continue;
        const former_holder_t former = {.instance = holder->instance,
                                        .incarnation = holder->incarnation,
                                        .quorum_of = holder->quorum_of,
                                        .long_bound = holder->long_bound,
                                        .left_epoch = old->epoch};
        add_former_holder(next, &former);
    }
}

static void
add_holders(const credit_t *credit, const allocation_t *old, const plan_input_t *input,
            allocation_t *next)
{
    next->holders = xcalloc(input->member_count, sizeof(*next->holders));
    for (size_t i = 0; i < input->member_count; i++) {
        const plan_member_t *member = &input->members[i];
        if (!member->alive || member->surrendered || next->holder_count == CREDIT_HOLDERS_MAX)
            continue;
        const holder_t *previous = find_holder(old, member);
        holder_t *holder = &next->holders[next->holder_count++];
        *holder = (holder_t){.instance = member->instance, .incarnation = member->incarnation};
        if (previous == NULL)
            continue;
        const bool acked =
            credit_acked(credit, name_str(&previous->instance), previous->incarnation);
        holder->credits = previous->credits;
        holder->quorum_of = acked ? (uint32_t)old->holder_count : previous->quorum_of;
        holder->long_bound =
            credit_peer_settled(credit, name_str(&previous->instance), previous->incarnation)
                ? credit_long_share(previous->credits)
                : previous->long_bound;
    }
    for (size_t i = 0; i < next->holder_count; i++) {
        holder_t *holder = &next->holders[i];
        if (holder->quorum_of == 0 || holder->quorum_of > next->holder_count)
            holder->quorum_of = (uint32_t)next->holder_count;
    }
}

static int
compare_holders(const void *a, const void *b)
{
    return strcmp(((const holder_t *)a)->instance.ptr, ((const holder_t *)b)->instance.ptr);
}

static bool
any_former_holder_active(const allocation_t *next)
{
    for (size_t i = 0; i < next->former_count; i++) {
        if (next->formers[i].stage == FORMER_HOLDER_ACTIVE)
            return true;
    }
    return false;
}

static void
distribute_credits(const allocation_t *old, allocation_t *next)
{
    const size_t n = next->holder_count;
    if (old != NULL && any_former_holder_active(next)) {
        /* No holder may gain credits now; a lower limit reduces all in proportion. */
        for (size_t i = 0; i < n && old->limit > next->limit; i++)
            next->holders[i].credits =
                (uint32_t)((uint64_t)next->holders[i].credits * next->limit / old->limit);
        return;
    }
    uint64_t reserved = 0;
    for (size_t i = 0; i < next->former_count; i++)
        reserved += former_holder_reserve(&next->formers[i]);
    const uint32_t free_credits = next->limit > reserved ? (uint32_t)(next->limit - reserved) : 0;
    for (size_t i = 0; i < n; i++)
        next->holders[i].credits = (uint32_t)(free_credits / n + (i < free_credits % n ? 1 : 0));
}

/* A long bound covers the long share of this epoch and of the earlier ones. */
static void
raise_long_bounds(allocation_t *next)
{
    for (size_t i = 0; i < next->holder_count; i++) {
        const uint32_t part = credit_long_share(next->holders[i].credits);
        if (part > next->holders[i].long_bound)
            next->holders[i].long_bound = part;
    }
}

static bool
same_allocation(const allocation_t *a, const allocation_t *b)
{
    if (a->limit != b->limit || a->holder_count != b->holder_count ||
        a->former_count != b->former_count)
        return false;
    for (size_t i = 0; i < a->holder_count; i++) {
        if (a->holders[i].incarnation != b->holders[i].incarnation ||
            a->holders[i].credits != b->holders[i].credits ||
            !name_eq(&a->holders[i].instance, name_str(&b->holders[i].instance)))
            return false;
    }
    for (size_t i = 0; i < a->former_count; i++) {
        if (a->formers[i].stage != b->formers[i].stage ||
            a->formers[i].incarnation != b->formers[i].incarnation)
            return false;
    }
    return true;
}

allocation_t *
planner_next(planner_t *planner, const credit_t *credit, const plan_input_t *input, uint64_t now_ms)
{
    const allocation_t *old = credit_allocation(credit);
    allocation_t *next = xcalloc(1, sizeof(*next));
    next->region = input->region;
    next->limit = input->limit;
    if (old != NULL)
        carry_former_holders(planner, credit, old, input, next, now_ms);
    add_holders(credit, old, input, next);
    qsort(next->holders, next->holder_count, sizeof(*next->holders), compare_holders);
    if (next->holder_count > 0)
        distribute_credits(old, next);
    raise_long_bounds(next);
    if (next->holder_count == 0 || (old != NULL && same_allocation(old, next))) {
        allocation_free(next);
        return NULL;
    }
    return next;
}
