#include <stdio.h>
#include <stdlib.h>

#define LOG_MODULE "platform"
#include "base/bucket.h"
#include "base/counter.h"
#include "base/log.h"
#include "base/xmalloc.h"
#include "entry/http/fetch.h"
#include "entry/object_store/client.h"

/* Chosen; none was measured alone. */
enum {
    CONNECTIONS = 8,       /* to the store */
    IDLE_MS = 10000,       /* an idle one is kept so long */
    WATCH_SLACK_MS = 3000, /* added to a watch's own waiting time */
    PATH_MAX_LEN = 256,    /* bytes */
    BURST_SECONDS = 10,    /* of the call budget that may be saved up */
};

struct platform {
    http_target_t *target;
    const iris_clock_t *clock;
    uint64_t timeout_ms;
    bucket_t reads;
    bucket_t writes;
    counter_t *read_calls;
    counter_t *write_calls;
    counter_t *refused;
    counter_t *failed;
};

typedef struct {
    platform_t *platform;
    platform_cb_t cb;
    void *ctx;
} pending_t;

platform_t *
platform_new(http_client_t *client, const platform_conf_t *conf, const iris_clock_t *clock)
{
    platform_t *platform = xcalloc(1, sizeof(*platform));
    const uint64_t now = clock_steady_ms(clock);
    platform->target = http_target_new(client, &conf->addr, CONNECTIONS, IDLE_MS);
    platform->clock = clock;
    platform->timeout_ms = conf->timeout_ms;
    bucket_init(&platform->reads, conf->reads_per_s, conf->reads_per_s * BURST_SECONDS, now);
    bucket_init(&platform->writes, conf->writes_per_s, conf->writes_per_s * BURST_SECONDS, now);
    platform->read_calls =
        counter_get("irisstall_store_calls_total", "op=\"read\"", "Calls made to the store.");
    platform->write_calls =
        counter_get("irisstall_store_calls_total", "op=\"write\"", "Calls made to the store.");
    platform->refused = counter_get("irisstall_store_budget_refusals_total", NULL,
                                    "Calls not made because the local budget was used up.");
    platform->failed =
        counter_get("irisstall_store_failures_total", NULL, "Calls without a usable answer.");
    return platform;
}

static void
classify(const fetch_answer_t *answer, err_t *err)
{
    const int status = answer->result->status;
    if (answer->result->err.code != ERR_NONE)
        *err = answer->result->err;
    else if (status == 404)
        err_set(err, ERR_NOT_FOUND, "no such object");
    else if (status == 409)
        err_set(err, ERR_CONFLICT, "version is %lu", (unsigned long)answer->etag);
    else if (status == 429)
        err_set(err, ERR_RATE_LIMITED, "the store's call rate is used up");
    else if (status == 503)
        err_set(err, ERR_UNAVAILABLE, "the store answers 503");
    else if (status != 200)
        err_set(err, ERR_PROTOCOL, "unexpected status %d", status);
}

static void
on_answer(void *ctx, const fetch_answer_t *answer)
{
    pending_t *pending = ctx;
    platform_answer_t out = {.version = answer->etag, .body = answer->body};
    classify(answer, &out.err);
    if (out.err.code != ERR_NONE && out.err.code != ERR_NOT_FOUND && out.err.code != ERR_CONFLICT)
        counter_add(pending->platform->failed, 1);
    pending->cb(pending->ctx, &out);
    free(pending);
}

typedef struct {
    const char *method;
    const char *path;
    const char *headers;
    str_t body;
    uint64_t timeout_ms;
} call_t;

static void
start_call(platform_t *platform, const call_t *call, platform_cb_t cb, void *ctx)
{
    pending_t *pending = xmalloc(sizeof(*pending));
    *pending = (pending_t){.platform = platform, .cb = cb, .ctx = ctx};
    const fetch_conf_t conf = {
        .target = platform->target,
        .method = call->method,
        .path = call->path,
        .headers = call->headers,
        .body = call->body,
        .timeout_ms = call->timeout_ms,
        .max_body = PLATFORM_ANSWER_MAX,
    };
    fetch_start(&conf, on_answer, pending);
}

static void
refuse(platform_t *platform, const char *what, platform_cb_t cb, void *ctx)
{
    platform_answer_t answer = {.body = STR("")};
    counter_add(platform->refused, 1);
    err_set(&answer.err, ERR_RATE_LIMITED, "local budget of %s calls is used up", what);
    cb(ctx, &answer);
}

static void
read_call(platform_t *platform, const char *path, uint64_t timeout_ms, platform_cb_t cb, void *ctx)
{
    if (!bucket_take(&platform->reads, 1, clock_steady_ms(platform->clock))) {
        refuse(platform, "read", cb, ctx);
        return;
    }
    counter_add(platform->read_calls, 1);
    const call_t call = {.method = "GET", .path = path, .body = STR(""), .timeout_ms = timeout_ms};
    start_call(platform, &call, cb, ctx);
}

static void
write_call(platform_t *platform, const call_t *call, platform_cb_t cb, void *ctx)
{
    if (!bucket_take(&platform->writes, 1, clock_steady_ms(platform->clock))) {
        refuse(platform, "write", cb, ctx);
        return;
    }
    counter_add(platform->write_calls, 1);
    start_call(platform, call, cb, ctx);
}

void
platform_get(platform_t *platform, const char *kind, const char *name, platform_cb_t cb, void *ctx)
{
    char path[PATH_MAX_LEN];
    snprintf(path, sizeof(path), "/v1/objects/%s/%s", kind, name);
    read_call(platform, path, platform->timeout_ms, cb, ctx);
}

void
platform_put(platform_t *platform, const char *kind, const char *name, uint64_t expected,
             str_t body, platform_cb_t cb, void *ctx)
{
    char path[PATH_MAX_LEN];
    char match[64];
    snprintf(path, sizeof(path), "/v1/objects/%s/%s", kind, name);
    snprintf(match, sizeof(match), "if-match: %lu\r\n", (unsigned long)expected);
    const call_t call = {.method = "PUT",
                         .path = path,
                         .headers = match,
                         .body = body,
                         .timeout_ms = platform->timeout_ms};
    write_call(platform, &call, cb, ctx);
}

void
platform_list(platform_t *platform, platform_cb_t cb, void *ctx)
{
    read_call(platform, "/v1/objects", platform->timeout_ms, cb, ctx);
}

void
platform_watch(platform_t *platform, uint64_t since, uint64_t wait_ms, platform_cb_t cb, void *ctx)
{
    char path[PATH_MAX_LEN];
    snprintf(path, sizeof(path), "/v1/watch?since=%lu&wait_ms=%lu", (unsigned long)since,
             (unsigned long)wait_ms);
    read_call(platform, path, wait_ms + WATCH_SLACK_MS, cb, ctx);
}

void
platform_instances(platform_t *platform, platform_cb_t cb, void *ctx)
{
    read_call(platform, "/v1/instances", platform->timeout_ms, cb, ctx);
}
