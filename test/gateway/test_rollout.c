/* A bad version is not found or a good one is called bad, or an order is not carried out and
 * recorded as the operators' page says. */
#include <string.h>

#include "base/counter.h"
#include "base/xmalloc.h"
#include "gateway/policy/rollout.h"
#include "test/gateway/site.h"
#include "test/suites.h"
#include "wire/fetch.h"

/* ---- policy ---- */

/* Counts of one route of a version, evenly over 12 groups of backend servers, beside versions that
 * answer within 240 ms. */
static rollout_counts_t
counts_of(uint32_t responses, uint32_t failures, uint32_t slow)
{
    enum { GROUPS = 12 };
    rollout_counts_t counts = {0};
    rollout_route_t *route = rollout_counts_route(&counts, 77);
    route->has_objects = true;
    route->base.responses = 1000;
    route->base.failures = 2;
    route->base.latency[rollout_bucket(240)] = 1000;
    for (uint32_t i = 0; i < responses; i++)
        route->target[i % GROUPS].responses++;
    for (uint32_t i = 0; i < failures; i++)
        route->target[i % GROUPS].failures++;
    for (uint32_t i = 0; i < slow; i++)
        route->target[i % GROUPS].slow++;
    counts.all = *route;
    counts.all.route = 0;
    return counts;
}

static rollout_verdict_t
judge(const rollout_counts_t *counts)
{
    uint64_t route;
    return rollout_judge(counts, &route);
}

START_TEST(verdict_needs_enough_responses)
{
    const rollout_counts_t few = counts_of(20, 0, 0);
    const rollout_counts_t enough = counts_of(40, 1, 0);
    ck_assert_int_eq(judge(&few), ROLLOUT_UNJUDGED);
    ck_assert_int_eq(judge(&enough), ROLLOUT_GOOD);
}
END_TEST

START_TEST(failing_and_slow_versions_are_found)
{
    const rollout_counts_t failing = counts_of(100, 25, 0);
    const rollout_counts_t slow = counts_of(100, 0, 50);
    ck_assert_int_eq(judge(&failing), ROLLOUT_FAILING);
    ck_assert_int_eq(judge(&slow), ROLLOUT_SLOW);
}
END_TEST

START_TEST(failures_of_the_other_versions_are_borne)
{
    rollout_counts_t counts = counts_of(100, 25, 0);
    counts.all.base.failures = 150;
    counts.routes[0].base.failures = 150;
    ck_assert_int_eq(judge(&counts), ROLLOUT_GOOD);
}
END_TEST

START_TEST(faults_of_single_backends_do_not_count)
{
    rollout_counts_t counts = counts_of(100, 0, 0);
    counts.all.target[3].failures = 8;
    counts.all.target[7].failures = 8;
    counts.routes[0] = counts.all;
    ck_assert_int_eq(judge(&counts), ROLLOUT_SUSPECT);
}
END_TEST

START_TEST(one_bad_route_condemns_the_version)
{
    rollout_counts_t counts = counts_of(2000, 5, 0);
    rollout_counts_t bad = counts_of(60, 15, 0);
    rollout_route_t *route = rollout_counts_route(&counts, 78);
    *route = bad.routes[0];
    route->route = 78;
    uint64_t decided = 0;
    ck_assert_int_eq(rollout_judge(&counts, &decided), ROLLOUT_FAILING);
    ck_assert_uint_eq(decided, 78);
}
END_TEST

START_TEST(runs_without_the_object_are_not_slow)
{
    rollout_counts_t counts = counts_of(0, 0, 0);
    rollout_route_t *route = &counts.routes[0];
    ck_assert(rollout_slow_ms(route) > 2.5 * 240 * 3.4);
    route->has_objects = false;
    ck_assert(rollout_slow_ms(route) > 2 * 240 && rollout_slow_ms(route) < 4 * 240);
    route->base.latency[rollout_bucket(240)] = 10;
    ck_assert(rollout_slow_ms(route) == 0);
}
END_TEST

