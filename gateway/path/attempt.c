#include <inttypes.h>
#include <stdlib.h>

#include <http_parser.h>

#define LOG_MODULE "attempt"
#include "base/counter.h"
#include "base/log.h"
#include "base/loop_time.h"
#include "base/xmalloc.h"
#include "gateway/path/attempt.h"
#include "gateway/policy/slow.h"
#include "gateway/policy/slow_reader.h"

enum {
    /* several round trips between regions */
    CONNECT_TIMEOUT_MS = 400,
    /* Maximum idle time of a reused connection; backends close idle connections after a while.
     * Requests that must not be repeated need a fresher one, because a connection closed by the
     * backend leaves their outcome unknown. */
    IDLE_MAX_REPEATABLE_MS = 6000,
    IDLE_MAX_ONCE_MS = 3000,
    /* Time that a response waited for its caller from which its end is not held against the backend
     * server: these end responses that nobody reads after some seconds. */
    WAITED_FOR_CALLER_MS = 400,
    /* Responses up to this size are buffered before they are forwarded, so that a broken one can be
     * replaced; larger ones are streamed. */
    BUFFER_MAX = 16384,
    /* Bytes that are read of a body that is not forwarded, so that its connection may be kept. */
    DISCARDED_MAX = 16384,
};

static void
start_streaming(attempt_t *attempt)
{
    attempt->streaming = true;
    wire_respond_head(attempt->req, attempt->status,
                      (str_t){attempt->fields.ptr, attempt->fields.len}, attempt->length);
    wire_respond_data(attempt->req, attempt->body.ptr, attempt->body.len);
    free(attempt->body.ptr);
    attempt->body = (wire_text_t){0};
}

static response_verdict_t
peer_verdict(const transit_report_t *report)
{
    switch (report->result) {
    case TRANSIT_FORWARDED:
        return VERDICT_RESPONSE;
    case TRANSIT_NOT_RUN:
    case TRANSIT_DECLINED:
        return VERDICT_NOT_RUN;
    case TRANSIT_UNKNOWN:
    case TRANSIT_RESULT_COUNT:
        return VERDICT_INVALID;
    }
    BUG("result");
}

/* Reads what a backend server says of itself in its response. */
static void
read_statements(attempt_t *attempt, const wire_head_t *head)
{
    reported_load_t load;
    if (attempt->dialect->load(head, &load)) {
        attempt->slots_full = load.waiting > 0;
        backend_report_load(attempt->backend, &load, loop_now(attempt->loop));
    }
    /* Notices of a misdirected or invalid response are not about this backend. */
    if (attempt->verdict == VERDICT_RESPONSE || attempt->verdict == VERDICT_NOT_RUN) {
        backend_statement_t statement;
        attempt->dialect->notice(head, &statement);
        attempt->on_notice(attempt->ctx, &statement, attempt->verdict == VERDICT_RESPONSE);
    }
}

bool
attempt_end_if_abandoned(attempt_t *attempt)
{
    if (!wire_request_is_abandoned(attempt->req))
        return false;
    counter_add(counter_get("irisstall_sends_withheld_total", NULL,
                            "Attempts not sent because their callers had left meanwhile."),
                1);
    wire_request_abandon(attempt->req);
    return true;
}

/* The end of the request cancels the call. */
static bool
on_connected(void *ctx)
{
    return !attempt_end_if_abandoned(ctx);
}

static bool
on_match(void *ctx, const wire_head_t *head)
{
    const attempt_t *attempt = ctx;
    return attempt->dialect->answers(head, attempt->id);
}

static void
on_head(void *ctx, const wire_head_t *head, int64_t length)
{
    attempt_t *attempt = ctx;
    attempt->head_seen = true;
    attempt->head_ms = loop_now(attempt->loop);
    attempt->status = head->status;
    attempt->length = length;
    if (attempt->via_peer) {
        attempt->report = transit_report_read(head);
        attempt->verdict = peer_verdict(&attempt->report);
    } else {
        attempt->verdict = attempt->dialect->judge(head);
        read_statements(attempt, head);
    }
    attempt->fields.len = 0;
    attempt->dialect->write_response(head, &attempt->fields);
    if (attempt->verdict == VERDICT_RESPONSE && length > BUFFER_MAX)
        start_streaming(attempt);
}

/* Unread bytes that the response may hold at present. */
static size_t
allowance(const attempt_t *attempt)
{
    return slow_reader_allowance(wire_respond_total_backlog(attempt->req));
}

static size_t
on_read_max(void *ctx)
{
    const attempt_t *attempt = ctx;
    const size_t backlog = wire_respond_backlog(attempt->req);
    const size_t most = allowance(attempt);
    return most > backlog + SLOW_READER_MIN ? most - backlog : SLOW_READER_MIN;
}

