/*
 * Replicas: how many backend servers of a region keep an object in memory.
 *
 * Decides: the number of replicas of one object.
 * Inputs: the slots that requests about the object keep busy, over all instances, and the slots of
 * a backend.
 * Rule: one, as long as they keep no more than half of its slots busy; beyond that as many as bring
 * them down to that, at most 8.
 * Reason: each replica costs one run without the object in memory, 3.3 times as long as others, and
 * again whenever it moves. A second one that is used when the first is busy costs a fifth of a
 * day's worth under load; but an object that alone asks for more than a backend has must be shared.
 * Measured: docs/design/gateway/decisions-under-load.md, rounds 1 and 6.
 *
 * Pure: no state, no clock.
 */
#pragma once

#include <stddef.h>

enum { REPLICAS_MAX = 8 }; /* chosen, not measured */

size_t replicas_decide(double demand_slots, double backend_slots);
