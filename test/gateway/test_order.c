/* The order under shortage in the router. Guards against decisions that change where no order is
 * asked for, and requests that are counted or asked about twice. */
#include <stdlib.h>

#include "base/xmalloc.h"
#include "gateway/gateway_state.h"
#include "gateway/order.h"
#include "test/gateway/router_fixture.h"
#include "test/gateway/site.h"
#include "test/suites.h"

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
    tick(test, 10, 5, 30);
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
