/*
 * Client of the entry's object store (docs/ENTRY-STORE.md): objects, watch, instance list.
 *
 * Every call is counted against a local budget first, so that a fleet of instances stays within
 * the store's rates. Errors are typed by what is known about a write:
 *   ERR_UNAVAILABLE, ERR_RATE_LIMITED, ERR_CONFLICT, ERR_NOT_FOUND   it was not made
 *   ERR_ANSWER_LOST, ERR_TIMEOUT                                     it may have been made
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/str.h"
#include "entry/http/call.h"

typedef struct platform platform_t;

enum {
    PLATFORM_VALUE_MAX = 1 << 20,  /* bytes of one object */
    PLATFORM_ANSWER_MAX = 4 << 20, /* bytes of an answer. Chosen, not measured */
};

typedef struct {
    addr_t addr;
    uint64_t timeout_ms; /* per call, watches excepted */
    double reads_per_s;  /* local budget; a waiting watch counts as one read */
    double writes_per_s;
} platform_conf_t;

typedef struct {
    err_t err;
    uint64_t version; /* of the object read or written; the current one on ERR_CONFLICT */
    str_t body;       /* borrowed until the callback returns */
} platform_answer_t;

typedef void (*platform_cb_t)(void *ctx, const platform_answer_t *answer);

platform_t *platform_new(http_client_t *client, const platform_conf_t *conf,
                         const iris_clock_t *clock);
void platform_get(platform_t *platform, const char *kind, const char *name, platform_cb_t cb,
                  void *ctx);
/* Writes if the object's version is still `expected`; 0 creates it. */
void platform_put(platform_t *platform, const char *kind, const char *name, uint64_t expected,
                  str_t body, platform_cb_t cb, void *ctx);

/* JSON {"revision":N,"objects":[{"kind","name","version"}]}, of all kinds but claims. */
void platform_list(platform_t *platform, platform_cb_t cb, void *ctx);
/* Like platform_list(), of changes after `since`; waits up to `wait_ms` for the first one. */
void platform_watch(platform_t *platform, uint64_t since, uint64_t wait_ms, platform_cb_t cb,
                    void *ctx);
/* JSON list of instances; the version is the list's revision. */
void platform_instances(platform_t *platform, platform_cb_t cb, void *ctx);
