/*
 * A backend server as seen by this instance: its entry in the store, and the state learned from the
 * requests sent to it.
 *
 * A backend is one incarnation of a backend server. After a restart, under the same id or a new
 * one, it is another backend.
 *
 * Owns the connection pool, the circuit breaker, the health and the cold-start tokens of its
 * backend. Reference-counted, since an attempt may outlive the backend's entry in the list
 * (backends.h). Relies on wire/client.h for the pool; time is passed in.
 */
#pragma once

#include "base/addr.h"
#include "base/bucket.h"
#include "gateway/policy/breaker.h"
#include "gateway/policy/health.h"
#include "gateway/policy/backoff.h"
#include "gateway/policy/load_probe.h"
#include "gateway/state/notices.h"

typedef struct wire_pool wire_pool_t;

/* A backend's entry in the store. */
typedef struct {
    name_t id;
    name_t service;
    name_t hall;
    addr_t addr;
    uint32_t capacity; /* slots: requests it processes concurrently */
    bool leaving;      /* it is shutting down and must get no new requests */
    uint32_t cold_ms;  /* remaining cold time when the entry was written */
    uint64_t version;  /* hash of its software version; 0: unknown */
    uint64_t born;     /* start of this incarnation in Unix milliseconds; 0: unknown */
} backend_info_t;

/* The load that a backend reports in a response. */
typedef struct {
    uint32_t running; /* requests in its slots */
    uint32_t waiting; /* requests in its queue */
    uint32_t slots;
    uint32_t pace_percent; /* how long work takes at present, 100 as usual; 0: not reported */
} reported_load_t;

typedef struct {
    backend_info_t info;
    size_t region;            /* index in the topology, TOPOLOGY_NO_REGION if unknown */
    uint64_t key;             /* hash of the id, for rendezvous hashing */
    uint64_t service_key;     /* hash of the service's name, compared before it */
    uint64_t incarnation_key; /* backend_incarnation_key() */
    wire_pool_t *pool;        /* NULL in tests without connections */
    size_t refs;
    uint64_t revision;           /* position of the entry that `info` was read from */
    uint64_t left_at;            /* position of the entry that said it leaves; 0: none did */
    bool listed;                 /* false once removed from the list */
    bool hall_closed;            /* its data hall is closed and must get no requests */
    bool replaced;               /* another backend responds at its address */
    bool stated_leaving;         /* it announced its shutdown in a response; never reset */
    backoff_t backoff;           /* pause that it asked this instance for */
    backend_limit_t limit;       /* rate limit that it stated in its responses */
    double plan_slots;           /* slots assigned by region plans while it has a limit; 0: all */
    uint64_t next_permit_ms;     /* earliest time of the next permit request */
    unsigned permits_pending;    /* permit requests without an answer so far */
    unsigned permits_unanswered; /* permit requests since the last answer */
    bool logged_unusable;        /* an unusable notice of it was logged */
    uint64_t remove_at_ms;       /* when its absence from the store takes effect; 0: present */
    uint64_t cold_until_ms;
    bucket_t cold_tokens;       /* this instance's part of the requests it can take while cold */
    uint32_t in_flight;         /* attempts of this instance */
    uint64_t sends;             /* total attempts of this instance */
    double other_load;          /* requests of other instances, as of load_reported_ms */
    uint32_t reported_requests; /* of all instances, running and queued; the next two as well */
    uint32_t waiting;           /* of these, in its queue */
    uint64_t load_reported_ms;
    uint64_t heard_ms;         /* time of the last report that it made to this instance */
    uint32_t overdue;          /* attempts of this instance that are overdue (policy/slow.h) */
    uint64_t overdue_since_ms; /* when the first of these became so */
    bool load_unsent;          /* it reported a queue since the last heartbeat */
    bool reports_pace;         /* backends of its service report the pace of their work */
    double drain_work_ms;      /* mean run of its service where work is counted; 0: not counted */
    uint64_t returns_next_ms;  /* next_free_ms of policy/return_time.h */
    double slowdown;           /* factor on service times, as of slowdown_ms; 0: never reported */
    uint64_t slowdown_ms;
    load_probe_record_t probes;
    breaker_t breaker;
    health_t health;
    bool logged_avoided;    /* logged as avoided */
    bool end_check_running; /* a check for its end is running (path/end_check.h) */
    double
        service_time_ms; /* moving average over responses that did not queue; 0 before the first */
} backend_t;

