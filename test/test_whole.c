/*
 * A gateway between a caller, scripted upstreams and a stand-in of the store, all on one loop over
 * loopback: what a caller sees, and what upstreams get.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/xmalloc.h"
#include "gateway/gateway.h"
#include "platform/dialect.h"
#include "platform/objects.h"
#include "platform/store.h"
#include "standin/store.h"
#include "standin/upstream.h"
#include "test/suites.h"
#include "wire/fetch.h"

enum { PATIENCE_MS = 8000, UPSTREAMS_MAX = 3, TIMEOUT_MS = 900 };

typedef struct site site_t;

typedef enum {
    DOES_ANSWER,
    DOES_REFUSE,    /* says that it did not run the request */
    DOES_MISDIRECT, /* 421 */
    DOES_RESET,     /* after it has read the request */
    DOES_CUT,       /* half of the promised body */
    DOES_UNFRAMED,  /* a body without a length */
    DOES_CUT_UNFRAMED,
    DOES_SURPLUS, /* a second answer behind the first */
    DOES_LATE,    /* another request's answer before its own */
    DOES_GARBAGE,
    DOES_UNSIGNED,
    DOES_HOLD, /* never answers */
    DOES_FAIL, /* 500 */
    DOES_LARGE,
} behaviour_t;

typedef struct {
    site_t *site;
    standin_upstream_t *standin;
    char id[16];
    behaviour_t behaviour;
    size_t runs;
    bool wrong_instance; /* got a request that expects another */
    uint64_t last_deadline;
} upstream_t;

typedef struct {
    site_t *site;
    int status;
    char body[256];
    size_t body_len;
    char retry_after[32];
    bool whole;
    bool done;
    bool unframed;
} reply_t;

struct site {
    uv_loop_t loop;
    uv_timer_t guard;
    bool timed_out;
    addr_t any;
    standin_store_t *store;
    platform_store_t *platform_store;
    store_port_t store_port;
    gateway_ports_t ports;
    gateway_t *gateway;
    wire_pool_t *callers;
    upstream_t upstreams[UPSTREAMS_MAX];
    unsigned version;
    unsigned extra_routes;
};

static void
on_guard(uv_timer_t *timer)
{
    ((site_t *)timer->data)->timed_out = true;
}

