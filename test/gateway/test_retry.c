/* Retry budget and retry decisions. */
#include "base/rng.h"
#include "gateway/policy/retry.h"
#include "test/suites.h"

START_TEST(retry_budget_bounds_every_window)
{
    retry_budget_t budget = {0};
    const retry_terms_t terms = {.ratio = 0.2, .constant = 58, .window_ms = 10000, .instances = 9};
    unsigned taken = 0;
    rng_t rng = {1};
    for (int i = 0; i < 1000; i++) {
        retry_budget_count_request(&budget, &terms, 50000 + i);
        taken += retry_budget_take(&budget, &terms, rng_unit(&rng), 50000 + i);
    }
    for (int i = 0; i < 1000; i++)
        taken += retry_budget_take(&budget, &terms, 0.5, 58000);
    ck_assert_uint_ge(taken, 100);
    ck_assert_uint_le(taken, 200 + 58 / 9);
    ck_assert(!retry_budget_take(&budget, &terms, 0.5, 58000));
    /* This instance's part of the constant. */
    ck_assert(retry_budget_take(&budget, &terms, 0.5, 75000));
}
END_TEST

/* A send in place of an overdue attempt must count against the budget. */
START_TEST(overdue_replacement_consumes_retry_budget)
{
    retry_budget_t budget = {0};
    const retry_context_t context = {
        .budget = &budget,
        .terms = {.ratio = 0.2, .window_ms = 10000, .instances = 1},
        .now_ms = 50000,
    };
    retry_overdue_t overdue = {
        .request = {.repeatable = true, .backends_tried = 1, .sends_max = 2, .left_ms = 1000},
        .sent = true,
        .backend_avoided = true,
    };
    ck_assert_int_eq(retry_decide_overdue(&overdue, &context), RETRY_OVER_BUDGET);
    for (int i = 0; i < 7; i++)
        retry_budget_count_request(&budget, &context.terms, context.now_ms);
    ck_assert_int_eq(retry_decide_overdue(&overdue, &context), RETRY_YES);
    ck_assert_int_eq(retry_decide_overdue(&overdue, &context), RETRY_OVER_BUDGET);
    /* An attempt that is still connecting has sent nothing. */
    overdue.sent = false;
    ck_assert_int_eq(retry_decide_overdue(&overdue, &context), RETRY_YES);
}
END_TEST

/* Requests that only a full region may serve were sent anew from the end of one queue to another.
 */
START_TEST(overdue_attempt_stays_in_the_queue_of_a_full_region)
{
    retry_budget_t budget = {0};
    const retry_context_t context = {
        .budget = &budget,
        .terms = {.ratio = 0.2, .window_ms = 10000, .instances = 1},
        .now_ms = 50000,
    };
    retry_budget_count_request(&budget, &context.terms, context.now_ms);
    retry_overdue_t overdue = {
        .request = {.repeatable = true, .backends_tried = 1, .sends_max = 2, .left_ms = 5000},
        .sent = true,
        .backend_avoided = true,
        .waits_in_queue = true,
    };
    ck_assert_int_eq(retry_decide_overdue(&overdue, &context), RETRY_REGION_FULL);
    /* An attempt that is still connecting waits in no queue. */
    overdue.sent = false;
    ck_assert_int_eq(retry_decide_overdue(&overdue, &context), RETRY_YES);
    /* Nothing was taken from the budget before. */
    overdue.sent = true;
    overdue.waits_in_queue = false;
    ck_assert_int_eq(retry_decide_overdue(&overdue, &context), RETRY_YES);
}
END_TEST

START_TEST(retry_requires_safety_time_and_budget)
{
    static const struct {
        retry_input_t input;
        retry_verdict_t expected;
    } rows[] = {
        {{.backends_tried = 1, .sends = 1, .sends_max = 2, .left_ms = 500}, RETRY_YES},
        {{.may_have_run = true, .backends_tried = 1, .sends = 1, .sends_max = 2, .left_ms = 500},
         RETRY_MAY_HAVE_RUN},
        {{.repeatable = true,
          .may_have_run = true,
          .backends_tried = 1,
          .sends = 1,
          .sends_max = 2,
          .left_ms = 500},
         RETRY_YES},
        {{.backends_tried = 2, .sends = 2, .sends_max = 2, .left_ms = 500},
         RETRY_ATTEMPTS_EXHAUSTED},
        {{.backends_tried = 3, .sends_max = 2, .left_ms = 500}, RETRY_YES},
        {{.backends_tried = 4, .sends_max = 2, .left_ms = 500}, RETRY_ATTEMPTS_EXHAUSTED},
        {{.backends_tried = 1, .sends = 1, .sends_max = 2, .left_ms = 59, .run_ms = 60},
         RETRY_NO_TIME},
        {{.backends_tried = 1, .sends = 1, .sends_max = 2, .left_ms = 60, .run_ms = 60}, RETRY_YES},
        {{.backends_tried = 1, .sends = 1, .sends_max = 2, .left_ms = 50, .run_ms = 5}, RETRY_YES},
    };
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        retry_budget_t budget = {0};
        const retry_context_t context = {
            .budget = &budget,
            .terms = {.ratio = 0.2, .window_ms = 10000, .instances = 1},
            .now_ms = 50000,
        };
        retry_budget_count_request(&budget, &context.terms, context.now_ms);
        ck_assert_int_eq(retry_decide(&rows[i].input, &context), rows[i].expected);
    }
}
END_TEST

START_TEST(backend_error_is_retried_only_before_forwarding)
{
    ck_assert(retry_replaces_answer(500, true, false));
    ck_assert(!retry_replaces_answer(500, false, false));
    ck_assert(!retry_replaces_answer(500, true, true));
    ck_assert(!retry_replaces_answer(504, true, false));
    ck_assert(!retry_replaces_answer(404, true, false));
}
END_TEST

START_TEST(quarantined_request_is_not_retried)
{
    retry_budget_t budget = {0};
    const retry_context_t context = {
        .budget = &budget,
        .terms = {.ratio = 1, .constant = 100, .window_ms = 10000, .instances = 1},
        .now_ms = 1000,
    };
    for (int i = 0; i < 2; i++)
        retry_budget_count_request(&budget, &context.terms, context.now_ms);
    retry_input_t input = {.repeatable = true, .sends = 1, .sends_max = 3, .left_ms = 1000};
    input.backends_tried = 1;
    ck_assert_int_eq(retry_decide(&input, &context), RETRY_YES);
    input.quarantined = true;
    ck_assert_int_eq(retry_decide(&input, &context), RETRY_QUARANTINED);
}
END_TEST

START_TEST(retry_after_close_is_delayed)
{
    ck_assert_uint_eq(retry_after_ms(false), 0);
    ck_assert_uint_gt(retry_after_ms(true), 0);
    ck_assert_uint_lt(retry_after_ms(true),
                      60); /* little more than the network delay between regions */
}
END_TEST

Suite *
suite_gateway_retry(void)
{
    Suite *suite = suite_create("gateway: retry");
    TCase *tests = tcase_create("retry");
    tcase_add_test(tests, quarantined_request_is_not_retried);
    tcase_add_test(tests, retry_after_close_is_delayed);
    tcase_add_test(tests, retry_budget_bounds_every_window);
    tcase_add_test(tests, overdue_replacement_consumes_retry_budget);
    tcase_add_test(tests, overdue_attempt_stays_in_the_queue_of_a_full_region);
    tcase_add_test(tests, retry_requires_safety_time_and_budget);
    tcase_add_test(tests, backend_error_is_retried_only_before_forwarding);
    suite_add_tcase(suite, tests);
    return suite;
}
