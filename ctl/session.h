/* An operator's session with the platform: blocking calls on the event loop. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "base/addr.h"
#include "base/error.h"
#include "base/history.h"
#include "base/rng.h"
#include "entry/fleet/instance.h"
#include "entry/object_store/client.h"

typedef struct {
    uv_loop_t *loop;
    http_client_t *client;
    platform_t *platform;
    rng_t rng;
    bool json;
    history_t history; /* records edits and their outcomes */
} session_t;

/* A response that owns its body. */
typedef struct {
    err_t err;
    int status; /* HTTP status, set by session_call() and session_fetch() only */
    uint64_t version;
    char *body; /* to be freed by the receiver */
    size_t len;
} reply_t;

void session_start(session_t *session, const addr_t *platform);
reply_t session_get(session_t *session, const char *kind, const char *name);
reply_t session_put(session_t *session, const char *kind, const char *name, uint64_t expected,
                    str_t body);
reply_t session_list(session_t *session);
reply_t session_instances(session_t *session);
/* Sends a request without a body to any address; session_fetch() is the GET variant. */
reply_t session_call(session_t *session, const addr_t *addr, const char *method, const char *path);
reply_t session_fetch(session_t *session, const addr_t *addr, const char *path);
void session_sleep(session_t *session, uint64_t ms);
