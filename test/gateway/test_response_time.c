/* Choice by expected response time, and what is known of queues. Guards against requests that wait
 * at a slow or full backend server while another one would respond earlier, and against many
 * instances that all leave for the same one. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/xmalloc.h"
#include "gateway/membership/load_gossip.h"
#include "gateway/policy/choice.h"
#include "gateway/policy/response_time.h"
#include "test/gateway/fixture.h"
#include "test/suites.h"

enum { NOW_MS = 50000, SLOTS = 4, WORK_MS = 400 };

/* ---- estimate ---- */

START_TEST(estimate_adds_run_queue_slow_moment_and_way)
{
    static const struct {
        double in_memory;
        double slowdown;
        double load;
        response_way_t way;
        double expected_ms;
    } rows[] = {
        {1, 0, 0, WAY_OWN_HALL, 401},
        {1, 1, 3, WAY_OWN_HALL, 401},   /* the last free slot */
        {0, 0, 0, WAY_OWN_HALL, 1321},  /* without the object */
        {0.5, 0, 0, WAY_OWN_HALL, 861}, /* the mean of both */
        {1, 0, 4, WAY_OWN_HALL, 426},   /* half of the time between two completions */
        {1, 0, 8, WAY_OWN_HALL, 626},
        {1, 2.5, 0, WAY_OWN_HALL, 693}, /* 400 + 0.6 * 600 * (1 - exp(-1.667)) */
        {0, 2.5, 0, WAY_OWN_HALL, 1680},
        {1, 0, 0, WAY_OWN_REGION, 405},
        {1, 0, 0, WAY_OTHER_REGION, 470},
    };
    for (size_t i = 0; i < ALEN(rows); i++) {
        const response_candidate_t candidate = {
            .work_ms = WORK_MS,
            .queue_work_ms = 200,
            .in_memory = rows[i].in_memory,
            .slowdown = rows[i].slowdown,
            .load = rows[i].load,
            .slots = SLOTS,
            .way = rows[i].way,
        };
        ck_assert_double_eq_tol(response_time_ms(&candidate), rows[i].expected_ms, 1);
    }
}
END_TEST

START_TEST(only_the_beginning_of_a_long_run_is_slowed)
{
    response_candidate_t candidate = {.in_memory = 1, .slowdown = 2.5, .slots = SLOTS};
    candidate.work_ms = 10;
    ck_assert_double_eq_tol(response_time_ms(&candidate), 1 + 25, 1);
    candidate.work_ms = 6000;
    ck_assert_double_eq_tol(response_time_ms(&candidate), 1 + 6000 + 360, 1);
}
END_TEST

START_TEST(a_copy_is_in_memory_where_its_object_is_asked_for_often)
{
    ck_assert_double_eq(response_time_copy_in_memory(0), 0);
    ck_assert_double_lt(response_time_copy_in_memory(0.1), 0.1);
    ck_assert_double_gt(response_time_copy_in_memory(5), 0.99);
}
END_TEST

/* ---- choice ---- */

typedef struct {
    topology_t topology;
    backends_t backends;
    region_plan_t plan;
    config_t *config;
    choice_input_t input;
} fixture_t;

