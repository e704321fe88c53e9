#include <stdlib.h>

#include <http_parser.h>

#define LOG_MODULE "exchange"
#include "base/log.h"
#include "base/xmalloc.h"
#include "gateway/path/access_log.h"
#include "gateway/path/attempt.h"
#include "gateway/path/exchange.h"
#include "gateway/policy/deadline.h"
#include "gateway/policy/final_answer.h"
#include "gateway/policy/retry.h"

typedef struct {
    exchanges_t *owner;
    wire_request_t *req;
    config_t *config; /* the version that decides this request, from its arrival to its answer */
    const config_route_t *route;
    service_t *service;
    caller_terms_t terms;
    uint64_t object;     /* from router_object() */
    uint64_t end_ms;     /* loop time at which it is given up */
    uint64_t overdue_ms; /* loop time at which the attempt is overdue; 0: it is, or none is set */
    uv_timer_t timer;    /* for the earlier of the two */
    attempt_t attempt;
    choice_reason_t choice;               /* of the last choice */
    retry_verdict_t retry;                /* of the last decision to retry */
    backend_t *tried[RETRY_BACKENDS_MAX]; /* in this order, a reference to each */
    size_t tried_count;
    uint32_t sends;    /* ended attempts of which bytes may have gone out */
    bool may_have_run; /* one of them ended without certainty */
    bool done;
} exchange_t;

static void start_attempt(exchange_t *ex, backend_t *backend);
static void choose_and_start(exchange_t *ex);

static uint64_t
now_ms(const exchange_t *ex)
{
    return uv_now(ex->owner->router->loop);
}

/* Time until the exchange is given up. */
static uint64_t
left_ms(const exchange_t *ex)
{
    const uint64_t now = now_ms(ex);
    return ex->end_ms > now ? ex->end_ms - now : 0;
}

static backend_t *
last_tried(const exchange_t *ex)
{
    return ex->tried_count > 0 ? ex->tried[ex->tried_count - 1] : NULL;
}

/* ---- the end ---- */

static void
on_timer_closed(uv_handle_t *handle)
{
    exchange_t *ex = handle->data;
    for (size_t i = 0; i < ex->tried_count; i++)
        backend_unref(ex->tried[i]);
    attempt_free(&ex->attempt);
    config_unref(ex->config);
    free(ex);
}

static void
release(exchange_t *ex)
{
    xassert(!ex->done);
    ex->done = true;
    ex->owner->active--;
    uv_close((uv_handle_t *)&ex->timer, on_timer_closed);
}

static void
log_end(const exchange_t *ex, int status, outcome_t outcome)
{
    const backend_t *backend = last_tried(ex);
    const access_t access = {
        .id = ex->terms.id,
        .outcome = outcome,
        .status = status,
        .service = ex->service != NULL ? ex->service->name.ptr : NULL,
        .backend = backend != NULL ? backend->info.id.ptr : NULL,
        .config_version = ex->config != NULL ? ex->config->version : NULL,
        .attempts = ex->tried_count,
        .sends = ex->sends,
        .choice = ex->choice,
        .retry = ex->retry,
        .elapsed_ms = now_ms(ex) - ex->req->begun_ms,
        .left_ms = left_ms(ex),
    };
    access_log(&access);
}

/* Ends the exchange with an answer of the gateway's own. */
static void
refuse(exchange_t *ex, outcome_t why)
{
    const final_answer_t answer = final_answer(why, ex->may_have_run);
    wire_text_t fields = {0};
    ex->owner->dialect->write_own_answer(ex->terms.id, answer.retry_after_ms, &fields);
    log_end(ex, answer.status, answer.outcome);
    wire_respond(ex->req, answer.status, (str_t){fields.ptr, fields.len}, STR(""));
    free(fields.ptr);
    release(ex);
}

/* Ends an answer that cannot be completed, so that it does not look complete. */
static void
cut_answer(exchange_t *ex, outcome_t outcome)
{
    log_end(ex, ex->attempt.status, outcome);
    wire_respond_abort(ex->req);
    release(ex);
}

/* Passes the backend's answer on, or the rest of it. */
static void
pass_on(exchange_t *ex)
{
    const int status = ex->attempt.status;
    const bool failed = status >= HTTP_STATUS_INTERNAL_SERVER_ERROR;
    log_end(ex, status, failed ? OUTCOME_BACKEND_FAILED : OUTCOME_ANSWERED);
    attempt_pass_on(&ex->attempt);
    release(ex);
}

/* ---- attempts ---- */