START_TEST(share_stays_small_until_judged_and_ends_with_all)
{
    rollout_schedule_t schedule = {
        .elapsed_ms = 5000, .duration_ms = 12000, .judged = true, .canary_share = 0.06};
    ck_assert(rollout_share(&schedule) == 0.06);
    ck_assert(!rollout_ramp_is_due(&schedule));
    schedule.elapsed_ms = 6000;
    ck_assert(rollout_ramp_is_due(&schedule));
    schedule.judged = false;
    ck_assert(!rollout_ramp_is_due(&schedule));
    double last = 0;
    for (schedule.ramp_ms = 1; schedule.ramp_ms < 2400; schedule.ramp_ms += 100) {
        ck_assert(rollout_share(&schedule) > last);
        last = rollout_share(&schedule);
    }
    ck_assert(last < 1);
    schedule.ramp_ms = 2400;
    ck_assert(rollout_share(&schedule) == 1);
}
END_TEST

START_TEST(canary_of_a_small_service_uses_the_slack)
{
    const rollout_exposure_t exposure = {.share = 0.1, .slack = 50};
    ck_assert(rollout_canary_share(&exposure, 0, 12000) < 0.1);
    const double large = rollout_canary_share(&exposure, 1000, 12000);
    const double small = rollout_canary_share(&exposure, 30, 12000);
    ck_assert(large < 0.1 && small > 0.1 && small * 30 * 12 < 0.1 * 30 * 12 + 50);
}
END_TEST

/* ---- one instance with a store and backend servers ---- */

enum { OLD = 4, DURATION_S = 3 };

static site_t *
new_rollout_site(behaviour_t target)
{
    site_t *site = new_site(BACKENDS_MAX);
    for (size_t i = OLD; i < BACKENDS_MAX; i++) {
        site->backends[i].version = "v2";
        site->backends[i].behaviour = target;
        put_backend(site, &site->backends[i], "ready");
    }
    site->expose_share = 0.4;
    use_gateway(site, start_gateway(site, "g-1", &site->store_port, NULL));
    return site;
}

static void
order_version(site_t *site, const char *version)
{
    standin_store_put(site->store, "rollouts", "svc",
                      json_pack("{s:s, s:s, s:i}", "service", "svc", "targetVersion", version,
                                "durationS", DURATION_S),
                      NULL);
}

static bool
recorded_as(const site_t *site, const char *state)
{
    const char *recorded = standin_store_status(site->store, "rollouts", "svc", "state");
    return recorded != NULL && strcmp(recorded, state) == 0;
}

static size_t
target_runs(const site_t *site)
{
    size_t runs = 0;
    for (size_t i = OLD; i < BACKENDS_MAX; i++)
        runs += site->backends[i].runs;
    return runs;
}

/* Sends requests about changing objects until the state is recorded; returns how many failed. */
static size_t
send_until_recorded(site_t *site, const char *state, uint64_t max_ms)
{
    size_t failed = 0;
    const uint64_t until = uv_now(&site->loop) + max_ms;
    for (unsigned i = 0; !recorded_as(site, state) && uv_now(&site->loop) < until; i++)
        failed += ask_about(site, "GET", "/safe/x", i % OBJECTS).status != 200;
    ck_assert_msg(recorded_as(site, state), "not recorded as %s", state);
    return failed;
}

START_TEST(good_version_is_completed)
{
    site_t *site = new_rollout_site(DOES_ANSWER);
    RUN_UNTIL(site, is_ready(site));
    order_version(site, "v2");
    RUN_UNTIL(site, recorded_as(site, "running"));
    const size_t before = target_runs(site);
    ck_assert_uint_eq(send_until_recorded(site, "completed", DURATION_S * 1000), 0);
    ck_assert_uint_gt(target_runs(site), before);
    const size_t all = total_runs(site);
    const size_t target = target_runs(site);
    run_loop_ms(site, 500);
    for (unsigned i = 0; i < 20; i++)
        ask_about(site, "GET", "/safe/x", i);
    ck_assert_uint_eq(total_runs(site) - all, target_runs(site) - target);
}
END_TEST

START_TEST(failing_version_is_rolled_back_and_gets_no_more)
{
    site_t *site = new_rollout_site(DOES_FAIL);
    order_version(site, "v2");
    RUN_UNTIL(site, recorded_as(site, "running"));
    RUN_UNTIL(site, is_ready(site));
    send_until_recorded(site, "rolled_back", DURATION_S * 1000);
    const size_t runs = target_runs(site);
    for (unsigned i = 0; i < 50; i++)
        ck_assert_int_eq(ask_about(site, "GET", "/safe/x", i).status, 200);
    ck_assert_uint_eq(target_runs(site), runs);
    ck_assert_str_eq(standin_store_status(site->store, "rollouts", "svc", "targetVersion"), "v2");
}
END_TEST

