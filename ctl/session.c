#include <stdlib.h>

#include "base/xmalloc.h"
#include "ctl/session.h"
#include "entry/http/fetch.h"

enum { CALL_TIMEOUT_MS = 3000, CONNECTIONS = 2, IDLE_MS = 1000, BODY_MAX = 8 << 20 };

#define UNLIMITED_RATE 1e6 /* rate limits are not needed for an operator's calls */

typedef struct {
    reply_t reply;
    bool done;
} pending_call_t;

void
session_start(session_t *session, const addr_t *platform)
{
    const platform_conf_t conf = {.addr = *platform,
                                  .timeout_ms = CALL_TIMEOUT_MS,
                                  .reads_per_s = UNLIMITED_RATE,
                                  .writes_per_s = UNLIMITED_RATE};
    session->loop = uv_default_loop();
    session->client = http_client_new(session->loop);
    session->platform = platform_new(session->client, &conf, clock_system());
    session->rng = rng_system();
}

static void
on_platform_answer(void *ctx, const platform_answer_t *answer)
{
    pending_call_t *pending = ctx;
    pending->done = true;
    pending->reply = (reply_t){.err = answer->err,
                               .version = answer->version,
                               .body = xmemdup0(answer->body.ptr, answer->body.len),
                               .len = answer->body.len};
}

static reply_t
wait_for_reply(session_t *session, const pending_call_t *pending)
{
    while (!pending->done)
        uv_run(session->loop, UV_RUN_ONCE);
    return pending->reply;
}

reply_t
session_get(session_t *session, const char *kind, const char *name)
{
    pending_call_t pending = {.done = false};
    platform_get(session->platform, kind, name, on_platform_answer, &pending);
    return wait_for_reply(session, &pending);
}

reply_t
session_put(session_t *session, const char *kind, const char *name, uint64_t expected, str_t body)
{
    pending_call_t pending = {.done = false};
    platform_put(session->platform, kind, name, expected, body, on_platform_answer, &pending);
    return wait_for_reply(session, &pending);
}

reply_t
session_list(session_t *session)
{
    pending_call_t pending = {.done = false};
    platform_list(session->platform, on_platform_answer, &pending);
    return wait_for_reply(session, &pending);
}

reply_t
session_instances(session_t *session)
{
    pending_call_t pending = {.done = false};
    platform_instances(session->platform, on_platform_answer, &pending);
    return wait_for_reply(session, &pending);
}

static void
on_fetched(void *ctx, const fetch_answer_t *answer)
{
    pending_call_t *pending = ctx;
    pending->done = true;
    pending->reply = (reply_t){.err = answer->result->err,
                               .status = answer->result->status,
                               .body = xmemdup0(answer->body.ptr, answer->body.len),
                               .len = answer->body.len};
}

reply_t
session_call(session_t *session, const addr_t *addr, const char *method, const char *path)
{
    pending_call_t pending = {.done = false};
    http_target_t *target = http_target_new(session->client, addr, CONNECTIONS, IDLE_MS);
    const fetch_conf_t conf = {.target = target,
                               .method = method,
                               .path = path,
                               .body = STR(""),
                               .timeout_ms = CALL_TIMEOUT_MS,
                               .max_body = BODY_MAX};
    fetch_start(&conf, on_fetched, &pending);
    const reply_t reply = wait_for_reply(session, &pending);
    http_target_free(target);
    return reply;
}

reply_t
session_fetch(session_t *session, const addr_t *addr, const char *path)
{
    return session_call(session, addr, "GET", path);
}

static void
on_sleep_timer(uv_timer_t *timer)
{
    *(bool *)timer->data = true;
}

void
session_sleep(session_t *session, uint64_t ms)
{
    bool done = false;
    uv_timer_t timer;
    uv_timer_init(session->loop, &timer);
    timer.data = &done;
    uv_timer_start(&timer, on_sleep_timer, ms, 0);
    while (!done)
        uv_run(session->loop, UV_RUN_ONCE);
    uv_close((uv_handle_t *)&timer, NULL);
    uv_run(session->loop, UV_RUN_NOWAIT);
}
