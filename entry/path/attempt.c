#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "attempt"
#include "base/log.h"
#include "base/mutate.h"
#include "base/xmalloc.h"
#include "entry/path/attempt.h"

enum {
    STATUS_SHED = 503,
    STATUS_LATE = 504,
    /* A server's own word about the deadline comes first. Chosen, not measured. */
    DEADLINE_GRACE_MS = 20,
};

struct attempt {
    exchange_t *exchange;
    node_t *node;
    backend_t *backend;
    limiter_row_t *row;
    bool is_long;
    http_call_t *call;
    trace_t trace;
    const char *place;
    uint64_t started_us;
    uint64_t started_ms;
    uint64_t deadline_ms;
    bool said_not_run;
    bool said_unknown;
    bool head_taken;
};

/* A credit kept until the deadline, because the server may still be at work. */
typedef struct {
    uv_timer_t timer;
    node_t *node;
    limiter_row_t *row;
    bool is_long;
} resting_t;

static void
on_resting_closed(uv_handle_t *handle)
{
    free(handle->data);
}

static void
on_rest_over(uv_timer_t *timer)
{
    resting_t *resting = timer->data;
    limiter_release(&resting->node->gate, resting->row, resting->is_long);
    uv_close((uv_handle_t *)timer, on_resting_closed);
}

static void
release_credit(attempt_t *attempt, bool certain)
{
    if (attempt->row == NULL)
        return;
    node_t *node = attempt->node;
    const uint64_t now = node_now(node);
    if (certain || now >= attempt->deadline_ms) {
        limiter_release(&node->gate, attempt->row, attempt->is_long);
    } else {
        resting_t *resting = xcalloc(1, sizeof(*resting));
        resting->node = node;
        resting->row = attempt->row;
        resting->is_long = attempt->is_long;
        uv_timer_init(node->loop, &resting->timer);
        resting->timer.data = resting;
        uv_timer_start(&resting->timer, on_rest_over, attempt->deadline_ms - now, 0);
    }
    attempt->row = NULL;
}

static void
finish(attempt_t *attempt, bool certain, const char *outcome)
{
    release_credit(attempt, certain);
    if (attempt->backend != NULL)
        backend_ended(attempt->backend);
    trace_write(&attempt->node->spans, &attempt->trace,
                attempt->backend != NULL ? attempt->backend->name.ptr : "entry", attempt->place,
                attempt->started_us, outcome);
    free(attempt);
}

/* Asked just before the first byte goes: the process may have been paused since admission. */
static bool
on_send(void *ctx)
{
    attempt_t *attempt = ctx;
    node_t *node = attempt->node;
    const uint64_t now = node_now(node);
    if (now >= attempt->deadline_ms)
        return false;
    if (attempt->backend != NULL && (backend_is_leaving(attempt->backend, now) ||
                                     backend_status_is_stale(attempt->backend, now)))
        return false;
    if (attempt->row != NULL && !mutate_is(MUTATE_NO_LIMIT) &&
        credit_in_flight(node->credit) > credit_usable(node->credit, now))
        return false;
    if (attempt->exchange->record != NULL)
        attempt->exchange->record->touched_ms = now;
    return true;
}

static uint32_t
parse_load(str_t text)
{
    char buf[64];
    unsigned busy = 0;
    unsigned queued = 0;
    snprintf(buf, sizeof(buf), "%.*s", STR_ARG(text));
    if (sscanf(buf, "%u/%u", &busy, &queued) != 2)
        return 0;
    return busy + queued;
}

static void
note_head(attempt_t *attempt, const http_head_t *head)
{
    backend_t *backend = attempt->backend;
    const uint64_t now = node_now(attempt->node);
    const uint32_t load = parse_load(http_head_find(head, STR("x-irisstall-load")));
    backend_status_received(backend,
                            str_eq(http_head_find(head, STR("x-irisstall-draining")), STR("1")),
                            attempt->started_ms, now);
    if (attempt->said_not_run && !backend_is_leaving(backend, now))
        backend_shed(backend, load, now);
    else if (!attempt->said_not_run)
        backend_answered(backend, (double)(now - attempt->started_ms), load, now);
}

static void
on_head(void *ctx, const http_head_t *head)
{
    attempt_t *attempt = ctx;
    const str_t outcome = http_head_find(head, STR("x-irisstall-outcome"));
    attempt->said_not_run = (head->status == STATUS_SHED || head->status == STATUS_LATE) &&
                            str_eq(outcome, STR("not_run"));
    attempt->said_unknown = attempt->backend == NULL && str_eq(outcome, STR("unknown"));
    if (attempt->backend != NULL)
        note_head(attempt, head);
    if (!attempt->said_not_run)
        attempt->head_taken =
            attempt->exchange->attempt_cbs->on_head(attempt->exchange, attempt, head);
}

static void
on_data(void *ctx, const char *ptr, size_t len)
{
    attempt_t *attempt = ctx;
    if (attempt->head_taken)
        attempt->exchange->attempt_cbs->on_data(attempt->exchange, attempt, ptr, len);
}

