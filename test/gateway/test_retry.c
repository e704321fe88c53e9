/* Retry budget and the decision to retry. */
#include "gateway/policy/retry.h"
#include "test/suites.h"

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

/* Found on the users' bench: a send in place of an overdue attempt was not counted. */
START_TEST(replacing_an_overdue_attempt_takes_from_the_budget)
{
    retry_budget_t budget = {0};
    const retry_account_t account = {
        .budget = &budget,
        .terms = {.ratio = 0.2, .window_ms = 10000, .instances = 1},
        .now_ms = 50000,
    };
    retry_overdue_t overdue = {
        .request = {.repeatable = true, .backends_tried = 1, .sends_max = 2, .left_ms = 1000},
        .sent = true,
        .backend_avoided = true,
    };
    ck_assert_int_eq(retry_decide_overdue(&overdue, &account), RETRY_OVER_BUDGET);
    for (int i = 0; i < 7; i++)
        retry_budget_count_request(&budget, &account.terms, account.now_ms);
    ck_assert_int_eq(retry_decide_overdue(&overdue, &account), RETRY_YES);
    ck_assert_int_eq(retry_decide_overdue(&overdue, &account), RETRY_OVER_BUDGET);
    /* An attempt that still waits for its connection has reached nobody. */
    overdue.sent = false;
    ck_assert_int_eq(retry_decide_overdue(&overdue, &account), RETRY_YES);
}
END_TEST

Suite *
suite_gateway_retry(void)
{
    Suite *suite = suite_create("gateway: retry");
    TCase *tests = tcase_create("retry");
    tcase_add_test(tests, retry_budget_bounds_every_window);
    tcase_add_test(tests, replacing_an_overdue_attempt_takes_from_the_budget);
    suite_add_tcase(suite, tests);
    return suite;
}
