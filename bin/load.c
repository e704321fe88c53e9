/*
 * irisstall-load: open-loop load per request class, as callers make it.
 *
 * Latency counts from the intended send time, so a system that stalls cannot hide it. Every
 * request and its outcome go to a history that irisstall-check reads.
 */
#include <getopt.h>
#include <inttypes.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/history.h"
#include "base/rng.h"
#include "base/xmalloc.h"
#include "load/pattern.h"
#include "load/config.h"
#include "load/report.h"
#include "load/steering.h"

enum {
    TICK_MS = 1,
    PROGRESS_MS = 1000,
    LINGER_MS = 30000, /* after the last request was due */
    ID_SIZE = 48,
    REPEATS_MAX = 3,
    REPEAT_DELAY_MS = 300,
    US_PER_S = 1000000,
};

typedef struct {
    size_t class_index;
    uint32_t client;
    uint64_t intended_us;
    char id[ID_SIZE];
    char key[STEERING_KEY_SIZE];
    unsigned repeats;
    route_t route;
    size_t next_entry;
    int status;
    char outcome[16];
    char error[32];
    char place[NAME_MAX_LEN + 1];
    uint64_t got;
    bool right;
    uv_timer_t timer;
    http_call_t *call;
} request_t;

static struct {
    uv_loop_t *loop;
    http_client_t *client;
    steering_t *steering;
    load_config_t config;
    report_t report;
    history_t history;
    rng_t rng;
    uint64_t run_id;
    uint64_t sequence;
    uint64_t start_us;
    uint64_t end_us;
    double next_due_us[LOAD_CLASSES_MAX];
    size_t under_way;
    bool quiet;
} state;

static void send_request(request_t *r);

static const load_class_t *
class_of(const request_t *r)
{
    return &state.config.classes[r->class_index];
}

static void
on_timer_closed(uv_handle_t *handle)
{
    free(handle->data);
}

static void
finish(request_t *r, load_result_t result)
{
    class_report_t *report = &state.report.classes[r->class_index];
    const uint64_t now = clock_wall_us();
    report->results[result]++;
    if (result == RESULT_WHOLE) {
        histogram_record(report->latency, now - r->intended_us);
        report_place(report, str_from(r->place), now > (state.start_us + state.end_us) / 2);
    }
    history_write(&state.history, "recv",
                  "\"id\":\"%s\",\"class\":\"%s\",\"service\":\"%s\",\"key\":\"%s\",\"result\":"
                  "\"%s\",\"status\":%d,\"error\":\"%s\",\"place\":\"%s\",\"bytes\":%" PRIu64
                  ",\"latency_us\":%" PRIu64,
                  r->id, class_of(r)->name.ptr, class_of(r)->service.ptr, r->key,
                  load_result_name(result), r->status, r->error, r->place, r->got,
                  now - r->intended_us);
    state.under_way--;
    uv_timer_stop(&r->timer);
    uv_close((uv_handle_t *)&r->timer, on_timer_closed);
}

static void
on_head(void *ctx, const http_head_t *head)
{
    request_t *r = ctx;
    r->status = head->status;
    r->got = 0;
    const str_t id = http_head_find(head, STR("x-request-id"));
    const bool replayed = http_head_find(head, STR("x-irisstall-replayed")).len > 0;
    r->right = replayed || str_eq(id, str_from(r->id));
    snprintf(r->outcome, sizeof(r->outcome), "%.*s",
             STR_ARG(http_head_find(head, STR("x-irisstall-outcome"))));
    snprintf(r->error, sizeof(r->error), "%.*s",
             STR_ARG(http_head_find(head, STR("x-irisstall-error"))));
    snprintf(r->place, sizeof(r->place), "%.*s", STR_ARG(http_head_find(head, STR("x-served-at"))));
}

static void
on_read_again(uv_timer_t *timer)
{
    request_t *r = timer->data;
    if (r->call != NULL)
        http_call_resume(r->call);
}

static void
on_data(void *ctx, const char *ptr, size_t len)
{
    request_t *r = ctx;
    if (r->status == 200 && !pattern_matches(str_from(r->id), r->got, ptr, len))
        r->right = false;
    r->got += len;
    const uint32_t drain_rate = class_of(r)->drain_rate;
    if (drain_rate > 0 && r->call != NULL) {
        http_call_pause(r->call);
        uv_timer_start(&r->timer, on_read_again, (uint64_t)len * 1000 / drain_rate + 1, 0);
    }
}

