/*
 * The upstreams this instance knows, and what it learned of each by using it.
 *
 * An upstream is one start of a backend server; a restarted one has a new id. Entries are
 * reference-counted, since an attempt may outlive its upstream's listing.
 */
#pragma once

#include "base/bucket.h"
#include "gateway/policy/health.h"
#include "gateway/ports.h"
#include "gateway/membership/topology.h"
#include "wire/client.h"

typedef struct {
    backend_info_t info;
    size_t region;
    uint64_t key;
    wire_pool_t *pool;
    size_t refs;
    uint64_t revision;     /* of the object it was read from */
    bool listed;           /* in the newest list of the store */
    bool hall_closed;      /* its data hall is closed */
    bool departed;         /* said itself that it is not the listed one */
    uint64_t unlist_at_ms; /* when its absence from the list takes effect, 0 if it is there */
    uint64_t cold_until_ms;
    bucket_t cold; /* this instance's part of what it bears while cold */
    uint32_t in_flight;
    double others; /* load by other instances, from the last answer */
    uint64_t others_ms;
    unsigned failures; /* in a row */
    uint64_t suspended_until_ms;
    health_t health;
    bool avoided;   /* impaired at the last tick */
    bool probing;   /* the one request after a suspension is under way */
    double work_ms; /* moving average of answers that did not have to wait there */
} backend_t;

typedef struct {
    backend_t **items; /* sorted by id */
    size_t count;
    size_t size;
} backends_t;

/* Adds or updates one; `now_ms` is the time of the report. */
backend_t *backends_put(backends_t *backends, const backend_info_t *info,
                        const topology_t *topology, uv_loop_t *loop, uint64_t now_ms);
backend_t *backends_find(const backends_t *backends, str_t id);
/* Takes out the entries whose absence from the list has taken effect; attempts under way keep
 * theirs. */
void backends_drop_unlisted(backends_t *backends, uint64_t now_ms);
void backends_free(backends_t *backends);

backend_t *backend_ref(backend_t *backend);
void backend_unref(backend_t *backend);

/* Requests it is believed to have, running and waiting, from all instances. */
double backend_load(const backend_t *backend, uint64_t now_ms);
void backend_report_load(backend_t *backend, const reported_load_t *load, uint64_t now_ms);
bool backend_is_cold(const backend_t *backend, uint64_t now_ms);
/* May get new requests, but for its load and coldness. */
bool backend_is_usable(const backend_t *backend, uint64_t now_ms);
/* No answer, or none of the protocol: it is left alone for a time that doubles. */
void backend_failed(backend_t *backend, uint64_t now_ms);
/* `waited` tells that its slots were all taken when the request was sent. */
void backend_answered(backend_t *backend, double latency_ms, bool waited);
