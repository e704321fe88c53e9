/* The gateway's decisions: pure state, no sockets. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <uv.h>

#include "base/log_ring.h"
#include "base/xmalloc.h"
#include "gateway/policy/choice.h"
#include "gateway/membership/directory.h"
#include "gateway/membership/members.h"
#include "gateway/policy/region_plan.h"
#include "gateway/policy/retry_budget.h"
#include "gateway/router.h"
#include "gateway/state/view.h"
#include "test/suites.h"

static topology_t
three_regions(void)
{
    topology_t topology = {0};
    ck_assert(topology_add(&topology, STR("a1"), STR("a")));
    ck_assert(topology_add(&topology, STR("a2"), STR("a")));
    ck_assert(topology_add(&topology, STR("b1"), STR("b")));
    ck_assert(topology_add(&topology, STR("c1"), STR("c")));
    return topology;
}

/* ---- configuration ---- */

static void
fill_route(config_route_t *route, const char *host, const char *prefix)
{
    name_set(&route->name, STR("r"));
    route->host = xmemdup0(host, strlen(host));
    route->prefix = xmemdup0(prefix, strlen(prefix));
    route->targets = xcalloc(1, sizeof(*route->targets));
    route->target_count = 1;
    route->aim_ms = 400;
    route->max_attempts = 2;
    name_set(&route->targets[0].service, STR("svc"));
}

START_TEST(longest_prefix_wins)
{
    config_t *config = config_new(3, 0);
    fill_route(&config->routes[0], "h.example", "/a/");
    fill_route(&config->routes[1], "h.example", "/a/b/");
    fill_route(&config->routes[2], "other.example", "/");
    config_seal(config);
    ck_assert_str_eq(config_route(config, STR("h.example"), STR("/a/b/c"))->prefix, "/a/b/");
    ck_assert_str_eq(config_route(config, STR("H.Example:80"), STR("/a/x"))->prefix, "/a/");
    ck_assert_str_eq(config_route(config, STR("other.example"), STR("/q"))->prefix, "/");
    ck_assert_ptr_null(config_route(config, STR("h.example"), STR("/a")));
    ck_assert_ptr_null(config_route(config, STR("h.example"), STR("/b/")));
    ck_assert_ptr_null(config_route(config, STR(""), STR("")));
    config_unref(config);
}
END_TEST

/* ---- views ---- */

static store_item_t
item(const char *name, uint64_t revision, bool gone)
{
    return (store_item_t){
        .name = str_from(name), .revision = revision, .gone = gone, .body = STR("{}")};
}

START_TEST(view_moves_forward_only)
{
    view_t view = {0};
    const store_item_t first[] = {item("a", 3, false), item("b", 5, false)};
    const store_item_t older[] = {item("a", 2, false)};
    const store_item_t changes[] = {item("b", 8, true), item("c", 9, false)};
    ck_assert_int_eq(view_apply(&view, first, 2, 0, 5), VIEW_GAP);
    ck_assert_int_eq(view_replace(&view, first, 2, 5), VIEW_CHANGED);
    ck_assert_int_eq(view_replace(&view, older, 1, 4), VIEW_UNCHANGED);
    ck_assert_uint_eq(view.count, 2);
    ck_assert_int_eq(view_apply(&view, changes, 2, 7, 9), VIEW_GAP);
    ck_assert_int_eq(view_apply(&view, changes, 2, 5, 9), VIEW_CHANGED);
    ck_assert_int_eq(view_apply(&view, changes, 2, 5, 9), VIEW_UNCHANGED);
    ck_assert_ptr_null(view_find(&view, STR("b")));
    ck_assert_ptr_nonnull(view_find(&view, STR("c")));
    ck_assert_uint_eq(view.at, 9);
    view_free(&view);
}
END_TEST

START_TEST(view_gone_is_not_undone_by_an_older_change)
{
    view_t view = {0};
    const store_item_t first[] = {item("a", 3, false)};
    const store_item_t again[] = {item("a", 12, false)};
    const store_item_t gone[] = {item("a", 10, true)};
    view_replace(&view, first, 1, 5);
    view_apply(&view, again, 1, 5, 12);
    /* The same object was removed and made again: the removal comes late. */
    view_apply(&view, gone, 1, 5, 13);
    ck_assert_ptr_nonnull(view_find(&view, STR("a")));
    view_free(&view);
}
END_TEST

START_TEST(view_digests_agree_on_any_path)
{
    view_t listed = {0};
    view_t followed = {0};
    const store_item_t start[] = {item("a", 1, false), item("b", 2, false)};
    const store_item_t change[] = {item("a", 7, false), item("b", 6, true), item("d", 5, false)};
    const store_item_t end[] = {item("a", 7, false), item("d", 5, false)};
    view_replace(&followed, start, 2, 3);
    view_apply(&followed, change, 3, 3, 7);
    view_replace(&listed, end, 2, 7);
    ck_assert_uint_eq(listed.digest, followed.digest);
    view_confirm(&followed, listed.digest, 20);
    ck_assert_uint_eq(followed.at, 20);
    view_confirm(&followed, listed.digest + 1, 30);
    ck_assert_uint_eq(followed.at, 20);
    view_free(&listed);
    view_free(&followed);
}
END_TEST

