#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uv.h>

#include "base/xmalloc.h"
#include "standin/soak/callers.h"
#include "standin/soak/poison.h"
#include "standin/soak/fleet.h"
#include "standin/soak/judge.h"
#include "standin/soak/operator.h"
#include "standin/soak/requests.h"
#include "standin/soak/schedule.h"
#include "standin/soak/servers.h"
#include "standin/soak/soak.h"

enum {
    STORE_PORT = 18140,
    CALLERS_PORT = 18141,
    TICK_MS = 5,
    /* A tick so late means that the machine is too busy for bounds in time. */
    STALL_MS = 250,
    GRACE_MS = 6000, /* as in the settings that scripts/soak.sh writes */
    END_MS = 15000,  /* after the length: above the grace time and what follows it */
    LINE_MAX_LEN = 128,
    SERVERS_MIN = 12,   /* one of both services in each data hall */
    SERVERS_SMALL = 24, /* as many as a service of the users' small sites has */
    CALLERS_EACH = 12,
    /* The users' site promises 2.5 s for both; the rest is for a busy machine. */
    CONFIG_BOUND_MS = 3500,
    LEAVING_BOUND_MS = 3500,
    EXIT_BROKEN = 1,
    EXIT_UNFINISHED = 2,
};

typedef struct {
    soak_conf_t conf;
    uv_loop_t *loop;
    uv_timer_t tick;
    uv_pipe_t reports;
    char line[LINE_MAX_LEN];
    size_t line_len;
    judge_t judge;
    schedule_t schedule;
    size_t next_trouble;
    standin_store_t *store;
    requests_t *requests;
    extra_sends_t *extra_sends;
    fleet_t *fleet;
    operator_t *ops;
    accounts_t *accounts;
    servers_t *servers;
    callers_t *callers;
    poison_t *poison;
    orders_t *orders; /* NULL without roll-outs */
    uint64_t begun_ms;
    uint64_t ticked_ms;
    unsigned stalls;
    bool finishing;
    bool interrupted;
} soak_t;

static uint64_t
elapsed_ms(const soak_t *soak)
{
    return uv_now(soak->loop) - soak->begun_ms;
}

/* ---- reports of the script ---- */

static void
take_byte(soak_t *soak, char byte)
{
    if (byte != '\n') {
        if (soak->line_len < sizeof(soak->line) - 1)
            soak->line[soak->line_len++] = byte;
        return;
    }
    soak->line[soak->line_len] = '\0';
    soak->line_len = 0;
    fleet_report(soak->fleet, soak->line, elapsed_ms(soak));
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    static char bytes[4096];
    (void)handle;
    (void)suggested;
    *buf = uv_buf_init(bytes, sizeof(bytes));
}

static void
on_report(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
    soak_t *soak = stream->data;
    if (n < 0) {
        soak->interrupted = true;
        uv_stop(soak->loop);
        return;
    }
    for (ssize_t i = 0; i < n; i++)
        take_byte(soak, buf->base[i]);
}

/* ---- troubles ---- */

static void
strike(soak_t *soak, const trouble_t *trouble, uint64_t now_ms)
{
    switch (trouble->kind) {
    case TROUBLE_STOP:
    case TROUBLE_KILL:
    case TROUBLE_PAUSE:
    case TROUBLE_SETTINGS:
    case TROUBLE_CUT:
    case TROUBLE_SLOW:
        fleet_trouble(soak->fleet, trouble, now_ms);
        break;
    case TROUBLE_CONFIG:
    case TROUBLE_STORM:
    case TROUBLE_STORE:
    case TROUBLE_STORE_SLOW:
    case TROUBLE_STORE_FORGETS:
    case TROUBLE_STORE_RETURNS:
    case TROUBLE_ROUTES:
        operator_trouble(soak->ops, trouble, now_ms);
        break;
    case TROUBLE_SERVER_LEAVES:
    case TROUBLE_SERVER_GOES:
    case TROUBLE_SERVER_DIES:
    case TROUBLE_SERVER_EXCHANGED:
    case TROUBLE_SERVER_LIMITS:
    case TROUBLE_SERVER_RESTS:
    case TROUBLE_SERVER_TELLS:
        servers_trouble(soak->servers, trouble, now_ms);
        break;
    case TROUBLE_POISON:
        poison_trouble(soak->poison, trouble, now_ms);
        break;
    case TROUBLE_COUNT:
        BUG("no trouble");
    }
}

