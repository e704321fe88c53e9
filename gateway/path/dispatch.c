#include <stdio.h>

#include <http_parser.h>

#include "gateway/path/dispatch.h"
#include "gateway/path/end_check.h"
#include "gateway/path/completion.h"

/* Time until the caller gives up; at least 1 ms, as 0 stands for none on the way. */
static uint32_t
time_left_ms(const exchange_t *ex)
{
    const uint64_t left_ms = exchange_remaining_ms(ex);
    return left_ms > 0 ? (uint32_t)left_ms : 1;
}

static router_request_t
router_request(const exchange_t *ex, bool may_request_permit)
{
    return (router_request_t){
        .route = ex->route,
        .account = ex->account,
        .service = ex->service,
        .object = ex->object,
        .has_object = router_has_object(ex->route, ex->metadata.object),
        .left_ms = time_left_ms(ex),
        .version = ex->required_version,
        .suspected = suspects_has_evidence(ex->owner->suspects, &ex->fingerprint),
        .may_request_permit = may_request_permit && ex->permits_refused < PERMIT_REFUSALS_MAX,
        .tried = ex->tried,
        .tried_count = ex->tried_count,
        .is_first = !ex->choice_made,
        .ignores_shortest_run = ex->ignores_shortest_run,
    };
}

choice_t
dispatch_choose(const exchange_t *ex, bool may_request_permit)
{
    const router_request_t request = router_request(ex, may_request_permit);
    return router_pick(ex->owner->router, &request);
}

void
dispatch_send(exchange_t *ex, backend_t *backend)
{
    router_t *router = ex->owner->router;
    if (attempt_end_if_abandoned(&ex->attempt))
        return;
    ex->tried[ex->tried_count++] = backend_ref(backend);
    if (ex->account_use != NULL && ex->possible_runs > 0)
        account_uses_charge(ex->owner->account_uses, ex->account_use);
    router_attempt_started(router, ex->service, backend);
    reach_monitor_add_send(ex->owner->reach);
    const attempt_conf_t conf = {
        .backend = backend,
        .left_ms = time_left_ms(ex),
        .repeatable = ex->route->repeatable,
        .queued = ex->choice.reason == CHOICE_QUEUED,
        .is_retry = ex->tried_count > 1,
        .slow_ms = router_slow_ms(router, ex->route),
    };
    if (ex->is_trial)
        suspects_begin_trial(ex->owner->suspects, &ex->fingerprint, exchange_now_ms(ex));
    attempt_start(&ex->attempt, &conf);
    ex->overdue_at_ms = conf.slow_ms > 0 ? exchange_now_ms(ex) + conf.slow_ms : 0;
    exchange_set_timer(ex);
}

/* ---- permits ---- */

/* Answer of the permit owner. The backend may have become unusable since the permit was requested.
 * */
static void
on_permit(void *ctx, bool given)
{
    exchange_t *ex = ctx;
    backend_t *backend = ex->permit_backend;
    ex->permit = NULL;
    ex->permit_backend = NULL;
    ex->permits_refused += !given;
    const uint64_t now_ms = exchange_now_ms(ex);
    if (given && backend_is_usable(backend, now_ms) &&
        backend_skip_reason(backend, true, now_ms) == SKIP_NONE)
        dispatch_send(ex, backend);
    else
        dispatch_next(ex);
    backend_unref(backend);
}

void
dispatch_on_permit_timeout(exchange_t *ex)
{
    exchange_cancel_permit(ex, true);
    ex->permits_refused++;
    dispatch_next(ex);
}

/* Every attempt, retries included, on a backend with a declared limit needs a permit. */
static permit_result_t
get_permit(exchange_t *ex, backend_t *backend)
{
    if (!backend->limit.is_set)
        return PERMIT_GRANTED;
    const permit_result_t verdict =
        permit_acquire(ex->owner->permits, backend, on_permit, ex, &ex->permit);
    if (verdict != PERMIT_PENDING)
        return verdict;
    ex->permit_backend = backend_ref(backend);
    ex->permit_wait_until_ms = exchange_now_ms(ex) + PERMIT_LIFETIME_MS;
    exchange_set_timer(ex);
    return verdict;
}

/* ---- load probes ---- */