START_TEST(version_without_backends_waits_until_its_deadline)
{
    site_t *site = new_rollout_site(DOES_ANSWER);
    RUN_UNTIL(site, is_ready(site));
    order_version(site, "v3");
    const uint64_t ordered_ms = uv_now(&site->loop);
    ck_assert_uint_eq(send_until_recorded(site, "rolled_back", 2 * DURATION_S * 1000), 0);
    ck_assert_uint_ge(uv_now(&site->loop) - ordered_ms, DURATION_S * 1000 - 100);
}
END_TEST

START_TEST(invalid_order_is_rolled_back_and_serving_goes_on)
{
    site_t *site = new_rollout_site(DOES_ANSWER);
    RUN_UNTIL(site, is_ready(site));
    standin_store_put(site->store, "rollouts", "svc",
                      json_pack("{s:s, s:s}", "service", "svc", "targetVersion", "v2"), NULL);
    RUN_UNTIL(site, recorded_as(site, "rolled_back"));
    ck_assert_int_eq(ask(site, "GET", "/safe/x").status, 200);
    standin_store_put(site->store, "rollouts", "svc", json_string("nonsense"), NULL);
    run_loop_ms(site, 600);
    ck_assert_int_eq(ask(site, "GET", "/safe/x").status, 200);
}
END_TEST

START_TEST(invalid_order_for_the_serving_version_stops_nothing)
{
    site_t *site = new_site(OLD);
    site->expose_share = 0.4;
    use_gateway(site, start_gateway(site, "g-1", &site->store_port, NULL));
    RUN_UNTIL(site, is_ready(site));
    standin_store_put(site->store, "rollouts", "svc",
                      json_pack("{s:s, s:s}", "service", "svc", "targetVersion", "v1"), NULL);
    RUN_UNTIL(site, recorded_as(site, "rolled_back"));
    ck_assert_int_eq(ask(site, "GET", "/safe/x").status, 200);
}
END_TEST

/* A verdict names its version: where the order has none that can be read, none is written, as the
 * store would never show what was to be recorded. */
START_TEST(order_without_a_readable_version_is_not_written_for_ever)
{
    enum { SPAN_MS = 5000 };
    char version[400];
    memset(version, 'v', sizeof(version));
    version[sizeof(version) - 1] = '\0';
    site_t *site = new_rollout_site(DOES_ANSWER);
    RUN_UNTIL(site, is_ready(site));
    counter_t *writes = counter_get("irisstall_store_calls_by_reason_total",
                                    "kind=\"rollouts\",call=\"record\",reason=\"rollout\"", "");
    standin_store_put(site->store, "rollouts", "no-version",
                      json_pack("{s:s, s:i}", "service", "svc", "durationS", DURATION_S), NULL);
    standin_store_put(site->store, "rollouts", "long-version",
                      json_pack("{s:s, s:s, s:i}", "service", "svc", "targetVersion", version,
                                "durationS", DURATION_S),
                      NULL);
    standin_store_put(site->store, "rollouts", "no-object", json_string("nonsense"), NULL);
    run_loop_ms(site, SPAN_MS);
    ck_assert_int_eq(counter_value(writes), 0);
    ck_assert_int_eq(ask(site, "GET", "/safe/x").status, 200);
}
END_TEST

/* The version that serves has been ordered itself, and is replaced by a bad one before it ends. */
START_TEST(bad_order_after_one_for_the_serving_version_keeps_serving)
{
    site_t *site = new_rollout_site(DOES_FAIL);
    RUN_UNTIL(site, is_ready(site));
    order_version(site, "v1");
    RUN_UNTIL(site, recorded_as(site, "running"));
    order_version(site, "v2");
    const size_t failed = send_until_recorded(site, "rolled_back", 2 * DURATION_S * 1000);
    const size_t runs = target_runs(site);
    for (unsigned i = 0; i < 20; i++)
        ck_assert_int_eq(ask_about(site, "GET", "/safe/x", i % OBJECTS).status, 200);
    ck_assert_uint_eq(target_runs(site), runs);
    ck_assert_uint_le(failed, total_runs(site) / 4);
}
END_TEST

