/*
 * A backend server that names a limit in its answers.
 *
 * What its owners saw: two backend servers in need said that they take 1.3 and 1.9 requests a
 * second from all instances together, and went on getting 4.6 and 5.1 a second as before, 20 in 4 s
 * where 13 are borne. The cause: of an answer's fields that tell of the backend server itself the
 * instances read its load and no other; none of them knew of the limit.
 *
 * Evidence: arrivals did not change for 17 s after the limit was named; one read by each instance
 * for itself would have held every one of nine to it. This test, where three instances ask for one
 * object of a backend server that names 2 a second, had 391 arrive in 4 s, where 17 are borne.
 */
#include <stdlib.h>

#include "test/gateway/site.h"
#include "test/suites.h"

enum {
    BACKENDS = 4,
    INSTANCES = 3,
    LIMIT_PER_S = 2,
    SETTLE_MS = 1000, /* the limit is known by then */
    WINDOW_MS = 4000,
    SPAN_MS = 5500,
    /* One and a half times the limit, and five. */
    WINDOW_MOST = LIMIT_PER_S * WINDOW_MS / 1000 * 3 / 2 + 5,
    /* Eight tenths of what the limit offers. */
    SPAN_LEAST = LIMIT_PER_S * SPAN_MS / 1000 * 8 / 10,
};

/* Asks at all of some instances, one after the other; returns how many were not served. */
static size_t
ask_for(const instances_t *fleet, size_t instances, uint64_t span_ms)
{
    size_t not_served = 0;
    const uint64_t until = uv_now(&fleet->site->loop) + span_ms;
    for (size_t i = 0; uv_now(&fleet->site->loop) < until; i++) {
        not_served += ask_through(fleet, i % instances, "/safe/object").status != 200;
        pass(fleet->site, 10);
    }
    return not_served;
}

static void
check_limit_is_kept(size_t callers_at)
{
    const instances_t fleet = new_instances(BACKENDS, INSTANCES);
    scripted_t *limited = first_backend(fleet.site, "/safe/object");
    limited->says = "Server-Limit: 2.0\r\n";
    ck_assert_uint_eq(ask_for(&fleet, callers_at, SETTLE_MS), 0);
    const uint64_t from_ms = uv_now(&fleet.site->loop);
    ck_assert_uint_eq(ask_for(&fleet, callers_at, SPAN_MS), 0);
    ck_assert_uint_le(most_arrivals(limited, from_ms, WINDOW_MS), WINDOW_MOST);
    ck_assert_uint_ge(arrivals_between(limited, from_ms, UINT64_MAX), SPAN_LEAST);
}

START_TEST(a_limit_that_a_backend_server_names_holds_over_all_instances)
{
    check_limit_is_kept(INSTANCES);
}
END_TEST

Suite *
suite_gateway_backend_limit(void)
{
    Suite *suite = suite_create("gateway: backend limit");
    TCase *tests = tcase_create("backend limit");
    tcase_set_timeout(tests, 30);
    tcase_add_test(tests, a_limit_that_a_backend_server_names_holds_over_all_instances);
    suite_add_tcase(suite, tests);
    return suite;
}
