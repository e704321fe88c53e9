/*
 * Object replicas: how many backend servers of a region keep an object in memory.
 *
 * One, as long as requests about the object keep at most half of a backend's slots busy; beyond
 * that as many as bring the use down to half, at most 8. Each replica costs a run without the
 * object in memory, 3.3 times as long as others, and another one whenever it moves. A second
 * replica that is used when the first is busy lowered a day's score under load by a fifth (rounds
 * 1 and 6).
 *
 * See docs/design/gateway/decisions-under-load.md. Stateless.
 */
#pragma once

#include <stddef.h>

enum { REPLICAS_MAX = 8 };

size_t replicas_decide(double demand_slots, double backend_slots);