static fixture_t *
new_fixture(size_t backend_count)
{
    fixture_t *fixture = xcalloc(1, sizeof(*fixture));
    fixture->topology = three_regions();
    fixture->config = config_new(1, 0);
    fill_route(&fixture->config->routes[0], "h", "/");
    fixture->plan =
        (region_plan_t){.share = {1}, .slots = {100}, .region_count = 3, .started = true};
    for (size_t i = 0; i < backend_count; i++) {
        char id[16];
        backend_info_t info = {.capacity = SLOTS, .born = 1};
        snprintf(id, sizeof(id), "u%03zu", i);
        name_set(&info.id, str_from(id));
        name_set(&info.service, STR("svc"));
        name_set(&info.hall, STR("a1"));
        backend_t *backend =
            backends_put(&fixture->backends, &info, &fixture->topology, NULL, NOW_MS);
        backend->cold_until_ms = 0;
        backend->service_time_ms = WORK_MS;
        backend->drain_work_ms = WORK_MS;
    }
    fixture->input = (choice_input_t){
        .backends = &fixture->backends,
        .topology = &fixture->topology,
        .route = &fixture->config->routes[0],
        .service = STR("svc"),
        .plan = &fixture->plan,
        .own_hall = STR("a1"),
        .object = 0x1234567890abcdefULL,
        .has_object = true,
        .now_ms = NOW_MS,
        .senders_settled = true,
        .request = {.left_ms = 1000, .median_ms = WORK_MS},
        .by_response_time = true,
        .object_per_s = 5,
        .work_ms = WORK_MS,
        .service_work_ms = WORK_MS,
    };
    return fixture;
}

static void
free_fixture(fixture_t *fixture)
{
    backends_free(&fixture->backends);
    config_unref(fixture->config);
    free(fixture);
}

/* Finds the first two candidates of the object. */
static void
find_two(const choice_input_t *input, backend_t *out[2])
{
    ck_assert_uint_eq(choice_first_candidates(input, out, 2), 2);
}

static void
report(backend_t *backend, uint32_t running, uint32_t waiting, uint32_t pace_percent)
{
    const reported_load_t load = {
        .running = running, .waiting = waiting, .slots = SLOTS, .pace_percent = pace_percent};
    backend_report_load(backend, &load, NOW_MS);
}

static void
ck_assert_chosen(const choice_input_t *input, const backend_t *expected, choice_reason_t reason)
{
    const choice_t choice = choice_make(input);
    ck_assert_ptr_eq(choice.backend, expected);
    ck_assert_int_eq(choice.reason, reason);
}

START_TEST(slow_first_gives_way_to_a_fast_second)
{
    fixture_t *fixture = new_fixture(20);
    backend_t *two[2];
    find_two(&fixture->input, two);
    report(two[0], 1, 0, 250);
    report(two[1], 1, 0, 100);
    ck_assert_chosen(&fixture->input, two[1], CHOICE_FASTER);

    report(two[0], 1, 0, 100); /* as usual again: the copy falls out of use */
    ck_assert_chosen(&fixture->input, two[0], CHOICE_FIRST);
    free_fixture(fixture);
}
END_TEST

START_TEST(first_stays_where_the_second_is_no_better)
{
    fixture_t *fixture = new_fixture(20);
    backend_t *two[2];
    find_two(&fixture->input, two);
    report(two[0], 1, 0, 250);
    report(two[1], 1, 0, 250); /* slow as well */
    ck_assert_chosen(&fixture->input, two[0], CHOICE_FIRST);

    report(two[1], 1, 0, 100);
    fixture->input.object_per_s = 0.2; /* the object is hardly in memory there */
    ck_assert_chosen(&fixture->input, two[0], CHOICE_FIRST);

    fixture->input.object_per_s = 5;
    report(two[0], 1, 0, 105); /* within the margin */
    ck_assert_chosen(&fixture->input, two[0], CHOICE_FIRST);

    report(two[0], 1, 0, 250);
    fixture->plan.measured_peak = 90; /* no slots to spare for another run without the object */
    fixture->plan.peak[0] = 90;
    ck_assert_double_gt(region_plan_use(&fixture->plan), 0.8);
    ck_assert_chosen(&fixture->input, two[0], CHOICE_FIRST);
    free_fixture(fixture);
}
END_TEST

