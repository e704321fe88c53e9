/* What callers get, by the time that they have left and the work ahead of them, over drawn inputs.
 * Guards against waits, refusals and an order that follow from anything else: the latency objective
 * of a route, how long its callers usually wait, or what became of an earlier try. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "base/xmalloc.h"
#include "gateway/gateway_state.h"
#include "test/gateway/router_fixture.h"
#include "test/gateway/site.h"
#include "test/suites.h"

enum { DRAWS = 400, SEEN = 200, SEEDS = 5 };

/* A route's work and the load of the backend servers. */
typedef struct {
    double run_ms;
    uint32_t waiting[BACKENDS]; /* where more than 0, all slots are taken */
    uint64_t object;
} situation_t;

static situation_t
draw_situation(rng_t *rng)
{
    situation_t drawn = {.run_ms = 20 + 2000 * rng_unit(rng), .object = rng_next(rng)};
    for (unsigned i = 0; i < BACKENDS; i++)
        drawn.waiting[i] = (uint32_t)rng_below(rng, 10 * SLOTS);
    return drawn;
}

/* Lets the router see responses of a run's length. */
static void
show_runs(test_router_t *test, size_t route, double run_ms)
{
    const config_route_t *on = &test->router.catalog.config->routes[route];
    for (unsigned i = 0; i < SEEN; i++) {
        router_count_answer(&test->router, on, test->service, run_ms);
        router_count_work(&test->router, on, test->service,
                          test->router.catalog.backends.items[i % BACKENDS], run_ms);
    }
}

static void
set_situation(test_router_t *test, const situation_t *situation)
{
    for (unsigned i = 0; i < BACKENDS; i++) {
        backend_t *backend = test->router.catalog.backends.items[i];
        const uint32_t waiting = situation->waiting[i];
        const reported_load_t load = {
            .running = waiting > 0 ? SLOTS : 0, .waiting = waiting, .slots = SLOTS};
        backend->service_time_ms = situation->run_ms;
        backend_report_load(backend, &load, test->loop.time);
    }
    for (unsigned route = 0; route < ROUTES; route++)
        show_runs(test, route, situation->run_ms);
}

static router_request_t
request_in(const test_router_t *test, const situation_t *situation, uint32_t left_ms)
{
    router_request_t request = request_on(test, 0);
    request.object = situation->object;
    request.has_object = true;
    request.left_ms = left_ms;
    return request;
}

static bool
is_taken(test_router_t *test, const situation_t *situation, uint32_t left_ms)
{
    const router_request_t request = request_in(test, situation, left_ms);
    return router_pick(&test->router, &request).backend != NULL;
}

/* Time until the response of the backend server that keeps the request's object. */
static double
expected_ms(const test_router_t *test, const situation_t *situation)
{
    const router_request_t request = request_in(test, situation, UINT32_MAX);
    backend_t *first;
    ck_assert_uint_eq(router_first_candidates(&test->router, &request, &first, 1), 1);
    const double ahead = backend_load(first, test->loop.time) + 1 - SLOTS;
    return situation->run_ms * (1 + (ahead > 0 ? ahead / SLOTS : 0));
}

/* What a caller is told who is refused now; nothing is kept of it, and nothing is left to chance.
 */
static uint32_t
told_after_ms(test_router_t *test, const situation_t *situation, uint32_t left_ms)
{
    const router_request_t request = request_in(test, situation, left_ms);
    test->router.rng.state = 11;
    for (unsigned i = 0; i < BACKENDS; i++)
        test->router.catalog.backends.items[i]->returns_next_ms = 0;
    return router_return_time(&test->router, &request, false).after_ms;
}

