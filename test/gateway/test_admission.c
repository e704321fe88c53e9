/* Admission control: free slots, queueing, callers without time. Guards against requests that are
 * refused although their callers would get an answer, and against runs that nobody waits for. */
#include "base/xmalloc.h"
#include "gateway/policy/admission.h"
#include "test/suites.h"

START_TEST(a_request_is_admitted_while_a_slot_is_free)
{
    static const struct {
        double load;
        uint32_t left_ms;
        admission_t result;
    } rows[] = {
        {9, 2000, ADMIT_NOW},          /* the last free slot */
        {9, 350, ADMIT_NOW},           /* a shorter run than usual is possible */
        {10, 2000, ADMIT_AFTER_WAIT},  /* no slot */
        {9.9, 2000, ADMIT_AFTER_WAIT}, /* less than one slot left */
        {10, 410, ADMIT_NOT},          /* expected after 420 ms */
    };
    for (size_t i = 0; i < ALEN(rows); i++) {
        const admission_request_t request = {.left_ms = rows[i].left_ms, .shortest_ms = 300};
        const admission_backend_t backend = {.load = rows[i].load, .slots = 10, .work_ms = 400};
        ck_assert_int_eq(admission_decide(&request, &backend), rows[i].result);
    }
}
END_TEST

START_TEST(queueing_is_bounded_by_the_callers_time)
{
    static const struct {
        double load;
        double work_ms;
        admission_t result;
    } rows[] = {
        {14, 200, ADMIT_AFTER_WAIT}, /* 5 requests ahead: expected after 290 ms */
        {14, 275, ADMIT_AFTER_WAIT}, /* expected after 399 ms */
        {14, 277, ADMIT_NOT},        /* expected after 402 ms: too late */
        {20, 10, ADMIT_AFTER_WAIT},  /* a long queue of short runs */
        {399, 10, ADMIT_AFTER_WAIT}, /* expected after 399.5 ms */
        {401, 10, ADMIT_NOT},        /* expected after 401.5 ms */
        {14, 0, ADMIT_AFTER_WAIT},   /* service time not known */
    };
    const admission_request_t request = {.left_ms = 400};
    for (size_t i = 0; i < ALEN(rows); i++) {
        const admission_backend_t backend = {
            .load = rows[i].load, .slots = 10, .work_ms = rows[i].work_ms};
        ck_assert_int_eq(admission_decide(&request, &backend), rows[i].result);
    }
}
END_TEST

START_TEST(own_run_is_that_of_the_route)
{
    /* The backend's average includes runs without the object in memory. */
    admission_backend_t backend = {.load = 14, .slots = 10, .work_ms = 300};
    admission_request_t request = {.left_ms = 400};
    ck_assert_int_eq(admission_decide(&request, &backend), ADMIT_NOT);
    request.median_ms = 150;
    ck_assert_int_eq(admission_decide(&request, &backend), ADMIT_AFTER_WAIT);
    request.median_ms = 350;
    ck_assert_int_eq(admission_decide(&request, &backend), ADMIT_NOT);
    backend.work_ms = 0; /* it has not answered yet */
    ck_assert_int_eq(admission_decide(&request, &backend), ADMIT_NOT);
}
END_TEST

/* Short requests behind long ones would be held to their deadline. */
START_TEST(queue_of_long_runs_takes_longer)
{
    const admission_request_t request = {.left_ms = 400, .median_ms = 100};
    admission_backend_t backend = {.load = 20, .slots = 10, .work_ms = 200};
    ck_assert_int_eq(admission_decide(&request, &backend), ADMIT_AFTER_WAIT); /* 310 ms */
    backend.work_ms = 1000;
    ck_assert_int_eq(admission_decide(&request, &backend), ADMIT_NOT); /* 1,150 ms */
    backend.queue_work_ms = 200; /* of all backend servers, where that is counted */
    ck_assert_int_eq(admission_decide(&request, &backend), ADMIT_AFTER_WAIT);
}
END_TEST

/* The shortest run counts, not the usual one; the load does not. */
START_TEST(caller_without_time_for_any_run_is_refused)
{
    for (double load = 0; load < 20; load++) {
        admission_request_t request = {.left_ms = 299, .median_ms = 400, .shortest_ms = 300};
        const admission_backend_t backend = {.load = load, .slots = 10, .work_ms = 400};
        ck_assert(!admission_has_time(&request));
        ck_assert_int_eq(admission_decide(&request, &backend), ADMIT_NOT);
        request.left_ms = 300;
        ck_assert(admission_has_time(&request));
        ck_assert_int_eq(admission_decide(&request, &backend), load < 10 ? ADMIT_NOW : ADMIT_NOT);
        request.shortest_ms = 0; /* not known */
        request.left_ms = 1;
        ck_assert(admission_has_time(&request));
    }
}
END_TEST

Suite *
suite_gateway_admission(void)
{
    Suite *suite = suite_create("gateway: admission");
    TCase *tests = tcase_create("admission");
    tcase_add_test(tests, a_request_is_admitted_while_a_slot_is_free);
    tcase_add_test(tests, queueing_is_bounded_by_the_callers_time);
    tcase_add_test(tests, own_run_is_that_of_the_route);
    tcase_add_test(tests, queue_of_long_runs_takes_longer);
    tcase_add_test(tests, caller_without_time_for_any_run_is_refused);
    suite_add_tcase(suite, tests);
    return suite;
}
