/*
 * HTTP calls that buffer the whole response in memory; used for the platform's store.
 *
 * entry/http/fetch.h is the counterpart on libh2o's client.
 */
#pragma once

#include "wire/client.h"

typedef struct {
    err_t err;    /* ERR_NONE if the response is complete */
    int status;   /* 0 if no head was received */
    str_t body;   /* valid only during the callback */
    uint64_t tag; /* number in `tag_field`; 0 if absent or invalid */
} wire_response_t;

typedef void (*wire_fetch_cb_t)(void *ctx, const wire_response_t *response);

typedef struct {
    const char *method;
    const char *target;
    str_t body;
    uint64_t timeout_ms;       /* until the first byte of the response */
    uint64_t read_timeout_ms;  /* between two reads of the response */
    uint64_t total_timeout_ms; /* for the whole call */
    size_t max_body;           /* larger responses fail with ERR_TOO_LARGE */
    str_t tag_field;           /* response header field that holds a number; may be empty */
} wire_fetch_conf_t;

/* The callback never runs before wire_fetch() has returned. */
void wire_fetch(wire_pool_t *pool, const wire_fetch_conf_t *conf, wire_fetch_cb_t cb, void *ctx);