/* The caller gets a reference. Takes ownership of `pool`, which may be NULL. */
backend_t *backend_new(const backend_info_t *info, size_t region, wire_pool_t *pool);
backend_t *backend_ref(backend_t *backend);
/* Frees the backend and its pool with the last reference. */
void backend_unref(backend_t *backend);

/* Replaces the entry. */
void backend_set_info(backend_t *backend, const backend_info_t *info);
/* Hash of a service's name, for backend_is_of(). */
uint64_t backend_service_key(str_t service);
/* True if the backend belongs to the service; `key` is that of the name. */
bool backend_is_of(const backend_t *backend, str_t service, uint64_t key);
/* Hash of the backend's incarnation: of its id and its start time. */
uint64_t backend_incarnation_key(const backend_t *backend);
/* Negative, zero or positive if the incarnation started at `left` is earlier than, the same as or
 * later than the one started at `right`. Unknown start times (0) compare equal. */
int backend_incarnation_order(uint64_t left, uint64_t right);
/* The same by id and start time, for backends that need not be known here. */
uint64_t backend_incarnation_hash(str_t id, uint64_t born);
/* Slots of the backend in region plans: fewer than its capacity while it has a rate limit. */
double backend_plan_slots(const backend_t *backend);
/* Estimated number of requests at the backend, running and queued, from all instances. What it
 * reported loses half every 400 ms; where work is counted, its queue first drains at the rate at
 * which its slots finish work. */
double backend_load(const backend_t *backend, uint64_t now_ms);
void backend_report_load(backend_t *backend, const reported_load_t *load, uint64_t now_ms);
/* A report to another instance at `at_ms`: `requests` were running and queued. Ignored unless it is
 * newer than the last one. */
void backend_merge_load(backend_t *backend, uint32_t requests, uint64_t at_ms);
/* Count the attempts of this instance that are overdue, and those of them that ended. */
void backend_attempt_overdue(backend_t *backend, uint64_t now_ms);
void backend_overdue_ended(backend_t *backend);
/* A backend that has not responded since attempts became overdue has a queue that grows with the
 * time: sets its load accordingly. Returns false if it responded, none is overdue, or its service
 * reports the pace of work: then a slow moment may be the reason. */
bool backend_assume_queue(backend_t *backend, uint64_t now_ms);
/* Factor by which work takes longer there than usual, as reported within the last 300 ms; 0 if not
 * known. */
double backend_slowdown(const backend_t *backend, uint64_t now_ms);
/* Drops the reported slowdown: another backend responded at the address. */
void backend_forget_slowdown(backend_t *backend);
bool backend_is_cold(const backend_t *backend, uint64_t now_ms);
/* Marks it cold for at least `cold_ms` from now on. */
void backend_extend_cold(backend_t *backend, uint64_t cold_ms, uint64_t now_ms);
/* True if its entry or one of its own responses announces its shutdown. */
bool backend_is_leaving(const backend_t *backend);
/* True if it may get new requests. Load and the pacing of cold backends are not considered. */
bool backend_is_usable(const backend_t *backend, uint64_t now_ms);
/* Time until it may be sent requests again if it is only suspended (policy/breaker.h); 0 if not. */
uint64_t backend_suspended_ms(const backend_t *backend, uint64_t now_ms);
/* Count the attempts of this instance. */
void backend_attempt_started(backend_t *backend);
void backend_attempt_finished(backend_t *backend);
/* A usable response arrived after `latency_ms`. `queued` is true if all slots were taken when the
 * request was sent; its latency is not counted then. */
void backend_answered(backend_t *backend, double latency_ms, bool queued);
