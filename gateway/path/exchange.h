/*
 * One request of a caller's, from its arrival to its answer: route, choice, attempt, answer.
 *
 * An attempt ends as answered, not run (certainly) or unknown. Only what has not run may be told
 * as such (503), and a request that may not be repeated goes to a second upstream only then.
 */
#pragma once

#include "gateway/ports.h"
#include "gateway/router.h"
#include "wire/listener.h"

typedef struct {
    router_t *router;
    const dialect_port_t *dialect;
    size_t active; /* exchanges under way */
} exchanges_t;

/* Takes a request over; always answers it unless the caller leaves. */
void exchange_start(exchanges_t *exchanges, wire_request_t *req);
