/*
 * Text of the admin pages: the table (a row per service and data hall), the status of the
 * instance, and the explanation of a routing decision.
 *
 * Owns nothing and changes nothing. irisctl prints the text unchanged, so its format and column
 * names are fixed: PLACE is a data hall, UPSTREAMS are backend servers, PAUSED are backends
 * suspended by the breaker, and "followed" means that the store is watched.
 */
#pragma once

#include "gateway/path/load_probes.h"
#include "gateway/policy/reachability.h"
#include "gateway/router.h"
#include "gateway/state/store_watch.h"
#include "wire/head.h"

/* Writes the rows of all services, or of one if `service` is not empty. */
void inspect_table(const router_t *router, str_t service, wire_text_t *out);

typedef struct {
    const router_t *router;
    const members_t *members;
    const store_watch_t *store_watch;
    const views_t *views;
    const load_probes_t *load_probes;
    const reachability_t *reach;
    bool ready;
    bool leaving;
    size_t response_bytes; /* held for callers that have not read them */
    size_t body_bytes;     /* held or announced of request bodies */
} inspect_status_t;

void inspect_status(const inspect_status_t *status, wire_text_t *out);
/* Writes the route, services and backends for a request with this host, path and object; `object`
 * may be empty. */
void inspect_explain(const router_t *router, str_t host, str_t path, str_t object,
                     wire_text_t *out);
