/* The order under shortage in the router. Guards against decisions that change where no order is
 * asked for, and requests that are counted or asked about twice. */
#include <stdlib.h>

#include <uv.h>

#include "base/xmalloc.h"
#include "gateway/gateway_state.h"
#include "gateway/order.h"
#include "gateway/router.h"
#include "test/gateway/fixture.h"
#include "test/gateway/site.h"
#include "test/leak.h"
#include "test/suites.h"

enum { START_MS = 100000, TICK_MS = 100, BACKENDS = 4, SLOTS = 4, ROUTES = 2 };

/* A router with backends of one service in its region, two routes and one account. */
typedef struct {
    uv_loop_t loop;
    topology_t topology;
    members_t members;
    config_account_t account;
    router_t router;
    service_t *service;
} test_router_t;

static config_t *
two_routes(int first_priority, int second_priority)
{
    config_t *config = config_new(ROUTES, 1);
    name_set(&config->services[0].name, STR("svc"));
    fill_route(&config->routes[0], "h", "/one/");
    fill_route(&config->routes[1], "h", "/two/");
    config->routes[0].priority = first_priority;
    config->routes[1].priority = second_priority;
    config->routes[1].key = 2;
    return config;
}

static config_t *
decode_two_urgencies(str_t body, err_t *err)
{
    (void)body;
    (void)err;
    return two_routes(0, 1);
}

static config_t *
decode_one_urgency(str_t body, err_t *err)
{
    (void)body;
    (void)err;
    return two_routes(1, 1);
}

static const decoder_port_t two_urgencies = {.config = decode_two_urgencies};
static const decoder_port_t one_urgency = {.config = decode_one_urgency};

static void
add_backends(test_router_t *test)
{
    backend_info_t info = {.capacity = SLOTS};
    name_set(&info.service, STR("svc"));
    name_set(&info.hall, STR("a1"));
    for (int i = 0; i < BACKENDS; i++) {
        char *id = xasprintf("u%d", i);
        name_set(&info.id, str_from(id));
        backends_put(&test->router.catalog.backends, &info, &test->topology, &test->loop, START_MS);
        free(id);
    }
}

static test_router_t *
new_test_router(const decoder_port_t *decoder, bool orders_shortage)
{
    test_router_t *test = xcalloc(1, sizeof(*test));
    leak_ignore(test);
    view_t view = {0};
    const store_item_t item = {.name = STR("main"), .revision = 1, .body = STR("{}")};
    uv_loop_init(&test->loop);
    test->loop.time = START_MS;
    test->topology = three_regions();
    const router_conf_t conf = {
        .topology = &test->topology,
        .decoder = decoder,
        .instance = STR("g-1"),
        .hall = STR("a1"),
        .orders_shortage = orders_shortage,
    };
    router_init(&test->router, &test->loop, &conf);
    test->router.rng.state = 5;
    view_replace(&view, &item, 1, 1);
    router_apply_config(&test->router, &view);
    view_free(&view);
    add_backends(test);
    test->service = services_find(&test->router.services, STR("svc"));
    test->account = (config_account_t){.id = 9, .priority = 1};
    return test;
}

static void
free_test_router(test_router_t *test)
{
    backends_free(&test->router.catalog.backends);
    config_unref(test->router.catalog.config);
    services_free(&test->router.services);
    members_free(&test->members);
    uv_loop_close(&test->loop);
    free(test);
}

static router_request_t
request_on(const test_router_t *test, size_t route)
{
    return (router_request_t){
        .route = &test->router.catalog.config->routes[route],
        .service = test->service,
        .left_ms = 2000,
        .is_first = true,
    };
}

/* Tells all callers' offered work, as if other instances' callers offered it. */
static void
set_member_offer(test_router_t *test, double urgent, double others)
{
    static const addr_t peer = {0};
    member_t *member = members_find_or_add(&test->members, &peer);
    member_offer_t offer = {.slots = {urgent, others}};
    name_set(&offer.service, STR("svc"));
    member->region = 0;
    member->heard = true;
    member->heard_ms = test->loop.time;
    member_offers_set(&member->offers, &offer, 1, member->heard_ms);
}

static void
tick(test_router_t *test, unsigned seconds, double urgent, double others)
{
    for (unsigned i = 0; i < seconds * 10; i++) {
        test->loop.time += TICK_MS;
        set_member_offer(test, urgent, others);
        router_tick(&test->router, &test->members);
    }
}

/* Picks for `count` new requests; returns how many were refused for want of slots. */
static unsigned
count_refused(test_router_t *test, size_t route, const config_account_t *account, unsigned count)
{
    unsigned refused = 0;
    for (unsigned i = 0; i < count; i++) {
        router_request_t request = request_on(test, route);
        request.object = rng_next(&test->router.rng);
        request.account = account;
        refused += router_pick(&test->router, &request).reason == CHOICE_SHORTAGE;
    }
    return refused;
}

START_TEST(under_shortage_less_urgent_requests_are_refused)
{
    test_router_t *test = new_test_router(&two_urgencies, true);
    tick(test, 10, 4, 24);
    ck_assert(shortage_is_short(test->service->shortage, 0));
    ck_assert_uint_eq(count_refused(test, 0, NULL, 1000), 0);
    const unsigned refused = count_refused(test, 1, NULL, 1000);
    ck_assert_uint_ge(refused, 580);
    ck_assert_uint_le(refused, 690);
    tick(test, 10, 4, 4);
    ck_assert(!shortage_is_short(test->service->shortage, 0));
    ck_assert_uint_eq(count_refused(test, 1, NULL, 1000), 0);
    free_test_router(test);
}
END_TEST

