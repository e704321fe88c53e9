#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/xmalloc.h"
#include "load/pattern.h"
#include "load/request.h"

enum {
    ID_SIZE = 48, /* includes the terminator */
    RETRIES_MAX = 3,
    RETRY_DELAY_MS = 300,
};

typedef struct {
    load_t *load;
    size_t class_index;
    uint32_t client;
    uint64_t intended_us;
    char id[ID_SIZE];
    char key[STEERING_KEY_SIZE];
    unsigned retries;
    bool may_have_run; /* an earlier attempt was sent and its outcome is unknown */
    route_t route;
    size_t next_entry;
    int status;
    char outcome[16];
    char error[32];
    char place[NAME_MAX_LEN + 1];
    uint64_t received;
    bool matches;
    uv_timer_t timer;
    http_call_t *call;
} request_t;

static void send_request(request_t *r);

static const load_class_t *
request_class(const request_t *r)
{
    return &r->load->config.classes[r->class_index];
}

static void
on_timer_closed(uv_handle_t *handle)
{
    free(handle->data);
}

static void
finish(request_t *r, load_result_t result)
{
    class_report_t *report = &r->load->report.classes[r->class_index];
    const uint64_t now = clock_wall_us();
    report->results[result]++;
    if (result == RESULT_WHOLE) {
        histogram_record(report->latency, now - r->intended_us);
        report_record_place(report, str_from(r->place),
                            now > (r->load->start_us + r->load->end_us) / 2);
    }
    history_write(&r->load->history, "recv",
                  "\"id\":\"%s\",\"class\":\"%s\",\"service\":\"%s\",\"key\":\"%s\",\"result\":"
                  "\"%s\",\"status\":%d,\"error\":\"%s\",\"place\":\"%s\",\"bytes\":%" PRIu64
                  ",\"latency_us\":%" PRIu64,
                  r->id, request_class(r)->name.ptr, request_class(r)->service.ptr, r->key,
                  load_result_name(result), r->status, r->error, r->place, r->received,
                  now - r->intended_us);
    r->load->in_flight--;
    uv_timer_stop(&r->timer);
    uv_close((uv_handle_t *)&r->timer, on_timer_closed);
}

static void
on_head(void *ctx, const http_head_t *head)
{
    request_t *r = ctx;
    r->status = head->status;
    r->received = 0;
    const str_t id = http_head_find(head, STR("x-request-id"));
    const bool replayed = http_head_find(head, STR("x-irisstall-replayed")).len > 0;
    r->matches = replayed || str_eq(id, str_from(r->id));
    snprintf(r->outcome, sizeof(r->outcome), "%.*s",
             STR_ARG(http_head_find(head, STR("x-irisstall-outcome"))));
    snprintf(r->error, sizeof(r->error), "%.*s",
             STR_ARG(http_head_find(head, STR("x-irisstall-error"))));
    snprintf(r->place, sizeof(r->place), "%.*s", STR_ARG(http_head_find(head, STR("x-served-at"))));
}

static void
on_resume_timer(uv_timer_t *timer)
{
    request_t *r = timer->data;
    if (r->call != NULL)
        http_call_resume(r->call);
}

static void
on_data(void *ctx, const char *ptr, size_t len)
{
    request_t *r = ctx;
    if (r->status == 200 && !pattern_matches(str_from(r->id), r->received, ptr, len))
        r->matches = false;
    r->received += len;
    const uint32_t drain_rate = request_class(r)->drain_rate;
    if (drain_rate > 0 && r->call != NULL) {
        http_call_pause(r->call);
        uv_timer_start(&r->timer, on_resume_timer, (uint64_t)len * 1000 / drain_rate + 1, 0);
    }
}

/* Derives the request's outcome from an attempt's result. An unsent attempt says nothing about
 * earlier ones; an outcome reported by an entry covers them all (docs/CALLERS.md). */
static load_result_t
classify_result(const request_t *r, const http_result_t *result)
{
    if (result->err.code != ERR_NONE) {
        if (result->stage < HTTP_STAGE_SENT)
            return r->may_have_run ? RESULT_UNKNOWN : RESULT_NOT_RUN;
        return result->stage == HTTP_STAGE_HEAD ? RESULT_BROKEN : RESULT_UNKNOWN;
    }
    if (strcmp(r->outcome, "not_run") == 0)
        return RESULT_NOT_RUN;
    if (strcmp(r->outcome, "unknown") == 0)
        return RESULT_UNKNOWN;
    return r->matches && r->received == request_class(r)->bytes ? RESULT_WHOLE : RESULT_WRONG;
}

