/*
 * fake-site: the users' platform in one process, for the demo: its store, backend servers with
 * slots and a memory of objects, and callers. Prints a report and ends. With a seed it runs a soak
 * in place of the demo (standin/soak/).
 */
#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <uv.h>

#include "base/rng.h"
#include "base/xmalloc.h"
#include "standin/soak/soak.h"
#include "standin/store.h"
#include "standin/backend.h"
#include "wire/fetch.h"

enum {
    UPSTREAMS_MAX = 4096,
    SLOTS = 9,
    QUEUE = 27,
    MEMORY_OBJECTS = 66,
    OBJECTS = 87,
    COLD_WORK_MS = 240,
    WARM_WORK_MS = 72,
    AIM_MS = 200,
    DEADLINE_MS = 1250,
    TICK_MS = 10,
    CALLERS_MAX = 64,
    FIRST_PORT = 18140,
    CONNECTIONS_MAX = 512, /* to a gateway */
    START_MS = 3000,       /* for the gateways to become ready */
    MS_PER_S = 1000,
    EXIT_USAGE = 2,
};

typedef struct fake fake_t;

typedef struct work {
    struct work *next;
    uv_timer_t timer;
    struct backend *backend;
    standin_conn_t *conn;
    char id[32];
    uint64_t object;
} work_t;

typedef struct backend {
    fake_t *fake;
    standin_backend_t *standin;
    char id[32];
    const char *zone;
    unsigned running;
    unsigned waiting;
    work_t *queue;
    uint64_t memory[MEMORY_OBJECTS]; /* the latest first */
    unsigned cold_runs;
    unsigned runs;
} backend_t;

typedef struct {
    unsigned asked;
    unsigned in_aim;
    unsigned late;
    unsigned refused;
    unsigned failed;
} tally_t;

struct fake {
    uv_loop_t *loop;
    standin_store_t *store;
    backend_t backends[UPSTREAMS_MAX];
    size_t backend_count;
    wire_pool_t *gateways[CALLERS_MAX];
    size_t gateway_count;
    unsigned scale; /* times the backend servers of the shape */
    double per_s;
    double due;
    uint64_t start_ms;
    uint64_t end_ms;
    tally_t tally;
    rng_t rng;
    uv_timer_t tick;
    unsigned number;
    unsigned under_way;
};

typedef struct {
    fake_t *fake;
    uint64_t sent_ms;
    int status;
} request_t;

static const char *const zones[] = {"toledo-hall",   "alpena-hall", "gary-hall",
                                    "sandusky-hall", "sarnia-hall", "racine-hall"};
/* Upstreams of each zone: the middle region has little room. */
static const unsigned shape[] = {6, 1, 5, 6, 1, 5};
enum { SHAPE_BACKENDS = 24 /* their sum */ };

static bool
recall(backend_t *backend, uint64_t object)
{
    size_t at = 0;
    while (at < MEMORY_OBJECTS - 1 && backend->memory[at] != object)
        at++;
    const bool known = backend->memory[at] == object;
    memmove(&backend->memory[1], backend->memory, at * sizeof(backend->memory[0]));
    backend->memory[0] = object;
    return known;
}

static void start_work(work_t *work);

static void
on_work_closed(uv_handle_t *handle)
{
    free(handle->data);
}

static void
on_worked(uv_timer_t *timer)
{
    work_t *work = timer->data;
    backend_t *backend = work->backend;
    char text[256];
    backend->running--;
    const int len = snprintf(text, sizeof(text),
                             "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: s\r\n"
                             "Server-Load: %u,%u,%d\r\nContent-Length: 5\r\n\r\nhello",
                             work->id, backend->running, backend->waiting, SLOTS);
    standin_send(work->conn, (str_t){text, (size_t)len});
    uv_close((uv_handle_t *)timer, on_work_closed);
    work_t *next = backend->queue;
    if (next == NULL)
        return;
    backend->queue = next->next;
    backend->waiting--;
    start_work(next);
}

