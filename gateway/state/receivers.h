/*
 * Receivers: the instances that are to have a change of a view, in an order that is the same on
 * each of them.
 *
 * policy/relay.h decides by the ranks in this order who sends to whom. Owns the order it made; the
 * addresses in it are the members', and hold until the next member is added. Relies on
 * membership/members.h.
 */
#pragma once

#include "gateway/membership/members.h"

typedef struct {
    uint64_t key;
    const addr_t *peer;   /* NULL for this instance */
    view_format_t format; /* how it takes the change */
} receiver_t;

typedef struct {
    receiver_t *items; /* by rank */
    size_t count;
    size_t own_rank; /* rank of this instance */
} receivers_t;

typedef struct {
    const members_t *members;
    str_t instance; /* name of this instance */
    size_t region;
    bool all_regions; /* else those of the own region */
    uint64_t now_ms;
} receivers_input_t;

/* The living instances that are to have the change up to revision `at`, in an order that is the
 * same on each of them but for instances that not all count as living. */
receivers_t receivers_select(const receivers_input_t *input, uint64_t at);
/* True if all living instances of the region take lists. */
bool receivers_accept_packed_lists(const receivers_input_t *input);
void receivers_free(receivers_t *receivers);
