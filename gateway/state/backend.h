/*
 * One backend server as this instance knows it: what the store says of it, and what was learned by
 * sending requests to it.
 *
 * A backend is one life of a backend server: one that started again, under a new id or under its
 * own, is another backend.
 * Owns the connection pool, the breaker, the health and the cold-start tokens of its backend.
 * Reference-counted, since an attempt may outlive the backend's place in the list (backends.h).
 * Relies on wire/client.h for the pool; time is passed in.
 */
#pragma once

#include "base/addr.h"
#include "base/bucket.h"
#include "gateway/policy/breaker.h"
#include "gateway/policy/health.h"
#include "gateway/policy/rest.h"
#include "gateway/state/notices.h"

typedef struct wire_pool wire_pool_t;

/* What the store's entry of a backend says. */
typedef struct {
    name_t id;
    name_t service;
    name_t hall;
    addr_t addr;
    uint32_t capacity; /* slots: requests it works on at once */
    bool leaving;      /* it is about to end and must get no new requests */
    uint32_t cold_ms;  /* how much longer it is cold, from when the entry was written */
    uint64_t version;  /* hash of its software's version; 0 if it does not say */
    uint64_t born;     /* when this life began, in Unix milliseconds; 0 if it does not say */
} backend_info_t;

/* What a backend's answer says of its load. */
typedef struct {
    uint32_t running; /* requests in its slots */
    uint32_t waiting; /* requests in its queue */
    uint32_t slots;
} reported_load_t;

typedef struct {
    backend_info_t info;
    size_t region;     /* index in the topology, TOPOLOGY_NO_REGION if not known */
    uint64_t key;      /* hash of the id, for rendezvous hashing */
    wire_pool_t *pool; /* NULL in tests without connections */
    size_t refs;
    uint64_t revision;           /* of the entry that `info` was read from */
    bool listed;                 /* false once it was taken out of the list */
    bool hall_closed;            /* its data hall must get no requests */
    bool replaced;               /* another backend answers at its address */
    bool stated_leaving;         /* it told so in an answer: that stays, whatever its entry says */
    rest_t rest;                 /* that it asked this instance for */
    backend_limit_t limit;       /* that it names in its answers */
    double plan_slots;           /* slots for which it counts in plans; 0: for all */
    uint64_t next_permit_ms;     /* the next permit for it may be asked for */
    unsigned permits_pending;    /* and not answered yet */
    unsigned permits_unanswered; /* requests for one since the last answer */
    bool logged_unusable;        /* the log tells of a notice that could not be used */
    uint64_t remove_at_ms; /* when its absence from the store takes effect, 0 if it is there */
    uint64_t cold_until_ms;
    bucket_t cold_tokens; /* this instance's part of the requests it can take while cold */
    uint32_t in_flight;   /* attempts of this instance */
    uint64_t sends;       /* attempts of this instance so far */
    double other_load;    /* requests of other instances there, as of load_reported_ms */
    uint64_t load_reported_ms;
    breaker_t breaker;
    health_t health;
    bool logged_avoided;    /* the log says that it is avoided */
    bool end_check_running; /* whether it has ended is being looked at (path/end_check.h) */
    double service_time_ms; /* moving average of answers that did not queue; 0 before the first */
} backend_t;

/* The caller gets a reference. `pool` becomes the backend's; it may be NULL. */
backend_t *backend_new(const backend_info_t *info, size_t region, wire_pool_t *pool);
backend_t *backend_ref(backend_t *backend);
/* Frees the backend and its pool with the last reference. */
void backend_unref(backend_t *backend);

/* Hash of the backend's life: of its id, and of when it began if it says so. */
uint64_t backend_incarnation_key(const backend_t *backend);
/* Below, at or above 0 as the life that began at `left` is earlier than, the same as or later than
 * the one of `right`. One that does not say counts as the same. */
int backend_incarnation_order(uint64_t left, uint64_t right);
/* The same for a backend server of that id, known here or not. */
uint64_t backend_incarnation_hash(str_t id, uint64_t born);
/* The slots for which it counts in plans: fewer than it has while it names a limit. */
double backend_plan_slots(const backend_t *backend);
/* Estimated requests there, running and queued, from all instances. */
double backend_load(const backend_t *backend, uint64_t now_ms);
void backend_report_load(backend_t *backend, const reported_load_t *load, uint64_t now_ms);
bool backend_is_cold(const backend_t *backend, uint64_t now_ms);
/* Cold for `cold_ms` from now on, or longer if it was so already. */
void backend_extend_cold(backend_t *backend, uint64_t cold_ms, uint64_t now_ms);
/* True if it is about to end, as its entry or itself says. */
bool backend_is_leaving(const backend_t *backend);
/* True if it may get new requests, whatever its load, and paced if it is cold. */
bool backend_is_usable(const backend_t *backend, uint64_t now_ms);
/* An attempt of this instance starts and ends there. */
void backend_attempt_started(backend_t *backend);
void backend_attempt_finished(backend_t *backend);
/* A usable answer came after `latency_ms`; `queued` tells that all slots were taken when the
 * request was sent. */
void backend_answered(backend_t *backend, double latency_ms, bool queued);
