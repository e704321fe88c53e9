/* Backend selection with admission, avoided and cold backends. */
#include <stdio.h>
#include <stdlib.h>

#include "base/rng.h"
#include "base/xmalloc.h"
#include "gateway/policy/choice.h"
#include "gateway/policy/replicas.h"
#include "gateway/state/object_rates.h"
#include "test/gateway/fixture.h"
#include "test/suites.h"

/* With the callers' LEFT_MS, two requests per slot are as many as can be answered in time. */
enum { SLOTS = 4, RUN_MS = 1000, LEFT_MS = 2000 };

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
    backend_info_t info = {.capacity = SLOTS};
    name_set(&info.id, str_from(id));
    name_set(&info.service, STR("svc"));
    name_set(&info.hall, str_from(hall));
    backend_t *backend = backends_put(&fixture->backends, &info, &fixture->topology, NULL, 1000);
    backend->service_time_ms = RUN_MS;
    return backend;
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
        .request = {.left_ms = LEFT_MS},
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

static backend_t *
select_backend(const choice_input_t *input, choice_reason_t *reason)
{
    const choice_t choice = choice_make(input);
    *reason = choice.reason;
    return choice.backend;
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
        const backend_t *left = select_backend(&one->input, &reason);
        const backend_t *right = select_backend(&two->input, &reason);
        ck_assert_str_eq(left->info.id.ptr, right->info.id.ptr);
        ck_assert_int_eq(reason, CHOICE_FIRST);
    }
    free_choice(one);
    free_choice(two);
}
END_TEST

/* Chooses for many objects, routes and loads where no work is counted, no pace is reported and no
 * order is asked for; returns a hash of all choices. */
static uint64_t
hash_of_choices(void)
{
    enum { BACKENDS = 60, CHOICES = 4000 };
    static const char *const halls[] = {"a1", "a2", "b1", "c1"};
    choice_fixture_t *fixture = new_choice();
    rng_t rng = {.state = 11};
    uint64_t hash = 0;
    fixture->plan.share[0] = 0.6;
    fixture->plan.share[1] = 0.3;
    fixture->plan.share[2] = 0.1;
    for (unsigned i = 0; i < BACKENDS; i++) {
        char id[16];
        snprintf(id, sizeof(id), "u%02u", i);
        backend_t *backend = add_backend(fixture, id, halls[i % ALEN(halls)]);
        backend->service_time_ms = 50 + i;
        backend->in_flight = i % 7;
        backend_report_load(backend, &(reported_load_t){.running = i % 5, .waiting = i % 3}, 4800);
        for (unsigned k = 0; k < i % 11; k++)
            health_record(&backend->health, i % 4 == 0, 4900);
    }
    for (unsigned i = 0; i < CHOICES; i++) {
        fixture->input.object = rng_next(&rng);
        fixture->input.has_object = i % 5 != 0;
        fixture->input.object_demand = rng_unit(&rng) * 6;
        fixture->config->routes[0].large = i % 3 == 0;
        fixture->config->routes[0].priority = (int)(i % 3);
        fixture->input.request.left_ms = 100 + 50 * (i % 8);
        fixture->input.request.median_ms = i % 2 * 60;
        const choice_t choice = choice_make(&fixture->input);
        const uint64_t made[] = {hash, choice.backend != NULL ? choice.backend->key : 0,
                                 choice.reason};
        hash = str_hash((str_t){(const char *)made, sizeof(made)}, 0);
    }
    free_choice(fixture);
    return hash;
}

/* Guards against decisions that change where nothing asks for it: the hash is that of the choices
 * since the callers' time bounds queues. */
START_TEST(choices_without_counted_work_are_as_before)
{
    ck_assert_msg(hash_of_choices() == 0xbc45cc2577900edaULL, "%016llx",
                  (unsigned long long)hash_of_choices());
}
END_TEST

