/*
 * Load probes under way: asks backend servers for their load over their health path, and wakes the
 * requests that wait for the answer.
 *
 * Decided by policy/load_probe.h. The answer goes to the backend's state like the load in any
 * response; probes that fail change nothing there but the time of the next probe. An answer under
 * another id than the backend's is not used, and the load known so far is dropped.
 *
 * Owns the outstanding probes and the budget. Each probe holds a reference to its backend. Uses the
 * backend's connection pool, so that the request finds a connection open.
 */
#pragma once

#include "gateway/policy/load_probe.h"
#include "gateway/ports.h"
#include "gateway/router.h"

typedef struct load_probe load_probe_t;

typedef struct {
    router_t *router;
    const dialect_port_t *dialect;
    load_probe_t *outstanding;
    load_probe_budget_t budget;
    uint64_t answered; /* probes by result, since the start */
    uint64_t without_result;
    uint64_t choices;       /* of requests whose candidates may be asked */
    uint64_t choices_known; /* of these, with the load of the first candidate known */
} load_probes_t;

/* A request's wait for one probe; part of the request. */
typedef struct load_probe_wait {
    load_probe_t *probe; /* NULL while not waiting */
    struct load_probe_wait *next;
    void (*cb)(void *ctx); /* the probe has ended; not called after load_probes_cancel() */
    void *ctx;
} load_probe_wait_t;

void load_probes_init(load_probes_t *probes, router_t *router, const dialect_port_t *dialect);
/* Counts a request for a service; it adds to the budget if its backends report their pace. */
void load_probes_count_request(load_probes_t *probes, const service_t *service);
/* Joins or sends the probe that the request needs next, if any. Returns false if it is to choose
 * now. `health_path`: of the service, from the request's configuration. */
bool load_probes_await(load_probes_t *probes, str_t health_path, backend_t *const *candidates,
                       size_t count, load_probe_wait_t *wait);
/* Ends a wait; the probe goes on. */
void load_probes_cancel(load_probe_wait_t *wait);
/* Counts a choice between the candidates against the reports that are known for them. */
void load_probes_count_choice(load_probes_t *probes, backend_t *const *candidates, size_t count);
