/*
 * fake-backend: a small stand-in that plays many backend servers of the entry in one process.
 *
 * Each has slots, a bounded queue, cold start, shedding, drain, cancellation, deadlines and a
 * health answer that can be made to lie. The request says how long it takes (?ms=) and how large
 * its answer is (?bytes=). POST /control?name=N&... switches behaviour while running.
 */
#include <getopt.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <h2o.h>

#define LOG_MODULE "fake-backend"
#include "base/clock.h"
#include "base/history.h"
#include "base/log.h"
#include "base/rng.h"
#include "base/xmalloc.h"
#include "load/pattern.h"
#include "entry/http/server.h"
#include "standin/process.h"

enum {
    EXIT_USAGE = 2,
    HEAD_TIMEOUT_MS = 30000,
    CONNECTIONS_MAX = 4096,
    BODY_MAX = 8 << 20,
    GONE_CHECK_MS = 25,
    QUEUE_PER_SLOT = 2,
    ID_SIZE = 80,
    CUT_PERCENT_MAX = 100,
    FLUSH_MS = 200, /* between writes of the history */
};

typedef struct upstream upstream_t;
typedef struct job job_t;

struct job {
    h2o_generator_t generator;
    upstream_t *upstream;
    h2o_req_t *req;
    uv_timer_t *timer;
    char id[ID_SIZE];
    char key[ID_SIZE];
    uint64_t deadline_ms; /* wall; 0: none */
    uint64_t service_ms;
    uint64_t bytes;
    uint64_t sent;
    bool running;
    bool responding;
    bool over;
    job_t *next; /* in the queue or among the running */
};

struct upstream {
    char name[NAME_MAX_LEN + 1];
    char service[NAME_MAX_LEN + 1];
    char place[NAME_MAX_LEN + 1];
    char region[NAME_MAX_LEN + 1];
    unsigned slots;
    unsigned busy;
    unsigned queued;
    job_t *queue;
    job_t *active;
    http_server_t *server;
    double cold_factor;     /* service time is multiplied by this while cold */
    uint64_t cold_until_ms; /* steady */
    uint64_t cold_span_ms;
    bool draining;
    bool refusing; /* sheds everything */
    bool lie_sick; /* health says no while work is served */
    bool lie_well; /* health says yes while work is refused */
    uint64_t slow_ms;
    unsigned cut_percent; /* answers cut in the middle */
};

static struct {
    uv_loop_t *loop;
    upstream_t **upstreams;
    size_t count;
    rng_t rng;
    history_t history;
} state;

static uint64_t
now_ms(void)
{
    return clock_steady_ms(clock_system());
}

static void
add_state_headers(const upstream_t *up, h2o_req_t *req)
{
    char load[64];
    snprintf(load, sizeof(load), "%u/%u/%u", up->busy, up->queued, up->slots);
    http_add_header(req, "x-irisstall-load", str_from(load));
    if (up->draining)
        http_add_header(req, "x-irisstall-draining", STR("1"));
}

static void
refuse(upstream_t *up, h2o_req_t *req, int status, const char *reason)
{
    char body[96];
    snprintf(body, sizeof(body), "{\"error\":\"%s\",\"outcome\":\"not_run\"}\n", reason);
    add_state_headers(up, req);
    http_add_header(req, "x-irisstall-outcome", STR("not_run"));
    http_reply(req, status, "application/json", body, strlen(body));
}

static void
record(const job_t *job, const char *event, const char *result)
{
    const upstream_t *up = job->upstream;
    history_write(&state.history, event,
                  "\"id\":\"%s\",\"key\":\"%s\",\"upstream\":\"%s\",\"service\":\"%s\",\"place\":"
                  "\"%s\",\"region\":\"%s\",\"result\":\"%s\",\"bytes\":%" PRIu64,
                  job->id, job->key, up->name, up->service, up->place, up->region, result,
                  job->sent);
}

static void
unlink_job(job_t **list, const job_t *job)
{
    while (*list != NULL && *list != job)
        list = &(*list)->next;
    if (*list != NULL)
        *list = job->next;
}

static void
on_timer_closed(uv_handle_t *handle)
{
    free(handle);
}

static void start_next(upstream_t *up);