START_TEST(long_list_is_covered_by_its_slices)
{
    enum { BACKENDS = 3000, SLICES = 5 };
    static bool seen[BACKENDS];
    choice_fixture_t *fixture = new_choice();
    size_t cursor = 0;
    for (int i = 0; i < BACKENDS; i++) {
        char id[16];
        snprintf(id, sizeof(id), "u%04d", i);
        add_backend(fixture, id, "a1");
    }
    for (int tick = 0; tick < SLICES; tick++) {
        const backends_slice_t slice = backends_next_slice(&fixture->backends, &cursor);
        ck_assert_uint_le(slice.to - slice.from, BACKENDS / SLICES + 1);
        for (size_t i = slice.from; i < slice.to; i++)
            seen[i] = true;
    }
    for (int i = 0; i < BACKENDS; i++)
        ck_assert(seen[i]);
    free_choice(fixture);
}
END_TEST

START_TEST(backends_of_other_services_are_told_apart)
{
    choice_fixture_t *fixture = new_choice();
    const backend_t *backend = add_backend(fixture, "u1", "a1");
    ck_assert(backend_is_of(backend, STR("svc"), backend_service_key(STR("svc"))));
    ck_assert(!backend_is_of(backend, STR("svd"), backend_service_key(STR("svd"))));
    free_choice(fixture);
}
END_TEST

START_TEST(choice_remaps_only_objects_of_a_leaving_backend)
{
    choice_fixture_t *fixture = new_choice();
    backend_t *all[6];
    static const char *const ids[] = {"u1", "u2", "u3", "u4", "u5", "u6"};
    for (size_t i = 0; i < ALEN(ids); i++)
        all[i] = add_backend(fixture, ids[i], "a1");
    for (uint64_t object = 1; object < 300; object++) {
        choice_reason_t reason;
        fixture->input.object = object * 0x9e3779b97f4a7c15ULL;
        const backend_t *before = select_backend(&fixture->input, &reason);
        all[2]->info.leaving = true;
        const backend_t *after = select_backend(&fixture->input, &reason);
        all[2]->info.leaving = false;
        ck_assert_ptr_ne(after, all[2]);
        if (before != all[2])
            ck_assert_ptr_eq(before, after);
    }
    free_choice(fixture);
}
END_TEST

START_TEST(choice_stays_with_the_backend_holding_the_object)
{
    /* Busy backends do not spread objects over more backends, where they would run cold. */
    choice_fixture_t *fixture = new_choice();
    static const char *const ids[] = {"u1", "u2", "u3", "u4", "u5", "u6"};
    for (size_t i = 0; i < ALEN(ids); i++)
        add_backend(fixture, ids[i], "a1");
    choice_reason_t reason;
    backend_t *first = select_backend(&fixture->input, &reason);
    /* With a short queue the request waits at the backend. */
    first->in_flight = 4;
    ck_assert_ptr_eq(select_backend(&fixture->input, &reason), first);
    ck_assert_int_eq(reason, CHOICE_QUEUED);
    first->in_flight = 2 * SLOTS;
    ck_assert_ptr_null(select_backend(&fixture->input, &reason));
    ck_assert_int_eq(reason, CHOICE_FULL);
    /* An unusable backend is replaced by the next one. */
    first->info.leaving = true;
    const backend_t *second = select_backend(&fixture->input, &reason);
    ck_assert_ptr_ne(second, first);
    ck_assert_int_eq(reason, CHOICE_FIRST);
    free_choice(fixture);
}
END_TEST

/* All but one of many backends are full for longer than the caller waits. */
START_TEST(request_is_taken_while_one_backend_of_many_has_time_for_it)
{
    enum { BACKENDS = 60 };
    choice_fixture_t *fixture = new_choice();
    backend_t *idle = NULL;
    for (unsigned i = 0; i < BACKENDS; i++) {
        char id[16];
        snprintf(id, sizeof(id), "u%02u", i);
        backend_t *backend = add_backend(fixture, id, "a1");
        backend->service_time_ms = RUN_MS / 4.0;
        backend->in_flight = 10 * SLOTS;
        idle = backend;
    }
    idle->in_flight = 1;
    for (unsigned i = 0; i < 2 * BACKENDS; i++) {
        choice_reason_t reason;
        fixture->input.object = (i + 1) * 0x9e3779b97f4a7c15ULL;
        fixture->input.has_object = i % 2 == 0;
        ck_assert_ptr_eq(select_backend(&fixture->input, &reason), idle);
    }
    idle->in_flight = 10 * SLOTS;
    choice_reason_t reason;
    ck_assert_ptr_null(select_backend(&fixture->input, &reason));
    ck_assert_int_eq(reason, CHOICE_FULL);
    free_choice(fixture);
}
END_TEST

