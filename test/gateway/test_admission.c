/* Admission control: free slots, queueing, retried requests. */
#include "base/xmalloc.h"
#include "gateway/policy/admission.h"
#include "test/suites.h"

START_TEST(a_request_is_admitted_while_a_slot_is_free)
{
    static const struct {
        double load;
        double lost_ms;
        admission_t expected;
    } rows[] = {
        {9, 0, ADMIT_NOW},   /* the last free slot */
        {9, 400, ADMIT_NOW}, /* also for a retried request */
        {10, 0, ADMIT_NOT},  /* no slot, and the service time equals the objective */
        {9.9, 0, ADMIT_NOT}, /* less than one slot left */
    };
    for (size_t i = 0; i < ALEN(rows); i++) {
        const admission_request_t request = {
            .objective_ms = 400, .left_ms = 2000, .lost_ms = rows[i].lost_ms};
        const admission_backend_t backend = {.load = rows[i].load, .slots = 10, .work_ms = 400};
        ck_assert_int_eq(admission_decide(&request, &backend), rows[i].expected);
    }
}
END_TEST

START_TEST(queueing_is_bounded_by_objective_and_load)
{
    static const struct {
        double load;
        double work_ms;
        admission_t expected;
    } rows[] = {
        {14, 200, ADMIT_AFTER_WAIT}, /* 5 requests ahead: expected after 290 ms */
        {14, 275, ADMIT_AFTER_WAIT}, /* expected after 399 ms */
        {14, 277, ADMIT_NOT},        /* expected after 402 ms: too late */
        {19, 10, ADMIT_AFTER_WAIT},  /* 2 requests per slot */
        {20, 10, ADMIT_NOT},         /* in time, but 2.1 requests per slot */
        {14, 0, ADMIT_AFTER_WAIT},   /* service time not known */
    };
    const admission_request_t request = {.objective_ms = 400, .left_ms = 2000};
    for (size_t i = 0; i < ALEN(rows); i++) {
        const admission_backend_t backend = {
            .load = rows[i].load, .slots = 10, .work_ms = rows[i].work_ms};
        ck_assert_int_eq(admission_decide(&request, &backend), rows[i].expected);
    }
}
END_TEST

START_TEST(queue_wait_uses_the_route_median)
{
    /* The backend's average includes runs without the object in memory. */
    const admission_backend_t backend = {.load = 14, .slots = 10, .work_ms = 300};
    admission_request_t request = {.objective_ms = 400, .left_ms = 2000};
    ck_assert_int_eq(admission_decide(&request, &backend), ADMIT_NOT);
    request.median_ms = 150;
    ck_assert_int_eq(admission_decide(&request, &backend), ADMIT_AFTER_WAIT);
    request.median_ms = 350;
    ck_assert_int_eq(admission_decide(&request, &backend), ADMIT_NOT);
}
END_TEST

START_TEST(without_objective_the_deadline_bounds_the_wait)
{
    const admission_backend_t backend = {.load = 14, .slots = 10, .work_ms = 400};
    admission_request_t request = {.left_ms = 600};
    ck_assert_int_eq(admission_decide(&request, &backend), ADMIT_AFTER_WAIT);
    request.left_ms = 500;
    ck_assert_int_eq(admission_decide(&request, &backend), ADMIT_NOT);
}
END_TEST

START_TEST(retried_requests_queue_less_than_new_ones)
{
    static const struct {
        double load;
        uint32_t left_ms;
        admission_t expected;
    } rows[] = {
        {11, 2000, ADMIT_AFTER_WAIT}, /* 1.2 requests per slot: one is about to be free */
        {12, 2000, ADMIT_NOT},        /* longer queues are for requests that can be in time */
        {11, 150, ADMIT_NOT},         /* the caller gives up before the response */
    };
    for (size_t i = 0; i < ALEN(rows); i++) {
        const admission_request_t request = {
            .objective_ms = 400, .left_ms = rows[i].left_ms, .lost_ms = 500};
        const admission_backend_t backend = {.load = rows[i].load, .slots = 10, .work_ms = 150};
        ck_assert_int_eq(admission_decide(&request, &backend), rows[i].expected);
    }
}
END_TEST

START_TEST(small_deadline_difference_is_not_a_retry)
{
    const admission_request_t request = {.objective_ms = 400, .left_ms = 1900, .lost_ms = 100};
    const admission_backend_t backend = {.load = 14, .slots = 10, .work_ms = 150};
    ck_assert_int_eq(admission_decide(&request, &backend), ADMIT_AFTER_WAIT);
}
END_TEST

Suite *
suite_gateway_admission(void)
{
    Suite *suite = suite_create("gateway: admission");
    TCase *tests = tcase_create("admission");
    tcase_add_test(tests, a_request_is_admitted_while_a_slot_is_free);
    tcase_add_test(tests, queueing_is_bounded_by_objective_and_load);
    tcase_add_test(tests, queue_wait_uses_the_route_median);
    tcase_add_test(tests, without_objective_the_deadline_bounds_the_wait);
    tcase_add_test(tests, retried_requests_queue_less_than_new_ones);
    tcase_add_test(tests, small_deadline_difference_is_not_a_retry);
    suite_add_tcase(suite, tests);
    return suite;
}
