/* Each cause of a late response, and their precedence. */
#include "base/xmalloc.h"
#include "gateway/path/lateness.h"
#include "test/suites.h"

START_TEST(late_response_has_exactly_one_cause)
{
    const lateness_input_t in_time = {.objective_ms = 250,
                                      .elapsed_ms = 120,
                                      .attempt_ms = 118,
                                      .typical_ms = 110,
                                      .slow_ms = 430};
    lateness_input_t input = in_time;
    ck_assert_int_eq(lateness_cause(&input), LATE_NONE);

    input.elapsed_ms = 400;
    ck_assert_int_eq(lateness_cause(&input), LATE_EARLIER_ATTEMPT);

    input.attempt_ms = 398;
    ck_assert_int_eq(lateness_cause(&input), LATE_COLD_OBJECT);
    input.slots_full = true;
    ck_assert_int_eq(lateness_cause(&input), LATE_LOAD_UNKNOWN);
    input.queued = true;
    ck_assert_int_eq(lateness_cause(&input), LATE_QUEUED);
    input.cold = true;
    ck_assert_int_eq(lateness_cause(&input), LATE_COLD_BACKEND);

    input = in_time;
    input.elapsed_ms = 502;
    input.attempt_ms = 500;
    ck_assert_int_eq(lateness_cause(&input), LATE_SLOW_BACKEND);

    input = in_time;
    input.elapsed_ms = 300;
    input.attempt_ms = 290;
    input.typical_ms = 280;
    ck_assert_int_eq(lateness_cause(&input), LATE_TYPICAL_LATENCY);
    input.other_region = true;
    ck_assert_int_eq(lateness_cause(&input), LATE_OTHER_REGION);
}
END_TEST

START_TEST(route_without_objective_is_never_late)
{
    const lateness_input_t input = {.elapsed_ms = 5000, .attempt_ms = 5000};
    ck_assert_int_eq(lateness_cause(&input), LATE_NONE);
}
END_TEST

Suite *
suite_gateway_lateness(void)
{
    Suite *suite = suite_create("gateway: lateness");
    TCase *tcase = tcase_create("lateness");
    tcase_add_test(tcase, late_response_has_exactly_one_cause);
    tcase_add_test(tcase, route_without_objective_is_never_late);
    suite_add_tcase(suite, tcase);
    return suite;
}
