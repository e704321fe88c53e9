/* Requests through a gateway between a caller and scripted backend servers. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "test/gateway/site.h"
#include "test/suites.h"
#include "wire/fetch.h"

START_TEST(request_is_forwarded)
{
    site_t *site = new_ready_site(2);
    const reply_t reply = ask(site, "GET", "/safe/x");
    ck_assert_int_eq(reply.status, 200);
    ck_assert(reply.whole);
    ck_assert_str_eq(reply.body, "hello");
    ck_assert_uint_eq(total_runs(site), 1);
    ck_assert(!site->backends[0].wrong_instance && !site->backends[1].wrong_instance);
    const uint64_t told = site->backends[0].last_deadline | site->backends[1].last_deadline;
    ck_assert(told > 0 && told < 801);
    ck_assert_int_eq(ask(site, "GET", "/none/x").status, 404);
}
END_TEST

START_TEST(requests_before_the_first_configuration_get_503)
{
    site_t *site = new_site(1);
    standin_store_set_mode(site->store, STANDIN_STORE_BUSY);
    use_gateway(site, start_gateway(site, "g-1", &site->store_port, NULL));
    const reply_t reply = ask(site, "GET", "/safe/x");
    ck_assert_int_eq(reply.status, 503);
    ck_assert_str_ne(reply.retry_after, "");
    standin_store_set_mode(site->store, STANDIN_STORE_SERVES);
    RUN_UNTIL(site, is_ready(site));
}
END_TEST

START_TEST(unexecuted_request_is_sent_to_another_backend)
{
    site_t *site = new_ready_site(2);
    scripted_t *first = first_backend(site, "/once/x");
    static const behaviour_t not_run[] = {DOES_REFUSE, DOES_MISDIRECT};
    for (size_t i = 0; i < ALEN(not_run); i++) {
        const size_t before = total_runs(site);
        first->behaviour = not_run[i];
        ck_assert_int_eq(ask(site, "POST", "/once/x").status, 200);
        ck_assert_uint_eq(total_runs(site), before + 1);
    }
    set_all_behaviours(site, DOES_REFUSE);
    const reply_t reply = ask(site, "POST", "/once/x");
    ck_assert_int_eq(reply.status, 503);
    ck_assert_str_ne(reply.retry_after, "");
}
END_TEST

START_TEST(non_repeatable_request_is_not_resent_if_it_may_have_run)
{
    static const behaviour_t unknown[] = {DOES_RESET, DOES_CUT, DOES_GARBAGE, DOES_UNSIGNED,
                                          DOES_CUT_UNFRAMED};
    for (size_t i = 0; i < ALEN(unknown); i++) {
        site_t *site = new_ready_site(2);
        set_all_behaviours(site, unknown[i]);
        const reply_t reply = ask(site, "POST", "/once/x");
        ck_assert_int_eq(reply.status, 502);
        ck_assert_uint_eq(total_runs(site), 1);
    }
}
END_TEST

START_TEST(repeatable_request_is_retried)
{
    static const behaviour_t failing[] = {DOES_RESET,    DOES_CUT,  DOES_GARBAGE,
                                          DOES_UNSIGNED, DOES_FAIL, DOES_CUT_UNFRAMED};
    for (size_t i = 0; i < ALEN(failing); i++) {
        site_t *site = new_ready_site(2);
        first_backend(site, "/safe/x")->behaviour = failing[i];
        const reply_t reply = ask(site, "GET", "/safe/x");
        ck_assert_int_eq(reply.status, 200);
        ck_assert(reply.whole);
        ck_assert_str_eq(reply.body, "hello");
        /* No more backends than the route allows. */
        set_all_behaviours(site, failing[i]);
        const size_t before = total_runs(site);
        ck_assert_int_ne(ask(site, "GET", "/safe/x").status, 200);
        ck_assert_uint_le(total_runs(site), before + 2);
    }
}
END_TEST