/* Breaks off the attempt under way, if there is one. */
static void
cancel_attempt(exchange_t *ex)
{
    if (ex->attempt.call == NULL)
        return;
    attempt_cancel(&ex->attempt);
    ex->sends += ex->attempt.sent;
    ex->may_have_run |= ex->attempt.sent;
    router_attempt_finished(ex->owner->router, ex->service, last_tried(ex));
}

static retry_input_t
retry_input(const exchange_t *ex)
{
    return (retry_input_t){
        .repeatable = ex->route->repeatable,
        .may_have_run = ex->may_have_run,
        .backends_tried = ex->tried_count,
        .sends = ex->sends,
        .sends_max = ex->route->max_attempts,
        .left_ms = left_ms(ex),
    };
}

static bool
may_retry(exchange_t *ex)
{
    const retry_input_t input = retry_input(ex);
    const retry_account_t account = router_retry_account(ex->owner->router, ex->service);
    ex->retry = retry_decide(&input, &account);
    return ex->retry == RETRY_YES;
}

static void
retry_or_refuse(exchange_t *ex)
{
    if (may_retry(ex))
        choose_and_start(ex);
    else
        refuse(ex, OUTCOME_NOT_RUN);
}

static void
on_answered(exchange_t *ex)
{
    const attempt_t *attempt = &ex->attempt;
    router_count_answer(ex->owner->router, ex->route, ex->service,
                        (double)(now_ms(ex) - attempt->sent_ms));
    if (retry_replaces_answer(attempt->status, ex->route->repeatable, attempt->streaming) &&
        may_retry(ex)) {
        ex->may_have_run = true;
        choose_and_start(ex);
        return;
    }
    pass_on(ex);
}

static void
on_attempt_end(void *ctx, attempt_outcome_t outcome)
{
    exchange_t *ex = ctx;
    router_attempt_finished(ex->owner->router, ex->service, last_tried(ex));
    ex->sends += ex->attempt.sent;
    switch (outcome) {
    case ATTEMPT_ANSWERED:
        on_answered(ex);
        break;
    case ATTEMPT_NOT_RUN:
        retry_or_refuse(ex);
        break;
    case ATTEMPT_UNKNOWN:
        ex->may_have_run = true;
        retry_or_refuse(ex);
        break;
    case ATTEMPT_CUT:
        cut_answer(ex, OUTCOME_CUT_BY_BACKEND);
        break;
    }
}

/* Asks for a backend; NULL with the reason if none takes the request. */
static backend_t *
choose_backend(const exchange_t *ex, choice_reason_t *reason)
{
    const uint32_t given_up_in_ms = left_ms(ex) > 0 ? (uint32_t)left_ms(ex) : 1;
    const router_request_t request = {
        .route = ex->route,
        .service = ex->service,
        .object = ex->object,
        .has_object = router_has_object(ex->route, ex->terms.object),
        .left_ms = ex->terms.has_deadline ? ex->terms.deadline_ms : given_up_in_ms,
        .tried = ex->tried,
        .tried_count = ex->tried_count,
    };
    return router_pick(ex->owner->router, &request, reason);
}

static void
choose_and_start(exchange_t *ex)
{
    backend_t *backend = choose_backend(ex, &ex->choice);
    if (backend != NULL) {
        start_attempt(ex, backend);
        return;
    }
    router_count_refused(ex->owner->router, ex->service);
    refuse(ex, ex->choice == CHOICE_FULL ? OUTCOME_NO_ROOM : OUTCOME_NO_BACKEND);
}

/* ---- time limits ---- */

/* The deadline has come. */
static void
give_up(exchange_t *ex)
{
    if (ex->attempt.call != NULL)
        attempt_record(&ex->attempt, true);
    cancel_attempt(ex);
    if (ex->attempt.streaming)
        cut_answer(ex, OUTCOME_CUT_AT_DEADLINE);
    else
        refuse(ex, OUTCOME_TIMEOUT);
}

/* True if the overdue attempt may be broken off in favour of another one. */
static bool
may_replace_overdue(exchange_t *ex)
{
    const attempt_t *attempt = &ex->attempt;
    const retry_overdue_t input = {
        .request = retry_input(ex),
        .sent = wire_call_stage(attempt->call) != WIRE_UNSENT,
        .backend_avoided = health_is_avoided(&attempt->backend->health, now_ms(ex)),
    };
    const retry_account_t account = router_retry_account(ex->owner->router, ex->service);
    ex->retry = retry_decide_overdue(&input, &account);
    return ex->retry == RETRY_YES;
}