/* Ends the job's use of its slot or its place in the queue; idempotent. */
static void
finish(job_t *job, const char *result)
{
    if (job->over)
        return;
    job->over = true;
    upstream_t *up = job->upstream;
    if (job->running) {
        up->busy--;
        unlink_job(&up->active, job);
        record(job, "run_end", result);
    } else {
        up->queued--;
        unlink_job(&up->queue, job);
    }
    record(job, "leave", result);
    if (job->timer != NULL) {
        uv_timer_stop(job->timer);
        uv_close((uv_handle_t *)job->timer, on_timer_closed);
        job->timer = NULL;
    }
    start_next(up);
}

static void
on_disposed(void *ptr)
{
    finish(ptr, "cancelled");
}

static void
cut_connection(const job_t *job)
{
    h2o_socket_t *sock = job->req->conn->callbacks->get_socket(job->req->conn);
    shutdown(h2o_socket_get_fd(sock), SHUT_RDWR);
}

static void
send_part(job_t *job)
{
    const uint64_t left = job->bytes - job->sent;
    const uint64_t part = left < PATTERN_CHUNK ? left : PATTERN_CHUNK;
    h2o_iovec_t buf = {(char *)pattern_bytes(str_from(job->id), job->sent), (size_t)part};
    job->sent += part;
    h2o_req_t *req = job->req;
    const bool last = job->sent == job->bytes;
    if (last)
        finish(job, "done");
    h2o_send(req, &buf, 1, last ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

static void
on_proceed(h2o_generator_t *generator, h2o_req_t *req)
{
    (void)req;
    job_t *job = (job_t *)generator;
    if (job->deadline_ms != 0 && clock_wall_ms(clock_system()) > job->deadline_ms) {
        finish(job, "deadline");
        cut_connection(job);
        return;
    }
    send_part(job);
}

static void
on_stop(h2o_generator_t *generator, h2o_req_t *req)
{
    (void)req;
    finish((job_t *)generator, "cancelled");
}

static void
respond(job_t *job)
{
    h2o_req_t *req = job->req;
    uv_timer_stop(job->timer);
    job->responding = true;
    job->generator.proceed = on_proceed;
    job->generator.stop = on_stop;
    req->res.status = 200;
    req->res.reason = "OK";
    req->res.content_length = job->bytes;
    add_state_headers(job->upstream, req);
    http_add_header(req, "x-request-id", str_from(job->id));
    http_add_header(req, "x-irisstall-outcome", STR("ran"));
    http_add_header(req, "x-served-by", str_from(job->upstream->name));
    http_add_header(req, "x-served-at", str_from(job->upstream->place));
    http_add_header(req, "content-type", STR("application/octet-stream"));
    h2o_start_response(req, &job->generator);
    if (job->upstream->cut_percent > 0 &&
        rng_below(&state.rng, CUT_PERCENT_MAX) < job->upstream->cut_percent) {
        finish(job, "cut");
        cut_connection(job);
    }
    send_part(job);
}

static void
on_timer(uv_timer_t *timer)
{
    job_t *job = timer->data;
    const uint64_t wall = clock_wall_ms(clock_system());
    if (http_caller_gone(job->req)) {
        finish(job, "cancelled");
        return;
    }
    if (job->deadline_ms != 0 && wall > job->deadline_ms) {
        const bool was_running = job->running;
        upstream_t *up = job->upstream;
        h2o_req_t *req = job->req;
        finish(job, "deadline");
        if (was_running)
            cut_connection(job);
        else
            refuse(up, req, 504, "deadline");
        return;
    }
    if (!job->running)
        return;
    if (job->service_ms <= GONE_CHECK_MS) {
        respond(job);
        return;
    }
    job->service_ms -= GONE_CHECK_MS;
    const uint64_t next = job->service_ms < GONE_CHECK_MS ? job->service_ms : GONE_CHECK_MS;
    uv_timer_start(timer, on_timer, next, 0);
}

static void
run_job(job_t *job)
{
    upstream_t *up = job->upstream;
    const uint64_t now = now_ms();
    double factor = 1;
    if (now < up->cold_until_ms && up->cold_span_ms > 0)
        factor = 1 + (up->cold_factor - 1) * (double)(up->cold_until_ms - now) /
                         (double)up->cold_span_ms;
    job->service_ms = (uint64_t)((double)job->service_ms * factor) + up->slow_ms;
    job->running = true;
    up->busy++;
    job->next = up->active;
    up->active = job;
    record(job, "run_start", "");
    uv_timer_start(job->timer, on_timer,
                   job->service_ms < GONE_CHECK_MS ? job->service_ms : GONE_CHECK_MS, 0);
}

static void
start_next(upstream_t *up)
{
    while (up->busy < up->slots && up->queue != NULL) {
        job_t *job = up->queue;
        up->queue = job->next;
        up->queued--;
        run_job(job);
    }
}

static void
enqueue(job_t *job)
{
    job_t **tail = &job->upstream->queue;
    while (*tail != NULL)
        tail = &(*tail)->next;
    *tail = job;
    job->upstream->queued++;
}

static uint64_t
query_number(const h2o_req_t *req, str_t name, uint64_t fallback)
{
    str_t value;
    uint64_t number;
    if (!http_query(req, name, &value) || !str_to_u64(value, &number))
        return fallback;
    return number;
}

static void
answer_health(upstream_t *up, h2o_req_t *req)
{
    const bool well = up->lie_well || !(up->lie_sick || up->refusing);
    add_state_headers(up, req);
    http_reply(req, well ? 200 : 503, "text/plain", well ? "ok\n" : "no\n", 3);
}

static void
on_request(void *ctx, h2o_req_t *req)
{
    upstream_t *up = ctx;
    if (str_eq(http_path(req), STR("/health"))) {
        answer_health(up, req);
        return;
    }
    const str_t deadline = http_header(req, STR("x-irisstall-deadline"));
    uint64_t deadline_ms = 0;
    str_to_u64(deadline, &deadline_ms);
    if (up->refusing || up->queued >= up->slots * QUEUE_PER_SLOT) {
        refuse(up, req, 503, "shed");
        return;
    }
    if (deadline_ms != 0 && clock_wall_ms(clock_system()) > deadline_ms) {
        refuse(up, req, 504, "deadline");
        return;
    }
    job_t *job = h2o_mem_alloc_shared(&req->pool, sizeof(*job), on_disposed);
    *job = (job_t){.upstream = up,
                   .req = req,
                   .deadline_ms = deadline_ms,
                   .service_ms = query_number(req, STR("ms"), 1),
                   .bytes = query_number(req, STR("bytes"), 100)};
    snprintf(job->id, sizeof(job->id), "%.*s", STR_ARG(http_header(req, STR("x-request-id"))));
    snprintf(job->key, sizeof(job->key), "%.*s", STR_ARG(http_header(req, STR("idempotency-key"))));
    job->timer = xmalloc(sizeof(*job->timer));
    uv_timer_init(state.loop, job->timer);
    job->timer->data = job;
    enqueue(job);
    record(job, "enter", "");
    uv_timer_start(job->timer, on_timer, GONE_CHECK_MS, GONE_CHECK_MS);
    start_next(up);
}

static bool
selected(const upstream_t *up, const h2o_req_t *req)
{
    str_t value;
    if (http_query(req, STR("name"), &value) && !str_eq(value, str_from(up->name)))
        return false;
    if (http_query(req, STR("place"), &value) && !str_eq(value, str_from(up->place)))
        return false;
    if (http_query(req, STR("region"), &value) && !str_eq(value, str_from(up->region)))
        return false;
    return !http_query(req, STR("service"), &value) || str_eq(value, str_from(up->service));
}

static void
apply_control(upstream_t *up, const h2o_req_t *req)
{
    up->draining = query_number(req, STR("drain"), up->draining) != 0;
    up->refusing = query_number(req, STR("refuse"), up->refusing) != 0;
    up->lie_sick = query_number(req, STR("lie_sick"), up->lie_sick) != 0;
    up->lie_well = query_number(req, STR("lie_well"), up->lie_well) != 0;
    up->slow_ms = query_number(req, STR("slow_ms"), up->slow_ms);
    up->cut_percent = (unsigned)query_number(req, STR("cut"), up->cut_percent);
    const uint64_t cold_ms = query_number(req, STR("cold_ms"), 0);
    if (cold_ms > 0) {
        up->cold_factor = (double)query_number(req, STR("cold_factor"), 5);
        up->cold_span_ms = cold_ms;
        up->cold_until_ms = now_ms() + cold_ms;
    }
    history_write(&state.history, "upstream_control",
                  "\"upstream\":\"%s\",\"draining\":%d,\"refusing\":%d", up->name, up->draining,
                  up->refusing);
}

static void
on_control(void *ctx, h2o_req_t *req)
{
    (void)ctx;
    size_t busy = 0;
    size_t matched = 0;
    for (size_t i = 0; i < state.count; i++) {
        if (!selected(state.upstreams[i], req))
            continue;
        matched++;
        apply_control(state.upstreams[i], req);
        busy += state.upstreams[i]->busy + state.upstreams[i]->queued;
    }
    char body[96];
    const int len =
        snprintf(body, sizeof(body), "{\"matched\":%zu,\"in_flight\":%zu}\n", matched, busy);
    http_reply(req, 200, "application/json", body, (size_t)len);
}

/* A line is NAME SERVICE REGION PLACE IP:PORT SLOTS. */
static bool
load_upstreams(const char *path, err_t *err)
{
    FILE *file = fopen(path, "re");
    if (file == NULL) {
        err_set(err, ERR_SYSTEM, "cannot open %s", path);
        return false;
    }
    char line[512];
    bool ok = true;
    while (ok && fgets(line, sizeof(line), file) != NULL) {
        upstream_t *up = xcalloc(1, sizeof(*up));
        char addr[ADDR_TEXT_MAX];
        http_server_conf_t conf = {.max_body = BODY_MAX,
                                   .head_timeout_ms = HEAD_TIMEOUT_MS,
                                   .max_connections = CONNECTIONS_MAX};
        ok = sscanf(line, "%47s %47s %47s %47s %63s %u", up->name, up->service, up->region,
                    up->place, addr, &up->slots) == 6 &&
             addr_parse(str_from(addr), &conf.addr);
        if (!ok) {
            err_set(err, ERR_PARSE, "%s: bad line: %.100s", path, line);
            free(up);
            break;
        }
        state.upstreams = xrealloc(state.upstreams, (state.count + 1) * sizeof(up));
        state.upstreams[state.count++] = up;
        up->server = http_server_start(state.loop, &conf, on_request, up, err);
        ok = up->server != NULL;
    }
    fclose(file);
    return ok;
}

static void
print_help(void)
{
    puts("Usage: fake-backend --upstreams=FILE --control=IP:PORT [--history=FILE]\n"
         "A stand-in for backend servers, for tests and demos.\n"
         "FILE holds a line per server: NAME SERVICE REGION PLACE IP:PORT SLOTS");
}

typedef struct {
    const char *upstreams;
    bool has_control;
    addr_t control;
    const char *history;
} options_t;

/* True if the program goes on; else `*status` is its exit status. */
static bool
parse_options(int argc, char **argv, options_t *out, int *status)
{
    static const struct option options[] = {{"upstreams", required_argument, NULL, 'u'},
                                            {"control", required_argument, NULL, 'c'},
                                            {"history", required_argument, NULL, 'y'},
                                            {"help", no_argument, NULL, 'h'},
                                            {NULL, 0, NULL, 0}};
    int opt;
    while ((opt = getopt_long(argc, argv, "h", options, NULL)) != -1) {
        switch (opt) {
        case 'u':
            out->upstreams = optarg;
            break;
        case 'c':
            out->has_control = addr_parse(str_from(optarg), &out->control);
            break;
        case 'y':
            out->history = optarg;
            break;
        case 'h':
            print_help();
            *status = EXIT_SUCCESS;
            return false;
        default:
            *status = EXIT_USAGE;
            return false;
        }
    }
    if (out->upstreams != NULL && out->has_control)
        return true;
    print_help();
    *status = EXIT_USAGE;
    return false;
}

int
main(int argc, char *argv[])
{
    options_t options = {.history = ""};
    err_t err = {0};
    int status;
    if (!parse_options(argc, argv, &options, &status))
        return status;
    const http_server_conf_t control = {.addr = options.control,
                                        .max_body = BODY_MAX,
                                        .head_timeout_ms = HEAD_TIMEOUT_MS,
                                        .max_connections = CONNECTIONS_MAX};
    signal(SIGPIPE, SIG_IGN);
    state.loop = uv_default_loop();
    state.rng = rng_system();
    if (!log_open(NULL, LOG_LEVEL_INFO, &err) ||
        !history_open(&state.history, options.history, &err) ||
        !load_upstreams(options.upstreams, &err) ||
        http_server_start(state.loop, &control, on_control, NULL, &err) == NULL) {
        fprintf(stderr, "fake-backend: %s\n", err.detail);
        return EXIT_FAILURE;
    }
    standin_process_t process = {
        .loop = state.loop, .history = &state.history, .tick_ms = FLUSH_MS};
    standin_run(&process);
    return EXIT_SUCCESS;
}