static void
pause_for_slow_caller(attempt_t *attempt)
{
    if (attempt->paused || wire_respond_backlog(attempt->req) < allowance(attempt))
        return;
    attempt->paused = true;
    attempt->paused_from_ms = loop_now(attempt->loop);
    wire_call_pause(attempt->call);
}

/* The head has told what becomes of the request; a body without end must not delay that. */
static void
discard(attempt_t *attempt, size_t len)
{
    attempt->discarded += len;
    if (attempt->discarded > DISCARDED_MAX)
        wire_call_reject(attempt->call, "body that is not forwarded is too long");
}

static void
on_data(void *ctx, const char *ptr, size_t len)
{
    attempt_t *attempt = ctx;
    attempt->received += len;
    if (attempt->verdict != VERDICT_RESPONSE) {
        discard(attempt, len);
        return;
    }
    if (!attempt->streaming && attempt->body.len + len <= BUFFER_MAX) {
        wire_text_add(&attempt->body, ptr, len);
        return;
    }
    if (!attempt->streaming)
        start_streaming(attempt);
    wire_respond_data(attempt->req, ptr, len);
}

static void
on_read_end(void *ctx)
{
    attempt_t *attempt = ctx;
    if (!attempt->streaming)
        return;
    wire_respond_flush(attempt->req);
    pause_for_slow_caller(attempt);
}

static uint64_t
paused_ms(const attempt_t *attempt)
{
    const uint64_t now = loop_now(attempt->loop);
    return attempt->paused_ms + (attempt->paused ? now - attempt->paused_from_ms : 0);
}

uint64_t
attempt_elapsed_ms(const attempt_t *attempt)
{
    return loop_now(attempt->loop) - attempt->sent_ms - paused_ms(attempt);
}

bool
attempt_waited_for_caller(const attempt_t *attempt)
{
    return paused_ms(attempt) >= WAITED_FOR_CALLER_MS;
}

void
attempt_record(attempt_t *attempt, bool failed)
{
    if (attempt->recorded || (failed && attempt_waited_for_caller(attempt)))
        return;
    attempt->recorded = true;
    health_record(&attempt->backend->health, failed, loop_now(attempt->loop));
}

bool
attempt_is_slow(const attempt_t *attempt)
{
    const uint64_t now = loop_now(attempt->loop);
    const slow_input_t input = {
        .slow_ms = attempt->slow_ms,
        .elapsed_ms = attempt_elapsed_ms(attempt),
        .queued = attempt->queued,
        .cold = backend_is_cold(attempt->backend, now),
    };
    return slow_counts_as_failure(&input);
}

/* Returns the outcome of a complete response. */
static attempt_outcome_t
classify_complete(attempt_t *attempt, backend_t *backend)
{
    const uint64_t now = loop_now(attempt->loop);
    switch (attempt->verdict) {
    case VERDICT_RESPONSE:
        backend_answered(backend, (double)attempt_elapsed_ms(attempt), attempt->queued);
        attempt_record(attempt, attempt->status >= HTTP_STATUS_INTERNAL_SERVER_ERROR ||
                                    attempt_is_slow(attempt));
        return ATTEMPT_ANSWERED;
    case VERDICT_MISDIRECTED:
        backend->replaced = true;
        return ATTEMPT_NOT_RUN;
    case VERDICT_NOT_RUN:
        return ATTEMPT_NOT_RUN;
    case VERDICT_INVALID:
        if (attempt->via_peer) /* a report of the peer, which works */
            return ATTEMPT_UNKNOWN;
        attempt_record(attempt, true);
        breaker_record_failure(&backend->breaker, now);
        return ATTEMPT_UNKNOWN;
    }
    BUG("verdict");
}

bool
attempt_says_not_run(const attempt_t *attempt)
{
    return attempt->head_seen &&
           (attempt->verdict == VERDICT_NOT_RUN || attempt->verdict == VERDICT_MISDIRECTED);
}

bool
attempt_found_no_room(const attempt_t *attempt)
{
    return attempt->head_seen && attempt->verdict == VERDICT_NOT_RUN &&
           attempt->status == HTTP_STATUS_SERVICE_UNAVAILABLE;
}

/* Returns the outcome of an attempt whose call failed. */
static attempt_outcome_t
classify_failure(attempt_t *attempt, backend_t *backend, const wire_call_result_t *end)
{
    const uint64_t now = loop_now(attempt->loop);
    char caller[ADDR_TEXT_MAX];
    LOG_INFO("attempt failed: id=%.*s request=%016" PRIx64 " caller=%s backend=%s stage=%d err=%s "
             "detail=\"%s\"",
             LOG_STR(attempt->id), attempt->fingerprint, addr_format(&attempt->req->caller, caller),
             backend->info.id.ptr, end->stage, err_name(end->err.code), end->err.detail);
    attempt_record(attempt, true);
    if (!attempt_waited_for_caller(attempt))
        breaker_record_failure(&backend->breaker, now);
    if (attempt->streaming)
        return ATTEMPT_TRUNCATED;
    return end->stage == WIRE_UNSENT || attempt_says_not_run(attempt) ? ATTEMPT_NOT_RUN
                                                                      : ATTEMPT_UNKNOWN;
}