START_TEST(choice_replicates_objects_in_high_demand)
{
    choice_fixture_t *fixture = new_choice();
    static const char *const ids[] = {"u1", "u2", "u3", "u4", "u5", "u6"};
    for (size_t i = 0; i < ALEN(ids); i++)
        add_backend(fixture, ids[i], "a1");
    choice_reason_t reason;
    backend_t *first = select_backend(&fixture->input, &reason);
    first->in_flight = 1;
    fixture->input.object_demand = 2; /* half of the slots of a backend */
    ck_assert_ptr_eq(select_backend(&fixture->input, &reason), first);
    fixture->input.object_demand = 3;
    backend_t *second = select_backend(&fixture->input, &reason);
    ck_assert_ptr_ne(second, first);
    second->in_flight = 2;
    ck_assert_ptr_eq(select_backend(&fixture->input, &reason), first);
    /* Only as many replicas as needed. */
    first->in_flight = 2 * SLOTS;
    second->in_flight = 2 * SLOTS;
    ck_assert_ptr_null(select_backend(&fixture->input, &reason));
    fixture->input.object_demand = 100;
    ck_assert_ptr_nonnull(select_backend(&fixture->input, &reason));
    free_choice(fixture);
}
END_TEST

START_TEST(replicas_follow_the_demand)
{
    static const struct {
        double demand;
        size_t replicas;
    } rows[] = {{0, 1}, {2.4, 1}, {2.6, 2}, {5, 2}, {7, 3}, {1000, REPLICAS_MAX}};
    for (size_t i = 0; i < ALEN(rows); i++)
        ck_assert_uint_eq(replicas_decide(rows[i].demand, 5), rows[i].replicas);
}
END_TEST

START_TEST(object_rates_decay_and_need_enough_counts)
{
    static object_rates_t rates;
    const uint64_t object = 0x1234567890abcdefULL;
    uint64_t now_ms = 1000;
    object_rates_decay(&rates, now_ms);
    for (int i = 0; i < 7; i++)
        object_rates_count(&rates, object);
    ck_assert_double_eq_tol(object_rates_per_s(&rates, object), 0, 1e-9);
    for (int second = 0; second < 30; second++) {
        for (int i = 0; i < 20; i++)
            object_rates_count(&rates, object);
        now_ms += 1000;
        object_rates_decay(&rates, now_ms);
    }
    ck_assert_double_eq_tol(object_rates_per_s(&rates, object), 18.1, 0.2);
    ck_assert_double_eq_tol(object_rates_per_s(&rates, ~object), 0, 1e-9);
    object_rates_decay(&rates, now_ms + 20000);
    ck_assert_double_eq_tol(object_rates_per_s(&rates, object), 0, 1e-9);
}
END_TEST

START_TEST(choice_without_object_uses_any_free_backend)
{
    /* Any backend with a free slot serves requests without an object. */
    choice_fixture_t *fixture = new_choice();
    static const char *const ids[] = {"u1", "u2", "u3", "u4", "u5", "u6"};
    for (size_t i = 0; i < ALEN(ids); i++)
        add_backend(fixture, ids[i], "a1")->in_flight = 6;
    fixture->backends.items[4]->in_flight = 3;
    choice_reason_t reason;
    for (uint64_t request = 1; request < 100; request++) {
        fixture->input.object = request * 0x9e3779b97f4a7c15ULL;
        fixture->input.has_object = false;
        ck_assert_ptr_eq(select_backend(&fixture->input, &reason), fixture->backends.items[4]);
    }
    free_choice(fixture);
}
END_TEST

START_TEST(choice_leaves_a_region_only_without_a_usable_backend)
{
    choice_fixture_t *fixture = new_choice();
    add_backend(fixture, "u1", "a1")->in_flight = 20;
    backend_t *remote = add_backend(fixture, "u2", "b1");
    choice_reason_t reason;
    ck_assert_ptr_null(select_backend(&fixture->input, &reason));
    ck_assert_int_eq(reason, CHOICE_FULL);
    fixture->backends.items[0]->hall_closed = true;
    ck_assert_ptr_eq(select_backend(&fixture->input, &reason), remote);
    ck_assert_int_eq(reason, CHOICE_OTHER_REGION);
    free_choice(fixture);
}
END_TEST

