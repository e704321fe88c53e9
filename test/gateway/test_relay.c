/* View relay: distribution of changes, and pulls by lagging instances. */
#include "base/xmalloc.h"
#include "gateway/policy/relay.h"
#include "test/suites.h"

enum { INSTANCES_MAX = 60, LARGE = 100000, SMALL = 300 };

typedef struct {
    unsigned copies[INSTANCES_MAX]; /* copies received by each instance */
    unsigned sent[INSTANCES_MAX];   /* copies sent by each instance */
} spread_t;

/* Distributes a change over `count` instances, starting at the store's watcher; each instance that
 * gets it for the first time sends it on. */
static spread_t
spread(size_t bytes, size_t count, size_t origin)
{
    spread_t spread = {0};
    size_t queue[INSTANCES_MAX] = {origin};
    size_t queued = 1;
    for (size_t next = 0; next < queued; next++) {
        const relay_input_t input = {
            .bytes = bytes,
            .instances = count,
            .own = queue[next],
            .from_store = next == 0,
        };
        for (size_t rank = 0; rank < count; rank++) {
            if (!relay_sends_to(&input, rank))
                continue;
            spread.sent[queue[next]]++;
            spread.copies[rank]++;
            if (spread.copies[rank] == 1 && rank != origin)
                queue[queued++] = rank;
        }
    }
    return spread;
}

START_TEST(relay_reaches_every_instance)
{
    static const size_t sizes[] = {SMALL, LARGE};
    for (size_t s = 0; s < ALEN(sizes); s++) {
        for (size_t count = 1; count <= INSTANCES_MAX; count++) {
            for (size_t origin = 0; origin < count; origin++) {
                const spread_t result = spread(sizes[s], count, origin);
                for (size_t i = 0; i < count; i++)
                    ck_assert_msg(i == origin || result.copies[i] > 0,
                                  "instance %zu of %zu not reached from %zu", i, count, origin);
            }
        }
    }
}
END_TEST

START_TEST(relay_sends_few_copies_of_a_large_change)
{
    enum { ORIGIN_MAX = 7, OTHERS_MAX = 3 };
    for (size_t origin = 0; origin < INSTANCES_MAX; origin++) {
        const spread_t result = spread(LARGE, INSTANCES_MAX, origin);
        for (size_t i = 0; i < INSTANCES_MAX; i++)
            ck_assert_uint_le(result.sent[i], i == origin ? ORIGIN_MAX : OTHERS_MAX);
    }
}
END_TEST

START_TEST(relay_sends_small_changes_directly)
{
    const spread_t result = spread(SMALL, INSTANCES_MAX, 5);
    ck_assert_uint_eq(result.sent[5], INSTANCES_MAX - 1);
    for (size_t i = 0; i < INSTANCES_MAX; i++)
        ck_assert_uint_eq(result.copies[i], i != 5);
}
END_TEST

START_TEST(relay_pause_is_proportional_to_bytes_sent)
{
    ck_assert_uint_eq(relay_pause_ms(0, 0), 0);
    ck_assert_uint_eq(relay_pause_ms(SMALL, 0), 1);
    ck_assert_uint_eq(relay_pause_ms(LARGE, 0), 400);
    ck_assert_uint_eq(relay_pause_ms((size_t)100 * LARGE, 0), 1000);
    /* A fifth of a larger link. */
    ck_assert_uint_eq(relay_pause_ms(LARGE, 25e6), 20);
}
END_TEST

START_TEST(relay_lag_counts_from_first_missing_revision)
{
    relay_lag_t lag = {0};
    ck_assert(!relay_lag_should_pull(&lag, 60, 10000));
    relay_lag_detected(&lag, 50, 1000);
    relay_lag_detected(&lag, 60, 1300);
    relay_lag_reached(&lag, 49); /* an old change */
    ck_assert(!relay_lag_should_pull(&lag, 60, 1449));
    ck_assert(relay_lag_should_pull(&lag, 60, 1450));
    relay_lag_reached(&lag, 50);
    ck_assert(!relay_lag_should_pull(&lag, 60, 10000));
    relay_lag_detected(&lag, 60, 1500);
    ck_assert(!relay_lag_should_pull(&lag, 60, 1949));
    ck_assert(relay_lag_should_pull(&lag, 60, 1950));
}
END_TEST

START_TEST(relay_lag_pulls_only_from_peers_with_the_revision)
{
    relay_lag_t lag = {0};
    relay_lag_detected(&lag, 50, 1000);
    ck_assert(!relay_lag_should_pull(&lag, 49, 5000));
    ck_assert(relay_lag_should_pull(&lag, 50, 5000));
}
END_TEST

START_TEST(relay_lag_waits_for_pause_after_large_change)
{
    enum { CONFIGURATION = 14400 }; /* bytes; a configuration of 72 routes */
    relay_lag_t lag = {0};
    relay_lag_change_received(&lag, CONFIGURATION, 1000);
    relay_lag_detected(&lag, 50, 1000);
    ck_assert(!relay_lag_should_pull(&lag, 50, 1450));
    ck_assert(relay_lag_should_pull(&lag, 50, 1000 + 404 + 450));
    /* The delay is bounded for a change of any size. */
    relay_lag_change_received(&lag, (size_t)100 * LARGE, 1000);
    ck_assert(relay_lag_should_pull(&lag, 50, 2450));
}
END_TEST

START_TEST(relay_lag_delay_after_large_change_is_bounded)
{
    relay_lag_t lag = {0};
    relay_lag_change_received(&lag, LARGE, 1000);
    relay_lag_detected(&lag, 50, 60000);
    ck_assert(relay_lag_should_pull(&lag, 50, 60450));
    /* Small changes cause no pause, and a series of large ones does not delay the pull
     * indefinitely. */
    relay_lag_change_received(&lag, SMALL, 60100);
    ck_assert(relay_lag_should_pull(&lag, 50, 60450));
    for (uint64_t now_ms = 60200; now_ms <= 61400; now_ms += 200)
        relay_lag_change_received(&lag, LARGE, now_ms);
    ck_assert(!relay_lag_should_pull(&lag, 50, 61449));
    ck_assert(relay_lag_should_pull(&lag, 50, 61450));
}
END_TEST

Suite *
suite_gateway_relay(void)
{
    Suite *suite = suite_create("gateway: relay");
    TCase *tests = tcase_create("relay");
    tcase_add_test(tests, relay_reaches_every_instance);
    tcase_add_test(tests, relay_sends_few_copies_of_a_large_change);
    tcase_add_test(tests, relay_sends_small_changes_directly);
    tcase_add_test(tests, relay_pause_is_proportional_to_bytes_sent);
    tcase_add_test(tests, relay_lag_counts_from_first_missing_revision);
    tcase_add_test(tests, relay_lag_pulls_only_from_peers_with_the_revision);
    tcase_add_test(tests, relay_lag_waits_for_pause_after_large_change);
    tcase_add_test(tests, relay_lag_delay_after_large_change_is_bounded);
    suite_add_tcase(suite, tests);
    return suite;
}