START_TEST(priority_of_the_account_decides_before_that_of_the_route)
{
    test_router_t *test = new_test_router(&two_urgencies, true);
    test->account.priority = 0;
    tick(test, 10, 4, 24);
    ck_assert_uint_eq(count_refused(test, 1, &test->account, 1000), 0);
    test->account.priority = 3;
    test->service->latency_ms = 100;
    ck_assert_uint_eq(count_refused(test, 0, &test->account, 1), 0);
    ck_assert_double_eq(test->service->offered->pending.slots[0][3], 100);
    ck_assert_double_eq(test->service->offered->pending_mix.slots[3][0], 100);
    free_test_router(test);
}
END_TEST

START_TEST(admitted_requests_are_not_asked_or_counted_again)
{
    test_router_t *test = new_test_router(&two_urgencies, true);
    test->service->latency_ms = 100;
    tick(test, 10, 4, 24);
    for (unsigned i = 0; i < 1000; i++) {
        router_request_t request = request_on(test, 1);
        request.is_first = false;
        ck_assert_int_ne(router_pick(&test->router, &request).reason, CHOICE_SHORTAGE);
    }
    ck_assert_double_eq(test->service->offered->pending.slots[0][1], 0);
    router_request_t request = request_on(test, 1);
    router_pick(&test->router, &request);
    ck_assert_double_eq(test->service->offered->pending.slots[0][1], 100);
    free_test_router(test);
}
END_TEST

/* Plays the same requests to two routers, with more work than slots; returns how many choices
 * differ. */
static unsigned
count_differences(test_router_t *one, test_router_t *two)
{
    unsigned differences = 0;
    tick(one, 10, 40, 40);
    tick(two, 10, 40, 40);
    for (unsigned i = 0; i < 1000; i++) {
        router_request_t first = request_on(one, i % ROUTES);
        router_request_t second = request_on(two, i % ROUTES);
        first.object = second.object = i * 0x9e3779b97f4a7c15ULL;
        const choice_t left = router_pick(&one->router, &first);
        const choice_t right = router_pick(&two->router, &second);
        differences += left.reason != right.reason ||
                       !name_eq(&left.backend->info.id, name_str(&right.backend->info.id));
    }
    return differences + (one->router.rng.state != two->router.rng.state);
}

START_TEST(without_an_order_no_decision_changes)
{
    test_router_t *plain = new_test_router(&two_urgencies, false);
    test_router_t *equal = new_test_router(&one_urgency, true);
    ck_assert_uint_eq(count_differences(plain, equal), 0);
    ck_assert_ptr_null(plain->service->shortage);
    ck_assert_ptr_null(equal->service->shortage);
    free_test_router(plain);
    free_test_router(equal);
}
END_TEST

START_TEST(order_applies_to_accounts_or_routes_that_differ)
{
    config_t *equal = two_routes(1, 1);
    config_t *differing = two_routes(0, 1);
    config_t *beyond = two_routes(URGENCY_LEVELS, URGENCY_LEVELS + 5);
    ck_assert(!order_applies(equal));
    ck_assert(order_applies(differing));
    ck_assert(!order_applies(beyond));
    config_add_accounts(equal, 1, 0);
    ck_assert(order_applies(equal));
    config_unref(equal);
    config_unref(differing);
    config_unref(beyond);
}
END_TEST

/* A refusal for want of slots promises that the request has not run. */
START_TEST(refused_request_gets_503_and_does_not_run)
{
    site_t *site = new_ready_site(2);
    router_t *router = &site->gateway->router;
    ck_assert_int_eq(ask(site, "GET", "/safe/x").status, 200);
    router->orders_shortage = router->has_order = true;
    service_t *service = services_find(&router->services, STR("svc"));
    service_order_work(service);
    /* Above 1, since updates release some of it. */
    for (size_t i = 0; i < TOPOLOGY_REGIONS_MAX; i++)
        service->shortage->held[i][urgency_of(1)] = 2;
    const size_t runs = total_runs(site);
    const reply_t refused = ask(site, "GET", "/safe/x");
    ck_assert_int_eq(refused.status, 503);
    ck_assert_str_ne(refused.retry_after, "");
    ck_assert_uint_eq(total_runs(site), runs);
    service_end_order(service);
    ck_assert_int_eq(ask(site, "GET", "/safe/x").status, 200);
}
END_TEST

Suite *
suite_gateway_order(void)
{
    Suite *suite = suite_create("gateway: order");
    TCase *tests = tcase_create("order");
    tcase_add_test(tests, under_shortage_less_urgent_requests_are_refused);
    tcase_add_test(tests, priority_of_the_account_decides_before_that_of_the_route);
    tcase_add_test(tests, admitted_requests_are_not_asked_or_counted_again);
    tcase_add_test(tests, without_an_order_no_decision_changes);
    tcase_add_test(tests, order_applies_to_accounts_or_routes_that_differ);
    tcase_add_test(tests, refused_request_gets_503_and_does_not_run);
    suite_add_tcase(suite, tests);
    return suite;
}