/* Runs the loop until the condition holds; fails after a generous time. */
#define RUN_UNTIL(site, condition)                                                                 \
    do {                                                                                           \
        uv_timer_start(&(site)->guard, on_guard, PATIENCE_MS, 0);                                  \
        (site)->timed_out = false;                                                                 \
        while (!(condition) && !(site)->timed_out)                                                 \
            uv_run(&(site)->loop, UV_RUN_ONCE);                                                    \
        uv_timer_stop(&(site)->guard);                                                             \
        ck_assert_msg(condition, "not reached: %s", #condition);                                   \
    } while (0)

static void
answer(standin_conn_t *conn, str_t id, const char *rest)
{
    char text[512];
    snprintf(text, sizeof(text), "HTTP/1.1 200 OK\r\nAttempt-Id: %.*s\r\nServer-Load: 1,0,4\r\n%s",
             STR_ARG(id), rest);
    standin_send(conn, str_from(text));
}

static void
send_large(standin_conn_t *conn, str_t id)
{
    enum { LARGE = 100000 };
    char *body = xcalloc(1, LARGE);
    memset(body, 'L', LARGE);
    answer(conn, id, "Response-Signature: s\r\nContent-Length: 100000\r\n\r\n");
    standin_send(conn, (str_t){body, LARGE});
    free(body);
}

static void
on_upstream_request(void *ctx, standin_conn_t *conn, str_t text)
{
    upstream_t *upstream = ctx;
    const str_t id = standin_field(text, "Attempt-Id");
    char other[64];
    upstream->wrong_instance |=
        !str_eq(standin_field(text, "Expect-Instance"), str_from(upstream->id));
    str_to_u64(standin_field(text, "Deadline-Ms"), &upstream->last_deadline);
    if (upstream->behaviour != DOES_REFUSE && upstream->behaviour != DOES_MISDIRECT)
        upstream->runs++;
    switch (upstream->behaviour) {
    case DOES_ANSWER:
        answer(conn, id, "Response-Signature: s\r\nContent-Length: 5\r\n\r\nhello");
        break;
    case DOES_REFUSE:
        standin_send(conn, STR("HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nAttempt-Id: "));
        standin_send(conn, id);
        standin_send(conn, STR("\r\nContent-Length: 0\r\n\r\n"));
        break;
    case DOES_MISDIRECT:
        standin_send(conn, STR("HTTP/1.1 421 No\r\nAttempt-Id: "));
        standin_send(conn, id);
        standin_send(conn, STR("\r\nContent-Length: 0\r\n\r\n"));
        break;
    case DOES_RESET:
        standin_reset(conn);
        break;
    case DOES_CUT:
        answer(conn, id, "Response-Signature: s\r\nContent-Length: 5\r\n\r\nhel");
        standin_close(conn);
        break;
    case DOES_UNFRAMED:
        answer(conn, id, "Response-Signature: s\r\nConnection: close\r\n\r\nhello");
        standin_close(conn);
        break;
    case DOES_CUT_UNFRAMED:
        answer(conn, id, "Response-Signature: s\r\nConnection: close\r\n\r\nhel");
        standin_reset(conn);
        break;
    case DOES_SURPLUS:
        answer(conn, id,
               "Response-Signature: s\r\nContent-Length: 5\r\n\r\nhello"
               "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nContent-Length: 3\r\n\r\nbad");
        break;
    case DOES_LATE:
        snprintf(other, sizeof(other), "x%.*s", STR_ARG(id));
        answer(conn, str_from(other), "Response-Signature: s\r\nContent-Length: 3\r\n\r\nbad");
        answer(conn, id, "Response-Signature: s\r\nContent-Length: 5\r\n\r\nhello");
        break;
    case DOES_GARBAGE:
        standin_send(conn, STR("\x01\x02 what is this\r\n\r\n"));
        break;
    case DOES_UNSIGNED:
        answer(conn, id, "Content-Length: 5\r\n\r\nhello");
        break;
    case DOES_HOLD:
        break;
    case DOES_FAIL:
        standin_send(conn, STR("HTTP/1.1 500 Error\r\nResponse-Signature: s\r\nAttempt-Id: "));
        standin_send(conn, id);
        standin_send(conn, STR("\r\nContent-Length: 0\r\n\r\n"));
        break;
    case DOES_LARGE:
        send_large(conn, id);
        break;
    }
}

static void
put_upstream(site_t *site, upstream_t *upstream, const char *state)
{
    char text[ADDR_TEXT_MAX];
    const addr_t addr = standin_upstream_addr(upstream->standin);
    standin_store_put(
        site->store, "servers", upstream->id,
        json_pack("{s:s, s:{s:s, s:s, s:s, s:i}}", "address", addr_format(&addr, text), "info",
                  "service", "svc", "version", "v1", "zone", "a1", "capacity", 4),
        json_pack("{s:s, s:i, s:i}", "state", state, "callSeq", 1, "coldRemainingMs", 0));
}

static json_t *
route(const char *prefix, const char *type)
{
    return json_pack("{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:i, s:b}", "host", "h.example",
                     "pathPrefix", prefix, "routeType", type, "service", "svc", "timeoutMs",
                     TIMEOUT_MS, "targetLatencyMs", 400, "priority", 1, "maxAttempts", 2, "sticky",
                     true);
}

static void
put_config(site_t *site, const char *extra_prefix)
{
    char version[16];
    snprintf(version, sizeof(version), "%08x", ++site->version);
    json_t *routes =
        json_pack("{s:o, s:o}", "safe", route("/safe/", "safe"), "once", route("/once/", "unsafe"));
    if (extra_prefix != NULL)
        json_object_set_new(routes, "extra", route(extra_prefix, "safe"));
    for (unsigned i = 0; i < site->extra_routes; i++) {
        char name[32];
        char prefix[32];
        snprintf(name, sizeof(name), "many-%u", i);
        snprintf(prefix, sizeof(prefix), "/many/%u/", i);
        json_object_set_new(routes, name, route(prefix, "safe"));
    }
    standin_store_put(site->store, "config", "main",
                      json_pack("{s:s, s:o, s:{s:{s:i, s:f, s:f}}, s:{s:i, s:i, s:i, s:i}}",
                                "version", version, "routes", routes, "services", "svc", "maxConns",
                                100, "coldStartS", 0.5, "coldPerS", 10.0, "limits",
                                "maxHeaderBytes", 2000, "maxBodyBytes", 4000, "headerTimeoutMs",
                                400, "idleTimeoutMs", 5000),
                      NULL);
}

static gateway_t *
start_gateway(site_t *site, const char *name, const store_port_t *store, const addr_t *seed)
{
    static gateway_settings_t settings;
    err_t err = {0};
    settings = (gateway_settings_t){
        .callers = site->any,
        .readiness = site->any,
        .directory = site->any,
        .peer = site->any,
        .admin = site->any,
        .has_admin = true,
        .directory_ttl_s = 2,
        .grace_ms = 4000,
        .retry_ratio = 0.2,
        .retry_constant = 58,
        .retry_window_ms = 10000,
    };
    name_set(&settings.name, str_from(name));
    name_set(&settings.hall, STR("a1"));
    topology_add(&settings.topology, STR("a1"), STR("a"));
    if (seed != NULL)
        settings.seeds[settings.seed_count++] = *seed;
    gateway_ports_t *ports = xcalloc(1, sizeof(*ports));
    *ports = (gateway_ports_t){store, &platform_decoder, &platform_dialect, &platform_directory};
    gateway_t *gateway = gateway_start(&site->loop, &settings, ports, &err);
    ck_assert_msg(gateway != NULL, "%s", err.detail);
    return gateway;
}

static void
on_reply_head(void *ctx, const wire_head_t *head, int64_t length)
{
    reply_t *reply = ctx;
    const str_t retry = wire_head_find(head, STR("Retry-After"));
    reply->status = head->status;
    reply->unframed = length == WIRE_UNTIL_CLOSE;
    snprintf(reply->retry_after, sizeof(reply->retry_after), "%.*s", STR_ARG(retry));
}

static void
on_reply_data(void *ctx, const char *ptr, size_t len)
{
    reply_t *reply = ctx;
    for (size_t i = 0; i < len; i++) {
        if (reply->body_len < sizeof(reply->body) - 1)
            reply->body[reply->body_len] = ptr[i];
        reply->body_len++;
    }
}

static void
on_reply_end(void *ctx, const wire_end_t *end)
{
    reply_t *reply = ctx;
    reply->whole = end->err.code == ERR_NONE;
    reply->done = true;
}

static wire_call_t *
call(site_t *site, reply_t *reply, const char *request)
{
    static const wire_call_cbs_t cbs = {
        .on_head = on_reply_head, .on_data = on_reply_data, .on_end = on_reply_end};
    *reply = (reply_t){.site = site};
    const wire_call_conf_t conf = {
        .request = xmemdup0(request, strlen(request)),
        .request_len = strlen(request),
        .connect_timeout_ms = PATIENCE_MS,
        .idle_max_ms = PATIENCE_MS,
    };
    return wire_call_start(site->callers, &conf, &cbs, reply);
}

static reply_t
ask(site_t *site, const char *method, const char *path)
{
    static unsigned number;
    char request[256];
    reply_t reply;
    snprintf(request, sizeof(request),
             "%s %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: id-%u\r\nAffinity-Key: 7\r\n"
             "Deadline-Ms: 800\r\n\r\n",
             method, path, ++number);
    call(site, &reply, request);
    RUN_UNTIL(site, reply.done);
    return reply;
}

static bool
is_ready(site_t *site)
{
    reply_t reply = ask(site, "GET", "/safe/ready");
    return reply.status == 200;
}

static site_t *
new_site(size_t upstreams)
{
    site_t *site = xcalloc(1, sizeof(*site));
    uv_loop_init(&site->loop);
    uv_timer_init(&site->loop, &site->guard);
    site->guard.data = site;
    ck_assert(addr_parse(STR("127.0.0.1:0"), &site->any));
    site->store = standin_store_start(&site->loop, &site->any);
    put_config(site, NULL);
    for (size_t i = 0; i < upstreams; i++) {
        upstream_t *upstream = &site->upstreams[i];
        upstream->site = site;
        snprintf(upstream->id, sizeof(upstream->id), "i-%zu", i);
        upstream->standin =
            standin_upstream_start(&site->loop, &site->any, on_upstream_request, upstream);
        put_upstream(site, upstream, "ready");
    }
    const addr_t store = standin_store_addr(site->store);
    site->platform_store = platform_store_new(&site->loop, &store);
    site->store_port = platform_store_port(site->platform_store);
    return site;
}

static void
use_gateway(site_t *site, gateway_t *gateway)
{
    site->gateway = gateway;
    site->callers = wire_pool_new(&site->loop, &gateway_settings(gateway)->callers, 100);
}

static site_t *
new_ready_site(size_t upstreams)
{
    site_t *site = new_site(upstreams);
    use_gateway(site, start_gateway(site, "g-1", &site->store_port, NULL));
    while (!is_ready(site))
        uv_run(&site->loop, UV_RUN_ONCE);
    for (size_t i = 0; i < upstreams; i++)
        site->upstreams[i].runs = 0;
    return site;
}

static size_t
all_runs(const site_t *site)
{
    size_t runs = 0;
    for (size_t i = 0; i < UPSTREAMS_MAX; i++)
        runs += site->upstreams[i].runs;
    return runs;
}

static void
all_do(site_t *site, behaviour_t behaviour)
{
    for (size_t i = 0; i < UPSTREAMS_MAX; i++)
        site->upstreams[i].behaviour = behaviour;
}

/* The upstream that gets the object first, made known by a request. */
static upstream_t *
first_upstream(site_t *site, const char *path)
{
    const size_t before[] = {site->upstreams[0].runs, site->upstreams[1].runs};
    ask(site, "GET", path);
    upstream_t *first = &site->upstreams[site->upstreams[0].runs > before[0] ? 0 : 1];
    first->runs--;
    return first;
}

START_TEST(a_request_goes_through)
{
    site_t *site = new_ready_site(2);
    const reply_t reply = ask(site, "GET", "/safe/x");
    ck_assert_int_eq(reply.status, 200);
    ck_assert(reply.whole);
    ck_assert_str_eq(reply.body, "hello");
    ck_assert_uint_eq(all_runs(site), 1);
    ck_assert(!site->upstreams[0].wrong_instance && !site->upstreams[1].wrong_instance);
    const uint64_t told = site->upstreams[0].last_deadline | site->upstreams[1].last_deadline;
    ck_assert(told > 0 && told < 801);
    ck_assert_int_eq(ask(site, "GET", "/none/x").status, 404);
}
END_TEST

START_TEST(without_a_configuration_come_back_later)
{
    site_t *site = new_site(1);
    standin_store_set_mode(site->store, STANDIN_STORE_BUSY);
    use_gateway(site, start_gateway(site, "g-1", &site->store_port, NULL));
    const reply_t reply = ask(site, "GET", "/safe/x");
    ck_assert_int_eq(reply.status, 503);
    ck_assert_str_ne(reply.retry_after, "");
    standin_store_set_mode(site->store, STANDIN_STORE_SERVES);
    RUN_UNTIL(site, is_ready(site));
}
END_TEST

START_TEST(what_did_not_run_goes_to_another)
{
    site_t *site = new_ready_site(2);
    upstream_t *first = first_upstream(site, "/once/x");
    static const behaviour_t not_run[] = {DOES_REFUSE, DOES_MISDIRECT};
    for (size_t i = 0; i < ALEN(not_run); i++) {
        const size_t before = all_runs(site);
        first->behaviour = not_run[i];
        ck_assert_int_eq(ask(site, "POST", "/once/x").status, 200);
        ck_assert_uint_eq(all_runs(site), before + 1);
    }
    all_do(site, DOES_REFUSE);
    const reply_t reply = ask(site, "POST", "/once/x");
    ck_assert_int_eq(reply.status, 503);
    ck_assert_str_ne(reply.retry_after, "");
}
END_TEST

START_TEST(what_may_have_run_is_not_sent_again)
{
    static const behaviour_t unknown[] = {DOES_RESET, DOES_CUT, DOES_GARBAGE, DOES_UNSIGNED,
                                          DOES_CUT_UNFRAMED};
    for (size_t i = 0; i < ALEN(unknown); i++) {
        site_t *site = new_ready_site(2);
        all_do(site, unknown[i]);
        const reply_t reply = ask(site, "POST", "/once/x");
        ck_assert_int_eq(reply.status, 502);
        ck_assert_uint_eq(all_runs(site), 1);
    }
}
END_TEST

START_TEST(what_may_be_repeated_is_sent_again)
{
    static const behaviour_t failing[] = {DOES_RESET,    DOES_CUT,  DOES_GARBAGE,
                                          DOES_UNSIGNED, DOES_FAIL, DOES_CUT_UNFRAMED};
    for (size_t i = 0; i < ALEN(failing); i++) {
        site_t *site = new_ready_site(2);
        first_upstream(site, "/safe/x")->behaviour = failing[i];
        const reply_t reply = ask(site, "GET", "/safe/x");
        ck_assert_int_eq(reply.status, 200);
        ck_assert(reply.whole);
        ck_assert_str_eq(reply.body, "hello");
        /* Never more upstreams than the route allows. */
        all_do(site, failing[i]);
        const size_t before = all_runs(site);
        ck_assert_int_ne(ask(site, "GET", "/safe/x").status, 200);
        ck_assert_uint_le(all_runs(site), before + 2);
    }
}
END_TEST

START_TEST(an_upstream_that_loses_answers_is_left)
{
    /* It takes requests and answers none: others serve its objects after some of that. */
    enum { LOST = 6 };
    site_t *site = new_ready_site(3);
    first_upstream(site, "/safe/x")->behaviour = DOES_HOLD;
    for (int i = 0; i < LOST; i++)
        ask(site, "GET", "/safe/x");
    for (int i = 0; i < 5; i++)
        ck_assert_int_eq(ask(site, "GET", "/safe/x").status, 200);
}
END_TEST

START_TEST(answers_never_mix)
{
    site_t *site = new_ready_site(1);
    static const behaviour_t spoiling[] = {DOES_SURPLUS, DOES_LATE, DOES_ANSWER};
    for (size_t i = 0; i < 4 * ALEN(spoiling); i++) {
        site->upstreams[0].behaviour = spoiling[i % ALEN(spoiling)];
        const reply_t reply = ask(site, i % 2 == 0 ? "GET" : "POST", "/once/x");
        ck_assert_int_eq(reply.status, 200);
        ck_assert_str_eq(reply.body, "hello");
    }
}
END_TEST

START_TEST(an_answer_without_length_is_passed_on_without)
{
    site_t *site = new_ready_site(1);
    site->upstreams[0].behaviour = DOES_UNFRAMED;
    const reply_t reply = ask(site, "POST", "/once/x");
    ck_assert_int_eq(reply.status, 200);
    ck_assert(reply.unframed);
    ck_assert_str_eq(reply.body, "hello");
}
END_TEST

START_TEST(a_large_answer_is_streamed_whole)
{
    site_t *site = new_ready_site(1);
    site->upstreams[0].behaviour = DOES_LARGE;
    const reply_t reply = ask(site, "GET", "/safe/x");
    ck_assert(reply.whole);
    ck_assert_uint_eq(reply.body_len, 100000);
}
END_TEST

START_TEST(a_silent_upstream_ends_at_the_time_limit)
{
    site_t *site = new_ready_site(1);
    site->upstreams[0].behaviour = DOES_HOLD;
    ck_assert_int_eq(ask(site, "POST", "/once/x").status, 504);
    RUN_UNTIL(site, standin_upstream_ended(site->upstreams[0].standin) == 1);
}
END_TEST

/* Found on the users' bench: the work under way was broken off though nobody else could take it. */
START_TEST(an_overdue_attempt_goes_on_if_no_other_upstream_takes_it)
{
    enum { HELD = 6 }; /* the failures of the first make the upstream an impaired one */
    site_t *site = new_ready_site(1);
    reply_t replies[HELD];
    all_do(site, DOES_HOLD);
    for (size_t i = 0; i < HELD; i++) {
        char request[256];
        snprintf(request, sizeof(request),
                 "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: held-%zu\r\n"
                 "Affinity-Key: 7\r\nDeadline-Ms: 800\r\n\r\n",
                 i);
        call(site, &replies[i], request);
    }
    for (size_t i = 0; i < HELD; i++) {
        RUN_UNTIL(site, replies[i].done);
        /* Given up at its time limit, and not before. */
        ck_assert_int_eq(replies[i].status, 504);
    }
}
END_TEST

START_TEST(a_caller_that_leaves_ends_the_work)
{
    site_t *site = new_ready_site(1);
    site->upstreams[0].behaviour = DOES_HOLD;
    reply_t reply;
    wire_call_t *running =
        call(site, &reply, "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: q\r\n\r\n");
    RUN_UNTIL(site, site->upstreams[0].runs == 1);
    wire_call_cancel(running);
    RUN_UNTIL(site, standin_upstream_ended(site->upstreams[0].standin) == 1);
    RUN_UNTIL(site, gateway_active(site->gateway) == 0);
}
END_TEST

START_TEST(bad_input_is_refused)
{
    static const struct {
        const char *request;
        int status;
    } cases[] = {
        {"BAD\r\n\r\n", 400},
        {"GET /safe/x HTTP/1.1\r\nHost h\r\n\r\n", 400},
        {"POST /once/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 9000\r\n\r\n", 413},
        {"GET /safe/x HTTP/1.1\r\nHost: h.example\r\nX: ", 408},
        {"POST /once/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 10\r\n\r\nabc", 408},
        {"POST /once/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 3\r\n"
         "Transfer-Encoding: chunked\r\n\r\nabc",
         400},
    };
    site_t *site = new_ready_site(1);
    reply_t reply;
    for (size_t i = 0; i < ALEN(cases); i++) {
        call(site, &reply, cases[i].request);
        RUN_UNTIL(site, reply.done);
        ck_assert_msg(reply.status == cases[i].status, "case %zu: %d", i, reply.status);
    }
    char *large = xasprintf("GET /safe/x HTTP/1.1\r\nHost: h.example\r\nX: %03000d\r\n\r\n", 0);
    call(site, &reply, large);
    RUN_UNTIL(site, reply.done);
    ck_assert_int_eq(reply.status, 431);
    free(large);
    ck_assert_uint_eq(site->upstreams[0].runs, 0);
    ck_assert_int_eq(ask(site, "GET", "/safe/x").status, 200);
}
END_TEST

START_TEST(a_body_in_chunks_arrives_with_a_length)
{
    site_t *site = new_ready_site(1);
    reply_t reply;
    call(site, &reply,
         "POST /once/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: c\r\n"
         "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    RUN_UNTIL(site, reply.done);
    ck_assert_int_eq(reply.status, 200);
    ck_assert_uint_eq(site->upstreams[0].runs, 1);
}
END_TEST

START_TEST(a_change_of_configuration_comes_into_force)
{
    site_t *site = new_ready_site(1);
    ck_assert_int_eq(ask(site, "GET", "/new/x").status, 404);
    put_config(site, "/new/");
    RUN_UNTIL(site, ask(site, "GET", "/new/x").status == 200);
    /* The history is forgotten and the watch cut: the next change comes all the same. */
    standin_store_forget(site->store);
    put_config(site, NULL);
    RUN_UNTIL(site, ask(site, "GET", "/new/x").status == 404);
}
END_TEST

START_TEST(a_broken_configuration_changes_nothing)
{
    site_t *site = new_ready_site(1);
    standin_store_put(site->store, "config", "main", json_pack("{s:{s:{}}}", "routes", "r"), NULL);
    put_upstream(site, &site->upstreams[0], "ready");
    for (int i = 0; i < 5; i++)
        ck_assert_int_eq(ask(site, "GET", "/safe/x").status, 200);
    put_config(site, "/new/");
    RUN_UNTIL(site, ask(site, "GET", "/new/x").status == 200);
}
END_TEST

START_TEST(leaving_gone_and_closed_upstreams_get_nothing)
{
    site_t *site = new_ready_site(2);
    put_upstream(site, &site->upstreams[0], "draining");
    put_upstream(site, &site->upstreams[1], "draining");
    RUN_UNTIL(site, ask(site, "GET", "/safe/x").status == 503);
    put_upstream(site, &site->upstreams[1], "ready");
    RUN_UNTIL(site, ask(site, "GET", "/safe/x").status == 200);
    standin_store_remove(site->store, "servers", "i-0");
    standin_store_put(site->store, "evacuations", "a1", json_object(), NULL);
    RUN_UNTIL(site, ask(site, "GET", "/safe/x").status == 503);
    const size_t before = all_runs(site);
    for (int i = 0; i < 5; i++)
        ck_assert_int_eq(ask(site, "POST", "/once/x").status, 503);
    ck_assert_uint_eq(all_runs(site), before);
    /* Taken back: cold for a while, then served again. */
    standin_store_remove(site->store, "evacuations", "a1");
    RUN_UNTIL(site, ask(site, "GET", "/safe/x").status == 200);
}
END_TEST

START_TEST(lists_come_in_pages)
{
    site_t *site = new_site(3);
    standin_store_set_page(site->store, 2);
    use_gateway(site, start_gateway(site, "g-1", &site->store_port, NULL));
    RUN_UNTIL(site, is_ready(site));
    put_upstream(site, &site->upstreams[0], "draining");
    put_upstream(site, &site->upstreams[1], "draining");
    const size_t before = site->upstreams[2].runs;
    RUN_UNTIL(site, (ask(site, "GET", "/safe/x"), site->upstreams[2].runs > before));
}
END_TEST

START_TEST(a_store_in_trouble_changes_nothing)
{
    static const standin_store_mode_t modes[] = {STANDIN_STORE_BUSY, STANDIN_STORE_MANY,
                                                 STANDIN_STORE_RESETS, STANDIN_STORE_GARBLES,
                                                 STANDIN_STORE_SILENT};
    site_t *site = new_ready_site(1);
    for (size_t i = 0; i < ALEN(modes); i++) {
        char prefix[16];
        standin_store_set_mode(site->store, modes[i]);
        const uint64_t calls = standin_store_calls(site->store);
        RUN_UNTIL(site, standin_store_calls(site->store) > calls);
        ck_assert_int_eq(ask(site, "GET", "/safe/x").status, 200);
        standin_store_set_mode(site->store, STANDIN_STORE_SERVES);
        snprintf(prefix, sizeof(prefix), "/new%zu/", i);
        put_config(site, prefix);
        RUN_UNTIL(site, ask(site, "GET", prefix).status == 200);
    }
}
END_TEST

/* A store that turns everybody away. */
static store_port_t
closed_store(site_t *site)
{
    standin_store_t *closed = standin_store_start(&site->loop, &site->any);
    standin_store_set_mode(closed, STANDIN_STORE_BUSY);
    const addr_t addr = standin_store_addr(closed);
    return platform_store_port(platform_store_new(&site->loop, &addr));
}

START_TEST(an_instance_without_the_store_learns_from_its_peer)
{
    site_t *site = new_ready_site(1);
    const store_port_t port = closed_store(site);
    gateway_t *second = start_gateway(site, "g-2", &port, &gateway_settings(site->gateway)->peer);
    use_gateway(site, second);
    RUN_UNTIL(site, is_ready(site));
    put_config(site, "/new/");
    RUN_UNTIL(site, ask(site, "GET", "/new/x").status == 200);
    put_upstream(site, &site->upstreams[0], "draining");
    RUN_UNTIL(site, ask(site, "GET", "/safe/x").status == 503);
}
END_TEST

/* Found on the users' bench: with 80 instances each alone sees too little of a slow upstream. */
START_TEST(instances_tell_each_other_which_upstreams_fail)
{
    enum { FAILURES = 12 };
    site_t *site = new_ready_site(2);
    upstream_t *failing = &site->upstreams[0];
    put_upstream(site, &site->upstreams[1], "draining");
    gateway_t *first = site->gateway;
    wire_pool_t *first_callers = site->callers;
    gateway_t *second =
        start_gateway(site, "g-2", &site->store_port, &gateway_settings(first)->peer);
    use_gateway(site, second);
    RUN_UNTIL(site, is_ready(site));
    RUN_UNTIL(site, gateway_living(first) == 2 && gateway_living(second) == 2);
    site->callers = first_callers;
    failing->behaviour = DOES_FAIL;
    for (int i = 0; i < FAILURES; i++)
        ask(site, "POST", "/once/x");
    RUN_UNTIL(site, gateway_avoids(second, str_from(failing->id)));
    ck_assert(gateway_avoids(first, str_from(failing->id)));
}
END_TEST

START_TEST(instances_that_are_behind_do_not_keep_each_other_there)
{
    /* Three instances; the change comes by a list, which is not sent on, and two have to ask. */
    site_t *site = new_ready_site(1);
    const store_port_t port = closed_store(site);
    const addr_t *seed = &gateway_settings(site->gateway)->peer;
    gateway_t *behind[] = {start_gateway(site, "g-2", &port, seed),
                           start_gateway(site, "g-3", &port, seed)};
    wire_pool_t *pools[ALEN(behind)];
    for (size_t i = 0; i < ALEN(behind); i++) {
        use_gateway(site, behind[i]);
        pools[i] = site->callers;
        RUN_UNTIL(site, is_ready(site));
    }
    for (int round = 0; round < 3; round++) {
        char prefix[16];
        snprintf(prefix, sizeof(prefix), "/new%d/", round);
        standin_store_set_mode(site->store, STANDIN_STORE_RESETS);
        put_config(site, prefix);
        standin_store_forget(site->store);
        standin_store_set_mode(site->store, STANDIN_STORE_SERVES);
        for (size_t i = 0; i < ALEN(behind); i++) {
            site->callers = pools[i];
            RUN_UNTIL(site, ask(site, "GET", prefix).status == 200);
        }
    }
}
END_TEST

START_TEST(a_large_configuration_reaches_the_peer)
{
    /* Above what is sent between regions unasked. */
    site_t *site = new_ready_site(1);
    const store_port_t port = closed_store(site);
    gateway_t *second = start_gateway(site, "g-2", &port, &gateway_settings(site->gateway)->peer);
    use_gateway(site, second);
    RUN_UNTIL(site, is_ready(site));
    site->extra_routes = 500;
    put_config(site, "/new/");
    RUN_UNTIL(site, ask(site, "GET", "/new/x").status == 200);
    ck_assert_int_eq(ask(site, "GET", "/many/499/").status, 200);
}
END_TEST

START_TEST(a_large_view_is_read_from_the_store_or_else_from_a_peer)
{
    /* 1,500 upstreams, and more changes at once than peers keep. */
    enum { MANY = 1500 };
    site_t *site = new_ready_site(1);
    gateway_t *second =
        start_gateway(site, "g-2", &site->store_port, &gateway_settings(site->gateway)->peer);
    use_gateway(site, second);
    RUN_UNTIL(site, is_ready(site));
    standin_store_set_mode(site->store, STANDIN_STORE_RESETS);
    for (int i = 0; i < MANY; i++) {
        char id[16];
        snprintf(id, sizeof(id), "other-%04d", i);
        standin_store_put(site->store, "servers", id,
                          json_pack("{s:s, s:{s:s, s:s, s:s, s:i}}", "address", "127.0.0.1:9",
                                    "info", "service", "another", "version", "v1", "zone", "a1",
                                    "capacity", 4),
                          json_pack("{s:s}", "state", "ready"));
    }
    put_upstream(site, &site->upstreams[0], "draining");
    standin_store_forget(site->store);
    standin_store_set_mode(site->store, STANDIN_STORE_SERVES);
    RUN_UNTIL(site, ask(site, "GET", "/safe/x").status == 503);
}
END_TEST

START_TEST(a_failed_list_of_instances_is_asked_again)
{
    /* No seeds: the instances find each other by the store alone. */
    site_t *site = new_ready_site(1);
    standin_store_refuse_lists(site->store, "irisstall-instances", 2);
    use_gateway(site, start_gateway(site, "g-2", &site->store_port, NULL));
    RUN_UNTIL(site, gateway_living(site->gateway) == 2);
}
END_TEST

START_TEST(a_reply_lost_by_the_store_is_no_second_announcement)
{
    site_t *site = new_site(1);
    standin_store_set_mode(site->store, STANDIN_STORE_LOSES);
    use_gateway(site, start_gateway(site, "g-1", &site->store_port, NULL));
    RUN_UNTIL(site, standin_store_has(site->store, "irisstall-instances", "g-1"));
    RUN_UNTIL(site, is_ready(site));
}
END_TEST

static reply_t
ask_at(site_t *site, const addr_t *addr, const char *target)
{
    char request[256];
    reply_t reply;
    wire_pool_t *callers = site->callers;
    site->callers = wire_pool_new(&site->loop, addr, 10);
    snprintf(request, sizeof(request), "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", target);
    call(site, &reply, request);
    RUN_UNTIL(site, reply.done);
    wire_pool_free(site->callers);
    site->callers = callers;
    return reply;
}

typedef struct {
    char text[8192];
    bool done;
} page_t;

static void
on_page(void *ctx, const wire_answer_t *answer)
{
    page_t *page = ctx;
    page->done = true;
    if (answer->err.code == ERR_NONE && answer->status == 200)
        snprintf(page->text, sizeof(page->text), "%.*s", STR_ARG(answer->body));
}

static void
read_page(site_t *site, const char *target, page_t *page)
{
    wire_pool_t *pool = wire_pool_new(&site->loop, &gateway_settings(site->gateway)->admin, 1);
    const wire_fetch_conf_t conf = {
        .method = "GET",
        .target = target,
        .timeout_ms = PATIENCE_MS,
        .max_body = sizeof(page->text),
    };
    *page = (page_t){0};
    wire_fetch(pool, &conf, on_page, page);
    RUN_UNTIL(site, page->done);
    wire_pool_free(pool);
}

START_TEST(metrics_tell_what_is_believed)
{
    static page_t page;
    site_t *site = new_ready_site(3);
    ask(site, "GET", "/safe/x");
    put_upstream(site, &site->upstreams[0], "draining");
    do {
        read_page(site, "/metrics", &page);
    } while (strstr(page.text, "irisstall_upstreams_in_state{state=\"leaving\"} 1\n") == NULL);
    static const char *const lines[] = {
        "irisstall_upstreams 3\n",
        "irisstall_upstreams_in_state{state=\"cold\"} 0\n",
        "irisstall_upstreams_in_state{state=\"avoided\"} 0\n",
        "irisstall_upstreams_in_state{state=\"suspended\"} 0\n",
        "irisstall_own_region_share_percent{service=\"svc\"} 100\n",
        "irisstall_slots_use_percent{service=\"svc\"} ",
        "irisstall_store_calls_total ",
    };
    for (size_t i = 0; i < ALEN(lines); i++)
        ck_assert_msg(strstr(page.text, lines[i]) != NULL, "missing: %s", lines[i]);
}
END_TEST

START_TEST(a_planned_stop_cuts_nothing)
{
    site_t *site = new_ready_site(1);
    const gateway_settings_t *settings = gateway_settings(site->gateway);
    RUN_UNTIL(site, ask_at(site, &settings->readiness, "/v1/ready").status == 200);
    const reply_t named =
        ask_at(site, &settings->directory, "/v1/resolve?name=h.example&region=a&zone=a1");
    ck_assert_int_eq(named.status, 200);
    site->upstreams[0].behaviour = DOES_HOLD;
    reply_t reply;
    call(site, &reply,
         "POST /once/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: q\r\nDeadline-Ms: 700\r\n\r\n");
    RUN_UNTIL(site, site->upstreams[0].runs == 1);
    gateway_stop(site->gateway);
    ck_assert_int_eq(ask_at(site, &settings->readiness, "/v1/ready").status, 503);
    ck_assert_int_eq(
        ask_at(site, &settings->directory, "/v1/resolve?name=h.example&region=a&zone=a1").status,
        503);
    /* A request on a new connection is still served. */
    site->upstreams[0].behaviour = DOES_ANSWER;
    ck_assert_int_eq(ask(site, "GET", "/safe/y").status, 200);
    RUN_UNTIL(site, reply.done);
    ck_assert_int_eq(reply.status, 504);
    ck_assert(reply.whole);
    /* The loop is stopped by the gateway once everything has ended. */
    uv_timer_start(&site->guard, on_guard, PATIENCE_MS, 0);
    uv_run(&site->loop, UV_RUN_DEFAULT);
    ck_assert(!site->timed_out);
}
END_TEST

Suite *
suite_whole(void)
{
    Suite *suite = suite_create("whole");
    TCase *tests = tcase_create("gateway between stand-ins");
    tcase_set_timeout(tests, 120);
    tcase_add_test(tests, a_request_goes_through);
    tcase_add_test(tests, without_a_configuration_come_back_later);
    tcase_add_test(tests, what_did_not_run_goes_to_another);
    tcase_add_test(tests, what_may_have_run_is_not_sent_again);
    tcase_add_test(tests, what_may_be_repeated_is_sent_again);
    tcase_add_test(tests, an_upstream_that_loses_answers_is_left);
    tcase_add_test(tests, answers_never_mix);
    tcase_add_test(tests, an_answer_without_length_is_passed_on_without);
    tcase_add_test(tests, a_large_answer_is_streamed_whole);
    tcase_add_test(tests, a_silent_upstream_ends_at_the_time_limit);
    tcase_add_test(tests, an_overdue_attempt_goes_on_if_no_other_upstream_takes_it);
    tcase_add_test(tests, a_caller_that_leaves_ends_the_work);
    tcase_add_test(tests, bad_input_is_refused);
    tcase_add_test(tests, a_body_in_chunks_arrives_with_a_length);
    tcase_add_test(tests, a_change_of_configuration_comes_into_force);
    tcase_add_test(tests, a_broken_configuration_changes_nothing);
    tcase_add_test(tests, leaving_gone_and_closed_upstreams_get_nothing);
    tcase_add_test(tests, lists_come_in_pages);
    tcase_add_test(tests, a_store_in_trouble_changes_nothing);
    tcase_add_test(tests, an_instance_without_the_store_learns_from_its_peer);
    tcase_add_test(tests, instances_tell_each_other_which_upstreams_fail);
    tcase_add_test(tests, instances_that_are_behind_do_not_keep_each_other_there);
    tcase_add_test(tests, a_large_configuration_reaches_the_peer);
    tcase_add_test(tests, a_large_view_is_read_from_the_store_or_else_from_a_peer);
    tcase_add_test(tests, a_failed_list_of_instances_is_asked_again);
    tcase_add_test(tests, a_reply_lost_by_the_store_is_no_second_announcement);
    tcase_add_test(tests, metrics_tell_what_is_believed);
    tcase_add_test(tests, a_planned_stop_cuts_nothing);
    suite_add_tcase(suite, tests);
    return suite;
}
