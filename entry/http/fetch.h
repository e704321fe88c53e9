/* Small HTTP calls whose whole answer is collected in memory. */
#pragma once

#include "entry/http/call.h"

typedef struct {
    const http_result_t *result;
    uint64_t etag; /* version from the etag header, 0 if there is none */
    str_t body;
} fetch_answer_t;

typedef void (*fetch_cb_t)(void *ctx, const fetch_answer_t *answer);

typedef struct {
    http_target_t *target;
    const char *method;
    const char *path;
    const char *headers; /* whole lines ending in CRLF, or NULL */
    str_t body;
    uint64_t timeout_ms;
    size_t max_body;
    void (*on_head)(void *ctx, const http_head_t *head); /* optional, with the callback's context */
} fetch_conf_t;

typedef struct fetch fetch_t;

fetch_t *fetch_start(const fetch_conf_t *conf, fetch_cb_t cb, void *ctx);
