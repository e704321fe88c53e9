/*
 * HTTP/1.1 calls to numeric addresses, streamed, through libh2o's client.
 *
 * The stage a call reached tells what the other side can have seen: until HTTP_STAGE_SENT no
 * byte of the request was handed to a connection, so the request has certainly not run.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <h2o.h>
#include <h2o/http1client.h>

#include "base/addr.h"
#include "base/error.h"
#include "base/str.h"

typedef struct http_client http_client_t;
typedef struct http_target http_target_t;
typedef struct http_call http_call_t;

typedef enum {
    HTTP_STAGE_CONNECTING, /* nothing was sent */
    HTTP_STAGE_SENT,       /* bytes may have gone out */
    HTTP_STAGE_HEAD,       /* the answer's head has arrived */
    HTTP_STAGE_DONE,       /* the answer is whole */
} http_stage_t;

typedef struct {
    int status;
    const h2o_header_t *headers;
    size_t header_count;
} http_head_t;

typedef struct {
    err_t err; /* ERR_NONE when the answer is whole */
    http_stage_t stage;
    int status; /* 0 before HTTP_STAGE_HEAD */
} http_result_t;

typedef struct {
    bool (*on_send)(void *ctx); /* optional: asked before the first byte goes; false gives up */
    void (*on_head)(void *ctx, const http_head_t *head);
    void (*on_data)(void *ctx, const char *ptr, size_t len);
    void (*on_end)(void *ctx, const http_result_t *result); /* last; the call is gone after it */
} http_call_cbs_t;

http_client_t *http_client_new(uv_loop_t *loop);

/* A server to call; `capacity` connections are kept, idle ones for `idle_ms`. */
http_target_t *http_target_new(http_client_t *client, const addr_t *addr, size_t capacity,
                               uint64_t idle_ms);
/* Frees the target once its calls have ended. */
void http_target_free(http_target_t *target);
const addr_t *http_target_addr(const http_target_t *target);

typedef struct {
    http_target_t *target;
    bool fresh;          /* never reuse a kept connection */
    bool head_method;    /* the request's method is HEAD */
    uint64_t timeout_ms; /* for the whole call */
    char *request;       /* head and body, from malloc; the call frees it */
    size_t request_len;
} http_call_conf_t;

http_call_t *http_call_start(const http_call_conf_t *conf, const http_call_cbs_t *cbs, void *ctx);
/* Ends the call without on_end; the connection is closed. Not from within its callbacks. */
void http_call_cancel(http_call_t *call);
/* Stops and restarts reading of the answer, for back-pressure. */
void http_call_pause(http_call_t *call);
void http_call_resume(http_call_t *call);
http_stage_t http_call_stage(const http_call_t *call);

str_t http_head_find(const http_head_t *head, str_t name);
