/*
 * Text of the admin pages: the table (a row for each service and data hall), the instance's status,
 * and why a request goes where it goes.
 *
 * Owns nothing and changes nothing. irisctl prints the text as it is, so its form and the words of
 * its columns stay: PLACE is a data hall, UPSTREAMS are backend servers, PAUSED are those that the
 * breaker suspends, and the store that is "followed" is the one that is watched.
 */
#pragma once

#include "gateway/router.h"
#include "gateway/state/store_watch.h"
#include "wire/head.h"

/* Rows of all services, or of one if `service` is not empty. */
void inspect_table(const router_t *router, str_t service, wire_text_t *out);

typedef struct {
    const router_t *router;
    const members_t *members;
    const store_watch_t *store_watch;
    const views_t *views;
    bool ready;
    bool leaving;
} inspect_status_t;

void inspect_status(const inspect_status_t *status, wire_text_t *out);
/* Route, services and backends of a request for that host, path and object, which may be empty. */
void inspect_explain(const router_t *router, str_t host, str_t path, str_t object,
                     wire_text_t *out);