START_TEST(objective_of_a_route_changes_nothing)
{
    rng_t rng = {.state = (uint64_t)_i + 1};
    for (unsigned i = 0; i < DRAWS; i++) {
        test_router_t *test = new_test_router(&one_urgency, i % 2 == 0);
        config_route_t *route = &test->router.catalog.config->routes[0];
        const situation_t situation = draw_situation(&rng);
        const uint32_t left_ms = 50 + (uint32_t)rng_below(&rng, 20000);
        set_situation(test, &situation);
        route->latency_objective_ms = 0;
        const bool without = is_taken(test, &situation, left_ms);
        const uint32_t slow_ms = router_slow_ms(&test->router, route);
        const uint32_t told_ms = told_after_ms(test, &situation, left_ms);
        route->latency_objective_ms = 1 + (uint32_t)rng_below(&rng, 5000);
        ck_assert_msg(is_taken(test, &situation, left_ms) == without,
                      "objective %u ms, run %.0f ms, %u ms left", route->latency_objective_ms,
                      situation.run_ms, left_ms);
        ck_assert_uint_eq(router_slow_ms(&test->router, route), slow_ms);
        ck_assert_uint_eq(told_after_ms(test, &situation, left_ms), told_ms);
        free_test_router(test);
    }
}
END_TEST

/* Two routes of different urgency compete for too few slots; the objective of the less urgent one
 * is no reason to admit more or fewer of its requests. */
START_TEST(objective_of_a_route_changes_no_order)
{
    enum { ASKED = 2000 };
    static const uint32_t objectives[] = {0, 1, 400, 60000};
    unsigned admitted_without = 0;
    for (unsigned i = 0; i < ALEN(objectives); i++) {
        test_router_t *test = new_test_router(&two_urgencies, true);
        unsigned admitted = 0;
        test->router.catalog.config->routes[1].latency_objective_ms = objectives[i];
        tick(test, 10, 5, 30);
        test->router.rng.state = 11;
        for (unsigned k = 0; k < ASKED; k++) {
            router_request_t request = request_on(test, 1);
            request.object = k;
            admitted += router_pick(&test->router, &request).reason != CHOICE_SHORTAGE;
        }
        admitted_without = i == 0 ? admitted : admitted_without;
        ck_assert_uint_eq(admitted, admitted_without);
        ck_assert_uint_gt(admitted, 0);
        ck_assert_uint_lt(admitted, ASKED);
        free_test_router(test);
    }
}
END_TEST

/* Who has more time is told the same: there is room when there is. */
START_TEST(told_time_does_not_depend_on_the_time_left)
{
    rng_t rng = {.state = (uint64_t)_i + 1};
    for (unsigned i = 0; i < DRAWS; i++) {
        test_router_t *test = new_test_router(&one_urgency, i % 2 == 0);
        const situation_t situation = draw_situation(&rng);
        set_situation(test, &situation);
        const uint32_t told_ms = told_after_ms(test, &situation, 200);
        for (uint32_t left_ms = 400; left_ms < 60000; left_ms *= 2)
            ck_assert_uint_eq(told_after_ms(test, &situation, left_ms), told_ms);
        ck_assert_uint_gt(told_ms, 0);
        free_test_router(test);
    }
}
END_TEST

/* Runs and the caller's time in other units of time: the same decisions, and times told in these.
 */
START_TEST(decisions_do_not_change_with_the_unit_of_time)
{
    rng_t rng = {.state = (uint64_t)_i + 1};
    for (unsigned i = 0; i < DRAWS; i++) {
        const double factor = 0.2 + 5 * rng_unit(&rng);
        const situation_t situation = draw_situation(&rng);
        situation_t scaled = situation;
        scaled.run_ms = 50 + situation.run_ms; /* the clock counts milliseconds */
        const double needed_ms = scaled.run_ms * (1 + 12 * rng_unit(&rng));
        test_router_t *test = new_test_router(&one_urgency, i % 2 == 0);
        set_situation(test, &scaled);
        const bool taken = is_taken(test, &scaled, (uint32_t)needed_ms);
        const bool is_close_call =
            is_taken(test, &scaled, (uint32_t)(1.02 * needed_ms) + 2) != taken ||
            is_taken(test, &scaled, (uint32_t)(0.98 * needed_ms)) != taken;
        const double told_ms = told_after_ms(test, &scaled, (uint32_t)needed_ms);
        free_test_router(test);
        test = new_test_router(&one_urgency, i % 2 == 0);
        scaled.run_ms *= factor;
        set_situation(test, &scaled);
        if (!is_close_call) /* rounding decides there */
            ck_assert(is_taken(test, &scaled, (uint32_t)(factor * needed_ms)) == taken);
        ck_assert_double_eq_tol(told_after_ms(test, &scaled, (uint32_t)(factor * needed_ms)),
                                factor * told_ms, 0.02 * factor * told_ms + factor + 2);
        free_test_router(test);
    }
}
END_TEST