START_TEST(view_tells_what_changed_since)
{
    view_t view = {0};
    store_item_t out[VIEW_CHANGES];
    size_t count;
    const store_item_t first[] = {item("a", 3, false), item("b", 5, false)};
    const store_item_t change[] = {item("b", 8, true), item("c", 9, false)};
    view_replace(&view, first, 2, 5);
    ck_assert(!view_since(&view, 4, out, &count));
    ck_assert(view_since(&view, 5, out, &count));
    ck_assert_uint_eq(count, 0);
    view_apply(&view, change, 2, 5, 9);
    ck_assert(view_since(&view, 6, out, &count));
    ck_assert_uint_eq(count, 2);
    ck_assert(out[0].gone && str_eq(out[0].name, STR("b")));
    ck_assert(!out[1].gone && str_eq(out[1].name, STR("c")));
    /* A peer that takes them in holds the same objects. */
    view_t peer = {0};
    view_replace(&peer, first, 2, 5);
    ck_assert_int_eq(view_apply(&peer, out, count, 5, 9), VIEW_CHANGED);
    ck_assert_uint_eq(peer.digest, view.digest);
    /* More changes than are kept: the whole view is needed. */
    for (uint64_t at = 10; at < 10 + VIEW_CHANGES; at++) {
        const store_item_t more[] = {item("d", at, false)};
        view_apply(&view, more, 1, at - 1, at);
    }
    ck_assert(!view_since(&view, 6, out, &count));
    ck_assert(view_since(&view, 100, out, &count));
    view_free(&view);
    view_free(&peer);
}
END_TEST

/* ---- plan ---- */

static region_plan_input_t
weak_region(double demand)
{
    return (region_plan_input_t){.room = {100, 18, 90}, .demand = {demand, demand, demand}};
}

START_TEST(plan_sends_a_steady_share_away)
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
    /* A burst of demand and its end move the mix by little in any two seconds. */
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

START_TEST(plan_shares_an_overload_alike)
{
    /* No region has room under the target: the weak one must not keep everything at home. */
    region_plan_t plan = {0};
    region_plan_input_t input = weak_region(110);
    region_plan_update(&plan, &input, 3, 1, 1000);
    for (uint64_t at = 1200; at < 40000; at += 200)
        region_plan_update(&plan, &input, 3, 1, at);
    ck_assert(plan.share[1] < 0.35);
}
END_TEST

START_TEST(plan_makes_up_lost_room_fast)
{
    region_plan_t plan = {0};
    region_plan_input_t input = {.room = {100, 100, 100}, .demand = {50, 50, 50}};
    region_plan_update(&plan, &input, 3, 0, 1000);
    for (uint64_t at = 1200; at < 5000; at += 200)
        region_plan_update(&plan, &input, 3, 0, at);
    ck_assert(plan.share[0] > 0.95);
    input.room[0] = 0;
    for (uint64_t at = 5000; at < 9000; at += 200)
        region_plan_update(&plan, &input, 3, 0, at);
    ck_assert(plan.share[0] < 0.2);
}
END_TEST

/* Found on the users' bench: upstreams become known one by one, long before the first request. */
START_TEST(plan_follows_room_until_demand_is_seen)
{
    region_plan_t plan = {0};
    region_plan_input_t input = {.room = {4, 0, 0}};
    region_plan_update(&plan, &input, 3, 1, 1000);
    ck_assert_double_eq_tol(plan.share[1], 0, 0.001);
    input = weak_region(0);
    region_plan_update(&plan, &input, 3, 1, 1200);
    const double settled = plan.share[1];
    ck_assert(settled > 0.2 && settled < 0.5);
    /* From the first demand on, shares move in steps. */
    input.demand[0] = 1;
    input.room[1] = 100;
    region_plan_update(&plan, &input, 3, 1, 1400);
    ck_assert_double_eq_tol(plan.share[1], settled, 0.001);
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

/* Found on the users' bench: the first requests of all regions went to the first region. */
START_TEST(plans_are_there_before_the_first_request)
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
    ck_assert_str_eq(router.services.items[0].name.ptr, "svc");
    for (double point = 0; point < 1; point += 0.1)
        ck_assert_uint_eq(region_plan_pick(&router.services.items[0].plan, point), router.region);
    ck_assert_uint_eq(router.region, topology_region_of(&topology, STR("c1")));
    view_free(&view);
    config_unref(router.catalog.config);
    free(router.services.items);
    uv_loop_close(&loop);
}
END_TEST

START_TEST(plan_keeps_points_in_place)
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

/* Found on the users' bench: a region without room for its downloads refused them for good. */
START_TEST(plan_keeps_large_answers_near_up_to_a_higher_use)
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

/* ---- choice ---- */

typedef struct {
    topology_t topology;
    backends_t backends;
    region_plan_t plan;
    config_t *config;
    choice_input_t input;
} choice_fixture_t;

