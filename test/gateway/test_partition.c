/* Instances that are partitioned from all backend servers, while callers and other instances reach
 * them. */
#include "base/xmalloc.h"

#include "test/gateway/link.h"
#include "test/gateway/site.h"
#include "test/suites.h"

enum {
    BACKENDS = 4,
    DETECTION_MS = 2500, /* from the cut until requests must be served */
    ASKS = 30,
    PAUSE_MS = 20,
    FAST_MS = 150, /* a refusal that waits for no connection */
};

static const link_mode_t cuts[] = {LINK_HANGS, LINK_RESETS, LINK_REFUSES};

static void
ask_for_ms(const instances_t *fleet, size_t instances, uint64_t ms)
{
    send_continuously(fleet, instances, ms);
}

/* Sends requests through the first instance; returns the number that did not get 200. */
static size_t
count_failures(const instances_t *fleet, const char *method, const char *path)
{
    size_t failures = 0;
    fleet->site->callers = fleet->callers[0];
    for (unsigned i = 0; i < ASKS; i++) {
        failures += ask_about(fleet->site, method, path, i).status != 200;
        run_loop_ms(fleet->site, PAUSE_MS);
    }
    return failures;
}

START_TEST(callers_of_partitioned_instance_are_served)
{
    instances_t fleet = new_linked_instances(BACKENDS, 1, 3);
    ask_for_ms(&fleet, 3, 300);
    link_set_mode(cuts[_i]);
    ask_for_ms(&fleet, 3, DETECTION_MS);
    ck_assert_uint_eq(count_failures(&fleet, "GET", "/safe/x"), 0);
    ck_assert_uint_eq(count_failures(&fleet, "POST", "/once/x"), 0);
}
END_TEST

START_TEST(callers_are_served_while_most_instances_are_partitioned)
{
    instances_t fleet = new_linked_instances(BACKENDS, 3, 4);
    ask_for_ms(&fleet, 4, 300);
    link_set_mode(cuts[_i]);
    ask_for_ms(&fleet, 4, DETECTION_MS);
    ck_assert_uint_eq(send_continuously(&fleet, 4, 1000), 0);
}
END_TEST

START_TEST(requests_are_refused_at_once_while_all_instances_are_partitioned)
{
    instances_t fleet = new_linked_instances(BACKENDS, 2, 2);
    link_set_mode(LINK_HANGS);
    ask_for_ms(&fleet, 2, DETECTION_MS);
    for (unsigned i = 0; i < ASKS; i++) {
        const uint64_t begun_ms = uv_now(&fleet.site->loop);
        fleet.site->callers = fleet.callers[i % 2];
        const reply_t reply = ask_about(fleet.site, "POST", "/once/x", i);
        ck_assert_int_eq(reply.status, 503);
        ck_assert_uint_lt(uv_now(&fleet.site->loop) - begun_ms, FAST_MS);
        run_loop_ms(fleet.site, PAUSE_MS);
    }
    link_set_mode(LINK_OPEN);
    ask_for_ms(&fleet, 2, DETECTION_MS);
    ck_assert_uint_eq(count_failures(&fleet, "POST", "/once/x"), 0);
}
END_TEST

Suite *
suite_gateway_partition(void)
{
    Suite *suite = suite_create("gateway: partition");
    TCase *tcase = tcase_create("partition");
    tcase_set_timeout(tcase, 60);
    tcase_add_loop_test(tcase, callers_of_partitioned_instance_are_served, 0, ALEN(cuts));
    tcase_add_loop_test(tcase, callers_are_served_while_most_instances_are_partitioned, 0,
                        ALEN(cuts));
    tcase_add_test(tcase, requests_are_refused_at_once_while_all_instances_are_partitioned);
    suite_add_tcase(suite, tcase);
    return suite;
}