START_TEST(more_time_left_never_gets_a_caller_less)
{
    rng_t rng = {.state = (uint64_t)_i + 1};
    for (unsigned i = 0; i < DRAWS; i++) {
        test_router_t *test = new_test_router(&one_urgency, i % 2 == 0);
        const situation_t situation = draw_situation(&rng);
        bool taken = false;
        set_situation(test, &situation);
        for (double left_ms = 10; left_ms < 40000; left_ms *= 1.3) {
            const bool now = is_taken(test, &situation, (uint32_t)left_ms);
            ck_assert_msg(now || !taken, "run %.0f ms, %.0f ms left", situation.run_ms, left_ms);
            taken = now;
        }
        ck_assert(taken);
        free_test_router(test);
    }
}
END_TEST

START_TEST(request_is_taken_while_its_response_is_expected_in_time)
{
    rng_t rng = {.state = (uint64_t)_i + 1};
    unsigned beyond_two_per_slot = 0;
    for (unsigned i = 0; i < DRAWS; i++) {
        test_router_t *test = new_test_router(&one_urgency, i % 2 == 0);
        const situation_t situation = draw_situation(&rng);
        set_situation(test, &situation);
        const double needed_ms = expected_ms(test, &situation);
        ck_assert_msg(is_taken(test, &situation, (uint32_t)ceil(needed_ms) + 1),
                      "run %.0f ms, response expected in %.0f ms", situation.run_ms, needed_ms);
        beyond_two_per_slot += needed_ms > 2 * situation.run_ms;
        free_test_router(test);
    }
    ck_assert_uint_gt(beyond_two_per_slot, DRAWS / 4);
}
END_TEST

/* The backend server that keeps the object is full for longer than the caller waits, others are
 * idle: the run without the object may still end in time. */
START_TEST(request_is_taken_while_another_backend_server_can_respond_in_time)
{
    rng_t rng = {.state = (uint64_t)_i + 1};
    for (unsigned i = 0; i < DRAWS; i++) {
        test_router_t *test = new_test_router(&one_urgency, i % 2 == 0);
        situation_t situation = draw_situation(&rng);
        backend_t *first;
        memset(situation.waiting, 0, sizeof(situation.waiting));
        set_situation(test, &situation);
        const router_request_t request = request_in(test, &situation, UINT32_MAX);
        ck_assert_uint_eq(router_first_candidates(&test->router, &request, &first, 1), 1);
        const reported_load_t load = {.running = SLOTS, .waiting = 10 * SLOTS, .slots = SLOTS};
        backend_report_load(first, &load, test->loop.time);
        ck_assert(is_taken(test, &situation, (uint32_t)(4 * situation.run_ms)));
        ck_assert(!is_taken(test, &situation, (uint32_t)(2 * situation.run_ms)));
        free_test_router(test);
    }
}
END_TEST

/* Time between what two callers of a full backend server are told, one after the other. */
static double
ms_between_two(double own_demand, double fleet_demand)
{
    test_router_t *test = new_test_router(&one_urgency, false);
    situation_t situation = {.run_ms = 400, .object = 7};
    for (unsigned i = 0; i < BACKENDS; i++)
        situation.waiting[i] = 2 * SLOTS;
    set_situation(test, &situation);
    test->router.instances = 9;
    test->service->demand = own_demand;
    test->service->fleet_demand = fleet_demand;
    const router_request_t request = request_in(test, &situation, 20000);
    const return_time_t first = router_return_time(&test->router, &request, false);
    const return_time_t second = router_return_time(&test->router, &request, false);
    const double between_ms = (double)(second.server_next_ms - first.server_next_ms);
    free_test_router(test);
    return between_ms;
}

/* Guards against callers of the only busy instance who are told to wait for those of all others. */
START_TEST(callers_wait_for_the_part_of_others_that_these_have)
{
    enum { EACH_MS = 400 / SLOTS };
    ck_assert_double_eq_tol(ms_between_two(6, 6), EACH_MS, 1);
    ck_assert_double_eq_tol(ms_between_two(3, 6), 2 * EACH_MS, 1);
    ck_assert_double_eq_tol(ms_between_two(0, 0), 9 * EACH_MS, 1); /* nothing known */
}
END_TEST