START_TEST(backend_that_never_responds_is_avoided)
{
    /* The backend accepts requests and never responds; others must take over its objects. */
    enum { LOST = 6 };
    site_t *site = new_ready_site(3);
    first_backend(site, "/safe/x")->behaviour = DOES_HOLD;
    for (int i = 0; i < LOST; i++)
        ask(site, "GET", "/safe/x");
    for (int i = 0; i < 5; i++)
        ck_assert_int_eq(ask(site, "GET", "/safe/x").status, 200);
}
END_TEST

/* A request to a backend server that has ended must not stay in memory. */
START_TEST(request_to_ended_backend_is_not_kept)
{
    enum { REQUESTS = 6 };
    site_t *site = new_ready_site(2);
    for (int i = 0; i < 2; i++) {
        crash_backend(&site->backends[i]);
        uv_timer_stop(&site->backends[i].restart);
    }
    for (int i = 0; i < REQUESTS; i++)
        ck_assert_int_eq(ask(site, "POST", "/once/x").status, 503);
    RUN_UNTIL(site, wire_client_request_bytes() == 0);
}
END_TEST

START_TEST(responses_are_never_mixed_up)
{
    site_t *site = new_ready_site(1);
    static const behaviour_t spoiling[] = {DOES_SURPLUS, DOES_LATE, DOES_ANSWER};
    for (size_t i = 0; i < 4 * ALEN(spoiling); i++) {
        site->backends[0].behaviour = spoiling[i % ALEN(spoiling)];
        const reply_t reply = ask(site, i % 2 == 0 ? "GET" : "POST", "/once/x");
        ck_assert_int_eq(reply.status, 200);
        ck_assert_str_eq(reply.body, "hello");
    }
}
END_TEST

/* An HTTP/1.0 caller knows no chunks: its response ends with the connection. */
START_TEST(response_without_length_has_an_end_that_callers_can_tell)
{
    site_t *site = new_ready_site(1);
    site->backends[0].behaviour = DOES_UNFRAMED;
    reply_t reply = ask(site, "POST", "/once/x");
    ck_assert_int_eq(reply.status, 200);
    ck_assert(!reply.unframed && reply.whole);
    ck_assert_str_eq(reply.body, "hello");
    call(site, &reply, "POST /once/x HTTP/1.0\r\nHost: h.example\r\nAttempt-Id: f\r\n\r\n");
    RUN_UNTIL(site, reply.done);
    ck_assert_int_eq(reply.status, 200);
    ck_assert(reply.unframed && reply.whole);
    ck_assert_str_eq(reply.body, "hello");
}
END_TEST

/* Longer than what is kept to replace a broken response. Without a length the close is its end. */
START_TEST(response_that_breaks_off_never_looks_whole)
{
    enum { SENT = 20000 };
    static const char *const heads[] = {"\r\n", "Content-Length: 30000\r\n\r\n",
                                        "Transfer-Encoding: chunked\r\n\r\n7530\r\n"};
    static char raw[SENT + 200];
    for (size_t i = 0; i < ALEN(heads); i++) {
        for (int minor = 0; minor <= 1; minor++) {
            reply_t reply;
            char request[128];
            site_t *site = new_ready_site(1);
            const int head = snprintf(
                raw, sizeof(raw), "HTTP/1.1 200 OK\r\nAttempt-Id: f\r\nResponse-Signature: s\r\n%s",
                heads[i]);
            memset(raw + head, 'r', SENT);
            site->backends[0].behaviour = DOES_RAW;
            site->backends[0].raw = (str_t){raw, (size_t)head + SENT};
            snprintf(request, sizeof(request),
                     "POST /once/x HTTP/1.%d\r\nHost: h.example\r\nAttempt-Id: f\r\n\r\n", minor);
            call(site, &reply, request);
            RUN_UNTIL(site, reply.body_len > 0);
            standin_backend_end(site->backends[0].standin);
            RUN_UNTIL(site, reply.done);
            ck_assert_msg(reply.whole == (i == 0), "HTTP/1.%d, %s", minor, heads[i]);
        }
    }
}
END_TEST