START_TEST(choice_prefers_own_hall_for_large_responses)
{
    choice_fixture_t *fixture = new_choice();
    fixture->config->routes[0].large = true;
    add_backend(fixture, "u1", "a2");
    backend_t *own = add_backend(fixture, "u2", "a1");
    add_backend(fixture, "u3", "b1");
    choice_reason_t reason;
    for (uint64_t object = 1; object < 50; object++) {
        fixture->input.object = object * 0x9e3779b97f4a7c15ULL;
        ck_assert_ptr_eq(select_backend(&fixture->input, &reason), own);
    }
    own->in_flight = 20;
    ck_assert_str_eq(select_backend(&fixture->input, &reason)->info.id.ptr, "u1");
    /* Large responses leave the region only if it has no usable backend, not if all are full. */
    fixture->backends.items[0]->in_flight = 20;
    ck_assert_ptr_null(select_backend(&fixture->input, &reason));
    fixture->backends.items[0]->info.leaving = true;
    own->hall_closed = true;
    const backend_t *remote = select_backend(&fixture->input, &reason);
    ck_assert_ptr_nonnull(remote);
    ck_assert_str_eq(remote->info.id.ptr, "u3");
    free_choice(fixture);
}
END_TEST

/* The first of the own hall is full for longer than the caller waits. Another hall's first, which
 * keeps objects of its own, comes before the run of another one of the own hall without the object.
 */
START_TEST(first_of_another_hall_comes_before_a_run_without_the_object)
{
    choice_fixture_t *fixture = new_choice();
    choice_reason_t reason;
    fixture->config->routes[0].large = true;
    for (unsigned i = 0; i < 6; i++) {
        char id[16];
        snprintf(id, sizeof(id), "u%u", i);
        add_backend(fixture, id, i < 3 ? "a1" : "a2")->service_time_ms = RUN_MS / 10.0;
    }
    for (uint64_t object = 1; object < 50; object++) {
        fixture->input.object = object * 0x9e3779b97f4a7c15ULL;
        backend_t *first = select_backend(&fixture->input, &reason);
        ck_assert_str_eq(first->info.hall.ptr, "a1");
        first->in_flight = 100;
        const backend_t *next = select_backend(&fixture->input, &reason);
        ck_assert_str_eq(next->info.hall.ptr, "a2");
        first->in_flight = 0;
    }
    free_choice(fixture);
}
END_TEST

START_TEST(choice_sends_large_responses_to_planned_region)
{
    choice_fixture_t *fixture = new_choice();
    choice_reason_t reason;
    size_t away = 0;
    fixture->config->routes[0].large = true;
    backend_t *own = add_backend(fixture, "u1", "a1");
    backend_t *remote = add_backend(fixture, "u2", "b1");
    fixture->plan = (region_plan_t){.share = {0.25, 0.75}, .region_count = 3, .started = true};
    for (uint64_t object = 1; object <= 1000; object++) {
        fixture->input.object = object * 0x9e3779b97f4a7c15ULL;
        away += select_backend(&fixture->input, &reason) == remote;
    }
    ck_assert(away > 550 && away < 650);
    /* A full backend in the planned region is no reason to leave it. Without a usable backend
     * there, the own region comes first. */
    fixture->input.object = UINT64_MAX;
    remote->in_flight = 20;
    ck_assert_ptr_null(select_backend(&fixture->input, &reason));
    remote->info.leaving = true;
    add_backend(fixture, "u3", "c1");
    ck_assert_ptr_eq(select_backend(&fixture->input, &reason), own);
    own->in_flight = 20;
    ck_assert_ptr_null(select_backend(&fixture->input, &reason));
    free_choice(fixture);
}
END_TEST