/* ---- through a gateway ---- */

static void
call_with(site_t *site, reply_t *reply, const char *path, unsigned deadline_ms)
{
    static unsigned number;
    char request[256];
    snprintf(request, sizeof(request),
             "GET %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: t-%u\r\nAffinity-Key: 7\r\n"
             "Deadline-Ms: %u\r\n\r\n",
             path, ++number, deadline_ms);
    call(site, reply, request);
}

static reply_t
ask_with(site_t *site, const char *path, unsigned deadline_ms)
{
    reply_t reply;
    call_with(site, &reply, path, deadline_ms);
    RUN_UNTIL(site, reply.done);
    return reply;
}

/* Lets the gateway see runs of that length, on all routes. */
static void
show_runs_of(site_t *site, double run_ms)
{
    router_t *router = &site->gateway->router;
    const config_t *config = router->catalog.config;
    service_t *service = services_get(&router->services, STR("svc"));
    for (size_t i = 0; i < config->route_count; i++) {
        route_stat_t *stat = &router->routes.slots[config->routes[i].key % ROUTE_STATS_SLOTS];
        stat->median_ms = 0; /* what else is known of the route stays */
        stat->shortest = (shortest_run_t){0};
        for (unsigned k = 0; k < SEEN; k++)
            router_count_answer(router, &config->routes[i], service, run_ms);
    }
}

START_TEST(request_without_time_for_a_run_is_refused_at_once)
{
    site_t *site = new_ready_site(2);
    ck_assert_int_eq(ask_with(site, "/safe/x", 5000).status, 200);
    show_runs_of(site, 300);
    set_all_behaviours(site, DOES_HOLD);
    const size_t runs = total_runs(site);
    const uint64_t begun_ms = uv_now(&site->loop);
    ck_assert_int_eq(ask_with(site, "/safe/x", 200).status, 503);
    ck_assert_uint_lt(uv_now(&site->loop) - begun_ms, 100);
    ck_assert_uint_eq(total_runs(site), runs);
    set_all_behaviours(site, DOES_ANSWER);
    ck_assert_int_eq(ask_with(site, "/safe/x", 500).status, 200);
}
END_TEST

/* Callers of one route usually have ten times as long as those of the other. A request with the
 * time of the latter may be a repeat on the first route, or its caller in a hurry: both get the
 * same. */
START_TEST(what_callers_usually_have_left_changes_nothing)
{
    enum { USUAL = 30, LONG_MS = 8000, LEFT_MS = 800, RUN_MS = 200, HELD = 6 };
    static const char *const paths[] = {"/safe/x", "/open/x"};
    site_t *site = new_ready_site(1);
    for (unsigned i = 0; i < USUAL; i++) {
        ck_assert_int_eq(ask_with(site, paths[0], LONG_MS).status, 200);
        ck_assert_int_eq(ask_with(site, paths[1], LEFT_MS).status, 200);
    }
    show_runs_of(site, RUN_MS);
    site->gateway->router.catalog.backends.items[0]->service_time_ms = RUN_MS;
    set_all_behaviours(site, DOES_HOLD);
    const size_t before = total_runs(site);
    reply_t held[HELD + ALEN(paths)];
    for (unsigned i = 0; i < HELD + ALEN(paths); i++)
        call_with(site, &held[i], paths[i % ALEN(paths)], LEFT_MS);
    RUN_UNTIL(site, total_runs(site) == before + HELD + ALEN(paths));
    ck_assert_uint_eq(total_runs(site), before + HELD + ALEN(paths));
    RUN_UNTIL(site, held[HELD].done && held[HELD + 1].done);
}
END_TEST

/* Asks with so much time left while half of the requests are held back; returns how many are
 * served. */
static unsigned
count_served_under_shortage(site_t *site, unsigned count, unsigned left_ms)
{
    service_t *service = services_find(&site->gateway->router.services, STR("svc"));
    unsigned served = 0;
    for (unsigned i = 0; i < count; i++) {
        /* Updates release some of it. */
        for (size_t region = 0; region < TOPOLOGY_REGIONS_MAX; region++)
            service->shortage->held[region][urgency_of(1)] = 0.5;
        served += ask_with(site, "/safe/x", left_ms).status == 200;
    }
    return served;
}

