/* Outlier detection. */
#include "base/rng.h"
#include "gateway/policy/health.h"
#include "test/suites.h"

START_TEST(health_is_judged_by_rate_not_by_chance)
{
    /* Rare outcomes: a few in a row decide. */
    health_t rare = {0};
    for (uint64_t i = 1; i <= 5; i++)
        health_record(&rare, true, i * 5000);
    ck_assert(!health_is_avoided(&rare, 25000));
    health_record(&rare, true, 26000);
    ck_assert(health_is_avoided(&rare, 26000));
    /* Many outcomes, 2 of 5 failed: never avoided, however they fall. */
    rng_t rng = {.state = 7};
    health_t many = {0};
    for (uint64_t at = 50; at < 60000; at += 50) {
        health_record(&many, rng_unit(&rng) < 0.4, at);
        ck_assert(!health_is_avoided(&many, at));
    }
    /* Nearly all fail: avoided within the averaging time. */
    for (uint64_t at = 60000; at < 62500; at += 50)
        health_record(&many, rng_unit(&rng) < 0.95, at);
    ck_assert(health_is_avoided(&many, 62500));
    /* Forgiven while it is left alone. */
    ck_assert(!health_is_avoided(&many, 70000));
}
END_TEST

START_TEST(health_is_shared_by_reports)
{
    health_t seen = {0};
    health_t told = {0};
    ck_assert(!health_has_unsent(&seen, 1000));
    health_record(&seen, false, 1000);
    ck_assert(!health_has_unsent(&seen, 1000)); /* all is well: nothing to tell */
    for (int i = 0; i < 10; i++)
        health_record(&seen, true, 1000);
    ck_assert(health_has_unsent(&seen, 1000));
    health_add_report(&told, seen.unsent_successes, seen.unsent_failures, 1400);
    health_mark_sent(&seen);
    ck_assert(!health_has_unsent(&seen, 1400));
    ck_assert(health_is_avoided(&seen, 1400) && health_is_avoided(&told, 1400));
    ck_assert(!health_has_unsent(&told, 1400)); /* what was heard is not told on */
    /* Successes at a suspect are told as well. */
    health_record(&seen, false, 1500);
    ck_assert(health_has_unsent(&seen, 1500));
}
END_TEST

Suite *
suite_gateway_health(void)
{
    Suite *suite = suite_create("gateway: health");
    TCase *tests = tcase_create("health");
    tcase_add_test(tests, health_is_judged_by_rate_not_by_chance);
    tcase_add_test(tests, health_is_shared_by_reports);
    suite_add_tcase(suite, tests);
    return suite;
}