START_TEST(choice_respects_allowed_regions_and_tried_backends)
{
    choice_fixture_t *fixture = new_choice();
    backend_t *own = add_backend(fixture, "u1", "a1");
    backend_t *remote = add_backend(fixture, "u2", "c1");
    config_route_t *route = &fixture->config->routes[0];
    route->regions.items = xcalloc(1, sizeof(*route->regions.items));
    route->regions.count = 1;
    name_set(&route->regions.items[0], STR("c"));
    choice_reason_t reason;
    ck_assert_ptr_eq(select_backend(&fixture->input, &reason), remote);
    fixture->input.tried = &remote;
    fixture->input.tried_count = 1;
    ck_assert_ptr_null(select_backend(&fixture->input, &reason));
    ck_assert_int_eq(reason, CHOICE_NONE);
    ck_assert_ptr_nonnull(own);
    free_choice(fixture);
}
END_TEST

/* Regions a (own), b and c; the plan keeps all requests at home. Requests that the account
 * restricts to b and c go to both, by their slots; if route and account allow no common region,
 * they go nowhere. */
START_TEST(choice_spreads_requests_over_allowed_regions)
{
    choice_fixture_t *fixture = new_choice();
    name_t of_account[2];
    name_t of_route[1];
    region_plan_t plan = {
        .share = {1, 0, 0}, .slots = {90, 30, 10}, .region_count = 3, .started = true};
    config_account_t account = {.regions = {2, of_account}};
    unsigned got[2] = {0};
    choice_reason_t reason;
    ck_assert(name_set(&of_account[0], STR("b")) && name_set(&of_account[1], STR("c")));
    add_backend(fixture, "u1", "a1");
    backend_t *const bound[] = {add_backend(fixture, "u2", "b1"), add_backend(fixture, "u3", "c1")};
    fixture->input.plan = &plan;
    fixture->input.account = &account;
    for (uint64_t i = 0; i < 1000; i++) {
        fixture->input.object = i * (UINT64_MAX / 1000);
        const backend_t *picked = select_backend(&fixture->input, &reason);
        ck_assert(picked == bound[0] || picked == bound[1]);
        got[picked == bound[1]]++;
    }
    ck_assert(got[0] > 700 && got[0] < 800);
    ck_assert(name_set(&of_route[0], STR("a")));
    config_route_t *route = &fixture->config->routes[0];
    route->regions = (config_regions_t){1, of_route};
    ck_assert_ptr_null(select_backend(&fixture->input, &reason));
    ck_assert_int_eq(reason, CHOICE_NONE);
    route->regions = (config_regions_t){0};
    free_choice(fixture);
}
END_TEST

static void
fail_often(backend_t *backend, uint64_t now_ms)
{
    for (int i = 0; i < 6; i++)
        health_record(&backend->health, true, now_ms);
}

START_TEST(choice_uses_avoided_backends_without_spare_capacity)
{
    choice_fixture_t *fixture = new_choice();
    static const char *const ids[] = {"u1", "u2", "u3", "u4"};
    for (size_t i = 0; i < ALEN(ids); i++)
        add_backend(fixture, ids[i], "a1");
    choice_reason_t reason;
    backend_t *first = select_backend(&fixture->input, &reason);
    fail_often(first, 5000);
    health_record(&first->health, true, 5000);
    fixture->plan.slots[0] = 16;
    fixture->plan.measured_peak = 8; /* three quarters of the slots can carry the demand */
    ck_assert_ptr_ne(select_backend(&fixture->input, &reason), first);
    fixture->plan.measured_peak = 13;
    ck_assert_ptr_eq(select_backend(&fixture->input, &reason), first);
    free_choice(fixture);
}
END_TEST

START_TEST(choice_avoids_failing_backends)
{
    choice_fixture_t *fixture = new_choice();
    static const char *const ids[] = {"u1", "u2", "u3", "u4"};
    for (size_t i = 0; i < ALEN(ids); i++)
        add_backend(fixture, ids[i], "a1");
    choice_reason_t reason;
    backend_t *first = select_backend(&fixture->input, &reason);
    /* A failure or two do not move the backend's objects. */
    health_record(&first->health, true, 5000);
    health_record(&first->health, true, 5000);
    ck_assert_ptr_eq(select_backend(&fixture->input, &reason), first);
    fail_often(first, 5000);
    ck_assert_ptr_ne(select_backend(&fixture->input, &reason), first);
    /* The backend is tried again after a while. */
    fixture->input.now_ms = 7000;
    ck_assert_ptr_ne(select_backend(&fixture->input, &reason), first);
    fixture->input.now_ms = 13000;
    ck_assert_ptr_eq(select_backend(&fixture->input, &reason), first);
    /* If most backends fail, all are used as usual. */
    fixture->input.now_ms = 13100;
    for (size_t i = 0; i < 3; i++)
        fail_often(fixture->backends.items[i], 13100);
    ck_assert_ptr_eq(select_backend(&fixture->input, &reason), first);
    free_choice(fixture);
}
END_TEST

