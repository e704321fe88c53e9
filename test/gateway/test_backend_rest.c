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
#include "gateway/policy/rest.h"
#include "test/gateway/site.h"
#include "test/suites.h"

enum { BACKENDS = 4, REST_MS = 1500, KNOWN_MS = 500, BORNE = 2 };

/* It turns away whatever comes from now on. */
static uint64_t
ask_for_rest(const instances_t *fleet, scripted_t *backend, const char *says)
{
    backend->behaviour = DOES_REFUSE;
    backend->extra_headers = says;
    const size_t before = backend->arrival_count;
    while (backend->arrival_count == before)
        send_continuously(fleet, 1, 20);
    return backend->arrivals[before];
}

START_TEST(a_backend_that_asks_for_rest_gets_it)
{
    const instances_t fleet = new_instances(BACKENDS, 1);
    scripted_t *tired = &fleet.site->backends[0];
    send_continuously(&fleet, 1, KNOWN_MS);
    const uint64_t asked_ms = ask_for_rest(&fleet, tired, "Retry-After: 1.5\r\n");
    ck_assert_uint_eq(send_continuously(&fleet, 1, REST_MS), 0);
    ck_assert_uint_le(arrivals_between(tired, asked_ms + KNOWN_MS, asked_ms + REST_MS), BORNE);
}
END_TEST

/* Served again, by one request at first. */
START_TEST(after_the_rest_one_finds_out_and_the_others_follow)
{
    const instances_t fleet = new_instances(BACKENDS, 1);
    scripted_t *tired = &fleet.site->backends[0];
    send_continuously(&fleet, 1, KNOWN_MS);
    const uint64_t asked_ms = ask_for_rest(&fleet, tired, "Retry-After: 0.6\r\n");
    tired->behaviour = DOES_HOLD; /* the one that finds out gets no answer for a while */
    send_continuously(&fleet, 1, 1000);
    ck_assert_uint_eq(arrivals_between(tired, asked_ms + 550, UINT64_MAX), 1);
    tired->behaviour = DOES_ANSWER;
    tired->extra_headers = NULL;
    const uint64_t from_ms = uv_now(&fleet.site->loop);
    send_continuously(&fleet, 1, 1500);
    ck_assert_uint_ge(arrivals_between(tired, from_ms, UINT64_MAX), 10);
}
END_TEST

/* Those that come together at its end do not go there together. */
START_TEST(of_several_requests_one_finds_out)
{
    enum { TOGETHER = 4 };
    const char *request = "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: t\r\n"
                          "Affinity-Key: 7\r\nDeadline-Ms: 800\r\n\r\n";
    const instances_t fleet = new_instances(2, 1);
    site_t *site = fleet.site;
    scripted_t *tired = first_backend(site, "/safe/x");
    reply_t replies[TOGETHER];
    tired->behaviour = DOES_REFUSE;
    tired->extra_headers = "Retry-After: 0.3\r\n";
    ck_assert_int_eq(ask(site, "GET", "/safe/x").status, 200);
    run_loop_ms(site, 400);
    tired->behaviour = DOES_HOLD;
    const size_t before = tired->arrival_count;
    for (size_t i = 0; i < TOGETHER; i++)
        call(site, &replies[i], request);
    for (size_t i = 0; i < TOGETHER; i++)
        RUN_UNTIL(site, replies[i].done);
    ck_assert_uint_eq(tired->arrival_count, before + 1);
}
END_TEST

