/* Admission: room, wait, last chance. */
#include "base/xmalloc.h"
#include "gateway/policy/admission.h"
#include "gateway/policy/spill.h"
#include "test/suites.h"

START_TEST(room_depends_on_rank_and_urgency)
{
    static const struct {
        double load;
        size_t rank;
        int priority;
        bool has_object;
        admission_t expected;
    } rows[] = {
        {9, 0, 0, true, ADMIT_NOW},  /* the last slot, for an urgent request */
        {9, 0, 2, true, ADMIT_NOT},  /* a tenth of the slots is kept for urgent ones */
        {8, 0, 2, true, ADMIT_NOW},  /* below that */
        {6, 1, 0, true, ADMIT_NOT},  /* a later choice only while it is lightly loaded */
        {5, 1, 0, true, ADMIT_NOW},  /* below that */
        {9, 1, 0, false, ADMIT_NOW}, /* without an object there is no first choice */
        {10, 0, 0, true, ADMIT_NOT}, /* full */
    };
    for (size_t i = 0; i < ALEN(rows); i++) {
        const admission_request_t request = {.has_object = rows[i].has_object,
                                             .priority = rows[i].priority};
        const admission_backend_t backend = {
            .load = rows[i].load, .slots = 10, .work_ms = 100, .rank = rows[i].rank};
        ck_assert_int_eq(admission_decide(&request, &backend), rows[i].expected);
    }
}
END_TEST

START_TEST(a_wait_is_bounded_by_time_and_by_load)
{
    static const struct {
        double load;
        double work_ms;
        admission_t expected;
    } rows[] = {
        {14, 200, ADMIT_AFTER_WAIT}, /* 1.5 requests a slot: expected after 300 ms */
        {14, 220, ADMIT_NOT},        /* after 330 ms: too late */
        {20, 10, ADMIT_NOT},         /* in time, but 2.1 requests a slot */
        {14, 0, ADMIT_AFTER_WAIT},   /* working time not known yet */
    };
    const admission_request_t request = {.has_object = true,
                                         .wait = {.wait_ms = 320, .load_max = 2}};
    for (size_t i = 0; i < ALEN(rows); i++) {
        const admission_backend_t backend = {
            .load = rows[i].load, .slots = 10, .work_ms = rows[i].work_ms};
        ck_assert_int_eq(admission_decide(&request, &backend), rows[i].expected);
    }
}
END_TEST

START_TEST(a_caller_that_came_back_may_wait_longer)
{
    const wait_limits_t first = admission_wait_limits(400, 2500, 0);
    ck_assert_uint_eq(first.wait_ms, 320);
    ck_assert_double_eq_tol(first.load_max, 2, 1e-9);
    const wait_limits_t again = admission_wait_limits(400, 2000, 500);
    ck_assert_uint_eq(again.wait_ms, 1200);
    ck_assert_double_eq_tol(again.load_max, 3, 1e-9);
}
END_TEST

START_TEST(spill_is_a_share_of_the_requests)
{
    spill_t spill = {0};
    unsigned left = 0;
    for (int i = 0; i < 1000; i++) {
        spill_count_request(&spill);
        if (spill_is_allowed(&spill)) {
            spill_spend(&spill);
            left++;
        }
    }
    ck_assert_uint_ge(left, 48);
    ck_assert_uint_le(left, 50);
    /* Few of them are saved up. */
    for (int i = 0; i < 1000; i++)
        spill_count_request(&spill);
    for (left = 0; spill_is_allowed(&spill); left++)
        spill_spend(&spill);
    ck_assert_uint_eq(left, 4);
}
END_TEST

Suite *
suite_gateway_admission(void)
{
    Suite *suite = suite_create("gateway: admission");
    TCase *tests = tcase_create("admission");
    tcase_add_test(tests, room_depends_on_rank_and_urgency);
    tcase_add_test(tests, a_wait_is_bounded_by_time_and_by_load);
    tcase_add_test(tests, a_caller_that_came_back_may_wait_longer);
    tcase_add_test(tests, spill_is_a_share_of_the_requests);
    suite_add_tcase(suite, tests);
    return suite;
}