START_TEST(repeats_are_held_back_like_first_tries_under_shortage)
{
    enum { FIRST = 200, REPEATS = 100, LONG_MS = 8000, LEFT_MS = 5000, TICKS_MS = 600 };
    site_t *site = new_ready_site(1);
    router_t *router = &site->gateway->router;
    ck_assert_int_eq(ask_with(site, "/safe/x", LONG_MS).status, 200);
    router->orders_shortage = router->has_order = true;
    service_order_work(services_find(&router->services, STR("svc")));
    count_served_under_shortage(site, FIRST, LONG_MS);
    run_loop_ms(site, TICKS_MS);
    const unsigned served = count_served_under_shortage(site, REPEATS, LEFT_MS);
    ck_assert_uint_ge(served, REPEATS / 4); /* five standard deviations from a half */
    ck_assert_uint_le(served, 3 * REPEATS / 4);
}
END_TEST

/* The only backend server is left alone for a while: callers are told when it is tried again. */
START_TEST(caller_is_told_when_a_suspended_backend_server_is_tried_again)
{
    enum { SUSPENDED_MS = 2300 };
    site_t *site = new_ready_site(1);
    ck_assert_int_eq(ask_with(site, "/safe/x", 5000).status, 200);
    breaker_t *breaker = &site->gateway->router.catalog.backends.items[0]->breaker;
    breaker->failures = 2;
    breaker->suspended_until_ms = uv_now(&site->loop) + SUSPENDED_MS;
    const reply_t refused = ask_with(site, "/safe/x", 5000);
    const double after_ms = strtod(refused.retry_after, NULL) * 1000;
    ck_assert_int_eq(refused.status, 503);
    ck_assert_double_ge(after_ms, SUSPENDED_MS - 100);
    ck_assert_double_le(after_ms, SUSPENDED_MS + HEARTBEAT_MIN_MS);
}
END_TEST

/* Without a run nothing would ever tell that runs have become shorter; but callers without time
 * must not all be sent for that. */
START_TEST(one_request_a_period_tries_whether_runs_are_shorter)
{
    enum { AT_MS = 4 * SHORTEST_RUN_PERIOD_MS };
    static route_stats_t stats;
    route_stats_count_run(&stats, 7, 300, AT_MS);
    route_stats_count_run(&stats, 7, 500, AT_MS + SHORTEST_RUN_PERIOD_MS);
    ck_assert_double_eq(route_stats_shortest_ms(&stats, 7, AT_MS + SHORTEST_RUN_PERIOD_MS), 300);
    ck_assert_double_eq(route_stats_shortest_ms(&stats, 7, AT_MS + 2 * SHORTEST_RUN_PERIOD_MS),
                        500);
    ck_assert(!route_stats_may_test_run(&stats, 7, AT_MS + 2 * SHORTEST_RUN_PERIOD_MS));
    for (uint64_t at_ms = AT_MS + 3 * SHORTEST_RUN_PERIOD_MS; at_ms < 20 * SHORTEST_RUN_PERIOD_MS;
         at_ms += SHORTEST_RUN_PERIOD_MS) {
        ck_assert_double_eq(route_stats_shortest_ms(&stats, 7, at_ms), 500);
        ck_assert(route_stats_may_test_run(&stats, 7, at_ms));
        ck_assert(!route_stats_may_test_run(&stats, 7, at_ms + SHORTEST_RUN_PERIOD_MS - 1));
    }
    route_stats_count_run(&stats, 7, 50, 20 * SHORTEST_RUN_PERIOD_MS);
    ck_assert_double_eq(route_stats_shortest_ms(&stats, 7, 20 * SHORTEST_RUN_PERIOD_MS), 50);
    ck_assert_double_eq(route_stats_shortest_ms(&stats, 8, AT_MS), 0);
}
END_TEST

/* Callers who are refused in the same moment come back at times that differ, whatever the reason.
 */