/* The attempt takes far longer than usual. It is broken off only once another backend has taken the
 * request: if none does, its own backend may still answer. */
static void
on_overdue(exchange_t *ex)
{
    attempt_t *attempt = &ex->attempt;
    ex->overdue_ms = 0;
    if (attempt->call == NULL || attempt->head_seen)
        return;
    if (attempt_is_slow(attempt))
        attempt_record(attempt, true);
    if (!may_replace_overdue(ex))
        return;
    choice_reason_t choice;
    backend_t *other = choose_backend(ex, &choice);
    if (other == NULL)
        return;
    LOG_INFO("attempt abandoned: id=%.*s backend=%s after_ms=%llu for=%s", STR_ARG(ex->terms.id),
             attempt->backend->info.id.ptr, (unsigned long long)(now_ms(ex) - attempt->sent_ms),
             other->info.id.ptr);
    cancel_attempt(ex);
    ex->choice = choice;
    start_attempt(ex, other);
}

static void on_timer(uv_timer_t *timer);

static void
set_timer(exchange_t *ex)
{
    const uint64_t now = now_ms(ex);
    const bool overdue_first = ex->overdue_ms != 0 && ex->overdue_ms < ex->end_ms;
    const uint64_t next = overdue_first ? ex->overdue_ms : ex->end_ms;
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
start_attempt(exchange_t *ex, backend_t *backend)
{
    router_t *router = ex->owner->router;
    ex->tried[ex->tried_count++] = backend_ref(backend);
    router_attempt_started(router, ex->service, backend);
    const attempt_conf_t conf = {
        .backend = backend,
        .left_ms = left_ms(ex) > 0 ? (uint32_t)left_ms(ex) : 1,
        .repeatable = ex->route->repeatable,
        .queued = ex->choice == CHOICE_QUEUED,
        .slow_ms = router_slow_ms(router, ex->route),
    };
    attempt_start(&ex->attempt, &conf);
    ex->overdue_ms = conf.slow_ms > 0 ? now_ms(ex) + conf.slow_ms : 0;
    set_timer(ex);
}

/* ---- the beginning ---- */

static uint64_t
deadline_of(const exchange_t *ex)
{
    const deadline_input_t input = {
        .route_limit_ms = ex->route->timeout_ms,
        .has_caller_limit = ex->terms.has_deadline,
        .caller_limit_ms = ex->terms.deadline_ms,
    };
    return ex->req->begun_ms + deadline_allowed_ms(&input);
}

static exchange_t *
new_exchange(exchanges_t *exchanges, wire_request_t *req)
{
    exchange_t *ex = xcalloc(1, sizeof(*ex));
    ex->owner = exchanges;
    ex->req = req;
    ex->choice = CHOICE_NONE;
    exchanges->active++;
    uv_timer_init(exchanges->router->loop, &ex->timer);
    ex->timer.data = ex;
    exchanges->dialect->read_request(&req->head, &ex->terms);
    ex->attempt = (attempt_t){
        .loop = exchanges->router->loop,
        .dialect = exchanges->dialect,
        .req = req,
        .id = ex->terms.id,
        .cb = on_attempt_end,
        .ctx = ex,
    };
    return ex;
}

static void
on_caller_gone(void *ctx)
{
    exchange_t *ex = ctx;
    cancel_attempt(ex);
    log_end(ex, 0, OUTCOME_CALLER_LEFT);
    release(ex);
}

static void
on_caller_drained(void *ctx)
{
    attempt_caller_drained(&((exchange_t *)ctx)->attempt);
}

void
exchange_start(exchanges_t *exchanges, wire_request_t *req)
{
    router_t *router = exchanges->router;
    exchange_t *ex = new_exchange(exchanges, req);
    if (!router_is_ready(router)) {
        refuse(ex, OUTCOME_NO_CONFIGURATION);
        return;
    }
    ex->config = config_ref(router->catalog.config);
    ex->route = config_route(ex->config, wire_head_find(&req->head, STR("host")),
                             wire_head_path(&req->head));
    if (ex->route == NULL) {
        refuse(ex, OUTCOME_NO_ROUTE);
        return;
    }
    ex->service = router_service(router, ex->route);
    if (ex->service == NULL) {
        refuse(ex, OUTCOME_TOO_MANY_SERVICES);
        return;
    }
    router_count_request(router, ex->service);
    ex->object = router_object(router, ex->route, ex->terms.object);
    ex->end_ms = deadline_of(ex);
    req->on_gone = on_caller_gone;
    req->on_drain = on_caller_drained;
    req->ctx = ex;
    choose_and_start(ex);
}
