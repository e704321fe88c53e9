/* Route statistics. */
#include "base/str.h"
#include "gateway/policy/slow.h"
#include "gateway/state/route_stats.h"
#include "test/suites.h"

/* An answer within the clock's millisecond must not leave the median unknown. */
START_TEST(answer_within_a_millisecond_sets_median)
{
    static route_stats_t stats;
    route_stats_count_answer(&stats, 7, 0);
    ck_assert(route_stats_median_ms(&stats, 7) > 0);
    ck_assert_uint_lt(slow_after_ms(route_stats_median_ms(&stats, 7)), 300);
}
END_TEST

START_TEST(median_moves_in_small_steps)
{
    static route_stats_t stats;
    route_stats_count_answer(&stats, 7, 100);
    ck_assert_double_eq_tol(route_stats_median_ms(&stats, 7), 100, 1e-9);
    route_stats_count_answer(&stats, 7, 5000);
    ck_assert_double_eq_tol(route_stats_median_ms(&stats, 7), 102, 1e-9);
    route_stats_count_answer(&stats, 7, 1);
    ck_assert_double_eq_tol(route_stats_median_ms(&stats, 7), 99.96, 1e-9);
    /* Another route in the same slot starts from zero. */
    ck_assert(route_stats_median_ms(&stats, 7 + ROUTE_STATS_SLOTS) == 0);
}
END_TEST

/* The maximum of routes in a configuration, all in use. */
START_TEST(many_routes_keep_their_statistics)
{
    enum { ROUTES = 10000, KEEP_PERCENT = 70 };
    static route_stats_t stats;
    size_t kept = 0;
    for (uint64_t i = 0; i < ROUTES; i++)
        route_stats_count_answer(&stats, str_hash((str_t){(const char *)&i, sizeof(i)}, 1), 100);
    for (uint64_t i = 0; i < ROUTES; i++)
        kept +=
            route_stats_median_ms(&stats, str_hash((str_t){(const char *)&i, sizeof(i)}, 1)) > 0;
    ck_assert_uint_ge(kept, ROUTES * KEEP_PERCENT / 100);
}
END_TEST

Suite *
suite_gateway_route_stats(void)
{
    Suite *suite = suite_create("gateway: route stats");
    TCase *tests = tcase_create("route stats");
    tcase_add_test(tests, answer_within_a_millisecond_sets_median);
    tcase_add_test(tests, median_moves_in_small_steps);
    tcase_add_test(tests, many_routes_keep_their_statistics);
    suite_add_tcase(suite, tests);
    return suite;
}
