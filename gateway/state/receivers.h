/*
 * Receivers: the instances that get a change of a view, in an order that is the same on all of
 * them.
 *
 * policy/relay.h decides by the ranks in this order which instance sends to which. Owns the list;
 * its addresses point into the members and are valid until a member is added. Depends on
 * membership/members.h.
 */
#pragma once

#include "gateway/membership/members.h"

typedef struct {
    uint64_t key;
    const addr_t *peer;   /* NULL for this instance */
    view_format_t format; /* encoding it accepts */
} receiver_t;

typedef struct {
    receiver_t *items; /* by rank */
    size_t count;
    size_t own_rank; /* rank of this instance */
} receivers_t;

typedef struct {
    const members_t *members;
    str_t instance;  /* name of this instance */
    size_t region;   /* of this instance */
    bool all_meshes; /* otherwise the own mesh only */
    uint64_t now_ms;
} receivers_input_t;

/* Lists the live instances that get the change up to revision `at`. The order is the same on all
 * instances, except where they disagree on which members are alive. */
receivers_t receivers_select(const receivers_input_t *input, uint64_t at);
/* True if all live instances of the own mesh accept VIEW_FORMAT_PACKED_LIST. */
bool receivers_accept_packed_lists(const receivers_input_t *input);
void receivers_free(receivers_t *receivers);