START_TEST(choice_sends_suspected_requests_to_least_loaded)
{
    choice_fixture_t *fixture = new_choice();
    choice_reason_t reason;
    for (int i = 0; i < 6; i++) {
        char id[8];
        snprintf(id, sizeof(id), "s%d", i);
        add_backend(fixture, id, "a1")->in_flight = 2;
    }
    backend_t *idle = add_backend(fixture, "s7", "a1");
    fixture->input.suspected = true;
    for (uint64_t object = 1; object < 20; object++) {
        fixture->input.object = object * 0x9e3779b97f4a7c15ULL;
        ck_assert_ptr_eq(select_backend(&fixture->input, &reason), idle);
    }
    /* Cold backends are used only if there is no other. */
    idle->cold_until_ms = fixture->input.now_ms + 1000;
    ck_assert_ptr_ne(select_backend(&fixture->input, &reason), idle);
    free_choice(fixture);
}
END_TEST

START_TEST(choice_paces_cold_backends)
{
    choice_fixture_t *fixture = new_choice();
    backend_t *cold = add_backend(fixture, "u1", "a1");
    const cold_sender_t self = {.key = 7, .mesh = 0};
    cold->cold_until_ms = 9000;
    cold_start_begin(&cold->cold_tokens, 10, 5000);
    fixture->input.own_key = 7;
    fixture->input.senders = &self;
    fixture->input.sender_count = 1;
    choice_reason_t reason;
    ck_assert_ptr_eq(select_backend(&fixture->input, &reason), cold);
    cold_start_count_send(&cold->cold_tokens, 5000);
    ck_assert_ptr_null(select_backend(&fixture->input, &reason));
    fixture->input.now_ms = 5300;
    ck_assert_ptr_eq(select_backend(&fixture->input, &reason), cold);
    fixture->input.senders_settled = false;
    ck_assert_ptr_null(select_backend(&fixture->input, &reason));
    free_choice(fixture);
}
END_TEST

Suite *
suite_gateway_choice(void)
{
    Suite *suite = suite_create("gateway: choice");
    TCase *tests = tcase_create("choice");
    tcase_add_test(tests, long_list_is_covered_by_its_slices);
    tcase_add_test(tests, backends_of_other_services_are_told_apart);
    tcase_add_test(tests, choice_is_the_same_on_every_instance);
    tcase_add_test(tests, choices_without_counted_work_are_as_before);
    tcase_add_test(tests, choice_remaps_only_objects_of_a_leaving_backend);
    tcase_add_test(tests, choice_stays_with_the_backend_holding_the_object);
    tcase_add_test(tests, request_is_taken_while_one_backend_of_many_has_time_for_it);
    tcase_add_test(tests, choice_replicates_objects_in_high_demand);
    tcase_add_test(tests, replicas_follow_the_demand);
    tcase_add_test(tests, object_rates_decay_and_need_enough_counts);
    tcase_add_test(tests, choice_without_object_uses_any_free_backend);
    tcase_add_test(tests, choice_leaves_a_region_only_without_a_usable_backend);
    tcase_add_test(tests, choice_prefers_own_hall_for_large_responses);
    tcase_add_test(tests, first_of_another_hall_comes_before_a_run_without_the_object);
    tcase_add_test(tests, choice_sends_large_responses_to_planned_region);
    tcase_add_test(tests, choice_respects_allowed_regions_and_tried_backends);
    tcase_add_test(tests, choice_uses_avoided_backends_without_spare_capacity);
    tcase_add_test(tests, choice_avoids_failing_backends);
    tcase_add_test(tests, choice_spreads_requests_over_allowed_regions);
    tcase_add_test(tests, choice_paces_cold_backends);
    tcase_add_test(tests, choice_sends_suspected_requests_to_least_loaded);
    suite_add_tcase(suite, tests);
    return suite;
}