static void
watch_machine(soak_t *soak, uint64_t now_ms)
{
    if (now_ms > soak->ticked_ms + STALL_MS) {
        soak->stalls++;
        fleet_stalled(soak->fleet, now_ms);
    }
    soak->ticked_ms = now_ms;
}

static void
advance(soak_t *soak, uint64_t now_ms)
{
    const schedule_t *schedule = &soak->schedule;
    for (; soak->next_trouble < schedule->count &&
           schedule->items[soak->next_trouble].at_ms <= now_ms;
         soak->next_trouble++)
        strike(soak, &schedule->items[soak->next_trouble], now_ms);
    if (!soak->finishing && now_ms >= soak->conf.length_ms) {
        soak->finishing = true;
        fleet_finish(soak->fleet, now_ms);
    }
    if ((soak->finishing && fleet_is_over(soak->fleet)) || now_ms > soak->conf.length_ms + END_MS)
        uv_stop(soak->loop);
}

static void
on_tick(uv_timer_t *timer)
{
    soak_t *soak = timer->data;
    const uint64_t now_ms = elapsed_ms(soak);
    soak->judge.now_ms = now_ms;
    watch_machine(soak, now_ms);
    fleet_tick(soak->fleet, now_ms);
    if (operator_tick(soak->ops, now_ms))
        servers_write_again(soak->servers, now_ms);
    servers_tick(soak->servers, now_ms);
    if (soak->orders != NULL && !soak->finishing)
        orders_tick(soak->orders, now_ms);
    callers_tick(soak->callers, now_ms);
    poison_tick(soak->poison, now_ms);
    extra_sends_tick(soak->extra_sends, now_ms);
    advance(soak, now_ms);
}

/* ---- wiring ---- */

static uint32_t
server_count(const soak_conf_t *conf)
{
    if (conf->poison > 0 || conf->says)
        return SERVERS_SMALL;
    return conf->instances > SERVERS_MIN ? conf->instances : SERVERS_MIN;
}

static void
draw_schedule(soak_t *soak)
{
    const schedule_conf_t conf = {
        .seed = soak->conf.seed,
        .length_ms = soak->conf.length_ms,
        .instances = soak->conf.instances,
        .servers = server_count(&soak->conf),
        .says = soak->conf.says,
        .earlier = soak->conf.earlier || soak->conf.rollouts,
        .poison = soak->conf.poison,
    };
    soak->schedule = schedule_draw(&conf);
    schedule_print(&soak->schedule, stderr);
}

static void
make_platform(soak_t *soak)
{
    char text[ADDR_TEXT_MAX];
    addr_t addr;
    snprintf(text, sizeof(text), "%s250:%d", soak->conf.net, STORE_PORT);
    xassert(addr_parse(str_from(text), &addr));
    soak->store = standin_store_start(soak->loop, &addr);
    standin_store_set_era(soak->store, 1);
    soak->requests = requests_new();
    soak->extra_sends = extra_sends_new(&soak->judge, soak->requests);
    soak->accounts = accounts_new(&soak->judge);
    soak->ops = operator_new(soak->store, soak->accounts, soak->conf.seed);
}

static void
make_fleet(soak_t *soak)
{
    const fleet_conf_t conf = {
        .judge = &soak->judge,
        .instances = soak->conf.instances,
        .grace_ms = GRACE_MS,
        .slack = soak->conf.slack,
    };
    soak->fleet = fleet_new(&conf);
}

static void
make_poison(soak_t *soak)
{
    const poison_conf_t conf = {
        .loop = soak->loop,
        .requests = soak->requests,
        .fleet = soak->fleet,
        .judge = &soak->judge,
        .net = soak->conf.net,
        .port = CALLERS_PORT,
        .instances = soak->conf.instances,
        .seed = soak->conf.seed,
        .slack = soak->conf.slack,
    };
    soak->poison = poison_new(&conf);
}

