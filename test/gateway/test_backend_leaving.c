/*
 * A backend server that says in its answers that it leaves.
 *
 * What its owners saw: 2.7 s after it had said so in answers to two instances, each of them sent it
 * one more request; 58 came in the 12 s after. The store took its entry 13 s late, as it answered
 * nobody. The cause: an instance took a backend server for leaving when the list of the store said
 * so, and for no other reason; what the backend server itself said with each answer was not read.
 *
 * Evidence: the store took the entry at 20.4 s, and until then the backend server got 2 to 12
 * requests a second. In this test, where the entry says ready all the time, 58 more come in 3 s.
 */
#include <stdlib.h>

#include "base/xmalloc.h"
#include "test/gateway/site.h"
#include "test/suites.h"

enum { BACKENDS = 4, INSTANCES = 3, OBJECTS = 50, SETTLE_MS = 400, SPAN_MS = 1500 };

static void
ask_for(const instances_t *fleet, uint64_t span_ms, size_t *not_served)
{
    site_t *site = fleet->site;
    const uint64_t until = uv_now(&site->loop) + span_ms;
    for (unsigned i = 0; uv_now(&site->loop) < until; i++) {
        site->callers = fleet->callers[i % fleet->count];
        *not_served += ask_about(site, "GET", "/safe/object", i % OBJECTS).status != 200;
        pass(site, 10);
    }
}

START_TEST(a_backend_that_says_it_leaves_gets_nothing_new_whatever_the_store_says)
{
    size_t not_served = 0;
    const instances_t fleet = new_instances(BACKENDS, INSTANCES);
    site_t *site = fleet.site;
    scripted_t *leaving = &site->backends[0];
    ask_for(&fleet, SETTLE_MS, &not_served);
    leaving->says = "Server-Leaving: 1\r\n";
    ask_for(&fleet, SETTLE_MS, &not_served);
    const size_t before = leaving->arrival_count;
    ask_for(&fleet, SPAN_MS, &not_served);
    put_backend(site, leaving, "ready"); /* a newer entry of the same life */
    put_config(site, NULL);
    ask_for(&fleet, SPAN_MS, &not_served);
    ck_assert_uint_eq(leaving->arrival_count, before);
    ck_assert_uint_eq(not_served, 0);
}
END_TEST

Suite *
suite_gateway_backend_leaving(void)
{
    Suite *suite = suite_create("gateway: backend leaving");
    TCase *tests = tcase_create("backend leaving");
    tcase_set_timeout(tests, 30);
    tcase_add_test(tests, a_backend_that_says_it_leaves_gets_nothing_new_whatever_the_store_says);
    suite_add_tcase(suite, tests);
    return suite;
}