START_TEST(callers_refused_together_are_told_different_times)
{
    enum { CALLERS = 20, SAME_MAX = 3, RUN_MS = 700, LEFT_MS = 800 };
    site_t *site = new_ready_site(1);
    ck_assert_int_eq(ask_with(site, "/safe/x", 5000).status, 200);
    backend_t *backend = site->gateway->router.catalog.backends.items[0];
    if (_i == 0) { /* its queue outlasts the callers' time */
        const reported_load_t load = {.running = 4, .waiting = 8, .slots = 4};
        backend->service_time_ms = RUN_MS;
        backend_report_load(backend, &load, uv_now(&site->loop));
    } else { /* none is usable */
        backend->stated_leaving = true;
    }
    reply_t replies[CALLERS];
    for (unsigned i = 0; i < CALLERS; i++)
        call_with(site, &replies[i], "/safe/x", LEFT_MS);
    for (unsigned i = 0; i < CALLERS; i++) {
        RUN_UNTIL(site, replies[i].done);
        ck_assert_int_eq(replies[i].status, 503);
        unsigned same = 0;
        for (unsigned k = 0; k < i; k++)
            same += strcmp(replies[k].retry_after, replies[i].retry_after) == 0;
        ck_assert_uint_le(same, SAME_MAX);
    }
}
END_TEST

/* Where all callers of a route have too little time, each of them was sent and held to its deadline
 * once the last run was forgotten. */
START_TEST(of_many_without_time_one_is_sent_to_find_out)
{
    enum { CALLERS = 10, LEFT_MS = 200, RUN_MS = 300 };
    site_t *site = new_ready_site(2);
    ck_assert_int_eq(ask_with(site, "/safe/x", 5000).status, 200);
    show_runs_of(site, RUN_MS);
    router_t *router = &site->gateway->router;
    for (size_t i = 0; i < ROUTE_STATS_SLOTS; i++)
        router->routes.slots[i].shortest.period -=
            router->routes.slots[i].shortest.period > 0 ? 3 : 0;
    set_all_behaviours(site, DOES_HOLD);
    const size_t runs = total_runs(site);
    unsigned held = 0;
    for (unsigned i = 0; i < CALLERS; i++)
        held += ask_with(site, "/safe/x", LEFT_MS).status == 504;
    ck_assert_uint_ge(held, 1);
    ck_assert_uint_le(held, 2); /* the period may have changed */
    ck_assert_uint_eq(total_runs(site), runs + held);
}
END_TEST

Suite *
suite_gateway_caller_time(void)
{
    enum { TIMEOUT_S = 60 };
    Suite *suite = suite_create("gateway: caller time");
    TCase *relations = tcase_create("relations");
    tcase_set_timeout(relations, TIMEOUT_S);
    tcase_add_loop_test(relations, objective_of_a_route_changes_nothing, 0, SEEDS);
    tcase_add_test(relations, objective_of_a_route_changes_no_order);
    tcase_add_loop_test(relations, told_time_does_not_depend_on_the_time_left, 0, SEEDS);
    tcase_add_loop_test(relations, decisions_do_not_change_with_the_unit_of_time, 0, SEEDS);
    tcase_add_loop_test(relations, more_time_left_never_gets_a_caller_less, 0, SEEDS);
    tcase_add_loop_test(relations, request_is_taken_while_its_response_is_expected_in_time, 0,
                        SEEDS);
    tcase_add_loop_test(
        relations, request_is_taken_while_another_backend_server_can_respond_in_time, 0, SEEDS);
    tcase_add_test(relations, callers_wait_for_the_part_of_others_that_these_have);
    tcase_add_test(relations, one_request_a_period_tries_whether_runs_are_shorter);
    suite_add_tcase(suite, relations);
    TCase *path = tcase_create("request path");
    tcase_set_timeout(path, TIMEOUT_S);
    tcase_add_test(path, what_callers_usually_have_left_changes_nothing);
    tcase_add_test(path, repeats_are_held_back_like_first_tries_under_shortage);
    tcase_add_test(path, caller_is_told_when_a_suspended_backend_server_is_tried_again);
    tcase_add_loop_test(path, callers_refused_together_are_told_different_times, 0, 2);
    tcase_add_test(path, of_many_without_time_one_is_sent_to_find_out);
    tcase_add_test(path, request_without_time_for_a_run_is_refused_at_once);
    suite_add_tcase(suite, path);
    return suite;
}