static void
on_end(void *ctx, const http_result_t *result)
{
    attempt_t *attempt = ctx;
    exchange_t *x = attempt->exchange;
    const bool whole = result->err.code == ERR_NONE;
    const bool sent = result->stage >= HTTP_STAGE_SENT;
    const attempt_result_t out = {.whole = whole && !attempt->said_not_run,
                                  .sent = sent,
                                  .not_run = !sent || (whole && attempt->said_not_run),
                                  .unknown = attempt->said_unknown,
                                  .timed_out = result->err.code == ERR_TIMEOUT,
                                  .status = result->status};
    if (!whole) {
        LOG_DBG("attempt failed: id=%s to=%s err=%s detail=%s", x->id,
                attempt->backend != NULL ? attempt->backend->name.ptr : "entry",
                err_name(result->err.code), result->err.detail);
        if (attempt->backend != NULL)
            backend_failed(attempt->backend, node_now(attempt->node));
    }
    x->attempt_cbs->on_end(x, attempt, &out);
    const char *told = out.whole && !out.unknown ? "ran" : out.not_run ? "not_run" : "unknown";
    finish(attempt, whole || !sent, told);
}

static char *
build_request(const attempt_t *attempt, const attempt_conf_t *conf, size_t *len)
{
    const exchange_t *x = attempt->exchange;
    char parent[TRACEPARENT_SIZE];
    char host[ADDR_TEXT_MAX];
    char hop[96] = "";
    trace_format(&attempt->trace, parent);
    addr_format(conf->backend != NULL ? &conf->backend->addr : &conf->entry, host);
    if (conf->backend == NULL)
        snprintf(hop, sizeof(hop), "x-irisstall-service: %s\r\nx-irisstall-hop: %s\r\n",
                 x->service.ptr, conf->hop == HOP_OWNER ? "owner" : "entry");
    char *head =
        xasprintf("%s%shost: %s\r\nx-request-id: %s\r\ntraceparent: %s\r\n"
                  "x-irisstall-deadline: %" PRIu64 "\r\ncontent-length: %zu\r\n%s\r\n",
                  x->line, x->head, host, x->id, parent, x->deadline_wall_ms, x->body_len, hop);
    const size_t head_len = strlen(head);
    head = xrealloc(head, head_len + x->body_len + 1);
    if (x->body_len > 0)
        memcpy(head + head_len, x->body, x->body_len);
    *len = head_len + x->body_len;
    return head;
}

static attempt_t *
send_attempt(exchange_t *x, const attempt_conf_t *conf)
{
    static const http_call_cbs_t cbs = {
        .on_send = on_send, .on_head = on_head, .on_data = on_data, .on_end = on_end};
    node_t *node = x->node;
    attempt_t *attempt = xcalloc(1, sizeof(*attempt));
    attempt->exchange = x;
    attempt->node = node;
    attempt->backend = conf->backend;
    attempt->row = conf->row;
    attempt->is_long = conf->is_long;
    attempt->place = conf->place;
    attempt->trace = trace_child(&x->trace, &node->rng);
    attempt->started_us = clock_wall_us();
    attempt->started_ms = node_now(node);
    attempt->deadline_ms = x->deadline_ms;
    http_call_conf_t call = {.head_method = x->head_method};
    call.request = build_request(attempt, conf, &call.request_len);
    call.timeout_ms = x->deadline_ms > attempt->started_ms
                          ? x->deadline_ms - attempt->started_ms + DEADLINE_GRACE_MS
                          : 1;
    if (conf->backend != NULL) {
        call.target = node_backend_target(node, conf->backend);
        backend_started(conf->backend);
        counter_add(node->counters.backend_requests, 1);
    } else {
        call.target = node_entry_target(node, &conf->entry);
    }
    /* A kept connection may be closing just now; a request that may not be repeated would end
     * as unknown, so it gets a connection of its own. */
    call.fresh = !x->class_.repeatable || conf->backend == NULL;
    attempt->call = http_call_start(&call, &cbs, attempt);
    return attempt;
}

void
attempt_start(exchange_t *x, const attempt_conf_t *conf)
{
    const size_t slot = x->attempts[0] == NULL ? 0 : 1;
    xassert(x->attempts[slot] == NULL);
    x->tries++;
    x->attempts[slot] = send_attempt(x, conf);
}

void
attempt_cancel(attempt_t *attempt)
{
    const bool sent = http_call_stage(attempt->call) >= HTTP_STAGE_SENT;
    http_call_cancel(attempt->call);
    finish(attempt, !sent, "cancelled");
}

void
attempt_pause(attempt_t *attempt)
{
    http_call_pause(attempt->call);
}

void
attempt_resume(attempt_t *attempt)
{
    http_call_resume(attempt->call);
}

const backend_t *
attempt_backend(const attempt_t *attempt)
{
    return attempt->backend;
}
