#include <string.h>

#include "base/mutate.h"
#include "base/xmalloc.h"
#include "entry/path/answer.h"
#include "entry/path/attempt.h"
#include "entry/path/headers.h"
#include "entry/path/outcome.h"
#include "entry/path/route.h"
#include "entry/path/waiting.h"

enum {
    TRIES_MAX = 3,           /* attempts of a request, hedges included. Chosen, not measured */
    BUFFER_HIGH = 32 * 1024, /* unsent answer bytes that stop reading. Chosen, not measured */
};

static void
cancel_attempts(exchange_t *x, const attempt_t *except)
{
    for (size_t i = 0; i < ATTEMPTS_MAX; i++) {
        attempt_t *attempt = x->attempts[i];
        if (attempt == NULL || attempt == except)
            continue;
        x->attempts[i] = NULL;
        attempt_cancel(attempt);
    }
}

void
outcome_caller_left(exchange_t *x)
{
    x->req = NULL;
    x->responder = NULL;
    const bool goes_on = x->record != NULL && exchange_has_attempts(x);
    if (!goes_on) {
        cancel_attempts(x, NULL);
        x->winner = NULL;
        if (x->record != NULL)
            exchange_set_record(x, x->may_have_run ? KEY_UNKNOWN : KEY_NOT_RUN, 0);
        waiting_remove(x);
    } else if (x->winner != NULL) {
        attempt_resume(x->winner);
    }
    exchange_free_if_done(x);
}

void
outcome_caller_ready(exchange_t *x)
{
    x->sending = false;
    if (x->winner != NULL && !x->paused_by_link)
        attempt_resume(x->winner);
    answer_flush(x);
}

static bool
on_head(exchange_t *x, attempt_t *attempt, const http_head_t *head)
{
    if (x->winner != NULL)
        return false;
    x->winner = attempt;
    cancel_attempts(x, attempt);
    x->status = head->status;
    class_stats_t *stats = exchange_class_stats(x);
    const uint64_t took_ms = node_now(x->node) - x->started_ms;
    if (stats != NULL) {
        histogram_record(stats->latency, clock_wall_us() - x->started_us);
        latency_quantile_add(&stats->slow, (double)took_ms);
    }
    x->head_sent = true;
    if (x->req == NULL)
        return true;
    headers_copy_answer(x->req, head, name_str(&x->node->settings.name));
    h2o_start_response(x->req, &x->responder->generator);
    return true;
}

static void
on_data(exchange_t *x, attempt_t *attempt, const char *ptr, size_t len)
{
    if (x->record != NULL && x->record->body_len + len <= KEY_BODY_MAX) {
        memcpy(x->record->body + x->record->body_len, ptr, len);
        x->record->body_len += len;
    }
    if (x->req == NULL)
        return;
    answer_append(x, ptr, len);
    answer_flush(x);
    if (x->filling.len >= BUFFER_HIGH)
        attempt_pause(attempt);
    if (attempt_backend(attempt) != NULL &&
        !limiter_charge_link(&x->node->gate, len, node_now(x->node))) {
        x->paused_by_link = true;
        attempt_pause(attempt);
    }
}

static void
forget_attempt(exchange_t *x, const attempt_t *attempt)
{
    for (size_t i = 0; i < ATTEMPTS_MAX; i++) {
        if (x->attempts[i] == attempt)
            x->attempts[i] = NULL;
    }
}

static void
end_winner(exchange_t *x, const attempt_result_t *result)
{
    x->winner = NULL;
    if (result->whole) {
        /* A whole answer that tells of an unknown outcome is no answer of a backend server. */
        x->answer_whole = true;
        exchange_set_record(x, result->unknown ? KEY_UNKNOWN : KEY_DONE, x->status);
        answer_record(x, result->unknown ? OUTCOME_UNKNOWN : OUTCOME_RAN, x->status);
    } else {
        x->answer_cut = true;
        counter_add(x->node->counters.cut_answers, 1);
        exchange_set_record(x, KEY_UNKNOWN, 0);
        answer_record(x, OUTCOME_UNKNOWN, x->status);
    }
    if (x->req != NULL)
        answer_flush(x);
    else
        exchange_free_if_done(x);
}

static bool
may_retry(const exchange_t *x, const attempt_result_t *result)
{
    if (mutate_is(MUTATE_RETRY_ALL) && x->tries < TRIES_MAX)
        return true;
    if (x->at_owner || x->tries >= TRIES_MAX || result->timed_out ||
        node_now(x->node) >= x->deadline_ms)
        return false;
    if (x->req == NULL && x->record == NULL)
        return false;
    return x->class_.repeatable || !x->may_have_run;
}

static void
on_end(exchange_t *x, attempt_t *attempt, const attempt_result_t *result)
{
    node_t *node = x->node;
    forget_attempt(x, attempt);
    if (attempt == x->winner) {
        end_winner(x, result);
        route_run_queue(node);
        return;
    }
    /* An owner that cannot be asked may have run the key's request earlier. */
    if (!result->not_run || (x->at_owner && !result->sent))
        x->may_have_run = true;
    if (x->winner != NULL || exchange_has_attempts(x))
        return;
    x->tried = attempt_backend(attempt);
    if (may_retry(x, result) && attempt_budget_withdraw(&node->extra)) {
        counter_add(node->counters.retries, 1);
        route_request(x);
    } else {
        answer_give_up(x, result->timed_out, result->not_run ? "shed" : "answer_lost");
    }
    route_run_queue(node);
}

void
outcome_sweep(node_t *node)
{
    const uint64_t now = node_now(node);
    exchange_t *x = node->exchanges;
    while (x != NULL) {
        exchange_t *next = x->next;
        if (x->paused_by_link && limiter_link_available(&node->gate, now)) {
            x->paused_by_link = false;
            if (x->winner != NULL && x->filling.len < BUFFER_HIGH)
                attempt_resume(x->winner);
        }
        if (x->req != NULL && !x->head_sent && !x->answered && http_caller_gone(x->req)) {
            x->responder->exchange = NULL;
            x->req->http1_is_persistent = 0;
            http_reply(x->req, 503, "text/plain", "", 0);
            outcome_caller_left(x);
        } else if (!x->answered) {
            route_hedge(x, now);
        }
        x = next;
    }
}

const attempt_cbs_t outcome_cbs = {.on_head = on_head, .on_data = on_data, .on_end = on_end};
