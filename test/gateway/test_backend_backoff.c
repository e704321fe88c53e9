/*
 * Backoff of a backend server that rejects requests with Retry-After. Without it an instance keeps
 * sending requests to that backend and spends the service's retry budget on them.
 */
#include <stdlib.h>

#include "base/xmalloc.h"
#include "gateway/policy/backoff.h"
#include "test/gateway/site.h"
#include "test/suites.h"

enum { BACKENDS = 4, BACKOFF_MS = 1500, WARMUP_MS = 500, STRAY_ARRIVALS_MAX = 2 };

/* Makes the backend reject all requests from now on; returns the time of the first rejection. */
static uint64_t
reject_with_retry_after(const instances_t *fleet, scripted_t *backend, const char *says)
{
    backend->behaviour = DOES_REFUSE;
    backend->extra_headers = says;
    const size_t before = backend->arrival_count;
    while (backend->arrival_count == before)
        send_continuously(fleet, 1, 20);
    return backend->arrivals[before];
}

START_TEST(backend_retry_after_is_respected)
{
    const instances_t fleet = new_instances(BACKENDS, 1);
    scripted_t *rejecting = &fleet.site->backends[0];
    send_continuously(&fleet, 1, WARMUP_MS);
    const uint64_t asked_ms = reject_with_retry_after(&fleet, rejecting, "Retry-After: 1.5\r\n");
    ck_assert_uint_eq(send_continuously(&fleet, 1, BACKOFF_MS), 0);
    ck_assert_uint_le(arrivals_between(rejecting, asked_ms + WARMUP_MS, asked_ms + BACKOFF_MS),
                      STRAY_ARRIVALS_MAX);
}
END_TEST

/* A single probe is sent first. */
START_TEST(one_request_probes_after_backoff)
{
    const instances_t fleet = new_instances(BACKENDS, 1);
    scripted_t *rejecting = &fleet.site->backends[0];
    send_continuously(&fleet, 1, WARMUP_MS);
    const uint64_t asked_ms = reject_with_retry_after(&fleet, rejecting, "Retry-After: 0.6\r\n");
    rejecting->behaviour = DOES_HOLD; /* the probe gets no response for a while */
    send_continuously(&fleet, 1, 1000);
    ck_assert_uint_eq(arrivals_between(rejecting, asked_ms + 550, UINT64_MAX), 1);
    rejecting->behaviour = DOES_ANSWER;
    rejecting->extra_headers = NULL;
    const uint64_t from_ms = uv_now(&fleet.site->loop);
    send_continuously(&fleet, 1, 1500);
    ck_assert_uint_ge(arrivals_between(rejecting, from_ms, UINT64_MAX), 10);
}
END_TEST

/* Requests that arrive together after the delay do not all go there. */
START_TEST(concurrent_requests_send_one_probe)
{
    enum { CONCURRENT = 4 };
    const char *request = "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: t\r\n"
                          "Affinity-Key: 7\r\nDeadline-Ms: 800\r\n\r\n";
    const instances_t fleet = new_instances(2, 1);
    site_t *site = fleet.site;
    scripted_t *rejecting = first_backend(site, "/safe/x");
    reply_t replies[CONCURRENT];
    rejecting->behaviour = DOES_REFUSE;
    rejecting->extra_headers = "Retry-After: 0.3\r\n";
    ck_assert_int_eq(ask(site, "GET", "/safe/x").status, 200);
    run_loop_ms(site, 400);
    rejecting->behaviour = DOES_HOLD;
    const size_t before = rejecting->arrival_count;
    for (size_t i = 0; i < CONCURRENT; i++)
        call(site, &replies[i], request);
    for (size_t i = 0; i < CONCURRENT; i++)
        RUN_UNTIL(site, replies[i].done);
    ck_assert_uint_eq(rejecting->arrival_count, before + 1);
}
END_TEST

START_TEST(callers_get_retry_after_if_all_backends_back_off)
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
    /* The backend is available after the time given in Retry-After. */
    const reply_t reply = ask_through(&fleet, 0, "/safe/x");
    set_all_behaviours(site, DOES_ANSWER);
    run_loop_ms(site, (uint64_t)(1000 * strtod(reply.retry_after, NULL)));
    ck_assert_int_eq(ask_through(&fleet, 0, "/safe/x").status, 200);
}
END_TEST

START_TEST(rejection_without_retry_after_causes_no_backoff)
{
    const instances_t fleet = new_instances(BACKENDS, 1);
    scripted_t *full = &fleet.site->backends[0];
    full->behaviour = DOES_REFUSE;
    ck_assert_uint_eq(send_continuously(&fleet, 1, 1000), 0);
    ck_assert_uint_ge(full->arrival_count, 10);
}
END_TEST

START_TEST(longer_backoff_wins_up_to_a_maximum)
{
    backoff_t backoff = {0};
    ck_assert(backoff_allows(&backoff, 0));
    backoff_request(&backoff, 3000, 1000);
    backoff_request(&backoff, 500, 1100);
    ck_assert(!backoff_allows(&backoff, 3999) && backoff_allows(&backoff, 4000));
    backoff_request(&backoff, 3600000, 2000);
    ck_assert(!backoff_allows(&backoff, 61999) && backoff_allows(&backoff, 62000));
}
END_TEST

START_TEST(only_later_requests_end_the_backoff)
{
    backoff_t backoff = {0};
    backoff_request(&backoff, 1000, 1000);
    backoff_attempt_ended(&backoff, 900, true); /* response to a request sent before the backoff */
    ck_assert(!backoff_allows(&backoff, 1999));
    backoff_attempt_started(&backoff);
    ck_assert(!backoff_allows(&backoff, 2000));   /* a probe is in progress */
    backoff_attempt_ended(&backoff, 2000, false); /* the caller has left */
    ck_assert(backoff_allows(&backoff, 2100));
    backoff_attempt_started(&backoff);
    backoff_request(&backoff, 1000, 2200); /* the probe was rejected */
    backoff_attempt_ended(&backoff, 2100, false);
    ck_assert(!backoff_allows(&backoff, 3199));
    backoff_attempt_started(&backoff);
    backoff_attempt_ended(&backoff, 3300, true);
    backoff_attempt_started(&backoff);
    ck_assert(backoff_allows(&backoff, 3301)); /* no limit any more */
}
END_TEST

Suite *
suite_gateway_backend_backoff(void)
{
    Suite *suite = suite_create("gateway: backend backoff");
    TCase *tests = tcase_create("backend backoff");
    tcase_set_timeout(tests, 30);
    tcase_add_test(tests, backend_retry_after_is_respected);
    tcase_add_test(tests, one_request_probes_after_backoff);
    tcase_add_test(tests, concurrent_requests_send_one_probe);
    tcase_add_test(tests, callers_get_retry_after_if_all_backends_back_off);
    tcase_add_test(tests, rejection_without_retry_after_causes_no_backoff);
    tcase_add_test(tests, longer_backoff_wins_up_to_a_maximum);
    tcase_add_test(tests, only_later_requests_end_the_backoff);
    suite_add_tcase(suite, tests);
    return suite;
}
