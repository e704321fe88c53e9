/* Outlier detection. */
#include "base/rng.h"
#include "gateway/policy/health.h"
#include "test/suites.h"

START_TEST(health_avoids_by_failure_rate)
{
    /* Rare outcomes: a few consecutive failures decide. */
    health_t rare = {0};
    for (uint64_t i = 1; i <= 5; i++)
        health_record(&rare, true, i * 5000);
    ck_assert(!health_is_avoided(&rare, 25000));
    health_record(&rare, true, 26000);
    ck_assert(health_is_avoided(&rare, 26000));
    /* Many outcomes, 2 of 5 failed: never avoided, in any order. */
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
    /* Recovers while it is not used. */
    ck_assert(!health_is_avoided(&many, 70000));
}
END_TEST

START_TEST(health_outcomes_are_shared_between_instances)
{
    health_t own = {0};
    health_t peer = {0};
    ck_assert(!health_has_unsent(&own, 1000));
    health_record(&own, false, 1000);
    ck_assert(!health_has_unsent(&own, 1000)); /* healthy: nothing to send */
    for (int i = 0; i < 10; i++)
        health_record(&own, true, 1000);
    ck_assert(health_has_unsent(&own, 1000));
    health_add_report(&peer, own.unsent_successes, own.unsent_failures, 1400);
    health_mark_sent(&own);
    ck_assert(!health_has_unsent(&own, 1400));
    ck_assert(health_is_avoided(&own, 1400) && health_is_avoided(&peer, 1400));
    ck_assert(!health_has_unsent(&peer, 1400)); /* reports are not forwarded */
    /* Successes at a suspected backend are sent as well. */
    health_record(&own, false, 1500);
    ck_assert(health_has_unsent(&own, 1500));
}
END_TEST

Suite *
suite_gateway_health(void)
{
    Suite *suite = suite_create("gateway: health");
    TCase *tests = tcase_create("health");
    tcase_add_test(tests, health_avoids_by_failure_rate);
    tcase_add_test(tests, health_outcomes_are_shared_between_instances);
    suite_add_tcase(suite, tests);
    return suite;
}