static backend_t *
add_backend(choice_fixture_t *fixture, const char *id, const char *hall)
{
    backend_info_t info = {.capacity = 4};
    name_set(&info.id, str_from(id));
    name_set(&info.service, STR("svc"));
    name_set(&info.hall, str_from(hall));
    return backends_put(&fixture->backends, &info, &fixture->topology, NULL, 1000);
}

static choice_fixture_t *
new_choice(void)
{
    choice_fixture_t *fixture = xcalloc(1, sizeof(*fixture));
    fixture->topology = three_regions();
    fixture->config = config_new(1, 0);
    fill_route(&fixture->config->routes[0], "h", "/");
    fixture->config->routes[0].priority = 1;
    fixture->plan = (region_plan_t){.share = {1}, .region_count = 3, .started = true};
    fixture->input = (choice_input_t){
        .backends = &fixture->backends,
        .topology = &fixture->topology,
        .route = &fixture->config->routes[0],
        .service = STR("svc"),
        .plan = &fixture->plan,
        .own_hall = STR("a1"),
        .own_region = 0,
        .object = 0x1234567890abcdefULL,
        .has_object = true,
        .now_ms = 5000,
        .senders_settled = true,
        .wait = {.wait_ms = 300, .load_max = 2},
        .may_spill = true,
    };
    return fixture;
}

static void
free_choice(choice_fixture_t *fixture)
{
    backends_free(&fixture->backends);
    config_unref(fixture->config);
    free(fixture);
}

START_TEST(choice_is_the_same_on_every_instance)
{
    choice_fixture_t *one = new_choice();
    choice_fixture_t *two = new_choice();
    static const char *const ids[] = {"u1", "u2", "u3", "u4", "u5", "u6"};
    for (size_t i = 0; i < ALEN(ids); i++) {
        add_backend(one, ids[i], "a1");
        add_backend(two, ids[ALEN(ids) - 1 - i], "a1");
    }
    for (uint64_t object = 1; object < 200; object++) {
        choice_reason_t reason;
        one->input.object = two->input.object = object * 0x9e3779b97f4a7c15ULL;
        const backend_t *left = choice_pick(&one->input, &reason);
        const backend_t *right = choice_pick(&two->input, &reason);
        ck_assert_str_eq(left->info.id.ptr, right->info.id.ptr);
        ck_assert_int_eq(reason, CHOICE_FIRST);
    }
    free_choice(one);
    free_choice(two);
}
END_TEST

START_TEST(choice_moves_few_objects_when_one_leaves)
{
    choice_fixture_t *fixture = new_choice();
    backend_t *all[6];
    static const char *const ids[] = {"u1", "u2", "u3", "u4", "u5", "u6"};
    for (size_t i = 0; i < ALEN(ids); i++)
        all[i] = add_backend(fixture, ids[i], "a1");
    for (uint64_t object = 1; object < 300; object++) {
        choice_reason_t reason;
        fixture->input.object = object * 0x9e3779b97f4a7c15ULL;
        const backend_t *before = choice_pick(&fixture->input, &reason);
        all[2]->info.leaving = true;
        const backend_t *after = choice_pick(&fixture->input, &reason);
        all[2]->info.leaving = false;
        ck_assert_ptr_ne(after, all[2]);
        if (before != all[2])
            ck_assert_ptr_eq(before, after);
    }
    free_choice(fixture);
}
END_TEST

START_TEST(choice_keeps_to_the_replicas)
{
    /* Objects are not spread over more upstreams when these are busy: they would run cold there. */
    choice_fixture_t *fixture = new_choice();
    static const char *const ids[] = {"u1", "u2", "u3", "u4", "u5", "u6"};
    for (size_t i = 0; i < ALEN(ids); i++)
        add_backend(fixture, ids[i], "a1")->work_ms = 200;
    choice_reason_t reason;
    backend_t *first = choice_pick(&fixture->input, &reason);
    first->in_flight = 6;
    backend_t *second = choice_pick(&fixture->input, &reason);
    ck_assert_int_eq(reason, CHOICE_LATER);
    ck_assert_ptr_ne(first, second);
    second->in_flight = 6;
    ck_assert_ptr_null(choice_pick(&fixture->input, &reason));
    ck_assert_int_eq(reason, CHOICE_FULL);
    /* With a shorter queue the request waits at the first. */
    first->in_flight = 4;
    ck_assert_ptr_eq(choice_pick(&fixture->input, &reason), first);
    ck_assert_int_eq(reason, CHOICE_QUEUED);
    free_choice(fixture);
}
END_TEST

START_TEST(choice_without_an_object_uses_any)
{
    /* Nothing is kept in memory for such requests: whoever has room serves them. */
    choice_fixture_t *fixture = new_choice();
    static const char *const ids[] = {"u1", "u2", "u3", "u4", "u5", "u6"};
    for (size_t i = 0; i < ALEN(ids); i++)
        add_backend(fixture, ids[i], "a1")->in_flight = 6;
    fixture->backends.items[4]->in_flight = 3;
    choice_reason_t reason;
    for (uint64_t request = 1; request < 100; request++) {
        fixture->input.object = request * 0x9e3779b97f4a7c15ULL;
        fixture->input.has_object = false;
        ck_assert_ptr_eq(choice_pick(&fixture->input, &reason), fixture->backends.items[4]);
    }
    free_choice(fixture);
}
END_TEST

