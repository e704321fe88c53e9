/*
 * Named limit: how a backend server gets no more requests than it says that it takes, from all
 * instances together.
 *
 * Decides: how fast the owner of a backend server (membership/owner.h) gives out permits, each for
 * one send; for how many slots the backend server counts meanwhile.
 * Inputs: the limit (requests a second), the instances that the owner hears and knows, the usual
 * time of an answer (ms).
 * Rule:
 *  - Permits come from one token bucket at 0.95 of the limit, with two tokens and what the
 *    limit gives in 0.1 s as burst. A permit that has not come within 0.25 s of being asked for is
 *    not used: so what an instance that stood still was given is not sent late.
 *  - An owner that hears more than half of the instances of its region gives out all of it, one
 *    that hears fewer their part: the parts of a cut fleet together stay below one and a half times
 *    the limit.
 *  - One request in ten seconds goes out however low the limit is: it finds out.
 *  - The backend server stays where it is in the order of each object: what finds no permit goes to
 *    the next one, which has the object in memory from then on. For the region's plan it counts for
 *    the slots that its limit can keep busy.
 * Reason: at half a request a second and nine instances a token kept by each is more than the
 * bound, and a share of each is one request in twenty seconds. Requests that find no permit go
 * elsewhere at once.
 * Measured: docs/design/gateway/told-in-answers.md.
 *
 * Pure: no state, no clock.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { PERMIT_LIFETIME_MS = 250 }; /* from when it is asked for; above two ways between regions */

/* What an owner gives out. */
typedef struct {
    double per_s;
    double burst;
} permit_rate_t;

/* `heard` and `known` instances of the owner's region, itself among them. */
permit_rate_t rate_limit_permits(double limit_per_s, size_t heard, size_t known);

/* The slots for which the backend server counts; `answer_ms`: usual time of its service's answers,
 * 0 if not known. */
double rate_limit_usable_slots(double limit_per_s, double slots, double answer_ms);
