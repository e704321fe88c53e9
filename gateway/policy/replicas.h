/*
 * Object replicas: how many backend servers of a region keep an object in memory.
 *
 * One, as long as requests about the object keep at most half of a backend's slots busy; beyond
 * that as many as bring the use down to half, at most 8. Each replica costs a run without the
 * object in memory, several times as long as others, and another one whenever it moves. While one
 * backend can take the requests about an object, a second replica only keeps slots busy that other
 * callers need.
 *
 * See docs/design/gateway/decisions-under-load.md. Stateless.
 */
#pragma once

#include <stddef.h>

enum { REPLICAS_MAX = 8 };

size_t replicas_decide(double demand_slots, double backend_slots);