static void
on_retry_timer(uv_timer_t *timer)
{
    send_request(timer->data);
}

static void
on_end(void *ctx, const http_result_t *result)
{
    request_t *r = ctx;
    r->call = NULL;
    uv_timer_stop(&r->timer);
    const load_result_t load_result = classify_result(r, result);
    const bool not_handled = result->stage < HTTP_STAGE_SENT || strcmp(r->error, "not_ready") == 0;
    const bool try_next_entry = not_handled && r->next_entry < r->route.count;
    if (try_next_entry) {
        send_request(r);
        return;
    }
    const bool unknown = load_result == RESULT_UNKNOWN || load_result == RESULT_BROKEN;
    const bool retry = request_class(r)->repeat_unknown && r->retries < RETRIES_MAX && unknown;
    if (!retry) {
        finish(r, load_result);
        return;
    }
    r->may_have_run = true;
    r->retries++;
    r->next_entry = rng_below(&r->load->rng, r->route.count);
    uv_timer_start(&r->timer, on_retry_timer, RETRY_DELAY_MS, 0);
}

static void
send_request(request_t *r)
{
    static const http_call_cbs_t cbs = {.on_head = on_head, .on_data = on_data, .on_end = on_end};
    const load_class_t *class_ = request_class(r);
    const addr_t *addr = &r->route.entries[r->next_entry++];
    char key_line[STEERING_KEY_SIZE + 32] = "";
    if (r->key[0] != '\0')
        snprintf(key_line, sizeof(key_line), "idempotency-key: %s\r\n", r->key);
    r->status = 0;
    r->outcome[0] = '\0';
    r->error[0] = '\0';
    char *text = xasprintf("%s %s?bytes=%u&ms=%u HTTP/1.1\r\nhost: %s\r\nx-request-id: %s\r\n"
                           "content-length: 0\r\n%s\r\n",
                           class_->method.ptr, class_->path, class_->bytes, class_->service_ms,
                           class_->service.ptr, r->id, key_line);
    const http_call_conf_t conf = {.target = steering_target(r->load->steering, addr),
                                   .timeout_ms = class_->timeout_ms,
                                   .request = text,
                                   .request_len = strlen(text)};
    r->call = http_call_start(&conf, &cbs, r);
}

static void
on_key(void *ctx, const char *key)
{
    request_t *r = ctx;
    if (key == NULL && r->next_entry + 1 < r->route.count) { /* e.g. the entry is leaving */
        r->next_entry++;
        steering_key(r->load->steering, &r->route.entries[r->next_entry], on_key, r);
        return;
    }
    if (key == NULL) {
        finish(r, RESULT_NO_ROUTE);
        return;
    }
    memcpy(r->key, key, strlen(key) + 1);
    send_request(r);
}

static void
on_route(void *ctx, const route_t *route)
{
    request_t *r = ctx;
    if (route == NULL) {
        finish(r, RESULT_NO_ROUTE);
        return;
    }
    r->route = *route;
    r->next_entry = 0;
    switch (request_class(r)->keys) {
    case KEYS_NONE:
        send_request(r);
        return;
    case KEYS_MINTED:
        steering_key(r->load->steering, &r->route.entries[0], on_key, r);
        return;
    case KEYS_OWN:
        snprintf(r->key, sizeof(r->key), "key-%s", r->id);
        send_request(r);
        return;
    }
    BUG("unknown key mode");
}

void
request_start(load_t *load, size_t class_index, uint64_t intended_us)
{
    class_report_t *report = &load->report.classes[class_index];
    if (load->in_flight >= load->config.concurrency) {
        report->missed++;
        return;
    }
    request_t *r = xcalloc(1, sizeof(*r));
    r->load = load;
    r->class_index = class_index;
    r->intended_us = intended_us;
    r->client = (uint32_t)rng_below(&load->rng, load->config.clients);
    snprintf(r->id, sizeof(r->id), "%" PRIx64 "-%" PRIu64, load->run_id, load->sequence++);
    uv_timer_init(load->loop, &r->timer);
    r->timer.data = r;
    load->in_flight++;
    history_write(&load->history, "send", "\"id\":\"%s\",\"class\":\"%s\",\"service\":\"%s\"",
                  r->id, request_class(r)->name.ptr, request_class(r)->service.ptr);
    steering_route(load->steering, class_index, r->client, on_route, r);
}
