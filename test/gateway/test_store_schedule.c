/* Store schedule: the rules, and instances that start at the same time. */
#include <stdio.h>

#include "base/str.h"
#include "base/xmalloc.h"
#include "gateway/policy/store_schedule.h"
#include "test/gateway/site.h"
#include "test/suites.h"

enum { FLEET = 295, REGION = 98 };

/* The first readers must be able to distribute the views before most instances read the store. */
START_TEST(few_starting_instances_read_the_store_first)
{
    enum { FIRST_MS = 250, FIRST_MAX = 30, LATEST_MS = 600 };
    size_t first = 0;
    for (unsigned i = 0; i < FLEET; i++) {
        char name[24];
        snprintf(name, sizeof(name), "front-hall-%u", i);
        const uint64_t wait_ms =
            store_schedule_startup_delay_ms(str_hash(str_from(name), 1), false, LATEST_MS);
        ck_assert_uint_le(wait_ms, LATEST_MS);
        first += wait_ms <= FIRST_MS;
    }
    ck_assert_uint_gt(first, 0);
    ck_assert_uint_le(first, FIRST_MAX);
    ck_assert_uint_eq(store_schedule_startup_delay_ms(7, true, LATEST_MS), 0);
}
END_TEST

/* During an outage of 9 s the calls of a region hardly grow with its instances. */
START_TEST(store_probes_during_outage_are_bounded)
{
    enum { OUTAGE_MS = 9000, CALLS_MAX = 110 };
    static const size_t regions[] = {3, 27, REGION, 467};
    for (size_t r = 0; r < ALEN(regions); r++) {
        size_t calls = 0;
        for (size_t rank = 0; rank < regions[r]; rank++) {
            uint64_t from_ms = 0;
            while (from_ms < OUTAGE_MS && !store_schedule_takes_over(rank, from_ms))
                from_ms += 50;
            if (from_ms < OUTAGE_MS)
                calls +=
                    1 + (OUTAGE_MS - from_ms) / store_schedule_probe_interval_ms(rank, regions[r]);
        }
        ck_assert_msg(calls <= CALLS_MAX, "%zu instances make %zu store calls", regions[r], calls);
        ck_assert_uint_ge(calls, 2 * OUTAGE_MS / 1000);
    }
}
END_TEST

START_TEST(answer_timeouts_are_bounded)
{
    ck_assert_uint_eq(store_schedule_answer_timeout_ms(0, 0), 800);
    ck_assert_uint_eq(store_schedule_answer_timeout_ms(2000, 0), 4000);
    ck_assert_uint_eq(store_schedule_answer_timeout_ms(60000, 0), 8000);
    ck_assert_uint_eq(store_schedule_answer_timeout_ms(0, 1), 3200);
    ck_assert_uint_eq(store_schedule_answer_timeout_ms(0, 1000), 8000);
}
END_TEST

/* If the first four instances are refused, another one tries within half a second. */
START_TEST(unwatched_store_is_taken_over)
{
    ck_assert(store_schedule_watches(0) && store_schedule_watches(1) && !store_schedule_watches(2));
    ck_assert(store_schedule_takes_over(0, 0) && store_schedule_takes_over(3, 0));
    ck_assert(!store_schedule_takes_over(4, 0));
    ck_assert(store_schedule_takes_over(5, 500));
    ck_assert(store_schedule_takes_over(REGION - 1, 24000));
}
END_TEST

START_TEST(simultaneous_starts_make_few_store_calls)
{
    /* Each instance announces itself; only a few read the store for all. */
    enum { FLEET_SIZE = 12, READS_MAX = 40 };
    gateway_t *fleet[FLEET_SIZE];
    site_t *site = new_site(1);
    const uint64_t before = standin_store_calls(site->store);
    const addr_t *seed = NULL;
    for (size_t i = 0; i < FLEET_SIZE; i++) {
        char name[16];
        snprintf(name, sizeof(name), "g-%zu", i + 1);
        fleet[i] = start_gateway(site, name, &site->store_port, seed);
        seed = &gateway_settings(fleet[0])->peer;
    }
    for (size_t i = 0; i < FLEET_SIZE; i++) {
        use_gateway(site, fleet[i]);
        RUN_UNTIL(site, is_ready(site));
    }
    const uint64_t calls = standin_store_calls(site->store) - before;
    ck_assert_msg(calls <= FLEET_SIZE + READS_MAX, "%llu store calls", (unsigned long long)calls);
}
END_TEST

Suite *
suite_gateway_store_schedule(void)
{
    Suite *suite = suite_create("gateway: store schedule");
    TCase *tests = tcase_create("turns");
    tcase_set_timeout(tests, 60);
    tcase_add_test(tests, few_starting_instances_read_the_store_first);
    tcase_add_test(tests, store_probes_during_outage_are_bounded);
    tcase_add_test(tests, unwatched_store_is_taken_over);
    tcase_add_test(tests, answer_timeouts_are_bounded);
    tcase_add_test(tests, simultaneous_starts_make_few_store_calls);
    suite_add_tcase(suite, tests);
    return suite;
}
