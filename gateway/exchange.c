#include <stdlib.h>
#include <string.h>

#include <http_parser.h>

#define LOG_MODULE "exchange"
#include "base/counter.h"
#include "base/log.h"
#include "base/xmalloc.h"
#include "gateway/exchange.h"

/* An attempt is overdue after this many times the upstream's usual time, and a fixed time more. */
#define OVERDUE_TIMES 4.0

enum {
    OVERDUE_LEAST_MS = 500,
    CONNECT_TIMEOUT_MS = 400,
    CONNECT_TRIES = 4, /* upstreams tried without having sent anything */
    IDLE_MAX_REPEATABLE_MS = 6000,
    IDLE_MAX_ONCE_MS = 3000, /* a request that may not be repeated wants a fresher connection */
    BUFFER_MAX = 16384,      /* answers up to this size are collected before passing them on */
    BACKLOG_MAX = 262144,    /* unsent bytes to a caller that stop the reading of more */
    RETRY_LEFT_MIN_MS = 60,  /* time that a further attempt must have */
    GIVE_UP_MARGIN_MS = 15,  /* before the caller's deadline, for the answer's way back */
    RETRY_AFTER_MS = 400,
    DEFAULT_TIMEOUT_MS = 30000,
    LOG_EVERY = 64, /* of the requests that went without trouble */
};

typedef struct {
    exchanges_t *all;
    wire_request_t *req;
    config_t *config;
    const config_route_t *route;
    router_service_t *service;
    caller_terms_t terms;
    uint64_t object;
    uint64_t end_ms; /* loop time at which it is given up */
    uv_timer_t timer;
    /* the attempt */
    backend_t *backend;
    wire_call_t *call;
    uint64_t sent_ms;
    uint64_t overdue_ms; /* loop time at which the attempt takes far longer than usual; 0: passed */
    choice_reason_t reason;
    answer_verdict_t verdict;
    int status;
    bool head_seen;
    bool streaming;
    bool paused;
    int64_t length;
    wire_text_t fields;
    wire_text_t body;
    /* all attempts */
    backend_t *tried[CHOICE_TRIED_MAX];
    size_t tried_count;
    uint32_t sends; /* attempts of which bytes may have gone out */
    bool unknown;   /* one of them may have run */
    bool done;
} exchange_t;

static void start_attempt(exchange_t *ex);
static void on_timer(uv_timer_t *timer);

static uint64_t
now_ms(const exchange_t *ex)
{
    return uv_now(ex->all->router->loop);
}

static void
count_outcome(const char *outcome)
{
    char labels[64];
    snprintf(labels, sizeof(labels), "outcome=\"%s\"", outcome);
    counter_add(counter_get("irisstall_requests_total", labels, "Requests by their outcome."), 1);
}

static void
on_timer_closed(uv_handle_t *handle)
{
    exchange_t *ex = handle->data;
    for (size_t i = 0; i < ex->tried_count; i++)
        backend_unref(ex->tried[i]);
    free(ex->fields.ptr);
    free(ex->body.ptr);
    config_unref(ex->config);
    free(ex);
}

static void
release(exchange_t *ex)
{
    xassert(!ex->done);
    ex->done = true;
    ex->all->active--;
    uv_close((uv_handle_t *)&ex->timer, on_timer_closed);
}

/* The attempt no longer counts at its upstream. */
static void
leave_backend(exchange_t *ex)
{
    if (ex->backend == NULL)
        return;
    router_end(ex->all->router, ex->service, ex->backend);
    ex->backend = NULL;
    ex->call = NULL;
}

static void
log_end(const exchange_t *ex, int status, const char *outcome)
{
    static unsigned quiet;
    if (strcmp(outcome, "answered") == 0 && ex->tried_count == 1 && ++quiet % LOG_EVERY != 0)
        return;
    LOG_INFO("request ended: id=%.*s outcome=%s status=%d service=%s attempts=%zu sends=%u "
             "reason=%s backend=%s ms=%llu left_ms=%lld version=%s",
             STR_ARG(ex->terms.id), outcome, status,
             ex->service != NULL ? ex->service->name.ptr : "-", ex->tried_count, ex->sends,
             choice_reason_name(ex->reason),
             ex->tried_count > 0 ? ex->tried[ex->tried_count - 1]->info.id.ptr : "-",
             (unsigned long long)(now_ms(ex) - ex->req->begun_ms),
             ex->end_ms > now_ms(ex) ? (long long)(ex->end_ms - now_ms(ex)) : 0,
             ex->config != NULL ? ex->config->version : "-");
}

