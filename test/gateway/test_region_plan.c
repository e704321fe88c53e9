/* Region plan: shares follow slots and demand in steps. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uv.h>

#include "base/loop_time.h"
#include "base/xmalloc.h"
#include "gateway/membership/member_offers.h"
#include "gateway/policy/region_plan.h"
#include "gateway/router.h"
#include "test/gateway/fixture.h"
#include "test/suites.h"

static region_plan_input_t
weak_region(double demand)
{
    return (region_plan_input_t){.slots = {100, 18, 90}, .demand = {demand, demand, demand}};
}

START_TEST(plan_share_sent_away_is_stable)
{
    region_plan_t plan = {0};
    region_plan_input_t input = weak_region(0);
    region_plan_update(&plan, &input, 3, 1, 1000);
    const double first = plan.share[1];
    ck_assert(first < 0.5);
    double total = 0;
    for (int i = 0; i < 3; i++)
        total += plan.share[i];
    ck_assert(total > 0.999 && total < 1.001);
    /* A burst of demand moves the shares by little in any two seconds. */
    double before[3];
    for (uint64_t at = 1200; at < 60000; at += 200) {
        input = weak_region(at > 10000 && at < 13000 ? 90 : 25);
        if (at % 2000 == 0) {
            double moved = 0;
            for (int i = 0; i < 3 && at > 2000; i++)
                moved += plan.share[i] > before[i] ? plan.share[i] - before[i] : 0;
            ck_assert(moved <= 0.07);
            memcpy(before, plan.share, sizeof(before));
        }
        region_plan_update(&plan, &input, 3, 1, at);
    }
}
END_TEST

START_TEST(plan_spreads_overload_evenly)
{
    /* No region is below the target use: the weak one must not keep all of its demand. */
    region_plan_t plan = {0};
    region_plan_input_t input = weak_region(110);
    region_plan_update(&plan, &input, 3, 1, 1000);
    for (uint64_t at = 1200; at < 40000; at += 200)
        region_plan_update(&plan, &input, 3, 1, at);
    ck_assert(plan.share[1] < 0.35);
}
END_TEST

START_TEST(plan_reacts_quickly_to_lost_slots)
{
    region_plan_t plan = {0};
    region_plan_input_t input = {.slots = {100, 100, 100}, .demand = {50, 50, 50}};
    region_plan_update(&plan, &input, 3, 0, 1000);
    for (uint64_t at = 1200; at < 5000; at += 200)
        region_plan_update(&plan, &input, 3, 0, at);
    ck_assert(plan.share[0] > 0.95);
    input.slots[0] = 0;
    for (uint64_t at = 5000; at < 9000; at += 200)
        region_plan_update(&plan, &input, 3, 0, at);
    ck_assert(plan.share[0] < 0.2);
}
END_TEST

/* Backends become known one by one, long before the first request. */
START_TEST(plan_follows_slots_until_demand_is_seen)
{
    region_plan_t plan = {0};
    region_plan_input_t input = {.slots = {4, 0, 0}};
    region_plan_update(&plan, &input, 3, 1, 1000);
    ck_assert_double_eq_tol(plan.share[1], 0, 0.001);
    input = weak_region(0);
    region_plan_update(&plan, &input, 3, 1, 1200);
    const double settled = plan.share[1];
    ck_assert(settled > 0.2 && settled < 0.5);
    /* From the first demand on, shares move in steps. */
    input.demand[0] = 1;
    input.slots[1] = 100;
    region_plan_update(&plan, &input, 3, 1, 1400);
    ck_assert_double_eq_tol(plan.share[1], settled, 0.001);
}
END_TEST

/* Load of a service whose offered work is not counted: a burst, then a region loses slots. */
static region_plan_input_t
load_at(uint64_t at_ms)
{
    region_plan_input_t input = weak_region(at_ms < 10000 || at_ms > 13000 ? 40 : 90);
    input.demand[1] = at_ms > 20000 ? 70 : 45;
    input.slots[2] = at_ms > 30000 ? 55 : 90;
    return input;
}

