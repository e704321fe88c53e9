/*
 * What the soak's callers ask: draws the kind of each request, its route and its sizes, and writes
 * its bytes.
 */
#pragma once

#include "base/rng.h"
#include "standin/soak/operator.h"
#include "standin/soak/requests.h"

typedef struct {
    requests_t *requests;
    const operator_t *ops;
    accounts_t *accounts;
    uint64_t config_bound_ms; /* from the acknowledgement until a configuration is in force */
    rng_t *rng;
} asks_t;

typedef struct {
    soak_request_t *request;
    uint64_t marker; /* version whose route a probe asks for; 0 for others */
    char *bytes;     /* from malloc, the taker's */
    size_t len;
} ask_t;

enum { ASK_DEADLINE_MS = 2000 /* for which callers say that they wait */ };

ask_t ask_draw(const asks_t *asks, uint32_t instance, uint64_t now_ms);