/* An answer of our own; ends the exchange. */
static void
answer_own(exchange_t *ex, int status, uint32_t retry_ms, const char *outcome)
{
    wire_text_t fields = {0};
    ex->all->dialect->write_own_answer(ex->terms.id, retry_ms, &fields);
    log_end(ex, status, outcome);
    count_outcome(outcome);
    wire_respond(ex->req, status, (str_t){fields.ptr, fields.len}, STR(""));
    free(fields.ptr);
    release(ex);
}

static void
answer_not_run(exchange_t *ex, const char *outcome)
{
    if (ex->unknown)
        answer_own(ex, HTTP_STATUS_BAD_GATEWAY, 0, "unknown");
    else
        answer_own(ex, HTTP_STATUS_SERVICE_UNAVAILABLE, RETRY_AFTER_MS, outcome);
}

static void
on_caller_gone(void *ctx)
{
    exchange_t *ex = ctx;
    if (ex->call != NULL)
        wire_call_cancel(ex->call);
    leave_backend(ex);
    log_end(ex, 0, "caller_left");
    count_outcome("caller_left");
    release(ex);
}

static void
give_up(exchange_t *ex)
{
    if (ex->call != NULL) {
        ex->unknown |= wire_call_stage(ex->call) != WIRE_UNSENT;
        if (ex->overdue_ms != 0)
            backend_record(ex->backend, true, now_ms(ex));
        wire_call_cancel(ex->call);
    }
    leave_backend(ex);
    if (ex->streaming) {
        log_end(ex, ex->status, "cut_at_deadline");
        count_outcome("cut");
        wire_respond_abort(ex->req);
        release(ex);
        return;
    }
    if (ex->unknown)
        answer_own(ex, HTTP_STATUS_GATEWAY_TIMEOUT, 0, "timeout");
    else
        answer_not_run(ex, "timeout_unsent");
}

static bool
may_send_again(exchange_t *ex)
{
    if (ex->unknown && !ex->route->repeatable)
        return false;
    if (ex->tried_count >= CHOICE_TRIED_MAX || ex->sends >= ex->route->max_attempts)
        return false;
    if (now_ms(ex) + RETRY_LEFT_MIN_MS > ex->end_ms)
        return false;
    if (ex->sends == 0)
        return ex->tried_count < CONNECT_TRIES;
    return router_take_retry(ex->all->router, ex->service);
}

/* The attempt takes far longer than usual. If its upstream fails others too and the request may be
 * repeated, another upstream gets it. */
static void
on_overdue(exchange_t *ex)
{
    ex->overdue_ms = 0;
    if (ex->call == NULL || ex->head_seen)
        return;
    backend_record(ex->backend, true, now_ms(ex));
    if (!ex->route->repeatable || !backend_is_impaired(ex->backend, now_ms(ex)))
        return;
    ex->unknown |= wire_call_stage(ex->call) != WIRE_UNSENT;
    ex->sends += wire_call_stage(ex->call) != WIRE_UNSENT;
    if (!may_send_again(ex)) {
        ex->sends -= wire_call_stage(ex->call) != WIRE_UNSENT;
        return;
    }
    LOG_INFO("attempt abandoned: id=%.*s backend=%s after_ms=%llu", STR_ARG(ex->terms.id),
             ex->backend->info.id.ptr, (unsigned long long)(now_ms(ex) - ex->sent_ms));
    wire_call_cancel(ex->call);
    leave_backend(ex);
    start_attempt(ex);
}

static void
set_timer(exchange_t *ex)
{
    const uint64_t now = now_ms(ex);
    const uint64_t next =
        ex->overdue_ms != 0 && ex->overdue_ms < ex->end_ms ? ex->overdue_ms : ex->end_ms;
    uv_timer_start(&ex->timer, on_timer, next > now ? next - now : 0, 0);
}

static void
on_timer(uv_timer_t *timer)
{
    exchange_t *ex = timer->data;
    if (now_ms(ex) >= ex->end_ms) {
        give_up(ex);
        return;
    }
    on_overdue(ex);
    if (!ex->done)
        set_timer(ex);
}

static void
retry_or_give_up(exchange_t *ex)
{
    if (may_send_again(ex))
        start_attempt(ex);
    else
        answer_not_run(ex, "not_run");
}

static void
start_streaming(exchange_t *ex)
{
    ex->streaming = true;
    wire_respond_head(ex->req, ex->status, (str_t){ex->fields.ptr, ex->fields.len}, ex->length);
    wire_respond_data(ex->req, ex->body.ptr, ex->body.len);
    ex->body.len = 0;
}

