/*
 * A backend server that turns requests away and asks for rest.
 *
 * What users saw: for nine seconds a tenth of the orders and look-ups was not served. Five backend
 * servers had turned instances away with the wish to be left alone for 3 s, and were asked again at
 * once, ten times and five by one instance in that time; 241 requests went to one of them to be
 * turned away. The cause: a request that was turned away was certainly not run, and no more than
 * that was read of the answer; its backend server stayed the first choice for its objects, since
 * nothing ran there. Repeats were spent on it until the budget for them was used up.
 *
 * Evidence: what was turned away was sent there as a first choice or to queue; all that came was
 * turned away, second for second. In this test one instance sends 20 in 1 s of rest.
 */
#include <stdlib.h>

#include "base/xmalloc.h"
#include "test/gateway/site.h"
#include "test/suites.h"

enum { BACKENDS = 4, OBJECTS = 50, REST_MS = 1500, KNOWN_MS = 500, BORNE = 2 };

static size_t
ask_for(const instances_t *fleet, uint64_t span_ms)
{
    site_t *site = fleet->site;
    size_t not_served = 0;
    const uint64_t until = uv_now(&site->loop) + span_ms;
    for (unsigned i = 0; uv_now(&site->loop) < until; i++) {
        site->callers = fleet->callers[i % fleet->count];
        not_served += ask_about(site, "GET", "/safe/object", i % OBJECTS).status != 200;
        pass(site, 10);
    }
    return not_served;
}

/* It turns away whatever comes from now on. */
static uint64_t
ask_for_rest(const instances_t *fleet, scripted_t *backend, const char *says)
{
    backend->behaviour = DOES_REFUSE;
    backend->says = says;
    const size_t before = backend->arrival_count;
    while (backend->arrival_count == before)
        ask_for(fleet, 20);
    return backend->arrivals[before];
}

START_TEST(a_backend_that_asks_for_rest_gets_it)
{
    const instances_t fleet = new_instances(BACKENDS, 1);
    scripted_t *tired = &fleet.site->backends[0];
    ask_for(&fleet, KNOWN_MS);
    const uint64_t asked_ms = ask_for_rest(&fleet, tired, "Retry-After: 1.5\r\n");
    ck_assert_uint_eq(ask_for(&fleet, REST_MS), 0);
    ck_assert_uint_le(arrivals_between(tired, asked_ms + KNOWN_MS, asked_ms + REST_MS), BORNE);
}
END_TEST

Suite *
suite_gateway_backend_rest(void)
{
    Suite *suite = suite_create("gateway: backend rest");
    TCase *tests = tcase_create("backend rest");
    tcase_set_timeout(tests, 30);
    tcase_add_test(tests, a_backend_that_asks_for_rest_gets_it);
    suite_add_tcase(suite, tests);
    return suite;
}