static void
on_probe_end(void *ctx)
{
    dispatch_next(ctx);
}

void
dispatch_on_probe_timeout(exchange_t *ex)
{
    load_probes_cancel(&ex->probe_wait);
    dispatch_next(ex);
}

/* Returns the path over which the service's backends are asked for their load; empty if they are
 * not. A request under which a backend server has ended goes to the least loaded one of all, so its
 * candidates are not known. */
static str_t
probed_path(const exchange_t *ex)
{
    const uint64_t now_ms = exchange_now_ms(ex);
    if (ex->tried_count > 0 || !service_has_pace_report(ex->service, now_ms) ||
        suspects_has_evidence(ex->owner->suspects, &ex->fingerprint))
        return STR("");
    const config_service_t *service = config_service(ex->config, name_str(&ex->service->name));
    return service != NULL && service->health_path != NULL ? str_from(service->health_path)
                                                           : STR("");
}

/* Begins the wait of a request: finds its first candidates. */
static void
begin_probe_wait(exchange_t *ex)
{
    const router_request_t request = router_request(ex, true);
    ex->candidate_count = router_first_candidates(ex->owner->router, &request, ex->candidates,
                                                  LOAD_PROBE_CANDIDATES_MAX);
    for (size_t i = 0; i < ex->candidate_count; i++)
        backend_ref(ex->candidates[i]);
    ex->probe_wait.cb = on_probe_end;
    ex->probe_wait.ctx = ex;
    const double run_ms = route_stats_median_ms(&ex->owner->router->routes, ex->route->key);
    ex->probe_wait_until_ms = exchange_now_ms(ex) + load_probe_wait_ms(request.left_ms, run_ms);
}

/* Asks the first candidates for their load before the first send. Returns false if the request is
 * to choose now. */
static bool
await_load(exchange_t *ex)
{
    if (ex->load_probed)
        return false;
    const str_t path = probed_path(ex);
    if (path.len > 0) {
        load_probes_t *probes = &ex->owner->load_probes;
        if (ex->probe_wait_until_ms == 0)
            begin_probe_wait(ex);
        if (exchange_now_ms(ex) < ex->probe_wait_until_ms &&
            load_probes_await(probes, path, ex->candidates, ex->candidate_count, &ex->probe_wait)) {
            exchange_set_timer(ex);
            return true;
        }
        load_probes_count_choice(probes, ex->candidates, ex->candidate_count);
    }
    exchange_end_probe_wait(ex);
    return false;
}

/* ---- refusals ---- */

/* Refuses a request for which there is no room at present; `rejected`: its last backend server said
 * so. */
static void
refuse_until_room(exchange_t *ex, outcome_t why, bool rejected)
{
    const router_request_t request = router_request(ex, true);
    const return_time_t time = router_return_time(ex->owner->router, &request, rejected);
    if (time.after_ms > 0)
        completion_refuse_no_room(ex, why, &time);
    else
        completion_refuse(ex, why);
}

/* True if the request was turned away by a full backend server, the last one that was asked. */
static bool
was_rejected(const exchange_t *ex)
{
    return ex->tried_count > 0 && attempt_found_no_room(&ex->attempt);
}

static bool
lacks_room(const exchange_t *ex)
{
    switch (ex->choice.reason) {
    case CHOICE_FULL:
    case CHOICE_SHORTAGE:
        return true;
    case CHOICE_NONE: /* all others were tried */
        return was_rejected(ex);
    default:
        return false;
    }
}

/* Refuses a request that no backend server is chosen for. */
static void
refuse_unsent(exchange_t *ex)
{
    router_count_refused(ex->owner->router, ex->service);
    if (lacks_room(ex) && !ex->may_have_run)
        refuse_until_room(ex, OUTCOME_NO_CAPACITY, was_rejected(ex));
    else
        completion_refuse_no_backend(ex);
}

/* Refuses a request that its last backend server did not run and that isn't retried. */
static void
refuse_not_run(exchange_t *ex)
{
    if (was_rejected(ex) && !ex->may_have_run)
        refuse_until_room(ex, OUTCOME_NOT_RUN, true);
    else
        completion_refuse(ex, OUTCOME_NOT_RUN);
}