START_TEST(large_response_is_streamed_completely)
{
    site_t *site = new_ready_site(1);
    site->backends[0].behaviour = DOES_LARGE;
    const reply_t reply = ask(site, "GET", "/safe/x");
    ck_assert(reply.whole);
    ck_assert_uint_eq(reply.body_len, 100000);
}
END_TEST

START_TEST(silent_backend_times_out_at_the_deadline)
{
    site_t *site = new_ready_site(1);
    site->backends[0].behaviour = DOES_HOLD;
    ck_assert_int_eq(ask(site, "POST", "/once/x").status, 504);
    RUN_UNTIL(site, standin_backend_ended(site->backends[0].standin) == 1);
}
END_TEST

/* An overdue attempt was cancelled although no other backend could take the request. */
START_TEST(overdue_attempt_continues_without_an_alternative)
{
    enum { HELD = 6 }; /* the first failures make the backend avoided */
    site_t *site = new_ready_site(1);
    reply_t replies[HELD];
    set_all_behaviours(site, DOES_HOLD);
    for (size_t i = 0; i < HELD; i++) {
        char request[256];
        snprintf(request, sizeof(request),
                 "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: held-%zu\r\n"
                 "Affinity-Key: 7\r\nDeadline-Ms: 800\r\n\r\n",
                 i);
        call(site, &replies[i], request);
    }
    for (size_t i = 0; i < HELD; i++) {
        RUN_UNTIL(site, replies[i].done);
        /* Ended at its deadline, not before. */
        ck_assert_int_eq(replies[i].status, 504);
    }
}
END_TEST

/* Without an objective and before any response, an attempt counted as overdue at once. */
START_TEST(attempt_is_not_overdue_before_latency_is_known)
{
    site_t *site = new_ready_site(2);
    set_all_behaviours(site, DOES_FAIL);
    while (!gateway_avoids(site->gateway, STR("i-0")) || !gateway_avoids(site->gateway, STR("i-1")))
        ask(site, "POST", "/once/x");
    set_all_behaviours(site, DOES_HOLD);
    const size_t before = total_runs(site);
    ck_assert_int_eq(ask(site, "GET", "/unaimed/x").status, 504);
    ck_assert_uint_eq(total_runs(site), before + 1);
}
END_TEST

START_TEST(caller_disconnect_cancels_the_attempt)
{
    site_t *site = new_ready_site(1);
    site->backends[0].behaviour = DOES_HOLD;
    reply_t reply;
    wire_call_t *running =
        call(site, &reply, "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: q\r\n\r\n");
    RUN_UNTIL(site, site->backends[0].runs == 1);
    wire_call_cancel(running);
    RUN_UNTIL(site, standin_backend_ended(site->backends[0].standin) == 1);
    RUN_UNTIL(site, gateway_active(site->gateway) == 0);
}
END_TEST

START_TEST(malformed_requests_are_rejected)
{
    static const struct {
        const char *request;
        int status;
    } cases[] = {
        {"BAD\r\n\r\n", 400},
        {"GET /safe/x HTTP/1.1\r\nHost h\r\n\r\n", 400},
        {"POST /once/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 9000\r\n\r\n", 413},
        {"GET /safe/x HTTP/1.1\r\nHost: h.example\r\nX: ", 408},
        {"POST /once/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 10\r\n\r\nabc", 408},
        {"POST /once/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 3\r\n"
         "Transfer-Encoding: chunked\r\n\r\nabc",
         400},
    };
    site_t *site = new_ready_site(1);
    reply_t reply;
    for (size_t i = 0; i < ALEN(cases); i++) {
        call(site, &reply, cases[i].request);
        RUN_UNTIL(site, reply.done);
        ck_assert_msg(reply.status == cases[i].status, "case %zu: %d", i, reply.status);
    }
    char *large = xasprintf("GET /safe/x HTTP/1.1\r\nHost: h.example\r\nX: %03000d\r\n\r\n", 0);
    call(site, &reply, large);
    RUN_UNTIL(site, reply.done);
    ck_assert_int_eq(reply.status, 431);
    free(large);
    ck_assert_uint_eq(site->backends[0].runs, 0);
    ck_assert_int_eq(ask(site, "GET", "/safe/x").status, 200);
}
END_TEST