static load_result_t
judge(const request_t *r, const http_result_t *result)
{
    if (result->err.code != ERR_NONE) {
        if (result->stage < HTTP_STAGE_SENT)
            return RESULT_NOT_RUN;
        return result->stage == HTTP_STAGE_HEAD ? RESULT_BROKEN : RESULT_UNKNOWN;
    }
    if (strcmp(r->outcome, "not_run") == 0)
        return RESULT_NOT_RUN;
    if (strcmp(r->outcome, "unknown") == 0)
        return RESULT_UNKNOWN;
    return r->right && r->got == class_of(r)->bytes ? RESULT_WHOLE : RESULT_WRONG;
}

static void
on_repeat(uv_timer_t *timer)
{
    send_request(timer->data);
}

static void
on_end(void *ctx, const http_result_t *result)
{
    request_t *r = ctx;
    r->call = NULL;
    uv_timer_stop(&r->timer);
    const load_result_t judged = judge(r, result);
    const bool not_here = result->stage < HTTP_STAGE_SENT || strcmp(r->error, "not_ready") == 0;
    const bool elsewhere = not_here && r->next_entry < r->route.count;
    if (elsewhere) {
        send_request(r);
        return;
    }
    const bool again = class_of(r)->repeat_unknown && r->repeats < REPEATS_MAX &&
                       (judged == RESULT_UNKNOWN || judged == RESULT_BROKEN);
    if (!again) {
        finish(r, judged);
        return;
    }
    r->repeats++;
    r->next_entry = rng_below(&state.rng, r->route.count);
    uv_timer_start(&r->timer, on_repeat, REPEAT_DELAY_MS, 0);
}

static void
send_request(request_t *r)
{
    static const http_call_cbs_t cbs = {.on_head = on_head, .on_data = on_data, .on_end = on_end};
    const load_class_t *class_ = class_of(r);
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
    const http_call_conf_t conf = {.target = steering_target(state.steering, addr),
                                   .timeout_ms = class_->timeout_ms,
                                   .request = text,
                                   .request_len = strlen(text)};
    r->call = http_call_start(&conf, &cbs, r);
}

