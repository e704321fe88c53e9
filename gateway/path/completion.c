#include <stdlib.h>

#include <http_parser.h>

#include "base/counter.h"
#include "base/xmalloc.h"
#include "gateway/path/access_log.h"
#include "gateway/path/completion.h"

/* Returns why the response about to be forwarded is late. */
static late_cause_t
late_cause(const exchange_t *ex, const backend_t *backend)
{
    const uint64_t now = exchange_now_ms(ex);
    const attempt_t *attempt = &ex->attempt;
    xassert(backend != NULL);
    const lateness_input_t input = {
        .objective_ms = ex->route->latency_objective_ms,
        .elapsed_ms = now - ex->req->begun_ms,
        .attempt_ms = attempt_elapsed_ms(attempt),
        .typical_ms = backend->service_time_ms,
        .slow_ms = attempt->slow_ms,
        .queued = attempt->queued,
        .slots_full = attempt->slots_full,
        .cold = backend_is_cold(backend, now),
        .other_region = backend->region != ex->owner->router->region,
    };
    return lateness_cause(&input);
}

/* Callers who were told a time that they are expected to wait for. */
static void
count_return(void)
{
    counter_add(counter_get("irisstall_returns_total", "result=\"expected\"",
                            "Refused callers who are expected to come back at the time told."),
                1);
}

static void
log_end(const exchange_t *ex, int status, outcome_t outcome)
{
    const backend_t *backend = exchange_last_tried(ex);
    const account_use_t *use = outcome == OUTCOME_OVER_LIMIT ? ex->account_use : NULL;
    const access_record_t access = {
        .id = ex->metadata.id,
        .fingerprint = ex->fingerprint.request,
        .outcome = outcome,
        .status = status,
        .service = ex->service != NULL ? ex->service->name.ptr : NULL,
        .account = ex->account != NULL ? ex->account->name.ptr : NULL,
        .key = ex->route != NULL ? key_verdict_name(ex->key) : NULL,
        .backend = backend != NULL ? backend->info.id.ptr : NULL,
        .config_version = ex->config != NULL ? ex->config->version : NULL,
        .attempts = ex->tried_count,
        .sends = ex->sends,
        .choice = ex->choice.reason,
        .skip_reason = ex->choice.skip_reason,
        .retry = ex->retry,
        .late = outcome == OUTCOME_ANSWERED ? late_cause(ex, backend) : LATE_NONE,
        .elapsed_ms = exchange_now_ms(ex) - ex->req->begun_ms,
        .left_ms = exchange_remaining_ms(ex),
        .retry_after_ms = ex->retry_after_ms,
        .limit = use != NULL ? limit_verdict_name(use->limiter.verdict) : NULL,
        .limit_share_per_s = use != NULL ? use->limiter.share_per_s : 0,
        .unacknowledged = use != NULL ? account_use_unacknowledged(use) : 0,
    };
    access_log(&access);
    traffic_count(&ex->owner->router->traffic, ex->req->body_len + ex->attempt.received);
}

/* Tells the peer that sent the request what became of it. */
static void
report_to_peer(const exchange_t *ex, const final_response_t *response, wire_text_t *fields)
{
    transit_report_t report = {
        .result = TRANSIT_NOT_RUN,
        .sends = ex->sends,
        .retry_after_ms = response->retry_after_ms,
    };
    if (ex->may_have_run)
        report.result = TRANSIT_UNKNOWN;
    else if (ex->declined)
        report.result = TRANSIT_DECLINED;
    transit_report_write(&report, fields);
    transit_count_received(report.result);
}

static void
send_final_response(exchange_t *ex, const final_response_t *response)
{
    wire_text_t fields = {0};
    ex->owner->dialect->write_gateway_response(ex->metadata.id, response->retry_after_ms, &fields);
    if (ex->from_peer)
        report_to_peer(ex, response, &fields);
    ex->retry_after_ms = response->retry_after_ms;
    log_end(ex, response->status, response->outcome);
    wire_respond(ex->req, response->status, (str_t){fields.ptr, fields.len}, STR(""));
    free(fields.ptr);
    exchange_release(ex);
}

static retry_after_input_t
retry_after_input(const exchange_t *ex)
{
    router_t *router = ex->owner->router;
    const uint64_t now_ms = exchange_now_ms(ex);
    return (retry_after_input_t){
        .heartbeat_ms = router->heartbeat_ms,
        .available_in_ms = ex->choice.wait_ms,
        .reads_in_ms = router->reads_store_at_ms > now_ms ? router->reads_store_at_ms - now_ms : 0,
        .point = rng_unit(&router->rng),
    };
}

void
completion_refuse(exchange_t *ex, outcome_t why)
{
    const retry_after_input_t input = retry_after_input(ex);
    const final_response_t response = final_response(why, ex->may_have_run, &input);
    send_final_response(ex, &response);
}

static outcome_t
unsent_outcome(choice_reason_t reason)
{
    switch (reason) {
    case CHOICE_FULL:
    case CHOICE_SHORTAGE:
        return OUTCOME_NO_CAPACITY;
    case CHOICE_ALL_SKIPPED:
        return OUTCOME_ALL_SKIPPED;
    default:
        return OUTCOME_NO_BACKEND;
    }
}

void
completion_refuse_no_backend(exchange_t *ex)
{
    completion_refuse(ex, unsent_outcome(ex->choice.reason));
}

/* No Retry-After: the caller has no time to come back. */
void
completion_refuse_no_time(exchange_t *ex)
{
    if (ex->may_have_run) {
        completion_refuse(ex, OUTCOME_NOT_RUN);
        return;
    }
    const final_response_t response = final_response_no_room(OUTCOME_TIMEOUT_UNSENT, 0);
    send_final_response(ex, &response);
}

void
completion_refuse_no_room(exchange_t *ex, outcome_t why, const return_time_t *time)
{
    const final_response_t response = final_response_no_room(why, time->after_ms);
    if (time->comes_back)
        count_return();
    send_final_response(ex, &response);
}

void
completion_refuse_quarantined(exchange_t *ex, uint64_t held_ms)
{
    const bool has_backend = router_has_usable_backend(ex->owner->router, ex->service);
    const retry_after_input_t input = retry_after_input(ex);
    const final_response_t response = final_response_held(held_ms, &input, has_backend);
    suspects_count_refused(ex->owner->suspects, &ex->fingerprint);
    send_final_response(ex, &response);
}

void
completion_refuse_over_limit(exchange_t *ex, uint32_t retry_after_ms)
{
    const final_response_t response = final_response_over_limit(retry_after_ms);
    send_final_response(ex, &response);
}

void
completion_abort(exchange_t *ex, outcome_t outcome)
{
    log_end(ex, ex->attempt.status, outcome);
    wire_respond_abort(ex->req);
    exchange_release(ex);
}

void
completion_forward(exchange_t *ex)
{
    const int status = ex->attempt.status;
    const bool failed = status >= HTTP_STATUS_INTERNAL_SERVER_ERROR;
    log_end(ex, status, failed ? OUTCOME_BACKEND_FAILED : OUTCOME_ANSWERED);
    if (ex->from_peer)
        transit_count_received(TRANSIT_FORWARDED);
    attempt_forward_response(&ex->attempt);
    exchange_release(ex);
}

void
completion_caller_disconnected(exchange_t *ex)
{
    log_end(ex, 0, OUTCOME_CALLER_LEFT);
    exchange_release(ex);
}