static void
make_servers(soak_t *soak)
{
    char host[ADDR_TEXT_MAX];
    snprintf(host, sizeof(host), "%s250", soak->conf.net);
    const servers_conf_t conf = {
        .loop = soak->loop,
        .store = soak->store,
        .requests = soak->requests,
        .fleet = soak->fleet,
        .poison = soak->poison,
        .accounts = soak->accounts,
        .ops = soak->ops,
        .judge = &soak->judge,
        .extra_sends = soak->extra_sends,
        .host = host,
        .count = server_count(&soak->conf),
        .instances = soak->conf.instances,
        .interference = soak->conf.interference,
        .slack = soak->conf.slack,
        .leaving_bound_ms = (uint64_t)(LEAVING_BOUND_MS * soak->conf.slack),
    };
    soak->servers = servers_new(&conf);
}

static void
make_orders(soak_t *soak)
{
    const orders_conf_t conf = {
        .store = soak->store,
        .fleet = soak->fleet,
        .ops = soak->ops,
        .judge = &soak->judge,
        .seed = soak->conf.seed,
        .slack = soak->conf.slack,
        .start = servers_start_version,
        .end_others = servers_end_others,
        .drain = servers_drain_version,
        .ctx = soak->servers,
    };
    if (!soak->conf.rollouts)
        return;
    soak->orders = orders_new(&conf);
    servers_set_orders(soak->servers, soak->orders);
}

static void
make_callers(soak_t *soak)
{
    const callers_conf_t conf = {
        .loop = soak->loop,
        .requests = soak->requests,
        .fleet = soak->fleet,
        .ops = soak->ops,
        .accounts = soak->accounts,
        .judge = &soak->judge,
        .net = soak->conf.net,
        .port = CALLERS_PORT,
        .instances = soak->conf.instances,
        .each = CALLERS_EACH,
        .seed = soak->conf.seed,
        .config_bound_ms = (uint64_t)(CONFIG_BOUND_MS * soak->conf.slack),
        .grace_ms = GRACE_MS,
        .slack = soak->conf.slack,
    };
    soak->callers = callers_new(&conf);
}

static void
begin(soak_t *soak)
{
    uv_update_time(soak->loop);
    soak->begun_ms = uv_now(soak->loop);
    uv_pipe_init(soak->loop, &soak->reports, 0);
    soak->reports.data = soak;
    xassert(uv_pipe_open(&soak->reports, STDIN_FILENO) == 0);
    uv_read_start((uv_stream_t *)&soak->reports, on_alloc, on_report);
    uv_timer_init(soak->loop, &soak->tick);
    soak->tick.data = soak;
    uv_timer_start(&soak->tick, on_tick, 0, TICK_MS);
    fleet_start(soak->fleet);
}

static int
report(const soak_t *soak)
{
    fprintf(stderr,
            "troubles %zu, requests %" PRIu64 ", runs %" PRIu64 ", versions %" PRIu64
            ", store calls %" PRIu64 ", stalls of the machine %u\n",
            soak->schedule.count, requests_count(soak->requests), servers_runs(soak->servers),
            operator_version(soak->ops), standin_store_calls(soak->store), soak->stalls);
    callers_judge_cuts(soak->callers);
    callers_print(soak->callers, stderr);
    poison_print(soak->poison, stderr);
    servers_print(soak->servers, stderr);
    if (soak->orders != NULL)
        orders_print(soak->orders, stderr);
    const bool held = judge_report(&soak->judge, stderr);
    if (soak->interrupted || !fleet_is_over(soak->fleet)) {
        fputs("not finished\n", stderr);
        return EXIT_UNFINISHED;
    }
    return held ? EXIT_SUCCESS : EXIT_BROKEN;
}

int
soak_run(const soak_conf_t *conf)
{
    soak_t *soak = xcalloc(1, sizeof(*soak));
    signal(SIGPIPE, SIG_IGN);
    soak->conf = *conf;
    soak->loop = uv_default_loop();
    draw_schedule(soak);
    make_platform(soak);
    make_fleet(soak);
    make_poison(soak);
    make_servers(soak);
    make_orders(soak);
    make_callers(soak);
    begin(soak);
    uv_run(soak->loop, UV_RUN_DEFAULT);
    return report(soak);
}