START_TEST(where_all_rest_callers_are_told_when_to_come_back)
{
    enum { ASKED = 20 };
    const instances_t fleet = new_instances(2, 1);
    site_t *site = fleet.site;
    set_all_behaviours(site, DOES_REFUSE);
    site->backends[0].extra_headers = "Retry-After: 2\r\n";
    site->backends[1].extra_headers = "Retry-After: 1\r\n";
    send_continuously(&fleet, 1, 200);
    const size_t before = site->backends[0].arrival_count + site->backends[1].arrival_count;
    for (size_t i = 0; i < ASKED; i++) {
        const uint64_t begun_ms = uv_now(&site->loop);
        const reply_t reply = ask_through(&fleet, 0, "/safe/x");
        ck_assert_int_eq(reply.status, 503);
        ck_assert_uint_lt(uv_now(&site->loop) - begun_ms, 100);
        ck_assert(strtod(reply.retry_after, NULL) > 0.3);
        ck_assert(strtod(reply.retry_after, NULL) < 1.2);
    }
    ck_assert_uint_eq(site->backends[0].arrival_count + site->backends[1].arrival_count, before);
    /* The time that was told is true. */
    const reply_t reply = ask_through(&fleet, 0, "/safe/x");
    set_all_behaviours(site, DOES_ANSWER);
    run_loop_ms(site, (uint64_t)(1000 * strtod(reply.retry_after, NULL)));
    ck_assert_int_eq(ask_through(&fleet, 0, "/safe/x").status, 200);
}
END_TEST

START_TEST(one_that_turns_away_without_a_wish_is_asked_again)
{
    const instances_t fleet = new_instances(BACKENDS, 1);
    scripted_t *full = &fleet.site->backends[0];
    full->behaviour = DOES_REFUSE;
    ck_assert_uint_eq(send_continuously(&fleet, 1, 1000), 0);
    ck_assert_uint_ge(full->arrival_count, 10);
}
END_TEST

START_TEST(the_longer_of_two_wishes_holds_up_to_a_bound)
{
    rest_t rest = {0};
    ck_assert(rest_allows(&rest, 0));
    rest_ask(&rest, 3000, 1000);
    rest_ask(&rest, 500, 1100);
    ck_assert(!rest_allows(&rest, 3999) && rest_allows(&rest, 4000));
    rest_ask(&rest, 3600000, 2000);
    ck_assert(!rest_allows(&rest, 61999) && rest_allows(&rest, 62000));
}
END_TEST

START_TEST(only_what_was_sent_since_proves_a_rest_over)
{
    rest_t rest = {0};
    rest_ask(&rest, 1000, 1000);
    rest_attempt_ended(&rest, 900, true); /* an answer to a request from before */
    ck_assert(!rest_allows(&rest, 1999));
    rest_attempt_started(&rest);
    ck_assert(!rest_allows(&rest, 2000));   /* one is under way */
    rest_attempt_ended(&rest, 2000, false); /* its caller has left */
    ck_assert(rest_allows(&rest, 2100));
    rest_attempt_started(&rest);
    rest_ask(&rest, 1000, 2200); /* it was turned away */
    rest_attempt_ended(&rest, 2100, false);
    ck_assert(!rest_allows(&rest, 3199));
    rest_attempt_started(&rest);
    rest_attempt_ended(&rest, 3300, true);
    rest_attempt_started(&rest);
    ck_assert(rest_allows(&rest, 3301)); /* any number of them */
}
END_TEST

Suite *
suite_gateway_backend_rest(void)
{
    Suite *suite = suite_create("gateway: backend rest");
    TCase *tests = tcase_create("backend rest");
    tcase_set_timeout(tests, 30);
    tcase_add_test(tests, a_backend_that_asks_for_rest_gets_it);
    tcase_add_test(tests, after_the_rest_one_finds_out_and_the_others_follow);
    tcase_add_test(tests, of_several_requests_one_finds_out);
    tcase_add_test(tests, where_all_rest_callers_are_told_when_to_come_back);
    tcase_add_test(tests, one_that_turns_away_without_a_wish_is_asked_again);
    tcase_add_test(tests, the_longer_of_two_wishes_holds_up_to_a_bound);
    tcase_add_test(tests, only_what_was_sent_since_proves_a_rest_over);
    suite_add_tcase(suite, tests);
    return suite;
}