START_TEST(choice_spills_only_when_allowed)
{
    choice_fixture_t *fixture = new_choice();
    add_backend(fixture, "u1", "a1")->in_flight = 20;
    backend_t *far = add_backend(fixture, "u2", "b1");
    choice_reason_t reason;
    ck_assert_ptr_eq(choice_pick(&fixture->input, &reason), far);
    ck_assert_int_eq(reason, CHOICE_ELSEWHERE);
    fixture->input.may_spill = false;
    ck_assert_ptr_null(choice_pick(&fixture->input, &reason));
    /* Without any usable upstream in the region, another one serves all the same. */
    fixture->backends.items[0]->hall_closed = true;
    ck_assert_ptr_eq(choice_pick(&fixture->input, &reason), far);
    free_choice(fixture);
}
END_TEST

START_TEST(choice_keeps_large_answers_near)
{
    choice_fixture_t *fixture = new_choice();
    fixture->config->routes[0].large = true;
    add_backend(fixture, "u1", "a2");
    backend_t *near = add_backend(fixture, "u2", "a1");
    add_backend(fixture, "u3", "b1");
    choice_reason_t reason;
    for (uint64_t object = 1; object < 50; object++) {
        fixture->input.object = object * 0x9e3779b97f4a7c15ULL;
        ck_assert_ptr_eq(choice_pick(&fixture->input, &reason), near);
    }
    near->in_flight = 20;
    ck_assert_str_eq(choice_pick(&fixture->input, &reason)->info.id.ptr, "u1");
    /* Busy is not gone: they do not leave the region for that, but they do if nobody is there. */
    fixture->backends.items[0]->in_flight = 20;
    ck_assert_ptr_null(choice_pick(&fixture->input, &reason));
    fixture->backends.items[0]->info.leaving = true;
    near->hall_closed = true;
    const backend_t *far = choice_pick(&fixture->input, &reason);
    ck_assert_ptr_nonnull(far);
    ck_assert_str_eq(far->info.id.ptr, "u3");
    free_choice(fixture);
}
END_TEST

START_TEST(choice_sends_large_answers_away_as_planned)
{
    choice_fixture_t *fixture = new_choice();
    choice_reason_t reason;
    size_t away = 0;
    fixture->config->routes[0].large = true;
    backend_t *near = add_backend(fixture, "u1", "a1");
    backend_t *far = add_backend(fixture, "u2", "b1");
    fixture->plan = (region_plan_t){.share = {0.25, 0.75}, .region_count = 3, .started = true};
    for (uint64_t object = 1; object <= 1000; object++) {
        fixture->input.object = object * 0x9e3779b97f4a7c15ULL;
        away += choice_pick(&fixture->input, &reason) == far;
    }
    ck_assert(away > 550 && away < 650);
    /* The own region is tried if the planned one has no room, no further one is. */
    fixture->input.object = UINT64_MAX;
    far->in_flight = 20;
    ck_assert_ptr_eq(choice_pick(&fixture->input, &reason), near);
    near->in_flight = 20;
    add_backend(fixture, "u3", "c1");
    ck_assert_ptr_null(choice_pick(&fixture->input, &reason));
    free_choice(fixture);
}
END_TEST

START_TEST(choice_respects_homes_and_what_was_tried)
{
    choice_fixture_t *fixture = new_choice();
    backend_t *near = add_backend(fixture, "u1", "a1");
    backend_t *far = add_backend(fixture, "u2", "c1");
    config_route_t *route = &fixture->config->routes[0];
    route->homes = xcalloc(1, sizeof(*route->homes));
    route->home_count = 1;
    name_set(&route->homes[0], STR("c"));
    choice_reason_t reason;
    ck_assert_ptr_eq(choice_pick(&fixture->input, &reason), far);
    fixture->input.tried = &far;
    fixture->input.tried_count = 1;
    ck_assert_ptr_null(choice_pick(&fixture->input, &reason));
    ck_assert_int_eq(reason, CHOICE_NONE);
    ck_assert_ptr_nonnull(near);
    free_choice(fixture);
}
END_TEST

static void
fail_often(backend_t *backend, uint64_t now_ms)
{
    for (int i = 0; i < 6; i++)
        health_record(&backend->health, true, now_ms);
}

START_TEST(health_is_judged_by_rate_not_by_chance)
{
    /* Rare outcomes: a few in a row decide. */
    health_t rare = {0};
    for (uint64_t i = 1; i <= 5; i++)
        health_record(&rare, true, i * 5000);
    ck_assert(!health_is_avoided(&rare, 25000));
    health_record(&rare, true, 26000);
    ck_assert(health_is_avoided(&rare, 26000));
    /* Many outcomes, 2 of 5 failed: never impaired, however they fall. */
    rng_t rng = {.state = 7};
    health_t many = {0};
    for (uint64_t at = 50; at < 60000; at += 50) {
        health_record(&many, rng_unit(&rng) < 0.4, at);
        ck_assert(!health_is_avoided(&many, at));
    }
    /* Nearly all fail: impaired within the averaging time. */
    for (uint64_t at = 60000; at < 62500; at += 50)
        health_record(&many, rng_unit(&rng) < 0.95, at);
    ck_assert(health_is_avoided(&many, 62500));
    /* Forgiven while it is left alone. */
    ck_assert(!health_is_avoided(&many, 70000));
}
END_TEST

