#include <stdio.h>

#include <http_parser.h>

#include "gateway/path/dispatch.h"
#include "gateway/path/end_check.h"
#include "gateway/path/ending.h"

choice_t
dispatch_choose(const exchange_t *ex, bool may_ask)
{
    const uint32_t given_up_in_ms = exchange_left_ms(ex) > 0 ? (uint32_t)exchange_left_ms(ex) : 1;
    const router_request_t request = {
        .route = ex->route,
        .account = ex->account,
        .service = ex->service,
        .object = ex->object,
        .has_object = router_has_object(ex->route, ex->terms.object),
        .left_ms = ex->terms.has_deadline ? ex->terms.deadline_ms : given_up_in_ms,
        .lost_ms = ex->lost_ms,
        .version = ex->version,
        .suspected = suspects_know(ex->owner->suspects, &ex->fingerprint),
        .may_ask = may_ask && ex->permits_refused < PERMITS_REFUSED_MAX,
        .tried = ex->tried,
        .tried_count = ex->tried_count,
    };
    return router_pick(ex->owner->router, &request);
}

void
dispatch_send(exchange_t *ex, backend_t *backend)
{
    router_t *router = ex->owner->router;
    ex->tried[ex->tried_count++] = backend_ref(backend);
    if (ex->use != NULL && ex->runs > 0)
        account_uses_charge(ex->owner->account_uses, ex->use);
    router_attempt_started(router, ex->service, backend);
    const attempt_conf_t conf = {
        .backend = backend,
        .left_ms = exchange_left_ms(ex) > 0 ? (uint32_t)exchange_left_ms(ex) : 1,
        .repeatable = ex->route->repeatable,
        .queued = ex->choice.reason == CHOICE_QUEUED,
        .again = ex->tried_count > 1,
        .slow_ms = router_slow_ms(router, ex->route),
    };
    if (ex->is_trial)
        suspects_begin_trial(ex->owner->suspects, &ex->fingerprint, exchange_now_ms(ex));
    attempt_start(&ex->attempt, &conf);
    ex->overdue_ms = conf.slow_ms > 0 ? exchange_now_ms(ex) + conf.slow_ms : 0;
    exchange_set_timer(ex);
}

/* ---- permits ---- */

/* The owner of the backend has answered; it may have told meanwhile that it gets nothing more. */
static void
on_permit(void *ctx, bool given)
{
    exchange_t *ex = ctx;
    backend_t *backend = ex->permit_for;
    ex->permit = NULL;
    ex->permit_for = NULL;
    ex->permits_refused += !given;
    const uint64_t now_ms = exchange_now_ms(ex);
    if (given && backend_is_usable(backend, now_ms) &&
        pass_over(backend, true, now_ms) == PASSED_NOT)
        dispatch_send(ex, backend);
    else
        dispatch_next(ex);
    backend_unref(backend);
}

void
dispatch_permit_late(exchange_t *ex)
{
    exchange_drop_permit(ex, true);
    ex->permits_refused++;
    dispatch_next(ex);
}

/* Every send to a backend that names a limit takes a permit, also a second one of a request. */
static permit_verdict_t
get_permit(exchange_t *ex, backend_t *backend)
{
    if (!backend->limit.is_set)
        return PERMIT_GIVEN;
    const permit_verdict_t verdict =
        permit_ask(ex->owner->permits, backend, on_permit, ex, &ex->permit);
    if (verdict != PERMIT_ASKED)
        return verdict;
    ex->permit_for = backend_ref(backend);
    ex->permit_until_ms = exchange_now_ms(ex) + PERMIT_LIFE_MS;
    exchange_set_timer(ex);
    return verdict;
}

void
dispatch_next(exchange_t *ex)
{
    permit_verdict_t verdict = PERMIT_REFUSED;
    while (verdict == PERMIT_REFUSED) {
        ex->choice = dispatch_choose(ex, true);
        if (ex->choice.backend == NULL) {
            router_count_refused(ex->owner->router, ex->service);
            ending_refuse_unplaced(ex);
            return;
        }
        verdict = get_permit(ex, ex->choice.backend);
        ex->permits_refused += verdict == PERMIT_REFUSED;
    }
    if (verdict == PERMIT_GIVEN)
        dispatch_send(ex, ex->choice.backend);
}

void
dispatch_cancel(exchange_t *ex)
{
    if (ex->attempt.call == NULL)
        return;
    attempt_cancel(&ex->attempt);
    ex->sends += ex->attempt.sent;
    ex->may_have_run |= ex->attempt.sent;
    ex->runs += ex->attempt.sent;
    router_attempt_finished(ex->owner->router, ex->service, exchange_last_tried(ex),
                            ex->attempt.sent_ms);
}

