#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include "base/mutate.h"
#include "base/xmalloc.h"
#include "entry/path/answer.h"

enum { RETRY_AFTER_MS = 500 }; /* told to refused callers. Chosen, not measured */

static const char *const outcome_names[] = {
    [OUTCOME_NOT_RUN] = "not_run", [OUTCOME_UNKNOWN] = "unknown", [OUTCOME_RAN] = "ran"};

void
answer_record(const exchange_t *x, outcome_t outcome, int status)
{
    history_write(&x->node->history, "answer",
                  "\"id\":\"%s\",\"entry\":\"%s\",\"outcome\":\"%s\",\"status\":%d", x->id,
                  x->node->settings.name.ptr, outcome_names[outcome], status);
    trace_write(&x->node->spans, &x->trace, x->node->settings.name.ptr, x->node->settings.place.ptr,
                x->started_us, outcome_names[outcome]);
}

static void
answer_error(exchange_t *x, int status, const char *error, outcome_t outcome)
{
    answer_record(x, outcome, status);
    if (x->req == NULL) {
        exchange_free_if_done(x);
        return;
    }
    x->answered = true;
    char body[256];
    const int len = snprintf(body, sizeof(body),
                             "{\"error\":\"%s\",\"outcome\":\"%s\",\"retry_after_ms\":%d}\n", error,
                             outcome_names[outcome], RETRY_AFTER_MS);
    http_add_header(x->req, "x-irisstall-outcome", str_from(outcome_names[outcome]));
    http_add_header(x->req, "x-irisstall-error", str_from(error));
    if (status == 503)
        http_add_header(x->req, "retry-after", STR("1"));
    http_reply(x->req, status, "application/json", body, (size_t)len);
}

void
answer_refuse(exchange_t *x, int status, const char *error)
{
    counter_add(x->node->counters.refused, 1);
    exchange_set_record(x, KEY_NOT_RUN, 0);
    answer_error(x, status, error, OUTCOME_NOT_RUN);
}

void
answer_unknown(exchange_t *x, int status, const char *error)
{
    counter_add(x->node->counters.unknown, 1);
    exchange_set_record(x, KEY_UNKNOWN, 0);
    answer_error(x, status, error, OUTCOME_UNKNOWN);
}

void
answer_replay(exchange_t *x, const key_record_t *record)
{
    answer_record(x, OUTCOME_RAN, record->status);
    if (x->req == NULL) {
        exchange_free_if_done(x);
        return;
    }
    x->answered = true;
    http_add_header(x->req, "x-irisstall-outcome", STR("ran"));
    http_add_header(x->req, "x-irisstall-replayed", STR("1"));
    http_reply(x->req, record->status, "application/octet-stream", record->body, record->body_len);
}

void
answer_give_up(exchange_t *x, bool timed_out, const char *error)
{
    if (x->may_have_run && !mutate_is(MUTATE_CLAIM_NOT_RUN))
        answer_unknown(x, timed_out ? 504 : 502, timed_out ? "deadline" : error);
    else
        answer_refuse(x, 503, error);
}

static void
append(byte_buf_t *buf, const char *ptr, size_t len)
{
    if (buf->len + len > buf->size) {
        buf->size = buf->len + len > 2 * buf->size ? buf->len + len : 2 * buf->size;
        buf->ptr = xrealloc(buf->ptr, buf->size);
    }
    memcpy(buf->ptr + buf->len, ptr, len);
    buf->len += len;
}

static void
cut_connection(const exchange_t *x)
{
    h2o_socket_t *sock = x->req->conn->callbacks->get_socket(x->req->conn);
    shutdown(h2o_socket_get_fd(sock), SHUT_RDWR);
}

/* Waits if a part is still on its way. */
void
answer_flush(exchange_t *x)
{
    if (x->req == NULL || x->sending || !x->head_sent)
        return;
    if (x->answer_cut) {
        x->sending = true;
        cut_connection(x);
        h2o_send(x->req, NULL, 0, H2O_SEND_STATE_ERROR);
        return;
    }
    if (x->filling.len == 0 && !x->answer_whole)
        return;
    const byte_buf_t kept = x->flying;
    x->flying = x->filling;
    x->filling = kept;
    x->filling.len = 0;
    x->sending = true;
    h2o_iovec_t buf = h2o_iovec_init(x->flying.ptr, x->flying.len);
    h2o_send(x->req, &buf, x->flying.len > 0 ? 1 : 0,
             x->answer_whole ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

void
answer_append(exchange_t *x, const char *ptr, size_t len)
{
    append(&x->filling, ptr, len);
}