/* The configuration limits the bytes of a head, not the number of its fields. */
START_TEST(request_with_many_header_fields_is_forwarded)
{
    enum { FIELDS = 150 };
    site_t *site = new_ready_site(1);
    wire_text_t text = {0};
    reply_t reply;
    wire_text_str(&text, STR("GET /safe/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: f\r\n"));
    for (int i = 0; i < FIELDS; i++)
        wire_text_printf(&text, "X-%d: v\r\n", i);
    wire_text_str(&text, STR("\r\n"));
    call(site, &reply, text.ptr);
    RUN_UNTIL(site, reply.done);
    ck_assert_int_eq(reply.status, 200);
    ck_assert_uint_eq(site->backends[0].runs, 1);
    free(text.ptr);
}
END_TEST

START_TEST(chunked_body_is_forwarded_with_content_length)
{
    site_t *site = new_ready_site(1);
    reply_t reply;
    call(site, &reply,
         "POST /once/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: c\r\n"
         "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    RUN_UNTIL(site, reply.done);
    ck_assert_int_eq(reply.status, 200);
    ck_assert_uint_eq(site->backends[0].runs, 1);
}
END_TEST

/* After a restart under the same id, it is unknown whether pending requests were executed. */
START_TEST(restart_under_the_same_id_leaves_pending_requests_unknown)
{
    site_t *site = new_ready_site(1);
    scripted_t *backend = &site->backends[0];
    reply_t held = {.site = site};
    backend->behaviour = DOES_HOLD;
    call(site, &held,
         "POST /once/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: held\r\n"
         "Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n");
    RUN_UNTIL(site, backend->runs == 1);
    backend->born = 2000;
    backend->behaviour = DOES_ANSWER;
    put_backend(site, backend, "ready");
    RUN_UNTIL(site, held.done);
    ck_assert(held.status == 502 || held.status == 504);
    ck_assert_uint_eq(backend->runs, 1);
    /* The new process is used; failures of the old one do not count against it. */
    ck_assert_int_eq(ask(site, "POST", "/once/x").status, 200);
}
END_TEST

Suite *
suite_gateway_request_path(void)
{
    Suite *suite = suite_create("gateway: request path");
    TCase *tests = tcase_create("request path");
    tcase_set_timeout(tests, 120);
    tcase_add_test(tests, request_is_forwarded);
    tcase_add_test(tests, requests_before_the_first_configuration_get_503);
    tcase_add_test(tests, unexecuted_request_is_sent_to_another_backend);
    tcase_add_test(tests, non_repeatable_request_is_not_resent_if_it_may_have_run);
    tcase_add_test(tests, repeatable_request_is_retried);
    tcase_add_test(tests, backend_that_never_responds_is_avoided);
    tcase_add_test(tests, request_to_ended_backend_is_not_kept);
    tcase_add_test(tests, responses_are_never_mixed_up);
    tcase_add_test(tests, response_without_length_has_an_end_that_callers_can_tell);
    tcase_add_test(tests, response_that_breaks_off_never_looks_whole);
    tcase_add_test(tests, large_response_is_streamed_completely);
    tcase_add_test(tests, silent_backend_times_out_at_the_deadline);
    tcase_add_test(tests, overdue_attempt_continues_without_an_alternative);
    tcase_add_test(tests, attempt_is_not_overdue_before_latency_is_known);
    tcase_add_test(tests, caller_disconnect_cancels_the_attempt);
    tcase_add_test(tests, malformed_requests_are_rejected);
    tcase_add_test(tests, request_with_many_header_fields_is_forwarded);
    tcase_add_test(tests, restart_under_the_same_id_leaves_pending_requests_unknown);
    tcase_add_test(tests, chunked_body_is_forwarded_with_content_length);
    suite_add_tcase(suite, tests);
    return suite;
}