/* Refuses a request that no backend server can answer before its caller gives up. */
static bool
refuse_without_time(exchange_t *ex)
{
    const router_request_t request = router_request(ex, true);
    if (router_has_time(ex->owner->router, &request))
        return false;
    ex->ignores_shortest_run = router_may_test_run(ex->owner->router, ex->route);
    if (ex->ignores_shortest_run)
        return false;
    ex->choice = (choice_t){.reason = CHOICE_NO_TIME};
    completion_refuse_no_time(ex);
    return true;
}

void
dispatch_next(exchange_t *ex)
{
    permit_result_t verdict = PERMIT_REFUSED;
    if (transit_dispatch(ex) || refuse_without_time(ex) || await_load(ex))
        return;
    while (verdict == PERMIT_REFUSED) {
        ex->choice = dispatch_choose(ex, true);
        ex->choice_made = true;
        if (ex->choice.backend == NULL) {
            refuse_unsent(ex);
            return;
        }
        verdict = get_permit(ex, ex->choice.backend);
        ex->permits_refused += verdict == PERMIT_REFUSED;
    }
    if (verdict == PERMIT_GRANTED)
        dispatch_send(ex, ex->choice.backend);
}

/* Records the end of the last attempt for a roll-out of the service. */
static void
record_for_rollout(const exchange_t *ex, bool failed, bool cancelled)
{
    const attempt_t *attempt = &ex->attempt;
    const backend_t *backend = exchange_last_tried(ex);
    const uint64_t now_ms = exchange_now_ms(ex);
    const uint64_t until_ms = attempt->head_ms > 0 ? attempt->head_ms : now_ms;
    const rollout_attempt_t record = {
        .backend = backend,
        .route = ex->route->key,
        .has_object = router_has_object(ex->route, ex->metadata.object),
        .failed = failed,
        .comparable = !attempt->queued && !backend_is_cold(backend, attempt->sent_ms),
        .latency_ms = (double)(until_ms - attempt->sent_ms),
        .cancelled = cancelled,
    };
    router_record_rollout(ex->owner->router, ex->service, &record);
}

static void
count_attempt_end(exchange_t *ex)
{
    backend_t *backend = exchange_last_tried(ex);
    router_attempt_finished(ex->owner->router, ex->service, backend, ex->attempt.sent_ms);
    if (ex->is_overdue)
        backend_overdue_ended(backend);
    ex->is_overdue = false;
}

void
dispatch_cancel(exchange_t *ex)
{
    if (ex->attempt.call == NULL)
        return;
    if (ex->in_transit) {
        transit_cancel(ex);
        return;
    }
    record_for_rollout(ex, false, true);
    attempt_cancel(&ex->attempt);
    const bool may_have_run = ex->attempt.sent && !attempt_says_not_run(&ex->attempt);
    ex->sends += ex->attempt.sent;
    ex->may_have_run |= may_have_run;
    ex->possible_runs += may_have_run;
    count_attempt_end(ex);
}

/* ---- results of attempts ---- */

retry_input_t
dispatch_retry_input(const exchange_t *ex)
{
    return (retry_input_t){
        .repeatable = ex->route->repeatable,
        .may_have_run = ex->may_have_run,
        .quarantined = !quarantine_may_resend(suspects_ends(ex->owner->suspects, &ex->fingerprint)),
        .backends_tried = ex->tried_count,
        .sends = ex->sends,
        .sends_max = ex->route->max_attempts,
        .left_ms = exchange_remaining_ms(ex),
        .run_ms = route_stats_shortest_ms(&ex->owner->router->routes, ex->route->key,
                                          exchange_now_ms(ex)),
    };
}

bool
dispatch_may_retry(exchange_t *ex)
{
    const retry_input_t input = dispatch_retry_input(ex);
    const retry_context_t account = router_retry_context(ex->owner->router, ex->service);
    ex->retry = retry_decide(&input, &account);
    return ex->retry == RETRY_YES;
}

static void
retry_or_refuse(exchange_t *ex)
{
    if (!dispatch_may_retry(ex)) {
        refuse_not_run(ex);
        return;
    }
    const uint32_t after_ms = retry_after_ms(ex->attempt.closed);
    if (after_ms == 0) {
        dispatch_next(ex);
        return;
    }
    ex->resend_at_ms = exchange_now_ms(ex) + after_ms;
    exchange_set_timer(ex);
}