/* The invalid order lets the unfinished target of the one before have no requests. */
START_TEST(invalid_order_does_not_admit_the_replaced_version)
{
    site_t *site = new_rollout_site(DOES_FAIL);
    RUN_UNTIL(site, is_ready(site));
    order_version(site, "v2");
    RUN_UNTIL(site, recorded_as(site, "running"));
    standin_store_put(site->store, "rollouts", "svc",
                      json_pack("{s:s, s:s}", "service", "svc", "targetVersion", "v1"), NULL);
    RUN_UNTIL(site, recorded_as(site, "rolled_back"));
    const size_t runs = target_runs(site);
    for (unsigned i = 0; i < 20; i++)
        ck_assert_int_eq(ask_about(site, "GET", "/safe/x", i % OBJECTS).status, 200);
    ck_assert_uint_eq(target_runs(site), runs);
}
END_TEST

START_TEST(replaced_order_starts_anew)
{
    site_t *site = new_rollout_site(DOES_ANSWER);
    RUN_UNTIL(site, is_ready(site));
    order_version(site, "v2");
    RUN_UNTIL(site, recorded_as(site, "running"));
    order_version(site, "v1");
    RUN_UNTIL(site,
              recorded_as(site, "running") &&
                  strcmp(standin_store_status(site->store, "rollouts", "svc", "targetVersion"),
                         "v1") == 0);
    standin_store_remove(site->store, "rollouts", "svc");
    run_loop_ms(site, 600);
    ck_assert_int_eq(ask(site, "GET", "/safe/x").status, 200);
}
END_TEST

START_TEST(verdict_is_recorded_once_the_store_is_back)
{
    site_t *site = new_rollout_site(DOES_FAIL);
    order_version(site, "v2");
    RUN_UNTIL(site, recorded_as(site, "running"));
    RUN_UNTIL(site, is_ready(site));
    standin_store_set_mode(site->store, STANDIN_STORE_BUSY);
    const uint64_t until = uv_now(&site->loop) + 1500;
    for (unsigned i = 0; uv_now(&site->loop) < until; i++)
        ask_about(site, "GET", "/safe/x", i % OBJECTS);
    const size_t runs = target_runs(site);
    for (unsigned i = 0; i < 50; i++)
        ck_assert_int_eq(ask_about(site, "GET", "/safe/x", i).status, 200);
    ck_assert_uint_eq(target_runs(site), runs);
    standin_store_set_mode(site->store, STANDIN_STORE_SERVES);
    RUN_UNTIL(site, recorded_as(site, "rolled_back"));
}
END_TEST

START_TEST(lost_answer_of_the_record_does_no_harm)
{
    site_t *site = new_rollout_site(DOES_ANSWER);
    RUN_UNTIL(site, is_ready(site));
    standin_store_set_mode(site->store, STANDIN_STORE_LOSES);
    order_version(site, "v2");
    RUN_UNTIL(site, recorded_as(site, "running"));
    send_until_recorded(site, "completed", DURATION_S * 1000);
}
END_TEST

typedef struct {
    store_outcome_t outcomes[2];
    size_t count;
} writes_t;

static void
on_recorded(void *ctx, const store_answer_t *answer)
{
    writes_t *writes = ctx;
    writes->outcomes[writes->count++] = answer->outcome;
}

/* Two instances record different states, both as of the same revision of the order. */
START_TEST(second_of_two_writers_meets_a_conflict)
{
    site_t *site = new_site(OLD);
    writes_t writes = {0};
    order_version(site, "v2");
    const uint64_t revision = standin_store_revision(site->store);
    site->store_port.record_rollout(site->store_port.ctx, STR("svc"), revision, ROLLOUT_ROLLED_BACK,
                                    STR("v2"), on_recorded, &writes);
    RUN_UNTIL(site, writes.count == 1);
    site->store_port.record_rollout(site->store_port.ctx, STR("svc"), revision, ROLLOUT_COMPLETED,
                                    STR("v2"), on_recorded, &writes);
    RUN_UNTIL(site, writes.count == 2);
    ck_assert_int_eq(writes.outcomes[0], STORE_OK);
    ck_assert_int_eq(writes.outcomes[1], STORE_CONFLICT);
    ck_assert(recorded_as(site, "rolled_back"));
}
END_TEST

