/* Responses made by the gateway: deadline, slow attempts, final response. */
#include "base/xmalloc.h"
#include "gateway/policy/deadline.h"
#include "gateway/policy/final_response.h"
#include "gateway/policy/slow.h"
#include "test/suites.h"

enum { HEARTBEAT_MS = 400 };

static const retry_after_input_t nothing_known = {.heartbeat_ms = HEARTBEAT_MS};

START_TEST(retry_after_only_if_request_has_not_run)
{
    static const struct {
        outcome_t why;
        bool may_have_run;
        int status;
        bool come_back;
        outcome_t outcome;
    } rows[] = {
        {OUTCOME_NO_CAPACITY, false, 503, true, OUTCOME_NO_CAPACITY},
        {OUTCOME_NO_CAPACITY, true, 502, false, OUTCOME_UNKNOWN},
        {OUTCOME_NO_BACKEND, false, 503, true, OUTCOME_NO_BACKEND},
        {OUTCOME_NOT_RUN, false, 503, true, OUTCOME_NOT_RUN},
        {OUTCOME_NOT_RUN, true, 502, false, OUTCOME_UNKNOWN},
        {OUTCOME_TIMEOUT, false, 503, true, OUTCOME_TIMEOUT_UNSENT},
        {OUTCOME_TIMEOUT, true, 504, false, OUTCOME_TIMEOUT},
        {OUTCOME_NO_CONFIGURATION, false, 503, true, OUTCOME_NO_CONFIGURATION},
        {OUTCOME_NO_ROUTE, false, 404, false, OUTCOME_NO_ROUTE},
        {OUTCOME_CONFIGURATION_STALE, false, 503, true, OUTCOME_CONFIGURATION_STALE},
    };
    for (size_t i = 0; i < ALEN(rows); i++) {
        const final_response_t response =
            final_response(rows[i].why, rows[i].may_have_run, &nothing_known);
        ck_assert_int_eq(response.status, rows[i].status);
        ck_assert(rows[i].come_back == (response.retry_after_ms > 0));
        ck_assert_int_eq(response.outcome, rows[i].outcome);
    }
}
END_TEST

/* The reason for the refusal may be gone by then, and callers refused together come back spread. */
START_TEST(retry_after_is_when_the_reason_may_be_gone)
{
    static const struct {
        outcome_t why;
        uint64_t from_ms;
    } rows[] = {
        {OUTCOME_NO_BACKEND, 1700},      /* one is suspended until then */
        {OUTCOME_ALL_SKIPPED, 1700},     /* one asked for rest until then */
        {OUTCOME_NO_CONFIGURATION, 650}, /* its own read of the store, and one heartbeat */
        {OUTCOME_CONFIGURATION_STALE, HEARTBEAT_MS},
        {OUTCOME_NOT_RUN, HEARTBEAT_MS},
        {OUTCOME_TIMEOUT, HEARTBEAT_MS},
    };
    for (size_t i = 0; i < ALEN(rows); i++) {
        retry_after_input_t input = {
            .heartbeat_ms = HEARTBEAT_MS, .available_in_ms = 1700, .reads_in_ms = 250};
        uint32_t last_ms = 0;
        for (input.point = 0; input.point < 1; input.point += 0.25) {
            const uint32_t after_ms = final_response(rows[i].why, false, &input).retry_after_ms;
            ck_assert_uint_ge(after_ms, rows[i].from_ms);
            ck_assert_uint_lt(after_ms, rows[i].from_ms + HEARTBEAT_MS);
            ck_assert_uint_gt(after_ms, last_ms);
            last_ms = after_ms;
        }
    }
    ck_assert_uint_eq(final_response(OUTCOME_NO_BACKEND, false, &nothing_known).retry_after_ms,
                      HEARTBEAT_MS);
}
END_TEST

START_TEST(quarantined_request_gets_retry_after)
{
    const final_response_t response = final_response_held(2750, &nothing_known, true);
    ck_assert_int_eq(response.status, 503);
    ck_assert_uint_eq(response.retry_after_ms, 2750);
    ck_assert_int_eq(response.outcome, OUTCOME_QUARANTINED);
}
END_TEST