void
dispatch_resend(exchange_t *ex)
{
    ex->resend_at_ms = 0;
    if (quarantine_may_resend(suspects_ends(ex->owner->suspects, &ex->fingerprint))) {
        dispatch_next(ex);
        return;
    }
    ex->retry = RETRY_QUARANTINED;
    completion_refuse(ex, OUTCOME_NOT_RUN);
}

/* A complete response other than a 5xx shows that the backend server survived the request. A 504
 * may come before the run has finished. */
static void
record_finished(const exchange_t *ex)
{
    if (ex->attempt.status < HTTP_STATUS_INTERNAL_SERVER_ERROR)
        suspects_add_finished_run(ex->owner->suspects, &ex->fingerprint,
                                  exchange_last_tried(ex)->info.version, exchange_now_ms(ex));
}

/* Starts a check whether the backend crashed when its connection was closed. The query string is
 * left out of the text because it may contain sensitive data. */
static void
record_connection_closed(const exchange_t *ex)
{
    char text[SUSPECT_TEXT_MAX];
    char caller[ADDR_TEXT_MAX];
    const wire_head_t *head = &ex->req->head;
    const int len =
        snprintf(text, sizeof(text), "%s %s %.*s%.*s", addr_format(&ex->req->caller, caller),
                 http_method_str((enum http_method)head->method),
                 STR_ARG(wire_head_find(head, STR("host"))), STR_ARG(wire_head_path(head)));
    end_check_begin(
        ex->owner->reach, ex->owner->suspects, exchange_last_tried(ex), &ex->fingerprint,
        (str_t){text, len < (int)sizeof(text) ? (size_t)len : sizeof(text) - 1}, ex->is_trial);
}

static void
on_answered(exchange_t *ex)
{
    const attempt_t *attempt = &ex->attempt;
    record_finished(ex);
    router_count_answer(ex->owner->router, ex->route, ex->service,
                        (double)attempt_elapsed_ms(attempt));
    if (!attempt->queued && !attempt->slots_full)
        router_count_work(ex->owner->router, ex->route, ex->service, exchange_last_tried(ex),
                          (double)attempt_elapsed_ms(attempt));
    if (retry_replaces_answer(attempt->status, ex->route->repeatable, attempt->streaming) &&
        dispatch_may_retry(ex)) {
        ex->may_have_run = true;
        dispatch_next(ex);
        return;
    }
    completion_forward(ex);
}

void
dispatch_on_backend_notice(void *ctx, const backend_statement_t *statement, bool ran)
{
    const exchange_t *ex = ctx;
    const response_notice_t notice = {
        .statement = statement, .sent_ms = ex->attempt.sent_ms, .ran = ran};
    reach_monitor_add_response(ex->owner->reach);
    router_apply_notice(ex->owner->router, exchange_last_tried(ex), &notice);
}

void
dispatch_on_attempt_end(void *ctx, attempt_outcome_t outcome)
{
    exchange_t *ex = ctx;
    if (ex->in_transit) {
        transit_on_attempt_end(ex, outcome);
        return;
    }
    reach_monitor_add_attempt(ex->owner->reach, exchange_last_tried(ex), &ex->attempt);
    count_attempt_end(ex);
    ex->sends += ex->attempt.sent;
    ex->possible_runs += outcome != ATTEMPT_NOT_RUN;
    if (ex->attempt.head_seen)
        router_count_attempt(ex->service, exchange_last_tried(ex),
                             attempt_found_no_room(&ex->attempt));
    const bool says_nothing =
        outcome != ATTEMPT_ANSWERED && attempt_waited_for_caller(&ex->attempt);
    if (ex->attempt.closed && !says_nothing)
        record_connection_closed(ex);
    if (outcome != ATTEMPT_NOT_RUN && !says_nothing)
        record_for_rollout(ex,
                           outcome != ATTEMPT_ANSWERED ||
                               ex->attempt.status >= HTTP_STATUS_INTERNAL_SERVER_ERROR,
                           false);
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
    case ATTEMPT_TRUNCATED:
        completion_abort(ex, OUTCOME_CUT_BY_BACKEND);
        break;
    }
}