static void
on_answer_head(void *ctx, const wire_head_t *head, int64_t content_length)
{
    exchange_t *ex = ctx;
    const dialect_port_t *dialect = ex->all->dialect;
    reported_load_t load;
    ex->head_seen = true;
    ex->verdict = dialect->judge(head);
    ex->status = head->status;
    ex->length = content_length;
    if (dialect->load(head, &load))
        backend_report_load(ex->backend, &load, now_ms(ex));
    ex->fields.len = 0;
    dialect->write_answer(head, &ex->fields);
    if (ex->verdict == VERDICT_ANSWER && content_length > BUFFER_MAX)
        start_streaming(ex);
}

static void
on_caller_drained(void *ctx)
{
    exchange_t *ex = ctx;
    if (!ex->paused || ex->call == NULL)
        return;
    ex->paused = false;
    wire_call_resume(ex->call);
}

static void
on_answer_data(void *ctx, const char *ptr, size_t len)
{
    exchange_t *ex = ctx;
    if (ex->verdict != VERDICT_ANSWER)
        return;
    if (!ex->streaming && ex->body.len + len <= BUFFER_MAX) {
        wire_text_add(&ex->body, ptr, len);
        return;
    }
    if (!ex->streaming)
        start_streaming(ex);
    wire_respond_data(ex->req, ptr, len);
    wire_respond_flush(ex->req);
    if (!ex->paused && wire_respond_backlog(ex->req) > BACKLOG_MAX) {
        ex->paused = true;
        wire_call_pause(ex->call);
    }
}

/* True if an upstream's own failure is worth another attempt. */
static bool
is_failure_worth_retry(const exchange_t *ex)
{
    return ex->route->repeatable && ex->status >= 500 &&
           ex->status != HTTP_STATUS_GATEWAY_TIMEOUT && !ex->streaming;
}

static void
pass_on(exchange_t *ex)
{
    const int status = ex->status;
    if (!ex->streaming) {
        if (ex->length != WIRE_UNTIL_CLOSE)
            ex->length = (int64_t)ex->body.len;
        start_streaming(ex);
    }
    log_end(ex, status, status < 500 ? "answered" : "upstream_failed");
    count_outcome("answered");
    wire_respond_end(ex->req);
    release(ex);
}

static void
on_whole_answer(exchange_t *ex, backend_t *backend)
{
    switch (ex->verdict) {
    case VERDICT_ANSWER:
        router_answered(ex->service, (double)(now_ms(ex) - ex->sent_ms));
        backend_answered(backend, (double)(now_ms(ex) - ex->sent_ms), ex->reason == CHOICE_QUEUED);
        backend_record(backend, ex->status >= 500, now_ms(ex));
        if (is_failure_worth_retry(ex)) {
            ex->unknown = true;
            if (may_send_again(ex)) {
                start_attempt(ex);
                return;
            }
        }
        pass_on(ex);
        return;
    case VERDICT_MISDIRECTED:
        backend->departed = true;
        retry_or_give_up(ex);
        return;
    case VERDICT_NOT_RUN:
        retry_or_give_up(ex);
        return;
    case VERDICT_BAD:
        ex->unknown = true;
        backend_record(backend, true, now_ms(ex));
        backend_failed(backend, now_ms(ex));
        retry_or_give_up(ex);
        return;
    }
    BUG("verdict");
}

static void
on_answer_end(void *ctx, const wire_end_t *end)
{
    exchange_t *ex = ctx;
    backend_t *backend = ex->backend;
    leave_backend(ex);
    if (end->stage >= WIRE_SENT)
        ex->sends++;
    if (end->err.code == ERR_NONE) {
        on_whole_answer(ex, backend);
        return;
    }
    LOG_INFO("attempt failed: id=%.*s backend=%s stage=%d err=%s detail=\"%s\"",
             STR_ARG(ex->terms.id), backend->info.id.ptr, end->stage, err_name(end->err.code),
             end->err.detail);
    backend_record(backend, true, now_ms(ex));
    backend_failed(backend, now_ms(ex));
    const bool said_not_run =
        ex->head_seen && (ex->verdict == VERDICT_NOT_RUN || ex->verdict == VERDICT_MISDIRECTED);
    if (end->stage >= WIRE_SENT && !said_not_run)
        ex->unknown = true;
    if (ex->streaming) {
        log_end(ex, ex->status, "cut_by_upstream");
        count_outcome("cut");
        wire_respond_abort(ex->req);
        release(ex);
        return;
    }
    retry_or_give_up(ex);
}

static bool
on_match(void *ctx, const wire_head_t *head)
{
    const exchange_t *ex = ctx;
    return ex->all->dialect->answers(head, ex->terms.id);
}