/* Callers must not be told to come back before either the quarantine or the outage can be over. */
START_TEST(quarantined_request_without_backends_waits_for_both)
{
    const final_response_t held = final_response_held(2750, &nothing_known, false);
    ck_assert_int_eq(held.status, 503);
    ck_assert_uint_eq(held.retry_after_ms, 2750);
    ck_assert_int_eq(held.outcome, OUTCOME_NO_BACKEND);
    const uint32_t outage_ms =
        final_response(OUTCOME_NO_BACKEND, false, &nothing_known).retry_after_ms;
    ck_assert_uint_eq(final_response_held(1, &nothing_known, false).retry_after_ms, outage_ms);
}
END_TEST

START_TEST(unknown_route_is_denied_only_by_current_configuration)
{
    ck_assert_int_eq(final_response_no_route(false), OUTCOME_NO_ROUTE);
    ck_assert_int_eq(final_response_no_route(true), OUTCOME_CONFIGURATION_STALE);
}
END_TEST

START_TEST(outcome_names_are_stable)
{
    static const char *const names[] = {
        "answered",
        "upstream_failed",
        "not_run",
        "no_room",
        "no_upstream",
        "passed_over",
        "held",
        "no_configuration",
        "configuration_behind",
        "no_route",
        "denied",
        "over_limit",
        "unknown",
        "timeout",
        "timeout_unsent",
        "cut_by_upstream",
        "cut_at_deadline",
        "caller_left",
    };
    ck_assert_uint_eq(ALEN(names), OUTCOME_COUNT);
    for (size_t i = 0; i < ALEN(names); i++)
        ck_assert_str_eq(outcome_name((outcome_t)i), names[i]);
}
END_TEST

START_TEST(shorter_time_limit_applies)
{
    static const struct {
        deadline_input_t input;
        uint64_t allowed_ms;
    } rows[] = {
        {{.route_limit_ms = 900}, 900},
        {{.route_limit_ms = 900, .has_caller_limit = true, .caller_limit_ms = 2000}, 900},
        {{.route_limit_ms = 900, .has_caller_limit = true, .caller_limit_ms = 800}, 800},
        {{.route_limit_ms = 900, .has_caller_limit = true, .caller_limit_ms = 0}, 1},
        {{.route_limit_ms = 0}, 30000},
    };
    for (size_t i = 0; i < ALEN(rows); i++)
        ck_assert_uint_eq(deadline_allowed_ms(&rows[i].input), rows[i].allowed_ms);
}
END_TEST

START_TEST(slow_threshold_follows_the_length_of_runs)
{
    ck_assert_uint_eq(slow_after_ms(0), 0); /* nothing known */
    /* A run without the object, of which a packet is lost. */
    ck_assert_uint_eq(slow_after_ms(50), 165 + 200);
    ck_assert_uint_eq(slow_after_ms(200), 660 + 200);
    slow_input_t input = {.slow_ms = 780, .elapsed_ms = 780};
    ck_assert(slow_counts_as_failure(&input));
    input.queued = true;
    ck_assert(!slow_counts_as_failure(&input));
    input = (slow_input_t){.slow_ms = 780, .elapsed_ms = 780, .cold = true};
    ck_assert(!slow_counts_as_failure(&input));
    input = (slow_input_t){.slow_ms = 0, .elapsed_ms = 780};
    ck_assert(!slow_counts_as_failure(&input));
}
END_TEST

Suite *
suite_gateway_final_response(void)
{
    Suite *suite = suite_create("gateway: final answer");
    TCase *tests = tcase_create("final answer");
    tcase_add_test(tests, retry_after_only_if_request_has_not_run);
    tcase_add_test(tests, retry_after_is_when_the_reason_may_be_gone);
    tcase_add_test(tests, quarantined_request_gets_retry_after);
    tcase_add_test(tests, quarantined_request_without_backends_waits_for_both);
    tcase_add_test(tests, unknown_route_is_denied_only_by_current_configuration);
    tcase_add_test(tests, outcome_names_are_stable);
    tcase_add_test(tests, shorter_time_limit_applies);
    tcase_add_test(tests, slow_threshold_follows_the_length_of_runs);
    suite_add_tcase(suite, tests);
    return suite;
}
