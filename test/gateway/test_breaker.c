/* Circuit breaker of a backend server. */
#include "gateway/policy/breaker.h"
#include "gateway/state/backend.h"
#include "test/suites.h"

START_TEST(consecutive_failures_double_the_suspension)
{
    static const uint64_t pauses_ms[] = {0, 300, 600, 1200, 2400, 4800, 4800};
    breaker_t breaker = {0};
    for (size_t i = 0; i < sizeof(pauses_ms) / sizeof(pauses_ms[0]); i++) {
        const uint64_t now_ms = 100000 * (i + 1);
        breaker_record_failure(&breaker, now_ms);
        ck_assert(breaker_allows(&breaker, now_ms + pauses_ms[i]));
        if (pauses_ms[i] > 0)
            ck_assert(!breaker_allows(&breaker, now_ms + pauses_ms[i] - 1));
    }
    breaker_record_answer(&breaker);
    breaker_record_failure(&breaker, 1000000);
    ck_assert(breaker_allows(&breaker, 1000000));
}
END_TEST

static backend_t *
suspended_backend(void)
{
    const backend_info_t info = {.capacity = 4};
    backend_t *backend = backend_new(&info, 0, NULL);
    backend->listed = true;
    breaker_record_failure(&backend->breaker, 1000);
    breaker_record_failure(&backend->breaker, 1000);
    ck_assert(!backend_is_usable(backend, 1100));
    return backend;
}

START_TEST(one_request_probes_a_suspended_backend)
{
    backend_t *backend = suspended_backend();
    ck_assert(backend_is_usable(backend, 1300));
    backend_attempt_started(backend);
    ck_assert(!backend_is_usable(backend, 1300));
    backend_answered(backend, 5, false);
    backend_attempt_finished(backend);
    ck_assert(backend_is_usable(backend, 1300));
    backend_unref(backend);
}
END_TEST

/* A probe that was refused, or whose caller left, must be followed by another. */
START_TEST(inconclusive_probe_allows_another)
{
    backend_t *backend = suspended_backend();
    backend_attempt_started(backend);
    ck_assert(!backend_is_usable(backend, 1300));
    backend_attempt_finished(backend);
    ck_assert(backend_is_usable(backend, 1300));
    /* Not before the probe has ended, whatever other request ends. */
    backend_attempt_started(backend);
    backend_attempt_started(backend);
    backend_attempt_finished(backend);
    ck_assert(!backend_is_usable(backend, 1300));
    backend_unref(backend);
}
END_TEST

Suite *
suite_gateway_breaker(void)
{
    Suite *suite = suite_create("gateway: breaker");
    TCase *tests = tcase_create("breaker");
    tcase_add_test(tests, consecutive_failures_double_the_suspension);
    tcase_add_test(tests, one_request_probes_a_suspended_backend);
    tcase_add_test(tests, inconclusive_probe_allows_another);
    suite_add_tcase(suite, tests);
    return suite;
}
