#include "gateway/membership/directory.h"
#include "gateway/policy/subset.h"

static bool
is_listed(const member_t *member, uint64_t now_ms)
{
    return member->heard && member->ready && !member->leaving &&
           now_ms - member->heard_ms <= member_unlisted_after_ms(member);
}

/* Collects the instances of a data hall that may be listed; returns their number. */
static size_t
collect_hall(const members_t *members, str_t hall, uint64_t now_ms,
             subset_instance_t out[MEMBERS_MAX])
{
    size_t count = 0;
    for (size_t i = 0; i < members->count && count < MEMBERS_MAX; i++) {
        const member_t *member = &members->items[i];
        if (!is_listed(member, now_ms) || !name_eq(&member->hall, hall))
            continue;
        out[count++] = (subset_instance_t){
            .callers = member->callers,
            .key = member_key(name_str(&member->instance)),
            .link_bytes_per_s = member->capacity.link_bytes_per_s,
            .cpu_cores = member->capacity.cpu_cores,
            .requests_per_s = member->capacity.requests_per_s,
            .bytes_per_s = member->capacity.bytes_per_s,
        };
    }
    return count;
}

static size_t
pick_in_hall(const members_t *members, str_t hall, uint64_t now_ms, addr_t out[DIRECTORY_MAX])
{
    static subset_instance_t instances[MEMBERS_MAX];
    const size_t count = collect_hall(members, hall, now_ms, instances);
    const size_t listed = subset_select(instances, count);
    size_t copied = 0;
    while (copied < listed && copied < DIRECTORY_MAX) {
        out[copied] = instances[copied].callers;
        copied++;
    }
    return copied;
}

/* Lists all instances of a region, or of all regions. */
static size_t
pick_in_region(const members_t *members, size_t region, uint64_t now_ms, addr_t out[DIRECTORY_MAX])
{
    size_t count = 0;
    for (size_t i = 0; i < members->count && count < DIRECTORY_MAX; i++) {
        const member_t *member = &members->items[i];
        if (is_listed(member, now_ms) && (region == TOPOLOGY_NO_REGION || member->region == region))
            out[count++] = member->callers;
    }
    return count;
}

size_t
directory_pick(const members_t *members, const topology_t *topology, str_t region, str_t hall,
               uint64_t now_ms, addr_t out[DIRECTORY_MAX])
{
    size_t count = pick_in_hall(members, hall, now_ms, out);
    if (count == 0)
        count = pick_in_region(members, topology_region(topology, region), now_ms, out);
    if (count == 0)
        count = pick_in_region(members, TOPOLOGY_NO_REGION, now_ms, out);
    return count;
}