START_TEST(full_first_gives_way_within_the_callers_time_only)
{
    fixture_t *fixture = new_fixture(20);
    backend_t *two[2];
    find_two(&fixture->input, two);
    report(two[0], SLOTS, 3 * SLOTS, 0);
    ck_assert_chosen(&fixture->input, two[1], CHOICE_FASTER);

    fixture->input.object_per_s = 0; /* 1,321 ms there: refused, as without a copy */
    ck_assert_chosen(&fixture->input, NULL, CHOICE_FULL);
    fixture->input.request.left_ms = 1400;
    ck_assert_chosen(&fixture->input, two[1], CHOICE_FASTER);
    free_fixture(fixture);
}
END_TEST

START_TEST(second_without_reports_replaces_a_full_first_only)
{
    fixture_t *fixture = new_fixture(20);
    backend_t *two[2];
    find_two(&fixture->input, two);
    report(two[0], 1, 0, 250);
    ck_assert_chosen(&fixture->input, two[0], CHOICE_FIRST);
    report(two[0], SLOTS, 3 * SLOTS, 250);
    ck_assert_chosen(&fixture->input, two[1], CHOICE_FASTER);
    free_fixture(fixture);
}
END_TEST

START_TEST(choice_is_as_before_where_no_work_is_counted)
{
    enum { OBJECTS = 2000 };
    fixture_t *plain = new_fixture(20);
    fixture_t *telling = new_fixture(20);
    fixture_t *counted = new_fixture(20);
    plain->input.by_response_time = telling->input.by_response_time = false;
    for (size_t i = 0; i < plain->backends.count; i++) {
        const uint32_t running = (uint32_t)i % (SLOTS + 1);
        const uint32_t waiting = running == SLOTS ? (uint32_t)i : 0;
        report(plain->backends.items[i], running, waiting, 0);
        report(telling->backends.items[i], running, waiting, i % 3 == 0 ? 250 : 100);
        report(counted->backends.items[i], i % SLOTS, 0, 100);
    }
    for (uint64_t i = 1; i <= OBJECTS; i++) {
        plain->input.object = telling->input.object = counted->input.object =
            i * 0x9e3779b97f4a7c15ULL;
        const choice_t before = choice_make(&plain->input);
        const choice_t after = choice_make(&telling->input);
        ck_assert_int_eq(before.reason, after.reason);
        ck_assert_int_eq(before.backend != NULL, after.backend != NULL);
        if (before.backend != NULL)
            ck_assert_str_eq(before.backend->info.id.ptr, after.backend->info.id.ptr);
        /* Also where work is counted, while no backend server is slow or full. */
        ck_assert_int_eq(choice_make(&counted->input).reason, CHOICE_FIRST);
    }
    free_fixture(plain);
    free_fixture(telling);
    free_fixture(counted);
}
END_TEST

/* ---- many instances ---- */

enum { HERD_BACKENDS = 40, HERD_OBJECTS = 4000 };

/* Of the objects of the slow backend, counts those that go to each other one, and all. */
static unsigned
count_moves(fixture_t *fixture, const backend_t *slow, unsigned *to)
{
    unsigned moved = 0;
    for (uint64_t i = 1; i <= HERD_OBJECTS; i++) {
        backend_t *two[2];
        fixture->input.object = i * 0x9e3779b97f4a7c15ULL;
        find_two(&fixture->input, two);
        if (two[0] != slow)
            continue;
        const choice_t choice = choice_make(&fixture->input);
        for (size_t k = 0; k < fixture->backends.count; k++)
            to[k] += fixture->backends.items[k] == choice.backend;
        moved++;
    }
    return moved;
}

static unsigned
max_of(const unsigned *counts, size_t count)
{
    unsigned max = 0;
    for (size_t i = 0; i < count; i++)
        max = counts[i] > max ? counts[i] : max;
    return max;
}