static void
start_work(work_t *work)
{
    backend_t *backend = work->backend;
    const bool warm = recall(backend, work->object);
    backend->running++;
    backend->runs++;
    backend->cold_runs += !warm;
    uv_timer_start(&work->timer, on_worked, warm ? WARM_WORK_MS : COLD_WORK_MS, 0);
}

static void
on_request(void *ctx, standin_conn_t *conn, str_t text)
{
    backend_t *backend = ctx;
    const str_t id = standin_field(text, "Attempt-Id");
    if (backend->waiting >= QUEUE) {
        standin_send(conn, STR("HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nAttempt-Id: "));
        standin_send(conn, id);
        standin_send(conn, STR("\r\nContent-Length: 0\r\n\r\n"));
        return;
    }
    work_t *work = xcalloc(1, sizeof(*work));
    work->backend = backend;
    work->conn = conn;
    work->object = str_hash(standin_field(text, "Affinity-Key"), 1);
    snprintf(work->id, sizeof(work->id), "%.*s", STR_ARG(id));
    uv_timer_init(backend->fake->loop, &work->timer);
    work->timer.data = work;
    if (backend->running < SLOTS) {
        start_work(work);
        return;
    }
    work_t **slot = &backend->queue;
    while (*slot != NULL)
        slot = &(*slot)->next;
    *slot = work;
    backend->waiting++;
}

static void
start_backends(fake_t *fake, const addr_t *any)
{
    for (size_t zone = 0; zone < ALEN(zones); zone++) {
        for (unsigned i = 0; i < shape[zone] * fake->scale; i++) {
            char text[ADDR_TEXT_MAX];
            backend_t *backend = &fake->backends[fake->backend_count++];
            backend->fake = fake;
            backend->zone = zones[zone];
            snprintf(backend->id, sizeof(backend->id), "%s-%u", zones[zone], i);
            backend->standin = standin_backend_start(fake->loop, any, on_request, backend);
            const addr_t addr = standin_backend_addr(backend->standin);
            standin_store_put(
                fake->store, "servers", backend->id,
                json_pack("{s:s, s:{s:s, s:s, s:s, s:i}}", "address", addr_format(&addr, text),
                          "info", "service", "tallyboard", "version", "v1", "zone", zones[zone],
                          "capacity", SLOTS),
                json_pack("{s:s, s:i, s:i}", "state", "ready", "callSeq", 1, "coldRemainingMs", 0));
        }
    }
}

static void
put_config(fake_t *fake)
{
    standin_store_put(
        fake->store, "config", "main",
        json_pack("{s:s, s:{s:{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:i, s:b}}, s:{s:{s:i, s:f, "
                  "s:f}}, s:{s:i, s:i, s:i, s:i}}",
                  "version", "00000001", "routes", "r-1", "host", "tally.example", "pathPrefix",
                  "/counts/", "routeType", "safe", "service", "tallyboard", "timeoutMs",
                  DEADLINE_MS, "targetLatencyMs", AIM_MS, "priority", 1, "maxAttempts", 2, "sticky",
                  1, "services", "tallyboard", "maxConns", 330, "coldStartS", 3.0, "coldPerS", 14.0,
                  "limits", "maxHeaderBytes", 16384, "maxBodyBytes", 1 << 20, "headerTimeoutMs",
                  3000, "idleTimeoutMs", 15000),
        NULL);
}

static void
on_head(void *ctx, const wire_head_t *head, int64_t length)
{
    (void)length;
    ((request_t *)ctx)->status = head->status;
}

static void
on_data(void *ctx, const char *ptr, size_t len)
{
    (void)ctx;
    (void)ptr;
    (void)len;
}

static void
on_end(void *ctx, const wire_call_result_t *end)
{
    request_t *request = ctx;
    tally_t *tally = &request->fake->tally;
    const uint64_t took = uv_now(request->fake->loop) - request->sent_ms;
    if (end->err.code != ERR_NONE || request->status >= 500)
        *(request->status == 503 ? &tally->refused : &tally->failed) += 1;
    else
        *(took <= AIM_MS ? &tally->in_aim : &tally->late) += 1;
    request->fake->under_way--;
    free(request);
}