START_TEST(health_is_shared_by_reports)
{
    health_t seen = {0};
    health_t told = {0};
    ck_assert(!health_has_unsent(&seen, 1000));
    health_record(&seen, false, 1000);
    ck_assert(!health_has_unsent(&seen, 1000)); /* all is well: nothing to tell */
    for (int i = 0; i < 10; i++)
        health_record(&seen, true, 1000);
    ck_assert(health_has_unsent(&seen, 1000));
    health_add_report(&told, seen.unsent_good, seen.unsent_bad, 1400);
    health_mark_sent(&seen);
    ck_assert(!health_has_unsent(&seen, 1400));
    ck_assert(health_is_avoided(&seen, 1400) && health_is_avoided(&told, 1400));
    ck_assert(!health_has_unsent(&told, 1400)); /* what was heard is not told on */
    /* Successes at a suspect are told as well. */
    health_record(&seen, false, 1500);
    ck_assert(health_has_unsent(&seen, 1500));
}
END_TEST

START_TEST(choice_keeps_impaired_upstreams_if_the_others_have_no_room)
{
    choice_fixture_t *fixture = new_choice();
    static const char *const ids[] = {"u1", "u2", "u3", "u4"};
    for (size_t i = 0; i < ALEN(ids); i++)
        add_backend(fixture, ids[i], "a1");
    choice_reason_t reason;
    backend_t *first = choice_pick(&fixture->input, &reason);
    fail_often(first, 5000);
    health_record(&first->health, true, 5000);
    fixture->plan.room[0] = 16;
    fixture->plan.measured_peak = 8; /* three quarters of the slots can carry it */
    ck_assert_ptr_ne(choice_pick(&fixture->input, &reason), first);
    fixture->plan.measured_peak = 13;
    ck_assert_ptr_eq(choice_pick(&fixture->input, &reason), first);
    free_choice(fixture);
}
END_TEST

START_TEST(choice_avoids_what_fails)
{
    choice_fixture_t *fixture = new_choice();
    static const char *const ids[] = {"u1", "u2", "u3", "u4"};
    for (size_t i = 0; i < ALEN(ids); i++)
        add_backend(fixture, ids[i], "a1");
    choice_reason_t reason;
    backend_t *first = choice_pick(&fixture->input, &reason);
    /* One failure, or two, do not move its objects: they would run cold elsewhere. */
    health_record(&first->health, true, 5000);
    health_record(&first->health, true, 5000);
    ck_assert_ptr_eq(choice_pick(&fixture->input, &reason), first);
    fail_often(first, 5000);
    ck_assert_ptr_ne(choice_pick(&fixture->input, &reason), first);
    /* Tried again after a while. */
    fixture->input.now_ms = 7000;
    ck_assert_ptr_ne(choice_pick(&fixture->input, &reason), first);
    fixture->input.now_ms = 13000;
    ck_assert_ptr_eq(choice_pick(&fixture->input, &reason), first);
    /* Where most fail, all are used as usual. */
    fixture->input.now_ms = 13100;
    for (size_t i = 0; i < 3; i++)
        fail_often(fixture->backends.items[i], 13100);
    ck_assert_ptr_eq(choice_pick(&fixture->input, &reason), first);
    free_choice(fixture);
}
END_TEST

START_TEST(choice_paces_cold_upstreams)
{
    choice_fixture_t *fixture = new_choice();
    backend_t *cold = add_backend(fixture, "u1", "a1");
    const cold_sender_t self = {.key = 7, .region = 0};
    cold->cold_until_ms = 9000;
    cold_start_begin(&cold->cold_tokens, 10, 5000);
    fixture->input.own_key = 7;
    fixture->input.senders = &self;
    fixture->input.sender_count = 1;
    choice_reason_t reason;
    ck_assert_ptr_eq(choice_pick(&fixture->input, &reason), cold);
    cold_start_count_send(&cold->cold_tokens, 5000);
    ck_assert_ptr_null(choice_pick(&fixture->input, &reason));
    fixture->input.now_ms = 5300;
    ck_assert_ptr_eq(choice_pick(&fixture->input, &reason), cold);
    fixture->input.senders_settled = false;
    ck_assert_ptr_null(choice_pick(&fixture->input, &reason));
    free_choice(fixture);
}
END_TEST

/* ---- cold upstreams ---- */