/* 300 instances with the same reports; what one of them chooses for an object all do. */
START_TEST(instances_with_the_same_report_do_not_choose_the_same_other)
{
    fixture_t *fixture = new_fixture(HERD_BACKENDS);
    unsigned to[HERD_BACKENDS] = {0};
    unsigned after[HERD_BACKENDS] = {0};
    backend_t *slow = fixture->backends.items[7];
    for (size_t i = 0; i < HERD_BACKENDS; i++)
        report(fixture->backends.items[i], 1, 0, 100);
    report(slow, SLOTS, 5 * SLOTS, 250);
    const unsigned moved = count_moves(fixture, slow, to);
    ck_assert_uint_gt(moved, HERD_OBJECTS / HERD_BACKENDS / 2);
    ck_assert_uint_eq(to[7], 0);
    ck_assert_uint_le(max_of(to, HERD_BACKENDS), moved / 8);

    /* The one that got most of them ends: its share is spread as well. */
    size_t ended = 0;
    for (size_t i = 0; i < HERD_BACKENDS; i++)
        ended = to[i] > to[ended] ? i : ended;
    fixture->backends.items[ended]->stated_leaving = true;
    const unsigned moved_after = count_moves(fixture, slow, after);
    ck_assert_uint_ge(moved_after, moved); /* it was the first one of some objects, too */
    ck_assert_uint_eq(after[ended], 0);
    ck_assert_uint_eq(after[7], 0);
    ck_assert_uint_le(max_of(after, HERD_BACKENDS), moved_after / 8);
    free_fixture(fixture);
}
END_TEST

/* Instances in turn send requests about one object whose first backend is full. Each knows what
 * the second one reported last: it gets no more than admission allows. */
START_TEST(requests_about_one_object_fill_no_second_backend)
{
    enum { INSTANCES = 300 };
    fixture_t *fixture = new_fixture(HERD_BACKENDS);
    backend_t *two[2];
    find_two(&fixture->input, two);
    uint32_t sent = 0;
    for (int i = 0; i < INSTANCES; i++) {
        report(two[0], SLOTS, 5 * SLOTS, 0);
        report(two[1], sent < SLOTS ? sent : SLOTS, sent > SLOTS ? sent - SLOTS : 0, 0);
        const choice_t choice = choice_make(&fixture->input);
        ck_assert(choice.backend == two[1] || choice.backend == NULL);
        sent += choice.backend == two[1];
    }
    ck_assert_uint_ge(sent, SLOTS);
    ck_assert_uint_le(sent, SLOTS * fixture->input.request.left_ms / WORK_MS);
    free_fixture(fixture);
}
END_TEST

/* ---- queues ---- */

START_TEST(queue_drains_at_the_rate_of_its_slots)
{
    fixture_t *fixture = new_fixture(1);
    backend_t *backend = fixture->backends.items[0];
    backend->drain_work_ms = 2000;
    report(backend, SLOTS, 20, 0);
    /* 4 slots finish 2 requests a second. */
    ck_assert_double_eq_tol(backend_load(backend, NOW_MS + 1000), 22, 0.01);
    ck_assert_double_eq_tol(backend_load(backend, NOW_MS + 10000), SLOTS, 0.01);
    ck_assert_double_eq_tol(backend_load(backend, NOW_MS + 10400), SLOTS / 2.0, 0.01);
    /* Where no work is counted, by half-life as before. */
    backend->drain_work_ms = 0;
    ck_assert_double_eq_tol(backend_load(backend, NOW_MS + 400), 12, 0.01);
    free_fixture(fixture);
}
END_TEST

START_TEST(requests_are_not_sent_into_a_queue_reported_a_second_ago)
{
    fixture_t *fixture = new_fixture(1);
    report(fixture->backends.items[0], SLOTS, 20, 0);
    fixture->input.now_ms = NOW_MS + 1000;
    ck_assert_chosen(&fixture->input, NULL, CHOICE_FULL);
    fixture->input.now_ms = NOW_MS + 4000;
    ck_assert_chosen(&fixture->input, fixture->backends.items[0], CHOICE_FIRST);
    free_fixture(fixture);
}
END_TEST