static void
send_request(fake_t *fake, size_t caller)
{
    static const wire_call_cbs_t cbs = {.on_head = on_head, .on_data = on_data, .on_end = on_end};
    request_t *request = xcalloc(1, sizeof(*request));
    request->fake = fake;
    request->sent_ms = uv_now(fake->loop);
    wire_text_t text = {0};
    /* The callers of a region ask about objects of their own. */
    wire_text_printf(&text,
                     "GET /counts/%u HTTP/1.1\r\nHost: tally.example\r\nAttempt-Id: n%u\r\n"
                     "Affinity-Key: %zu-%u\r\nDeadline-Ms: %d\r\n\r\n",
                     fake->number, fake->number, caller % 3,
                     (unsigned)rng_below(&fake->rng, OBJECTS), DEADLINE_MS);
    fake->number++;
    fake->tally.asked++;
    fake->under_way++;
    const wire_call_conf_t conf = {
        .request = text.ptr,
        .request_len = text.len,
        .connect_timeout_ms = 1000,
        .timeout_ms = 2 * DEADLINE_MS,
        .idle_max_ms = 5000,
    };
    wire_call_start(fake->gateways[caller], &conf, &cbs, request);
}

static int
report(const fake_t *fake)
{
    unsigned runs = 0;
    unsigned cold = 0;
    for (size_t i = 0; i < fake->backend_count; i++) {
        runs += fake->backends[i].runs;
        cold += fake->backends[i].cold_runs;
    }
    const tally_t *tally = &fake->tally;
    printf("asked %u, in aim %u, late %u, refused %u, failed %u; runs %u, cold %u; store calls "
           "%llu\n",
           tally->asked, tally->in_aim, tally->late, tally->refused, tally->failed, runs, cold,
           (unsigned long long)standin_store_calls(fake->store));
    return tally->failed == 0 && tally->in_aim > tally->asked / 2 ? EXIT_SUCCESS : EXIT_FAILURE;
}

static void
on_tick(uv_timer_t *timer)
{
    fake_t *fake = timer->data;
    const uint64_t now = uv_now(fake->loop);
    if (now >= fake->end_ms) {
        if (fake->under_way == 0)
            uv_stop(fake->loop);
        return;
    }
    if (now < fake->start_ms)
        return;
    fake->due += fake->per_s * TICK_MS / MS_PER_S;
    for (; fake->due >= 1; fake->due -= 1)
        send_request(fake, rng_below(&fake->rng, fake->gateway_count));
}

static void
usage(FILE *out)
{
    fputs(
        "usage: fake-site [-n GATEWAYS] [-r REQUESTS/S] [-d SECONDS] [-u TIMES]\n"
        "       fake-site -s SEED [-n GATEWAYS] [-d SECONDS] [-a NET] [-x TIMES] [-q COUNT] [-i] "
        "[-w] [-o] [-e]\n"
        "  -u: so many times the 24 backend servers\n"
        "  the store listens on 127.0.0.1:18140, gateway I is expected at 127.0.1.I:18141\n"
        "  -s: a soak with troubles drawn from this seed, for scripts/soak.sh: orders on standard\n"
        "      output, reports on standard input, the verdict on standard error\n"
        "  -a: its loopback network, as 127.1.2. (with the last dot)\n"
        "  -x: so many times its bounds in time, for slow builds\n"
        "  -q: no other troubles, and so many requests at once that end backend servers, from 5 s\n"
        "      on, for 16 s\n"
        "  -i: backend servers are slowed at times besides, and say so\n"
        "  -e: without the troubles that earlier versions can't bear\n"
        "  -o: operators order roll-outs besides\n"
        "  -w: no other troubles than what backend servers say of themselves, 24 of them\n",
        out);
}

/* A soak, if the options ask for one and are right for it. */
static int
run_soak(const soak_conf_t *conf)
{
    if (conf->instances > SOAK_INSTANCES_MAX || conf->instances == 0 || conf->length_ms == 0 ||
        conf->slack < 1) {
        usage(stderr);
        return EXIT_USAGE;
    }
    return soak_run(conf);
}

