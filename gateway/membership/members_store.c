#include "gateway/membership/members_store.h"

#include "gateway/policy/store_schedule.h"

enum {
    /* An idle watch answers after at most 3 s; the rest allows for latency. */
    WATCHER_AGE_MAX_MS = 3500,
};

static store_candidate_t
store_candidate(const member_t *member)
{
    return (store_candidate_t){
        .link_bytes_per_s = member->capacity.link_bytes_per_s,
        .cpu_cores = member->capacity.cpu_cores,
        .name = name_str(&member->instance),
    };
}

/* Of unknown capacity if no member has the name. */
static store_candidate_t
find_store_candidate(const members_t *members, str_t name)
{
    for (size_t i = 0; i < members->count; i++) {
        if (name_eq(&members->items[i].instance, name))
            return store_candidate(&members->items[i]);
    }
    return (store_candidate_t){.name = name};
}

size_t
members_rank_in_mesh(const members_t *members, str_t own, size_t region, bool served,
                     uint64_t now_ms)
{
    const size_t mesh = members_own_mesh(members, region);
    const store_candidate_t own_candidate = find_store_candidate(members, own);
    size_t rank = 0;
    for (size_t i = 0; i < members->count; i++) {
        const member_t *member = &members->items[i];
        if (members_mesh(members, member) != mesh || !member_alive(member, now_ms) ||
            member->leaving || (served && member->store_failing))
            continue;
        const store_candidate_t candidate = store_candidate(member);
        rank += store_schedule_precedes(&candidate, &own_candidate);
    }
    return rank;
}

uint32_t
members_store_age_max_ms(const members_t *members, size_t region, uint64_t now_ms)
{
    return WATCHER_AGE_MAX_MS + members_interval_ms(members, region, now_ms);
}

void
members_forget_announcements(members_t *members)
{
    for (size_t i = 0; i < members->count; i++)
        members->items[i].announced = false;
}

/* True if the member is alive and the store answered it within `age_ms`. */
static bool
has_recent_answer(const member_t *member, uint32_t age_ms, uint64_t now_ms)
{
    return member_alive(member, now_ms) && member->store_age_ms != STORE_AGE_NONE &&
           member->store_age_ms + (now_ms - member->heard_ms) <= age_ms;
}

bool
members_watch_store(const members_t *members, size_t region, uint32_t age_ms, uint64_t now_ms)
{
    const bool all_send_changes = members->count <= MEMBERS_FULL_MESH_MAX;
    const size_t mesh = members_own_mesh(members, region);
    for (size_t i = 0; i < members->count; i++) {
        const bool sends_changes =
            all_send_changes || members_mesh(members, &members->items[i]) == mesh;
        if (sends_changes && has_recent_answer(&members->items[i], age_ms, now_ms))
            return true;
    }
    return false;
}

bool
members_store_is_down(const members_t *members, str_t own, bool own_failing, uint32_t age_ms,
                      uint64_t now_ms)
{
    size_t alive = 1;
    size_t failing = own_failing;
    for (size_t i = 0; i < members->count; i++) {
        const member_t *member = &members->items[i];
        if (!member_alive(member, now_ms) || name_eq(&member->instance, own))
            continue;
        if (!member->store_failing && has_recent_answer(member, age_ms, now_ms))
            return false;
        alive++;
        failing += member->store_failing;
    }
    return failing >= (alive < MEMBERS_OUTAGE_QUORUM ? alive : MEMBERS_OUTAGE_QUORUM);
}

bool
members_any_store_failure(const members_t *members, uint64_t now_ms)
{
    for (size_t i = 0; i < members->count; i++) {
        if (member_alive(&members->items[i], now_ms) && members->items[i].store_failing)
            return true;
    }
    return false;
}

bool
members_store_serves(const members_t *members, uint32_t age_ms, uint64_t now_ms)
{
    for (size_t i = 0; i < members->count; i++) {
        const member_t *member = &members->items[i];
        if (!member->store_failing && has_recent_answer(member, age_ms, now_ms))
            return true;
    }
    return false;
}