/* Passes what one instance knows on to another, as in a heartbeat; returns the bytes. */
static size_t
pass_on(const fixture_t *from, const fixture_t *to, uint64_t now_ms)
{
    load_message_t loads;
    Iris__GatewayHeartbeat message = IRIS__GATEWAY_HEARTBEAT__INIT;
    message.n_loads = load_gossip_fill(&loads, &from->backends, now_ms);
    message.loads = loads.list;
    const size_t size = iris__gateway_heartbeat__get_packed_size(&message);
    uint8_t *packed = xcalloc(1, size + 1);
    iris__gateway_heartbeat__pack(&message, packed);
    Iris__GatewayHeartbeat *read = iris__gateway_heartbeat__unpack(NULL, size, packed);
    ck_assert_ptr_nonnull(read);
    load_gossip_merge(&to->backends, read->loads, read->n_loads, now_ms);
    iris__gateway_heartbeat__free_unpacked(read, NULL);
    free(packed);
    return size;
}

START_TEST(queues_are_passed_on_once_with_their_age)
{
    fixture_t *one = new_fixture(3);
    fixture_t *two = new_fixture(3);
    report(one->backends.items[0], SLOTS, 20, 0);
    report(one->backends.items[1], SLOTS, 0, 0); /* no queue */
    ck_assert_uint_gt(pass_on(one, two, NOW_MS + 500), 0);
    ck_assert_double_eq_tol(backend_load(two->backends.items[0], NOW_MS + 500),
                            backend_load(one->backends.items[0], NOW_MS + 500), 0.01);
    ck_assert_double_eq(backend_load(two->backends.items[1], NOW_MS + 500), 0);
    ck_assert_uint_eq(pass_on(one, two, NOW_MS + 600), 0);
    ck_assert_uint_eq(pass_on(two, one, NOW_MS + 600), 0); /* only by who heard it itself */
    free_fixture(one);
    free_fixture(two);
}
END_TEST

START_TEST(newer_own_report_and_other_incarnation_are_kept)
{
    fixture_t *one = new_fixture(2);
    fixture_t *two = new_fixture(2);
    report(one->backends.items[0], SLOTS, 20, 0);
    report(one->backends.items[1], SLOTS, 20, 0);
    report(two->backends.items[0], 1, 0, 0);
    two->backends.items[0]->load_reported_ms = NOW_MS + 100;
    backend_info_t restarted = two->backends.items[1]->info;
    restarted.born = 2;
    backend_set_info(two->backends.items[1], &restarted);
    pass_on(one, two, NOW_MS + 200);
    ck_assert_double_lt(backend_load(two->backends.items[0], NOW_MS + 200), 1.01);
    ck_assert_double_eq(backend_load(two->backends.items[1], NOW_MS + 200), 0);
    free_fixture(one);
    free_fixture(two);
}
END_TEST

START_TEST(queue_is_assumed_where_attempts_are_overdue)
{
    fixture_t *one = new_fixture(1);
    fixture_t *two = new_fixture(1);
    backend_t *backend = one->backends.items[0];
    report(backend, 1, 0, 0);
    ck_assert_uint_eq(pass_on(one, two, NOW_MS), 0);
    backend_attempt_overdue(backend, NOW_MS + 2000);
    backend_attempt_overdue(backend, NOW_MS + 2100);
    ck_assert_uint_gt(pass_on(one, two, NOW_MS + 2200), 0);
    ck_assert_double_ge(backend_load(two->backends.items[0], NOW_MS + 2200), 2 * SLOTS);
    two->input.now_ms = NOW_MS + 2200;
    ck_assert_chosen(&two->input, NULL, CHOICE_FULL);
    /* It grows with the silence of the backend server, and is told again. */
    ck_assert_uint_gt(pass_on(one, two, NOW_MS + 9000), 0);
    ck_assert_double_eq_tol(backend_load(two->backends.items[0], NOW_MS + 9000),
                            SLOTS * (2 + 7000.0 / WORK_MS), 0.01);
    report(backend, 1, 0, 0);
    backend->heard_ms = NOW_MS + 9100; /* it responded */
    ck_assert_uint_eq(pass_on(one, two, NOW_MS + 9200), 0);
    backend->heard_ms = 0;
    backend->reports_pace = true; /* it reports its pace: a slow moment may be the reason */
    ck_assert_uint_eq(pass_on(one, two, NOW_MS + 9250), 0);
    backend->reports_pace = false;
    backend_overdue_ended(backend);
    backend_overdue_ended(backend);
    ck_assert_uint_eq(pass_on(one, two, NOW_MS + 9300), 0);
    free_fixture(one);
    free_fixture(two);
}
END_TEST

