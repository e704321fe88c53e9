#include "gateway/state/receivers.h"

#include <stdlib.h>

#include "base/xmalloc.h"

static int
compare_keys(const void *left, const void *right)
{
    const uint64_t a = ((const receiver_t *)left)->key;
    const uint64_t b = ((const receiver_t *)right)->key;
    return (a > b) - (a < b);
}

/* The order depends on the revision, so that a failed instance does not block every change, nor the
 * same branch for two watchers. */
static uint64_t
rank_key(str_t instance, uint64_t at)
{
    return str_hash(instance, at);
}

receivers_t
receivers_select(const receivers_input_t *input, uint64_t at)
{
    const members_t *members = input->members;
    const size_t own_mesh = members_own_mesh(members, input->region);
    receivers_t receivers = {.items = xcalloc(members->count + 1, sizeof(*receivers.items))};
    receivers.items[receivers.count++] = (receiver_t){.key = rank_key(input->instance, at)};
    for (size_t i = 0; i < members->count; i++) {
        const member_t *member = &members->items[i];
        const str_t name = name_str(&member->instance);
        if (!member_alive(member, input->now_ms) || str_eq(name, input->instance))
            continue;
        if (input->all_meshes || members_mesh(members, member) == own_mesh)
            receivers.items[receivers.count++] =
                (receiver_t){rank_key(name, at), &member->peer, member->view_format};
    }
    qsort(receivers.items, receivers.count, sizeof(*receivers.items), compare_keys);
    while (receivers.items[receivers.own_rank].peer != NULL)
        receivers.own_rank++;
    return receivers;
}

bool
receivers_accept_packed_lists(const receivers_input_t *input)
{
    const size_t own_mesh = members_own_mesh(input->members, input->region);
    for (size_t i = 0; i < input->members->count; i++) {
        const member_t *member = &input->members->items[i];
        const bool is_self = name_eq(&member->instance, input->instance);
        if (!is_self && member_alive(member, input->now_ms) &&
            members_mesh(input->members, member) == own_mesh &&
            member->view_format < VIEW_FORMAT_PACKED_LIST)
            return false;
    }
    return true;
}

void
receivers_free(receivers_t *receivers)
{
    free(receivers->items);
    *receivers = (receivers_t){0};
}
