/*
 * Choice: which backend server a request goes to.
 *
 * Decides: a backend, with the reason, or none.
 * Inputs: choice_input_t. The objects, regions and rooms are those this instance knows.
 * Rule:
 *  - Weighted rendezvous hashing orders the backends of a region for each object, by slots. The
 *    first keeps the object in memory and gets the request, if it admits it (admission.h). An
 *    object that asks for much of a backend is kept by several (replicas.h): the one with the
 *    fewest requests a slot gets it.
 *  - Regions are tried in this order: the one planned for the object (region_plan.h), the own one,
 *    the others; a later one only if none before it has a backend that may be used. One that is
 *    full is no reason to go elsewhere.
 *  - Route and client account may be bound to regions; both bind. Requests that may not go to the
 *    planned region are shared among those that are left, in the plan's proportions.
 *  - A request without an object looks at eight backends a region in random order.
 *  - Requests with large answers look in the own data hall first.
 *  - A request under which a backend server has ended goes to the backend of the area with the
 *    fewest requests a slot, warm before cold, whatever its object: should this one end too, fewer
 *    are taken with it.
 *  - What a backend server tells of itself may have it passed over (backend_skip.h); the next one
 * in the request's order gets the request then.
 *  - Avoided backends (health.h) come after all others of their region, unless too many would be
 *    avoided. Cold ones take requests at their pace from their senders only (cold_start.h).
 * Reason: a request about an object that the backend does not have in memory runs 3.3 times as
 * long, misses its objective, and takes slots from three that would not. So a request that finds
 * its backend full is refused at once rather than sent to another one. All instances make the same
 * choice from the same list without talking to each other.
 * Measured: docs/design/gateway/choice.md.
 *
 * Pure but for the cold backends' token buckets. Relies on state/backend.h and state/config.h for
 * what it chooses from.
 */
#pragma once

#include "gateway/policy/admission.h"
#include "gateway/policy/cold_start.h"
#include "gateway/policy/backend_skip.h"
#include "gateway/policy/region_plan.h"
#include "gateway/state/backends.h"
#include "gateway/state/config.h"

typedef enum {
    CHOICE_FIRST,        /* the first in the request's order in the planned region */
    CHOICE_FALLBACK,     /* a later one there */
    CHOICE_OTHER_REGION, /* another region, since the planned one has no backend that may be used */
    CHOICE_QUEUED,       /* it has to queue at the backend */
    CHOICE_FULL,         /* none: no backend admits it */
    CHOICE_ALL_SKIPPED,  /* none: all that might are passed over (backend_skip.h) */
    CHOICE_NONE,         /* none: no backend may get requests */
} choice_reason_t;

typedef struct {
    backend_t *backend; /* NULL if none takes the request; the backend list owns it */
    choice_reason_t reason;
    skip_reason_t
        skip_reason;  /* why the backend before it in the request's order was passed over */
    uint64_t wait_ms; /* CHOICE_ALL_SKIPPED: time until one may get a request; 0 if not known */
} choice_t;

typedef struct {
    const backends_t *backends;
    const topology_t *topology;
    const config_route_t *route;
    const config_account_t *account; /* NULL: of nobody */
    str_t service;
    const region_plan_t *plan; /* of the service */
    str_t own_hall;
    size_t own_region;
    uint64_t object; /* hash of the object, or a random number without one */
    bool has_object;
    uint64_t version;        /* only backends of that software version; 0: any */
    bool suspected;          /* a backend server has ended under the request (quarantine.h) */
    bool may_request_permit; /* the request may ask for a permit (backend_skip.h) */
    double object_demand;    /* slots that requests about the object keep busy */
    uint64_t now_ms;
    uint64_t own_key;             /* of this instance among `senders` */
    const cold_sender_t *senders; /* all instances ever heard of */
    size_t sender_count;
    bool senders_settled;    /* the list of instances can be relied on */
    backend_t *const *tried; /* not to be chosen again */
    size_t tried_count;
    admission_request_t request;
} choice_input_t;

choice_t choice_make(const choice_input_t *input);
const char *choice_reason_name(choice_reason_t reason);
