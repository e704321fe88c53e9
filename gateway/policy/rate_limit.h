/*
 * Rate limit of a backend server: enforces the request rate that a backend announces, over all
 * instances together.
 *
 *  - The owner of the backend (membership/owner.h) grants a permit for each request, from a token
 *    bucket at 0.95 of the limit. The burst is two tokens plus 0.1 s of the limit. A permit that
 *    arrives more than 0.25 s after its request is discarded, so that a paused instance does not
 *    send late.
 *  - An owner that reaches more than half of the instances of its region grants the whole rate;
 *    otherwise it grants the fraction that it reaches. The sides of a partition together stay below
 *    one and a half times the limit.
 *  - One request in ten seconds is permitted however low the limit is, to probe the backend.
 *  - The backend keeps its rank for each object; a request without a permit goes to the next
 *    backend at once, which then keeps the object in memory. In the region plan the backend counts
 *    for the slots that its limit can keep busy.
 *
 * A fixed share per instance does not work for low limits: at half a request per second over nine
 * instances one token each exceeds the limit, and a share is one request in twenty seconds.
 *
 * Stateless.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { PERMIT_LIFETIME_MS = 250 }; /* since the request; longer than a round trip between regions */

/* Rate at which an owner grants permits. */
typedef struct {
    double per_s;
    double burst;
} permit_rate_t;

/* Returns the permit rate. `live` and `known`: numbers of alive and of all
 * instances of the owner's region, including itself.
 */
permit_rate_t rate_limit_permits(double limit_per_s, size_t live, size_t known);

/* Returns the slots that the limit can keep busy, at most `slots`. `response_ms`: usual response
 * time of the service, 0 if not known. */
double rate_limit_usable_slots(double limit_per_s, double slots, double response_ms);