static void
on_key(void *ctx, const char *key)
{
    request_t *r = ctx;
    if (key == NULL && r->next_entry + 1 < r->route.count) { /* e.g. it is leaving */
        r->next_entry++;
        steering_key(state.steering, &r->route.entries[r->next_entry], on_key, r);
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
    switch (class_of(r)->keys) {
    case KEYS_NONE:
        send_request(r);
        return;
    case KEYS_MINTED:
        steering_key(state.steering, &r->route.entries[0], on_key, r);
        return;
    case KEYS_OWN:
        snprintf(r->key, sizeof(r->key), "key-%s", r->id);
        send_request(r);
        return;
    }
    BUG("unknown key mode");
}

static void
start_request(size_t class_index, uint64_t intended_us)
{
    class_report_t *report = &state.report.classes[class_index];
    if (state.under_way >= state.config.concurrency) {
        report->missed++;
        return;
    }
    request_t *r = xcalloc(1, sizeof(*r));
    r->class_index = class_index;
    r->intended_us = intended_us;
    r->client = (uint32_t)rng_below(&state.rng, state.config.clients);
    snprintf(r->id, sizeof(r->id), "%" PRIx64 "-%" PRIu64, state.run_id, state.sequence++);
    uv_timer_init(state.loop, &r->timer);
    r->timer.data = r;
    state.under_way++;
    history_write(&state.history, "send", "\"id\":\"%s\",\"class\":\"%s\",\"service\":\"%s\"",
                  r->id, class_of(r)->name.ptr, class_of(r)->service.ptr);
    steering_route(state.steering, class_index, r->client, on_route, r);
}

/* Time to the next request of a Poisson process. */
static double
gap_us(double rate)
{
    return -log(1 - rng_unit(&state.rng)) / rate * US_PER_S;
}

static void
on_tick(uv_timer_t *timer)
{
    const uint64_t now = clock_wall_us();
    for (size_t i = 0; i < state.config.class_count; i++) {
        const double rate = state.config.classes[i].rate;
        while (rate > 0 && state.next_due_us[i] <= (double)now &&
               state.next_due_us[i] < (double)state.end_us) {
            start_request(i, (uint64_t)state.next_due_us[i]);
            state.next_due_us[i] += gap_us(rate);
        }
    }
    const bool over = now >= state.end_us && state.under_way == 0;
    if (over || now > state.end_us + (uint64_t)LINGER_MS * 1000) {
        uv_timer_stop(timer);
        uv_stop(state.loop);
    }
}

static void
on_progress(uv_timer_t *timer)
{
    (void)timer;
    history_flush(&state.history);
    if (state.quiet)
        return;
    uint64_t whole = 0;
    uint64_t other = 0;
    for (size_t i = 0; i < state.config.class_count; i++) {
        const uint64_t *results = state.report.classes[i].results;
        for (size_t r = 0; r < RESULT_COUNT; r++)
            *(r == RESULT_WHOLE ? &whole : &other) += results[r];
    }
    fprintf(stderr, "load: %3.0f s  whole %lu  other %lu  under way %zu  look-ups %lu\n",
            (double)(clock_wall_us() - state.start_us) / US_PER_S, (unsigned long)whole,
            (unsigned long)other, state.under_way, (unsigned long)steering_lookups(state.steering));
}

static void
print_help(void)
{
    puts("Usage: irisstall-load -c FILE --seconds=N [--rate=FACTOR] [--seed=N] [--history=FILE]\n"
         "                      [--tsv=FILE --experiment=NAME --variant=NAME] [--quiet]\n"
         "Open-loop load per request class; prints a report per class.");
}

typedef struct {
    const char *config;
    const char *history;
    const char *tsv;
    const char *experiment;
    const char *variant;
    double seconds;
    double factor;
    uint64_t seed;
} options_t;

static bool
parse_options(int argc, char **argv, options_t *out)
{
    static const struct option options[] = {{"config", required_argument, NULL, 'c'},
                                            {"seconds", required_argument, NULL, 's'},
                                            {"rate", required_argument, NULL, 'r'},
                                            {"seed", required_argument, NULL, 'e'},
                                            {"history", required_argument, NULL, 'y'},
                                            {"tsv", required_argument, NULL, 't'},
                                            {"experiment", required_argument, NULL, 'x'},
                                            {"variant", required_argument, NULL, 'v'},
                                            {"quiet", no_argument, NULL, 'q'},
                                            {"help", no_argument, NULL, 'h'},
                                            {NULL, 0, NULL, 0}};
    int opt;
    while ((opt = getopt_long(argc, argv, "c:h", options, NULL)) != -1) {
        switch (opt) {
        case 'c':
            out->config = optarg;
            break;
        case 's':
            out->seconds = strtod(optarg, NULL);
            break;
        case 'r':
            out->factor = strtod(optarg, NULL);
            break;
        case 'e':
            out->seed = strtoull(optarg, NULL, 10);
            break;
        case 'y':
            out->history = optarg;
            break;
        case 't':
            out->tsv = optarg;
            break;
        case 'x':
            out->experiment = optarg;
            break;
        case 'v':
            out->variant = optarg;
            break;
        case 'q':
            state.quiet = true;
            break;
        default:
            return false;
        }
    }
    return out->config != NULL && out->seconds > 0;
}

static void
prepare(const options_t *options)
{
    state.loop = uv_default_loop();
    state.client = http_client_new(state.loop);
    state.rng = (rng_t){.state = options->seed};
    rng_t ids = rng_system();
    state.run_id = rng_next(&ids);
    state.steering = steering_new(state.loop, state.client, &state.config, &state.rng);
    report_init(&state.report, &state.config);
    state.report.seconds = options->seconds;
    state.start_us = clock_wall_us();
    state.end_us = state.start_us + (uint64_t)(options->seconds * US_PER_S);
    for (size_t i = 0; i < state.config.class_count; i++) {
        load_class_t *class_ = &state.config.classes[i];
        class_->rate *= options->factor;
        if (class_->rate > 0)
            state.next_due_us[i] = (double)state.start_us + gap_us(class_->rate);
    }
}

static void
run(void)
{
    static uv_timer_t tick;
    static uv_timer_t progress;
    uv_timer_init(state.loop, &tick);
    uv_timer_start(&tick, on_tick, TICK_MS, TICK_MS);
    uv_timer_init(state.loop, &progress);
    uv_timer_start(&progress, on_progress, PROGRESS_MS, PROGRESS_MS);
    uv_run(state.loop, UV_RUN_DEFAULT);
}

int
main(int argc, char *argv[])
{
    options_t options = {
        .history = "", .factor = 1, .seed = 1, .experiment = "load", .variant = "irisstall"};
    err_t err = {0};
    if (!parse_options(argc, argv, &options)) {
        print_help();
        return 2;
    }
    if (!load_config_read(options.config, &state.config, &err) ||
        !history_open(&state.history, options.history, &err)) {
        fprintf(stderr, "irisstall-load: %s\n", err.detail);
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    prepare(&options);
    run();
    history_close(&state.history);
    report_print(&state.report);
    if (options.tsv != NULL &&
        !report_append_tsv(&state.report, options.tsv, options.experiment, options.variant, &err)) {
        fprintf(stderr, "irisstall-load: %s\n", err.detail);
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