static char *
build_request(const exchange_t *ex, uint32_t left_ms, size_t *len)
{
    const wire_head_t *head = &ex->req->head;
    wire_text_t text = {0};
    wire_text_str(&text, str_from(http_method_str((enum http_method)head->method)));
    wire_text_str(&text, STR(" "));
    wire_text_str(&text, wire_head_target(head));
    wire_text_str(&text, STR(" HTTP/1.1\r\n"));
    ex->all->dialect->write_request(head, name_str(&ex->backend->info.id), left_ms, &text);
    const bool framed = wire_head_find(head, STR("content-length")).len > 0 ||
                        wire_head_find(head, STR("transfer-encoding")).len > 0;
    if (framed)
        wire_text_printf(&text, "Content-Length: %zu\r\n", ex->req->body_len);
    wire_text_str(&text, STR("\r\n"));
    wire_text_add(&text, ex->req->body, ex->req->body_len);
    *len = text.len;
    return text.ptr;
}

static void
start_attempt(exchange_t *ex)
{
    static const wire_call_cbs_t cbs = {
        .matches = on_match,
        .on_head = on_answer_head,
        .on_data = on_answer_data,
        .on_end = on_answer_end,
    };
    router_t *router = ex->all->router;
    const uint64_t now = now_ms(ex);
    const uint32_t left = ex->end_ms > now ? (uint32_t)(ex->end_ms - now) : 1;
    const uint32_t patience = ex->terms.has_deadline ? ex->terms.deadline_ms : left;
    backend_t *backend = router_pick(router, ex->route, ex->service, ex->object, patience,
                                     ex->tried, ex->tried_count, &ex->reason);
    if (backend == NULL) {
        router_refused(router, ex->service);
        answer_not_run(ex, ex->reason == CHOICE_FULL ? "no_room" : "no_upstream");
        return;
    }
    ex->tried[ex->tried_count++] = backend_ref(backend);
    ex->backend = backend;
    ex->sent_ms = now_ms(ex);
    ex->head_seen = false;
    ex->paused = false;
    ex->body.len = 0;
    router_begin(router, ex->service, backend);
    wire_call_conf_t conf = {
        .connect_timeout_ms = CONNECT_TIMEOUT_MS,
        .idle_max_ms = ex->route->repeatable ? IDLE_MAX_REPEATABLE_MS : IDLE_MAX_ONCE_MS,
        .head_method = ex->req->head.method == HTTP_HEAD,
    };
    conf.request = build_request(ex, left, &conf.request_len);
    ex->call = wire_call_start(backend->pool, &conf, &cbs, ex);
    const double usual = backend->work_ms > 0 ? backend->work_ms : ex->route->aim_ms;
    ex->overdue_ms = now + OVERDUE_LEAST_MS + (uint64_t)(OVERDUE_TIMES * usual);
    set_timer(ex);
}

static void
set_deadline(exchange_t *ex)
{
    uint64_t allowed = ex->route->timeout_ms > 0 ? ex->route->timeout_ms : DEFAULT_TIMEOUT_MS;
    if (ex->terms.has_deadline && ex->terms.deadline_ms < allowed)
        allowed = ex->terms.deadline_ms > GIVE_UP_MARGIN_MS
                      ? ex->terms.deadline_ms - GIVE_UP_MARGIN_MS
                      : 1;
    ex->end_ms = ex->req->begun_ms + allowed;
}

void
exchange_start(exchanges_t *exchanges, wire_request_t *req)
{
    router_t *router = exchanges->router;
    exchange_t *ex = xcalloc(1, sizeof(*ex));
    ex->all = exchanges;
    ex->req = req;
    ex->reason = CHOICE_NONE;
    exchanges->active++;
    uv_timer_init(router->loop, &ex->timer);
    ex->timer.data = ex;
    exchanges->dialect->read_request(&req->head, &ex->terms);
    if (!router_ready(router)) {
        answer_own(ex, HTTP_STATUS_SERVICE_UNAVAILABLE, RETRY_AFTER_MS, "no_configuration");
        return;
    }
    ex->config = config_ref(router->config);
    ex->route = config_route(ex->config, wire_head_find(&req->head, STR("host")),
                             wire_head_path(&req->head));
    if (ex->route == NULL) {
        answer_own(ex, HTTP_STATUS_NOT_FOUND, 0, "no_route");
        return;
    }
    ex->service = router_service(router, router_target(router, ex->route));
    if (ex->service == NULL) {
        answer_own(ex, HTTP_STATUS_SERVICE_UNAVAILABLE, RETRY_AFTER_MS, "too_many_services");
        return;
    }
    router_count_request(router, ex->service);
    ex->object = router_object(router, ex->route, ex->terms.object);
    set_deadline(ex);
    req->on_gone = on_caller_gone;
    req->on_drain = on_caller_drained;
    req->ctx = ex;
    start_attempt(ex);
}
