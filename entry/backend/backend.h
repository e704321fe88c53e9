/*
 * Backend servers of a region as seen by one entry instance, and the choice among them.
 *
 * Reports from servers arrive late and can be misleading, so local knowledge takes precedence: the
 * requests this instance has in flight and the outcome of its own attempts. The load last reported
 * by a server is weighted less as it ages. A server gets no new work once any source says that it
 * is leaving: a mark in the table, the instance list or the server itself. Servers report this only
 * in responses, so one with a stale status is probed before it gets new work. Performs no I/O.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/rng.h"
#include "entry/fleet/instance.h"

enum {
    BACKEND_LOAD_DECAY_MS = 400, /* time constant of the decay of a reported load */
    BACKEND_EJECT_FAILURES = 3,  /* consecutive failures that eject a server */
    BACKEND_EJECT_MIN_MS = 1000,
    BACKEND_EJECT_MAX_MS = 15000,
    BACKEND_LATENCY_DECAY_MS = 3000, /* a latency estimate reverts to the typical one */
    BACKEND_LEAVING_TTL_MS = 30000,  /* how long a server counts as leaving after it reported so */
    /* A status older than this is stale. Must be below the 5 s within which a leaving server
     * stops getting new work. */
    BACKEND_STATUS_TTL_MS = 4000,
};

typedef struct {
    name_t name;
    name_t service;
    name_t place;
    addr_t addr;
    uint32_t slots;
    bool listed;
    bool leaving_listed;
    bool leaving_marked;          /* marked as draining in the table */
    uint64_t leaving_reported_ms; /* monotonic time; 0: never */
    uint64_t status_ms;           /* send time of the last request it responded to; 0: never */
    bool probe_requested;         /* selected with a stale status, to be probed */
    bool probe_pending;           /* a probe is in progress */
    uint32_t outstanding;         /* requests in flight from this instance */
    uint32_t others_load;         /* reported load in excess of `outstanding` */
    uint64_t others_load_at_ms;
    double latency_ms; /* moving average per request; 0: unknown */
    uint64_t latency_at_ms;
    uint32_t failures; /* consecutive */
    uint64_t ejected_until_ms;
    uint64_t eject_ms; /* duration of the last ejection */
    void *user;        /* connection pool, managed by the caller */
} backend_t;

typedef struct {
    backend_t **items; /* addresses are stable: attempts keep pointers */
    size_t count;
} backends_t;

typedef enum { POLICY_IRIS, POLICY_ROUND_ROBIN, POLICY_LEAST, POLICY_TWO_CHOICES } policy_t;

bool policy_parse(str_t text, policy_t *out);

backend_t *backends_find(const backends_t *backends, str_t name);
void backends_update(backends_t *backends, const instances_t *list, str_t region);

bool backend_is_leaving(const backend_t *backend, uint64_t now_ms);
bool backend_is_ejected(const backend_t *backend, uint64_t now_ms);
/* Estimated number of requests at the server, including those of other instances. */
double backend_load(const backend_t *backend, uint64_t now_ms);

void backend_started(backend_t *backend);
void backend_ended(backend_t *backend);
/* True if the last status is too old to send new work. */
bool backend_status_is_stale(const backend_t *backend, uint64_t now_ms);
/* Records the status in a response. It is dated by `asked_ms`, the send time of the request,
 * because this process may have been suspended before it read the response. */
void backend_status_received(backend_t *backend, bool leaving, uint64_t asked_ms, uint64_t now_ms);
/* Records a response; `load` is the load the server reported, this instance included. */
void backend_answered(backend_t *backend, double latency_ms, uint32_t load, uint64_t now_ms);
void backend_shed(backend_t *backend, uint32_t load, uint64_t now_ms);
void backend_failed(backend_t *backend, uint64_t now_ms);

typedef struct {
    str_t service;
    str_t place;             /* empty: any */
    const backend_t *except; /* already tried; may be NULL */
    policy_t policy;
} choice_t;

/* Expected response time of the best eligible server in ms; HUGE_VAL if there is none. */
double backend_best_ms(const backends_t *backends, const choice_t *choice, uint64_t now_ms);
/* Selects the server for one request, or NULL if none is available. If the preferred server has a
 * stale status, sets its `probe_requested` and selects another. `turn` is the round-robin state. */
backend_t *backend_choose(const backends_t *backends, const choice_t *choice, uint64_t now_ms,
                          rng_t *rng, uint64_t *turn);