START_TEST(cold_has_few_users_even_with_different_lists)
{
    enum { PEERS = 9 };
    cold_sender_t all[PEERS];
    for (size_t i = 0; i < PEERS; i++)
        all[i] = (cold_sender_t){.key = 1000 + 77 * i, .region = i % 3};
    for (uint64_t backend = 1; backend < 300; backend++) {
        size_t users = 0;
        size_t split_users = 0;
        for (size_t i = 0; i < PEERS; i++) {
            users += cold_start_is_sender(backend * 31, 1, all[i].key, all, PEERS);
            /* Half of the instances have never heard of the last four. */
            split_users +=
                cold_start_is_sender(backend * 31, 1, all[i].key, all, i < 5 ? 5 : PEERS);
        }
        ck_assert_uint_ge(users, 1);
        ck_assert_uint_le(users, COLD_SENDERS);
        ck_assert_uint_le(split_users, 2 * COLD_SENDERS);
    }
}
END_TEST

START_TEST(cold_rate_of_all_users_stays_in_bound)
{
    /* 3.5 a second, counted over any second and all users: at most 3.5 x 1.5 + 5. */
    enum { STEP_MS = 10, SPAN_MS = 4000 };
    unsigned sent[SPAN_MS / STEP_MS] = {0};
    for (int user = 0; user < COLD_SENDERS; user++) {
        bucket_t tokens;
        cold_start_begin(&tokens, 3.5, 0);
        for (uint64_t at = 0; at < SPAN_MS; at += STEP_MS) {
            while (cold_start_may_send(&tokens, at)) {
                cold_start_count_send(&tokens, at);
                sent[at / STEP_MS]++;
            }
        }
    }
    for (size_t from = 0; from + 100 <= ALEN(sent); from++) {
        unsigned in_second = 0;
        for (size_t i = 0; i < 100; i++)
            in_second += sent[from + i];
        ck_assert_uint_le(in_second, 5);
    }
}
END_TEST

/* ---- retry budget ---- */

START_TEST(retry_budget_bounds_every_window)
{
    retry_budget_t budget = {0};
    const retry_terms_t terms = {.ratio = 0.2, .constant = 58, .window_ms = 10000, .instances = 9};
    unsigned taken = 0;
    for (int i = 0; i < 1000; i++)
        retry_budget_count_request(&budget, &terms, 50000 + i);
    for (int i = 0; i < 1000; i++)
        taken += retry_budget_take(&budget, &terms, 52000);
    ck_assert_uint_ge(taken, 100);
    ck_assert_uint_le(taken, 200 + 58 / 9);
    ck_assert(!retry_budget_take(&budget, &terms, 58000));
    ck_assert(retry_budget_take(&budget, &terms, 75000)); /* the part of the constant */
}
END_TEST

/* ---- members and directory ---- */

static member_t *
add_member(members_t *members, const char *name, const char *hall, size_t region, uint16_t port)
{
    char text[ADDR_TEXT_MAX];
    addr_t addr;
    snprintf(text, sizeof(text), "10.0.0.1:%u", port);
    ck_assert(addr_parse(str_from(text), &addr));
    member_t *member = members_at(members, &addr);
    member->heard = true;
    member->heard_ms = 10000;
    member->ready = true;
    member->region = region;
    member->callers = addr;
    name_set(&member->instance, str_from(name));
    name_set(&member->hall, str_from(hall));
    return member;
}

START_TEST(members_judge_by_silence)
{
    members_t members = {0};
    add_member(&members, "a-1", "a1", 0, 1);
    add_member(&members, "a-2", "a1", 0, 2);
    ck_assert_uint_eq(members_rank_in_region(&members, STR("a-1"), 0, 10500), 0);
    ck_assert_uint_eq(members_rank_in_region(&members, STR("a-2"), 0, 10500), 1);
    members.items[1].heard_ms = 14000;
    ck_assert_uint_eq(members_rank_in_region(&members, STR("a-2"), 0, 14000), 0);
    members.items[1].store_age_ms = 500;
    ck_assert(members_watch_store(&members, 3000, 14000));
    ck_assert(!members_watch_store(&members, 400, 14000));
    ck_assert(!members_watch_store(&members, 1800, 15500));
    members_free(&members);
}
END_TEST

START_TEST(a_large_fleet_talks_little_between_regions)
{
    enum { A_REGION = 50, ROUNDS = A_REGION / MEMBERS_OTHER_REGION };
    members_t members = {0};
    bool told[2 * A_REGION] = {false};
    for (unsigned i = 0; i < 2 * A_REGION; i++) {
        char name[16];
        snprintf(name, sizeof(name), "g-%u", i);
        member_t *member = add_member(&members, name, "a1", i % 2, (uint16_t)(i + 1));
        member->region_members = A_REGION;
        member->heard = i % 2 == 0 || i < 4; /* few of the other region have been heard */
    }
    ck_assert_uint_eq(members_total(&members, 0), 2 * A_REGION);
    ck_assert_uint_eq(members_interval_ms(&members, 0, 10100), A_REGION * HEARTBEAT_MEMBER_MS);
    for (unsigned round = 0; round < ROUNDS; round++) {
        size_t near = 0;
        size_t far = 0;
        for (size_t i = 0; i < members.count; i++) {
            if (!members_is_target(&members, i, 0, round, 10100))
                continue;
            told[i] = true;
            *(i % 2 == 0 ? &near : &far) += 1;
        }
        ck_assert_uint_eq(near, A_REGION);
        ck_assert_uint_eq(far, MEMBERS_OTHER_REGION);
    }
    for (size_t i = 0; i < ALEN(told); i++)
        ck_assert(told[i]);
    members_free(&members);
}
END_TEST