/* What the command line asks for. */
typedef struct {
    double seconds;
    bool is_soak;
    soak_conf_t soak;
} options_t;

enum { OPTIONS_OK = -1 };

/* OPTIONS_OK, or the status to exit with. */
static int
parse_options(int argc, char **argv, fake_t *fake, options_t *out)
{
    int option;
    while ((option = getopt(argc, argv, "n:r:d:u:s:a:x:q:iwohe")) != -1) {
        switch (option) {
        case 'n':
            fake->gateway_count = strtoul(optarg, NULL, 10);
            break;
        case 'r':
            fake->per_s = strtod(optarg, NULL);
            break;
        case 'u':
            fake->scale = (unsigned)strtoul(optarg, NULL, 10);
            break;
        case 's':
            out->is_soak = true;
            out->soak.seed = strtoull(optarg, NULL, 10);
            break;
        case 'a':
            out->soak.net = optarg;
            break;
        case 'q':
            out->soak.poison = (uint32_t)strtoul(optarg, NULL, 10);
            break;
        case 'i':
            out->soak.interference = true;
            break;
        case 'o':
            out->soak.rollouts = true;
            break;
        case 'e':
            out->soak.earlier = true;
            break;
        case 'w':
            out->soak.says = true;
            break;
        case 'x':
            out->soak.slack = strtod(optarg, NULL);
            break;
        case 'd':
            out->seconds = strtod(optarg, NULL);
            break;
        default:
            usage(option == 'h' ? stdout : stderr);
            return option == 'h' ? EXIT_SUCCESS : EXIT_USAGE;
        }
    }
    return OPTIONS_OK;
}

static void
open_gateways(fake_t *fake)
{
    for (size_t i = 0; i < fake->gateway_count; i++) {
        char text[ADDR_TEXT_MAX];
        addr_t addr;
        snprintf(text, sizeof(text), "127.0.1.%zu:%d", i + 1, FIRST_PORT + 1);
        addr_parse(str_from(text), &addr);
        fake->gateways[i] = wire_pool_new(fake->loop, &addr, CONNECTIONS_MAX);
    }
}

static int
run_demo(fake_t *fake, double seconds)
{
    addr_t store;
    addr_t any;
    signal(SIGPIPE, SIG_IGN);
    fake->loop = uv_default_loop();
    fake->rng = rng_system();
    addr_parse(STR("127.0.0.1:18140"), &store);
    addr_parse(STR("127.0.0.1:0"), &any);
    fake->store = standin_store_start(fake->loop, &store);
    put_config(fake);
    start_backends(fake, &any);
    open_gateways(fake);
    uv_update_time(fake->loop);
    fake->start_ms = uv_now(fake->loop) + START_MS;
    fake->end_ms = fake->start_ms + (uint64_t)(seconds * MS_PER_S);
    uv_timer_init(fake->loop, &fake->tick);
    fake->tick.data = fake;
    uv_timer_start(&fake->tick, on_tick, TICK_MS, TICK_MS);
    uv_run(fake->loop, UV_RUN_DEFAULT);
    return report(fake);
}

int
main(int argc, char **argv)
{
    static fake_t fake = {.gateway_count = 9, .per_s = 300, .scale = 1};
    options_t options = {.seconds = 10, .soak = {.net = "127.1.2.", .slack = 1}};
    const int status = parse_options(argc, argv, &fake, &options);
    if (status != OPTIONS_OK)
        return status;
    if (options.is_soak) {
        options.soak.instances = (uint32_t)fake.gateway_count;
        options.soak.length_ms = (uint64_t)(options.seconds * MS_PER_S);
        return run_soak(&options.soak);
    }
    if (fake.gateway_count == 0 || fake.gateway_count > CALLERS_MAX || fake.per_s <= 0 ||
        fake.scale == 0 || fake.scale > UPSTREAMS_MAX / SHAPE_BACKENDS) {
        usage(stderr);
        return EXIT_USAGE;
    }
    return run_demo(&fake, options.seconds);
}
