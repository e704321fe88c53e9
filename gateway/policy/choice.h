/*
 * Backend selection: which backend server a request goes to.
 *
 *  - Weighted rendezvous hashing ranks the backends of a region for each object, with their slots
 *    as weights. The first one keeps the object in memory and gets the request if it admits it
 *    (admission.h). An object in high demand is kept by several backends (replicas.h); the one with
 *    the fewest requests per slot gets the request.
 *  - If none of these admits it, the next one in the ranking gets it whose response is expected
 *    before the caller gives up, the longer run without the object included; if there is none among
 *    the first, the least loaded one of all.
 *  - Regions are tried in this order: the one planned for the object (region_plan.h), the
 *    instance's own, the others. A later region is tried only if the earlier ones have no usable
 *    backend; a full backend is no reason to leave a region.
 *  - Route and client account may each be restricted to regions; both restrictions apply. Requests
 *    that may not go to the planned region are spread over the allowed ones in the plan's
 *    proportions.
 *  - Where the service's work is counted, an object's backend that is known to be slow or full at
 *    this moment gives the request to the one with the lowest expected response time
 *    (response_time.h): another of the object's backends, or the next in the ranking, which then
 *    loads the object too. That one copy is opened only if the response is expected before the
 *    caller gives up and while slots are spare, and it is not used again once the first backend is
 *    as usual.
 *  - A request without an object considers eight backends per region in random order.
 *  - Requests with large responses try the instance's own data hall first.
 *  - A request under which a backend server has ended (quarantine.h) goes to the least loaded
 *    backend of the area, warm ones first, whatever its object: if that backend ends too, fewer
 *    requests are lost with it.
 *  - During a roll-out (rollout.h) a request may be restricted to some software versions.
 *  - A backend may be skipped because of what it reported about itself (backend_skip.h); the next
 *    one in the ranking then gets the request.
 *  - Avoided backends (health.h) rank behind all others of their region, unless too many would be
 *    avoided. Cold backends get requests only from their assigned senders, at a limited rate
 *    (cold_start.h).
 *
 * A request whose object the backend does not have in memory runs for several times as long and
 * takes the slots of several others. It therefore queues at the backend that has its object while
 * its caller's time allows it, and goes to another one only instead of being refused. All instances
 * make the same choice from the same list without coordination.
 *
 * See docs/design/gateway/choice.md. Stateless except for the token buckets of cold backends.
 */
#pragma once

#include "gateway/policy/admission.h"
#include "gateway/policy/cold_start.h"
#include "gateway/policy/backend_skip.h"
#include "gateway/policy/region_plan.h"
#include "gateway/state/backends.h"
#include "gateway/state/config.h"

typedef enum {
    CHOICE_FIRST,        /* first in the ranking of the planned region */
    CHOICE_FALLBACK,     /* a lower-ranked one of the planned region */
    CHOICE_OTHER_REGION, /* another region; the planned one has no usable backend */
    CHOICE_QUEUED,       /* the request queues at the backend */
    CHOICE_FULL,         /* none: no usable backend admits the request */
    CHOICE_ALL_SKIPPED,  /* none: all candidates are skipped (backend_skip.h) */
    CHOICE_NONE,         /* none: no usable backend */
    CHOICE_FASTER,       /* its response is expected before that of the first in the ranking */
    CHOICE_SHORTAGE,     /* none: the region is short of slots, and others go first (shortage.h) */
    CHOICE_NO_TIME,      /* none: the caller gives up before a run could end (admission.h) */
} choice_reason_t;

typedef struct {
    backend_t *backend; /* NULL if none was chosen; owned by the backend list */
    choice_reason_t reason;
    skip_reason_t skip_reason; /* why a higher-ranked backend was skipped */
    uint64_t wait_ms; /* CHOICE_ALL_SKIPPED, CHOICE_NONE: until one is available; 0: not known */
} choice_t;

enum { CHOICE_VERSIONS_MAX = 4 };

/* Software versions that a request may go to; zeroed: any. */
typedef struct {
    uint64_t only;                        /* 0: any but those below */
    uint64_t except[CHOICE_VERSIONS_MAX]; /* 0: none */
    unsigned server_turn;                 /* for the hash: rollout_server_hash() */
    uint64_t server_cut; /* of the only one, backends up to this hash (rollout.h); 0: all */
} choice_versions_t;

typedef struct {
    const backends_t *backends;
    const topology_t *topology;
    const config_route_t *route;
    const config_account_t *account; /* NULL: none */
    str_t service;
    const region_plan_t *plan; /* of the service */
    str_t own_hall;
    size_t own_region;
    uint64_t object; /* hash of the object, or a random number without one */
    bool has_object;
    uint64_t version;           /* restricts to backends of this software version; 0: any */
    choice_versions_t versions; /* restricts to some of them, during a roll-out */
    bool suspected;             /* a backend server has ended under the request (quarantine.h) */
    bool may_request_permit;    /* a permit may be requested (backend_skip.h) */
    double object_demand;       /* slots kept busy by requests about the object */
    bool by_response_time;      /* the next three are given and decide, too */
    double object_per_s;        /* requests about the object in the own region */
    double work_ms;             /* run of the request with its object in memory; 0: not known */
    double service_work_ms;     /* mean run of the service's requests; 0: not known */
    uint64_t now_ms;
    uint64_t own_key;             /* this instance's key in `senders` */
    const cold_sender_t *senders; /* all instances known so far */
    size_t sender_count;
    const size_t *hall_meshes; /* meshes of the senders by data hall; NULL: the regions */
    bool senders_settled;      /* the list of instances is complete */
    backend_t *const *tried;   /* backends already tried, excluded */
    size_t tried_count;
    admission_request_t request;
} choice_input_t;

choice_t choice_make(const choice_input_t *input);
/* Lists the backends that the request would be offered first, at most `max`; returns their number.
 */
size_t choice_first_candidates(const choice_input_t *input, backend_t **out, size_t max);
/* Returns the region that is to serve the request: the planned one, or another if it may not be
 * served there. */
size_t choice_planned_region(const choice_input_t *input);
/* Number of regions that may serve the request. */
size_t choice_allowed_regions(const choice_input_t *input);
const char *choice_reason_name(choice_reason_t reason);