START_TEST(another_regions_demand_is_as_it_says)
{
    members_t members = {0};
    member_t *own = add_member(&members, "a-1", "a1", 0, 1);
    own->demand_count = 1;
    name_set(&own->demands[0].service, STR("svc"));
    own->demands[0].slots = 4;
    member_t *other = add_member(&members, "b-1", "b1", 1, 2);
    other->region_demand_count = 1;
    name_set(&other->region_demands[0].service, STR("svc"));
    other->region_demands[0].slots = 70;
    ck_assert(members_demand(&members, STR("svc"), 0, 0, 10100) == 4);
    ck_assert(members_demand(&members, STR("svc"), 1, 0, 10100) == 70);
    ck_assert(members_demand(&members, STR("svc"), 1, 0, 30000) == 0);
    members_free(&members);
}
END_TEST

START_TEST(no_region_depends_on_one_follower)
{
    /* Turned away in silence, a follower is not known to be for seconds: another follows too. */
    members_t members = {0};
    add_member(&members, "a-1", "a1", 0, 1);
    add_member(&members, "a-2", "a1", 0, 2);
    add_member(&members, "a-3", "a1", 0, 3);
    size_t followers = 0;
    followers += members_rank_in_region(&members, STR("a-1"), 0, 10100) < MEMBERS_WATCHERS;
    followers += members_rank_in_region(&members, STR("a-2"), 0, 10100) < MEMBERS_WATCHERS;
    followers += members_rank_in_region(&members, STR("a-3"), 0, 10100) < MEMBERS_WATCHERS;
    ck_assert_uint_eq(followers, 2);
    members_free(&members);
}
END_TEST

START_TEST(rare_heartbeats_do_not_make_the_store_look_lost)
{
    /* In a large region heartbeats come every 1.2 s: what the follower tells is older when read.
     * Else all instances of the region follow the store, and each sends on what it learns. */
    enum { A_REGION = 100 };
    members_t members = {0};
    member_t *follower = add_member(&members, "g-0", "a1", 0, 1);
    follower->store_age_ms = 3400;
    const uint64_t late = 10000 + HEARTBEAT_MIN_MS;
    ck_assert(members_watch_store(&members, members_store_age_max_ms(&members, 0, late), late));
    ck_assert(
        !members_watch_store(&members, members_store_age_max_ms(&members, 0, late), late + 200));
    for (unsigned i = 1; i < A_REGION; i++)
        add_member(&members, "g-n", "a1", 0, (uint16_t)(i + 1));
    members.items[0].interval_ms = HEARTBEAT_MAX_MS;
    const uint64_t later = 10000 + HEARTBEAT_MAX_MS;
    ck_assert(members_watch_store(&members, members_store_age_max_ms(&members, 0, later), later));
    members_free(&members);
}
END_TEST

START_TEST(the_next_instance_follows_when_the_store_fails_the_first)
{
    members_t members = {0};
    add_member(&members, "a-1", "a1", 0, 1);
    add_member(&members, "a-2", "a1", 0, 2);
    add_member(&members, "a-3", "a1", 0, 3);
    members.items[0].store_failing = true;
    ck_assert_uint_eq(members_rank_in_region(&members, STR("a-1"), 0, 10500),
                      0); /* goes on trying */
    ck_assert_uint_eq(members_rank_in_region(&members, STR("a-2"), 0, 10500), 0);
    ck_assert_uint_eq(members_rank_in_region(&members, STR("a-3"), 0, 10500), 1);
    /* Turned away is not down: others are served. */
    ck_assert(!members_store_fails_all(&members, STR("a-1"), 10500));
    members.items[1].store_failing = true;
    members.items[2].store_failing = true;
    ck_assert(members_store_fails_all(&members, STR("a-1"), 10500));
    members_free(&members);
}
END_TEST

START_TEST(directory_names_the_living_and_near)
{
    topology_t topology = three_regions();
    members_t members = {0};
    addr_t out[DIRECTORY_MAX];
    add_member(&members, "a-1", "a1", 0, 1);
    add_member(&members, "a-2", "a2", 0, 2);
    add_member(&members, "b-1", "b1", 1, 3);
    ck_assert_uint_eq(directory_pick(&members, &topology, STR("a"), STR("a2"), 10100, out), 1);
    ck_assert_uint_eq(addr_port(&out[0]), 2);
    members.items[1].leaving = true;
    ck_assert_uint_eq(directory_pick(&members, &topology, STR("a"), STR("a2"), 10100, out), 1);
    ck_assert_uint_eq(addr_port(&out[0]), 1);
    members.items[0].ready = false;
    ck_assert_uint_eq(directory_pick(&members, &topology, STR("a"), STR("a2"), 10100, out), 1);
    ck_assert_uint_eq(addr_port(&out[0]), 3);
    ck_assert_uint_eq(directory_pick(&members, &topology, STR("x"), STR("y"), 13000, out), 0);
    members_free(&members);
}
END_TEST

