/*
 * Small calls whose whole answer is collected in memory, for the platform's store.
 *
 * Relies on client.h. The entry's fetch (entry/http/fetch.h) does the same on libh2o's client; the
 * two programs share no HTTP library, so there is nothing to merge.
 */
#pragma once

#include "wire/client.h"

typedef struct {
    err_t err;  /* ERR_NONE when the answer is whole */
    int status; /* 0 if no head came */
    str_t body; /* valid during the callback */
} wire_response_t;

typedef void (*wire_fetch_cb_t)(void *ctx, const wire_response_t *response);

typedef struct {
    const char *method;
    const char *target;
    str_t body;
    uint64_t timeout_ms;       /* until the answer's first byte */
    uint64_t read_timeout_ms;  /* between two reads of it */
    uint64_t total_timeout_ms; /* for the whole call */
    size_t max_body; /* an answer that announces or brings more is given up: ERR_TOO_LARGE */
} wire_fetch_conf_t;

/* The callback is never called before wire_fetch() has returned. */
void wire_fetch(wire_pool_t *pool, const wire_fetch_conf_t *conf, wire_fetch_cb_t cb, void *ctx);