/* Another instance was first: its final state holds here too, and is not written over. */
START_TEST(final_state_of_another_writer_holds)
{
    site_t *site = new_rollout_site(DOES_ANSWER);
    RUN_UNTIL(site, is_ready(site));
    order_version(site, "v2");
    RUN_UNTIL(site, recorded_as(site, "running"));
    standin_store_put(site->store, "rollouts", "svc",
                      json_pack("{s:s, s:s, s:i}", "service", "svc", "targetVersion", "v2",
                                "durationS", DURATION_S),
                      json_pack("{s:s, s:s}", "state", "rolled_back", "targetVersion", "v2"));
    run_loop_ms(site, 500);
    const size_t runs = target_runs(site);
    const uint64_t until = uv_now(&site->loop) + DURATION_S * 1000;
    for (unsigned i = 0; uv_now(&site->loop) < until; i++)
        ck_assert_int_eq(ask_about(site, "GET", "/safe/x", i % OBJECTS).status, 200);
    ck_assert_uint_eq(target_runs(site), runs);
    ck_assert(recorded_as(site, "rolled_back"));
}
END_TEST

START_TEST(orders_are_not_read_without_the_setting)
{
    site_t *site = new_site(OLD);
    use_gateway(site, start_gateway(site, "g-1", &site->store_port, NULL));
    RUN_UNTIL(site, is_ready(site));
    order_version(site, "v2");
    run_loop_ms(site, 600);
    ck_assert_ptr_null(standin_store_status(site->store, "rollouts", "svc", "state"));
}
END_TEST

/* ---- several instances ---- */

START_TEST(instances_move_together_and_one_records)
{
    enum { INSTANCES = 3 };
    site_t *site = new_rollout_site(DOES_ANSWER);
    instances_t fleet = {
        .site = site, .gateways = {site->gateway}, .callers = {site->callers}, .count = 1};
    RUN_UNTIL(site, is_ready(site));
    add_instances(&fleet, INSTANCES);
    order_version(site, "v2");
    const uint64_t until = uv_now(&site->loop) + DURATION_S * 1000;
    for (unsigned i = 0; !recorded_as(site, "completed") && uv_now(&site->loop) < until; i++) {
        site->callers = fleet.callers[i % INSTANCES];
        ck_assert_int_eq(ask_about(site, "GET", "/safe/x", i % OBJECTS).status, 200);
    }
    ck_assert(recorded_as(site, "completed"));
}
END_TEST

Suite *
suite_gateway_rollout(void)
{
    Suite *suite = suite_create("gateway: roll-outs");
    TCase *policy = tcase_create("policy");
    tcase_add_test(policy, verdict_needs_enough_responses);
    tcase_add_test(policy, failing_and_slow_versions_are_found);
    tcase_add_test(policy, failures_of_the_other_versions_are_borne);
    tcase_add_test(policy, faults_of_single_backends_do_not_count);
    tcase_add_test(policy, one_bad_route_condemns_the_version);
    tcase_add_test(policy, runs_without_the_object_are_not_slow);
    tcase_add_test(policy, share_stays_small_until_judged_and_ends_with_all);
    tcase_add_test(policy, canary_of_a_small_service_uses_the_slack);
    suite_add_tcase(suite, policy);
    TCase *site = tcase_create("orders");
    tcase_set_timeout(site, 30);
    tcase_add_test(site, good_version_is_completed);
    tcase_add_test(site, failing_version_is_rolled_back_and_gets_no_more);
    tcase_add_test(site, version_without_backends_waits_until_its_deadline);
    tcase_add_test(site, invalid_order_is_rolled_back_and_serving_goes_on);
    tcase_add_test(site, invalid_order_for_the_serving_version_stops_nothing);
    tcase_add_test(site, order_without_a_readable_version_is_not_written_for_ever);
    tcase_add_test(site, bad_order_after_one_for_the_serving_version_keeps_serving);
    tcase_add_test(site, invalid_order_does_not_admit_the_replaced_version);
    tcase_add_test(site, replaced_order_starts_anew);
    tcase_add_test(site, verdict_is_recorded_once_the_store_is_back);
    tcase_add_test(site, lost_answer_of_the_record_does_no_harm);
    tcase_add_test(site, second_of_two_writers_meets_a_conflict);
    tcase_add_test(site, final_state_of_another_writer_holds);
    tcase_add_test(site, orders_are_not_read_without_the_setting);
    tcase_add_test(site, instances_move_together_and_one_records);
    suite_add_tcase(suite, site);
    return suite;
}