/* ---- logs ---- */

START_TEST(a_log_that_nobody_reads_costs_nothing)
{
    int ends[2];
    ck_assert_int_eq(pipe(ends), 0);
    const log_ring_conf_t conf = {.fd = ends[1], .size = 4096, .lines_per_s = 1e6, .burst = 1e6};
    log_ring_t *ring = log_ring_new(&conf);
    /* Far more than the pipe and the ring hold: this returns because nothing waits. */
    for (int i = 0; i < 20000; i++) {
        log_ring_add(ring, "exchange", "a line of some length that nobody reads", 1000);
        log_ring_flush(ring);
    }
    ck_assert_uint_gt(log_ring_dropped(ring), 1000);
    /* Once it is read again, a line tells what is missing. */
    static char text[1 << 20];
    size_t len = 0;
    for (int i = 0; i < 10; i++) {
        const ssize_t n = read(ends[0], text + len, sizeof(text) - len - 1);
        len += n > 0 ? (size_t)n : 0;
        log_ring_add(ring, "exchange", "after", 2000);
        log_ring_flush(ring);
    }
    ck_assert_ptr_nonnull(strstr(text, "event=\"lines dropped\" of=exchange lines="));
    ck_assert_ptr_nonnull(strstr(text, "\nafter\n"));
    log_ring_free(ring);
    close(ends[0]);
    close(ends[1]);
}
END_TEST

START_TEST(a_noisy_module_leaves_the_others_their_lines)
{
    int ends[2];
    ck_assert_int_eq(pipe(ends), 0);
    const log_ring_conf_t conf = {.fd = ends[1], .size = 65536, .lines_per_s = 10, .burst = 20};
    log_ring_t *ring = log_ring_new(&conf);
    unsigned kept = 0;
    for (int i = 0; i < 1000; i++)
        kept += log_ring_add(ring, "exchange", "noise", 1000);
    ck_assert_uint_eq(kept, 20);
    ck_assert(log_ring_add(ring, "sync", "store lost", 1000));
    ck_assert(log_ring_add(ring, "exchange", "later", 2000));
    log_ring_free(ring);
    close(ends[0]);
    close(ends[1]);
}
END_TEST

Suite *
suite_gateway(void)
{
    Suite *suite = suite_create("gateway");
    TCase *tests = tcase_create("decisions");
    tcase_add_test(tests, longest_prefix_wins);
    tcase_add_test(tests, view_moves_forward_only);
    tcase_add_test(tests, view_gone_is_not_undone_by_an_older_change);
    tcase_add_test(tests, view_digests_agree_on_any_path);
    tcase_add_test(tests, view_tells_what_changed_since);
    tcase_add_test(tests, plan_sends_a_steady_share_away);
    tcase_add_test(tests, plan_shares_an_overload_alike);
    tcase_add_test(tests, plan_makes_up_lost_room_fast);
    tcase_add_test(tests, plan_follows_room_until_demand_is_seen);
    tcase_add_test(tests, plans_are_there_before_the_first_request);
    tcase_add_test(tests, plan_keeps_points_in_place);
    tcase_add_test(tests, plan_keeps_large_answers_near_up_to_a_higher_use);
    tcase_add_test(tests, choice_is_the_same_on_every_instance);
    tcase_add_test(tests, choice_moves_few_objects_when_one_leaves);
    tcase_add_test(tests, choice_keeps_to_the_replicas);
    tcase_add_test(tests, choice_without_an_object_uses_any);
    tcase_add_test(tests, choice_spills_only_when_allowed);
    tcase_add_test(tests, choice_keeps_large_answers_near);
    tcase_add_test(tests, choice_sends_large_answers_away_as_planned);
    tcase_add_test(tests, choice_respects_homes_and_what_was_tried);
    tcase_add_test(tests, health_is_judged_by_rate_not_by_chance);
    tcase_add_test(tests, health_is_shared_by_reports);
    tcase_add_test(tests, choice_keeps_impaired_upstreams_if_the_others_have_no_room);
    tcase_add_test(tests, choice_avoids_what_fails);
    tcase_add_test(tests, choice_paces_cold_upstreams);
    tcase_add_test(tests, cold_has_few_users_even_with_different_lists);
    tcase_add_test(tests, cold_rate_of_all_users_stays_in_bound);
    tcase_add_test(tests, retry_budget_bounds_every_window);
    tcase_add_test(tests, members_judge_by_silence);
    tcase_add_test(tests, a_large_fleet_talks_little_between_regions);
    tcase_add_test(tests, another_regions_demand_is_as_it_says);
    tcase_add_test(tests, no_region_depends_on_one_follower);
    tcase_add_test(tests, rare_heartbeats_do_not_make_the_store_look_lost);
    tcase_add_test(tests, the_next_instance_follows_when_the_store_fails_the_first);
    tcase_add_test(tests, directory_names_the_living_and_near);
    tcase_add_test(tests, a_log_that_nobody_reads_costs_nothing);
    tcase_add_test(tests, a_noisy_module_leaves_the_others_their_lines);
    suite_add_tcase(suite, tests);
    return suite;
}