/* Where offered work is not counted, shares are those of the versions that never counted it. */
START_TEST(plan_without_counted_work_is_as_before)
{
    static const struct {
        uint64_t at_ms;
        double share[3];
    } rows[] = {
        {1000, {0.44231, 0.25962, 0.29808}},  {12000, {0.44053, 0.26762, 0.29185}},
        {20000, {0.43342, 0.29962, 0.26697}}, {31000, {0.68314, 0.27516, 0.04170}},
        {40000, {0.69733, 0.26311, 0.03956}}, {90000, {0.69733, 0.26311, 0.03956}},
    };
    region_plan_t plan = {0};
    uint64_t at = 1000;
    for (size_t i = 0; i < ALEN(rows); i++) {
        for (; at <= rows[i].at_ms; at += 200) {
            const region_plan_input_t input = load_at(at);
            region_plan_update(&plan, &input, 3, 1, at);
        }
        for (int k = 0; k < 3; k++)
            ck_assert_double_eq_tol(plan.share[k], rows[i].share[k], 0.0001);
    }
}
END_TEST

static config_t *
one_service(str_t body, err_t *err)
{
    (void)body;
    (void)err;
    config_t *config = config_new(0, 1);
    name_set(&config->services[0].name, STR("svc"));
    return config;
}

/* The first requests of all regions must not go to the first region. */
START_TEST(plans_exist_before_the_first_request)
{
    static const decoder_port_t decoder = {.config = one_service};
    const topology_t topology = three_regions();
    static router_t router;
    view_t view = {0};
    uv_loop_t loop;
    const store_item_t item = {.name = STR("main"), .revision = 1, .body = STR("{}")};
    uv_loop_init(&loop);
    const router_conf_t conf = {
        .topology = &topology, .decoder = &decoder, .instance = STR("g-1"), .hall = STR("c1")};
    router_init(&router, &loop, &conf);
    view_replace(&view, &item, 1, 1);
    router_apply_config(&router, &view);
    ck_assert_uint_eq(router.services.count, 1);
    ck_assert_str_eq(router.services.items[0]->name.ptr, "svc");
    for (double point = 0; point < 1; point += 0.1)
        ck_assert_uint_eq(region_plan_pick(&router.services.items[0]->plan, point), router.region);
    ck_assert_uint_eq(router.region, topology_region_of(&topology, STR("c1")));
    view_free(&view);
    config_unref(router.catalog.config);
    services_free(&router.services);
    uv_loop_close(&loop);
}
END_TEST

/* A gateway in region c, whose 2 backend servers have 8 slots; a and b have 40 each. */
static void
init_small_region(router_t *router, const router_conf_t *conf, uv_loop_t *loop)
{
    view_t view = {0};
    const store_item_t item = {.name = STR("main"), .revision = 1, .body = STR("{}")};
    router_init(router, loop, conf);
    view_replace(&view, &item, 1, 1);
    router_apply_config(router, &view);
    view_free(&view);
    for (int i = 0; i < 22; i++) {
        backend_info_t info = {.capacity = 4};
        char id[16];
        snprintf(id, sizeof(id), "s-%d", i);
        name_set(&info.id, str_from(id));
        name_set(&info.service, STR("svc"));
        name_set(&info.hall, i < 10 ? STR("a1") : i < 20 ? STR("b1") : STR("c1"));
        backends_put(&router->catalog.backends, &info, conf->topology, loop, loop_now(loop));
    }
}

/* The own instance tells of requests in 30 slots, and of offered work for 6 slots, 4 of which only
 * its region may serve. */
static void
add_teller(members_t *members, size_t region, uint64_t now_ms)
{
    addr_t addr;
    ck_assert(addr_parse(STR("10.0.0.1:1"), &addr));
    member_t *own = members_find_or_add(members, &addr);
    own->heard = true;
    own->heard_ms = now_ms;
    own->region = region;
    own->demand_count = 1;
    name_set(&own->demands[0].service, STR("svc"));
    own->demands[0].slots = 30;
    member_offer_t offer = {.region = region, .slots = {6}, .bound = 4};
    name_set(&offer.service, STR("svc"));
    member_offers_set(&own->offers, &offer, 1, now_ms);
}