START_TEST(passed_on_reports_are_few_and_the_newest)
{
    enum { BACKENDS = 300, BYTES_EACH_MAX = 18 };
    fixture_t *one = new_fixture(BACKENDS);
    fixture_t *two = new_fixture(BACKENDS);
    for (size_t i = 0; i < BACKENDS; i++) {
        report(one->backends.items[i], SLOTS, 20, 0);
        one->backends.items[i]->load_reported_ms = NOW_MS + i;
    }
    const size_t size = pass_on(one, two, NOW_MS + BACKENDS);
    ck_assert_uint_le(size, LOAD_REPORTS_MAX * BYTES_EACH_MAX);
    for (size_t i = 0; i < BACKENDS; i++) {
        const bool is_newest = i >= BACKENDS - LOAD_REPORTS_MAX;
        ck_assert_int_eq(backend_load(two->backends.items[i], NOW_MS + BACKENDS) > 0, is_newest);
    }
    free_fixture(one);
    free_fixture(two);
}
END_TEST

START_TEST(nothing_is_passed_on_where_no_work_is_counted)
{
    fixture_t *one = new_fixture(1);
    fixture_t *two = new_fixture(1);
    report(one->backends.items[0], SLOTS, 20, 0);
    one->backends.items[0]->drain_work_ms = 0;
    ck_assert_uint_eq(pass_on(one, two, NOW_MS), 0);
    free_fixture(one);
    free_fixture(two);
}
END_TEST

Suite *
suite_gateway_response_time(void)
{
    Suite *suite = suite_create("gateway: response_time");
    TCase *tests = tcase_create("response_time");
    tcase_add_test(tests, estimate_adds_run_queue_slow_moment_and_way);
    tcase_add_test(tests, only_the_beginning_of_a_long_run_is_slowed);
    tcase_add_test(tests, a_copy_is_in_memory_where_its_object_is_asked_for_often);
    tcase_add_test(tests, slow_first_gives_way_to_a_fast_second);
    tcase_add_test(tests, first_stays_where_the_second_is_no_better);
    tcase_add_test(tests, full_first_gives_way_within_the_callers_time_only);
    tcase_add_test(tests, second_without_reports_replaces_a_full_first_only);
    tcase_add_test(tests, choice_is_as_before_where_no_work_is_counted);
    tcase_add_test(tests, instances_with_the_same_report_do_not_choose_the_same_other);
    tcase_add_test(tests, requests_about_one_object_fill_no_second_backend);
    tcase_add_test(tests, queue_drains_at_the_rate_of_its_slots);
    tcase_add_test(tests, requests_are_not_sent_into_a_queue_reported_a_second_ago);
    tcase_add_test(tests, queues_are_passed_on_once_with_their_age);
    tcase_add_test(tests, newer_own_report_and_other_incarnation_are_kept);
    tcase_add_test(tests, queue_is_assumed_where_attempts_are_overdue);
    tcase_add_test(tests, passed_on_reports_are_few_and_the_newest);
    tcase_add_test(tests, nothing_is_passed_on_where_no_work_is_counted);
    suite_add_tcase(suite, tests);
    return suite;
}