/* ---- what becomes of an attempt ---- */

retry_input_t
dispatch_retry_input(const exchange_t *ex)
{
    return (retry_input_t){
        .repeatable = ex->route->repeatable,
        .may_have_run = ex->may_have_run,
        .held = !quarantine_may_resend(suspects_ends(ex->owner->suspects, &ex->fingerprint)),
        .backends_tried = ex->tried_count,
        .sends = ex->sends,
        .sends_max = ex->route->max_attempts,
        .left_ms = exchange_left_ms(ex),
    };
}

static bool
may_retry(exchange_t *ex)
{
    const retry_input_t input = dispatch_retry_input(ex);
    const retry_account_t account = router_retry_account(ex->owner->router, ex->service);
    ex->retry = retry_decide(&input, &account);
    return ex->retry == RETRY_YES;
}

static void
retry_or_refuse(exchange_t *ex)
{
    if (!may_retry(ex)) {
        ending_refuse(ex, OUTCOME_NOT_RUN);
        return;
    }
    const uint32_t after_ms = retry_after_ms(ex->attempt.closed);
    if (after_ms == 0) {
        dispatch_next(ex);
        return;
    }
    ex->resend_ms = exchange_now_ms(ex) + after_ms;
    exchange_set_timer(ex);
}

void
dispatch_resend(exchange_t *ex)
{
    ex->resend_ms = 0;
    if (quarantine_may_resend(suspects_ends(ex->owner->suspects, &ex->fingerprint))) {
        dispatch_next(ex);
        return;
    }
    ex->retry = RETRY_HELD;
    ending_refuse(ex, OUTCOME_NOT_RUN);
}

/* A whole answer but for a failure shows that the backend server has borne the request. Its 504 may
 * have come before the run did. */
static void
note_finished(const exchange_t *ex)
{
    if (ex->attempt.status < HTTP_STATUS_INTERNAL_SERVER_ERROR)
        suspects_finished(ex->owner->suspects, &ex->fingerprint,
                          exchange_last_tried(ex)->info.version, exchange_now_ms(ex));
}

/* The connection of the last attempt was closed by the other side. The query is left out of the
 * text: it may hold what is not for logs. */
static void
note_closed(const exchange_t *ex)
{
    char text[SUSPECT_TEXT_MAX];
    char caller[ADDR_TEXT_MAX];
    const wire_head_t *head = &ex->req->head;
    const int len =
        snprintf(text, sizeof(text), "%s %s %.*s%.*s", addr_format(&ex->req->caller, caller),
                 http_method_str((enum http_method)head->method),
                 STR_ARG(wire_head_find(head, STR("host"))), STR_ARG(wire_head_path(head)));
    end_check_begin(ex->owner->router->loop, ex->owner->suspects, exchange_last_tried(ex),
                    &ex->fingerprint,
                    (str_t){text, len < (int)sizeof(text) ? (size_t)len : sizeof(text) - 1});
}

static void
on_answered(exchange_t *ex)
{
    const attempt_t *attempt = &ex->attempt;
    note_finished(ex);
    router_count_answer(ex->owner->router, ex->route, ex->service,
                        (double)(exchange_now_ms(ex) - attempt->sent_ms));
    if (retry_replaces_answer(attempt->status, ex->route->repeatable, attempt->streaming) &&
        may_retry(ex)) {
        ex->may_have_run = true;
        dispatch_next(ex);
        return;
    }
    ending_pass_on(ex);
}

void
dispatch_on_said(void *ctx, const backend_statement_t *said, bool ran)
{
    const exchange_t *ex = ctx;
    const answer_notice_t notice = {.said = said, .sent_ms = ex->attempt.sent_ms, .ran = ran};
    router_take_notice(ex->owner->router, exchange_last_tried(ex), &notice);
}

void
dispatch_on_attempt_end(void *ctx, attempt_outcome_t outcome)
{
    exchange_t *ex = ctx;
    router_attempt_finished(ex->owner->router, ex->service, exchange_last_tried(ex),
                            ex->attempt.sent_ms);
    ex->sends += ex->attempt.sent;
    ex->runs += outcome != ATTEMPT_NOT_RUN;
    if (ex->attempt.closed)
        note_closed(ex);
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
        ending_cut(ex, OUTCOME_CUT_BY_BACKEND);
        break;
    }
}