/* Offered work decides only where the settings ask for it to be counted. */
START_TEST(plan_goes_by_offered_work_where_it_is_counted)
{
    static const decoder_port_t decoder = {.config = one_service};
    const topology_t topology = three_regions();
    for (int counted = 0; counted <= 1; counted++) {
        static router_t router;
        members_t members = {0};
        uv_loop_t loop;
        uv_loop_init(&loop);
        const router_conf_t conf = {.topology = &topology,
                                    .decoder = &decoder,
                                    .instance = STR("g-1"),
                                    .hall = STR("c1"),
                                    .orders_shortage = counted};
        init_small_region(&router, &conf, &loop);
        add_teller(&members, router.region, loop_now(&loop));
        router_tick(&router, &members);
        const region_plan_t *plan = &router.services.items[0]->plan;
        ck_assert_double_eq_tol(plan->slots[router.region], 8, 0.001);
        router_tick(&router, &members);
        ck_assert_double_eq_tol(plan->measured_peak, counted ? 6 : 30, 0.001);
        ck_assert_double_eq_tol(plan->bound[router.region], counted ? 4 : 0, 0.001);
        ck_assert((plan->use > 0) == counted);
        ck_assert(!service_region_is_full(router.services.items[0], router.region));
        members_free(&members);
        backends_free(&router.catalog.backends);
        uv_run(&loop, UV_RUN_NOWAIT);
        config_unref(router.catalog.config);
        services_free(&router.services);
        uv_loop_close(&loop);
    }
}
END_TEST

START_TEST(plan_change_moves_few_points)
{
    region_plan_t before = {.share = {0.5, 0.3, 0.2}, .region_count = 3, .own = 0, .started = true};
    region_plan_t after = {
        .share = {0.45, 0.33, 0.22}, .region_count = 3, .own = 0, .started = true};
    int moved = 0;
    for (int i = 0; i < 1000; i++)
        moved += region_plan_pick(&before, i / 1000.0) != region_plan_pick(&after, i / 1000.0);
    ck_assert_int_le(moved, 101);
    ck_assert_uint_eq(region_plan_pick(&before, 0.9999), 2);
}
END_TEST

/* A region without enough slots for its downloads must not refuse them for good. */
START_TEST(plan_keeps_large_responses_local_longer)
{
    static const struct {
        double own_share;
        double point;
        size_t small, large;
    } rows[] = {
        {1.0, 0.9999, 0, 0}, {0.7, 0.95, 2, 0}, {0.5, 0.49, 0, 0},
        {0.5, 0.6, 1, 0},    {0.3, 0.45, 1, 0}, {0.3, 0.6, 1, 1},
    };
    for (size_t i = 0; i < ALEN(rows); i++) {
        const double away = 1 - rows[i].own_share;
        const region_plan_t plan = {.share = {rows[i].own_share, away / 2, away / 2},
                                    .region_count = 3,
                                    .own = 0,
                                    .started = true};
        ck_assert_uint_eq(region_plan_pick(&plan, rows[i].point), rows[i].small);
        ck_assert_uint_eq(region_plan_pick_large(&plan, rows[i].point), rows[i].large);
    }
    const region_plan_t unknown = {.region_count = 3, .own = 1};
    ck_assert_uint_eq(region_plan_pick_large(&unknown, 0.5), 1);
}
END_TEST

Suite *
suite_gateway_region_plan(void)
{
    Suite *suite = suite_create("gateway: region plan");
    TCase *tests = tcase_create("region plan");
    tcase_add_test(tests, plan_share_sent_away_is_stable);
    tcase_add_test(tests, plan_spreads_overload_evenly);
    tcase_add_test(tests, plan_reacts_quickly_to_lost_slots);
    tcase_add_test(tests, plan_follows_slots_until_demand_is_seen);
    tcase_add_test(tests, plan_without_counted_work_is_as_before);
    tcase_add_test(tests, plans_exist_before_the_first_request);
    tcase_add_test(tests, plan_goes_by_offered_work_where_it_is_counted);
    tcase_add_test(tests, plan_change_moves_few_points);
    tcase_add_test(tests, plan_keeps_large_responses_local_longer);
    suite_add_tcase(suite, tests);
    return suite;
}
