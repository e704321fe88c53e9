/* Following the entry's object store: how soon an instance reads it again after an outage. */
#include <arpa/inet.h>
#include <stdlib.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/xmalloc.h"
#include "entry/http/server.h"
#include "entry/store.h"
#include "test/leak.h"
#include "test/suites.h"

enum {
    PATIENCE_MS = 5000,
    STEP_MS = 100, /* the instance's tick */
    OUTAGE_MS = 30000,
    SEEDS = 10,
    INSTANCES_VERSION = 7,
    /* An instance reads the list within 1.5 s of the store's return; a step more is the tick. */
    AGAIN_MAX_MS = 1500 + STEP_MS,
};

/* A store that is out or empty, and an instance that follows it; its clock stands still. */
typedef struct {
    uv_loop_t loop;
    addr_t addr;
    bool out;
    size_t requests;
    bool instances_read;
    clock_manual_t time;
    iris_clock_t clock;
    node_t node;
} followed_t;

static void
on_request(void *ctx, h2o_req_t *req)
{
    static const char objects[] = "{\"revision\":1,\"objects\":[]}";
    followed_t *followed = ctx;
    followed->requests++;
    if (followed->out) {
        http_reply(req, 503, "application/json", "{}", 2);
    } else if (str_eq(http_path(req), STR("/v1/instances"))) {
        followed->instances_read = true;
        http_add_header(req, "etag", STR("7"));
        http_reply(req, 200, "application/json", "[]", 2);
    } else {
        http_reply(req, 200, "application/json", objects, sizeof(objects) - 1);
    }
}

static bool
adopt(void *ctx, const object_t *object, err_t *err)
{
    (void)ctx;
    (void)object;
    (void)err;
    return true;
}

static followed_t *
new_followed(uint64_t seed)
{
    static const objects_cbs_t cbs = {.adopt = adopt};
    followed_t *followed = xcalloc(1, sizeof(*followed));
    leak_ignore(followed);
    err_t err = {0};
    uv_loop_init(&followed->loop);
    ck_assert(addr_parse(STR("127.0.0.1:0"), &followed->addr));
    const http_server_conf_t server = {
        .addr = followed->addr, .max_body = 1000, .head_timeout_ms = 1000, .max_connections = 20};
    http_server_t *started =
        http_server_start(&followed->loop, &server, on_request, followed, &err);
    ck_assert_msg(started != NULL, "%s", err.detail);
    followed->addr.v4.sin_port = htons(http_server_port(started));
    followed->time.steady_ms = 1000;
    followed->clock = clock_manual(&followed->time);
    node_t *node = &followed->node;
    node->loop = &followed->loop;
    node->clock = &followed->clock;
    node->rng = (rng_t){.state = seed};
    const platform_conf_t store = {.addr = followed->addr,
                                   .timeout_ms = PATIENCE_MS,
                                   .reads_per_s = 1000,
                                   .writes_per_s = 1000};
    node->platform = platform_new(http_client_new(&followed->loop), &store, node->clock);
    node->objects = objects_new(&cbs, NULL);
    node->follower = store_follow(node);
    return followed;
}

static int64_t
calls_made(void)
{
    return counter_value(counter_get("irisstall_store_calls_total", "op=\"read\"", ""));
}

static int64_t
calls_failed(void)
{
    return counter_value(counter_get("irisstall_store_failures_total", NULL, ""));
}

/* Runs the loop until the condition holds; fails after PATIENCE_MS. */
#define RUN_UNTIL(followed, condition)                                                             \
    do {                                                                                           \
        const uint64_t until_ = clock_steady_ms(clock_system()) + PATIENCE_MS;                     \
        while (!(condition) && clock_steady_ms(clock_system()) < until_)                           \
            uv_run(&(followed)->loop, UV_RUN_NOWAIT);                                              \
        ck_assert_msg(condition, "%s", #condition);                                                \
    } while (0)

static void
step(followed_t *followed)
{
    clock_manual_advance(&followed->time, STEP_MS);
    store_tick(followed->node.follower);
}

START_TEST(the_instance_list_is_read_soon_after_an_outage)
{
    followed_t *followed = new_followed((uint64_t)_i + 1);
    followed->out = true;
    for (unsigned i = 0; i < OUTAGE_MS / STEP_MS; i++) {
        step(followed);
        RUN_UNTIL(followed, calls_failed() == calls_made());
    }
    ck_assert_uint_gt(followed->requests, 0);
    followed->out = false;
    const uint64_t back_ms = followed->time.steady_ms;
    while (!followed->instances_read && followed->time.steady_ms < back_ms + OUTAGE_MS) {
        step(followed);
        RUN_UNTIL(followed, followed->requests == (size_t)calls_made());
    }
    const uint64_t after_ms = followed->time.steady_ms - back_ms;
    ck_assert_msg(after_ms <= AGAIN_MAX_MS, "read after %lu ms", (unsigned long)after_ms);
    const objects_t *objects = followed->node.objects;
    RUN_UNTIL(followed, objects_find(objects, STR("instances"), STR("list")) != NULL);
    ck_assert_uint_eq(objects_find(objects, STR("instances"), STR("list"))->version,
                      INSTANCES_VERSION);
}
END_TEST

Suite *
suite_store(void)
{
    Suite *suite = suite_create("store");
    TCase *tcase = tcase_create("store");
    tcase_set_timeout(tcase, 60);
    tcase_add_loop_test(tcase, the_instance_list_is_read_soon_after_an_outage, 0, SEEDS);
    suite_add_tcase(suite, tcase);
    return suite;
}