static void
on_end(void *ctx, const wire_call_result_t *end)
{
    attempt_t *attempt = ctx;
    backend_t *backend = attempt->backend;
    attempt->call = NULL;
    attempt->sent = end->stage != WIRE_UNSENT;
    attempt->closed = attempt->sent && end->closed;
    attempt->reused = end->reused;
    attempt->link_failed =
        !attempt->head_seen && !end->over_limit && (!attempt->sent || end->timed_out);
    const attempt_outcome_t outcome = end->err.code == ERR_NONE
                                          ? classify_complete(attempt, backend)
                                          : classify_failure(attempt, backend, end);
    attempt->backend = NULL;
    attempt->cb(attempt->ctx, outcome);
}

static char *
build_request(const attempt_t *attempt, const attempt_conf_t *conf, size_t *len)
{
    const wire_head_t *head = &attempt->req->head;
    wire_text_t text = {0};
    wire_text_str(&text, str_from(http_method_str((enum http_method)head->method)));
    wire_text_str(&text, STR(" "));
    wire_text_str(&text, wire_head_target(head));
    wire_text_str(&text, STR(" HTTP/1.1\r\n"));
    const forward_metadata_t terms = {
        .backend = name_str(&attempt->backend->info.id),
        .account = attempt->account,
        .left_ms = conf->left_ms,
    };
    /* Before those of the caller, who may send fields of the same names. */
    wire_text_str(&text, conf->fields);
    attempt->dialect->write_request(head, &terms, &text);
    const bool framed = wire_head_find(head, STR("content-length")).len > 0 ||
                        wire_head_find(head, STR("transfer-encoding")).len > 0;
    if (framed)
        wire_text_printf(&text, "Content-Length: %zu\r\n", attempt->req->body_len);
    wire_text_str(&text, STR("\r\n"));
    wire_text_add(&text, attempt->req->body, attempt->req->body_len);
    *len = text.len;
    return text.ptr;
}

void
attempt_start(attempt_t *attempt, const attempt_conf_t *conf)
{
    static const wire_call_cbs_t cbs = {
        .on_connected = on_connected,
        .matches = on_match,
        .read_max = on_read_max,
        .on_head = on_head,
        .on_data = on_data,
        .on_read_end = on_read_end,
        .on_end = on_end,
    };
    attempt->backend = conf->backend;
    attempt->queued = conf->queued;
    attempt->sent_ms = loop_now(attempt->loop);
    attempt->sent = false;
    attempt->closed = false;
    attempt->via_peer = conf->via_peer;
    attempt->reused = false;
    attempt->link_failed = false;
    attempt->report = (transit_report_t){0};
    attempt->head_seen = false;
    attempt->head_ms = 0;
    attempt->paused = false;
    attempt->paused_ms = 0;
    attempt->slots_full = false;
    attempt->recorded = false;
    attempt->discarded = 0;
    attempt->slow_ms = conf->slow_ms;
    attempt->body.len = 0;
    wire_call_conf_t call = {
        .connect_timeout_ms = CONNECT_TIMEOUT_MS,
        .idle_max_ms = conf->repeatable ? IDLE_MAX_REPEATABLE_MS : IDLE_MAX_ONCE_MS,
        .head_method = attempt->req->head.method == HTTP_HEAD,
        .probe_before_reuse = conf->is_retry,
    };
    call.request = build_request(attempt, conf, &call.request_len);
    attempt->call = wire_call_start(conf->backend->pool, &call, &cbs, attempt);
}

void
attempt_cancel(attempt_t *attempt)
{
    if (attempt->call == NULL)
        return;
    const uint64_t elapsed_ms = loop_now(attempt->loop) - attempt->sent_ms;
    attempt->sent = wire_call_stage(attempt->call) != WIRE_UNSENT;
    if (attempt->slow_ms > 0 && elapsed_ms >= attempt->slow_ms)
        wire_call_abort_on_timeout(attempt->call);
    else
        wire_call_cancel(attempt->call);
    attempt->call = NULL;
    attempt->backend = NULL;
}

void
attempt_on_caller_drained(attempt_t *attempt)
{
    if (!attempt->paused || attempt->call == NULL)
        return;
    attempt->paused_ms = paused_ms(attempt);
    attempt->paused = false;
    wire_call_resume(attempt->call);
}

void
attempt_forward_response(attempt_t *attempt)
{
    if (!attempt->streaming) {
        if (attempt->length != WIRE_UNTIL_CLOSE)
            attempt->length = (int64_t)attempt->body.len;
        start_streaming(attempt);
    }
    wire_respond_end(attempt->req);
}

void
attempt_free(attempt_t *attempt)
{
    free(attempt->fields.ptr);
    free(attempt->body.ptr);
}
