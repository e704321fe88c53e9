/* Guards against requests that go to slowed backend servers although these would have said so, and
 * against probes that cost more than they are worth: of services that do not report their pace, of
 * backend servers that get no requests, without bound, or that hold up requests. */
#include "base/loop_time.h"
#include "gateway/path/load_probes.h"
#include "platform/dialect.h"
#include "test/gateway/site.h"
#include "test/suites.h"

enum {
    BACKENDS = 2, /* first_backend() tells two apart */
    USUAL = 100,
    SLOWED = 250,
    /* Age at which a report is not used any more. */
    STALE_MS = 350,
    /* Bound on the wait of callers with time, and some delay of the loop. */
    WAIT_MS = LOAD_PROBE_WAIT_MAX_MS,
    DELAY_MS = 60,
};

/* ---- the decision ---- */

static load_probe_candidate_t
unknown_candidate(void)
{
    return (load_probe_candidate_t){
        .gets_requests = true, .in_own_region = true, .in_own_hall = true};
}

static load_probe_step_t
decide_one(load_probe_candidate_t candidate)
{
    const load_probe_budget_t budget = load_probe_budget_new();
    return load_probe_decide(&candidate, 1, &budget, 5000).step;
}

START_TEST(second_candidate_is_asked_if_first_is_slowed_or_full)
{
    const load_probe_budget_t budget = load_probe_budget_new();
    load_probe_candidate_t both[] = {unknown_candidate(), unknown_candidate()};
    load_probe_decision_t decision = load_probe_decide(both, 2, &budget, 5000);
    ck_assert(decision.step == LOAD_PROBE_SEND && decision.candidate == 0);
    both[0].slowdown = 1;
    ck_assert(load_probe_decide(both, 2, &budget, 5000).step == LOAD_PROBE_NONE);
    both[0].slowdown = 2.5;
    decision = load_probe_decide(both, 2, &budget, 5000);
    ck_assert(decision.step == LOAD_PROBE_SEND && decision.candidate == 1);
    both[0].slowdown = 1;
    both[0].load_per_slot = 1;
    decision = load_probe_decide(both, 2, &budget, 5000);
    ck_assert(decision.step == LOAD_PROBE_SEND && decision.candidate == 1);
    both[1].slowdown = 2.5;
    ck_assert(load_probe_decide(both, 2, &budget, 5000).step == LOAD_PROBE_NONE);
}
END_TEST

START_TEST(excluded_backends_are_not_asked)
{
    load_probe_candidate_t candidate = unknown_candidate();
    ck_assert(decide_one(candidate) == LOAD_PROBE_SEND);
    candidate.gets_requests = false;
    ck_assert(decide_one(candidate) == LOAD_PROBE_NONE);
    candidate = unknown_candidate();
    candidate.cold = true;
    ck_assert(decide_one(candidate) == LOAD_PROBE_NONE);
    candidate = unknown_candidate();
    candidate.avoided = true;
    ck_assert(decide_one(candidate) == LOAD_PROBE_NONE);
    candidate = unknown_candidate();
    candidate.in_own_region = false;
    ck_assert(decide_one(candidate) == LOAD_PROBE_NONE);
    candidate = unknown_candidate();
    candidate.record.pause_until_ms = 5001;
    ck_assert(decide_one(candidate) == LOAD_PROBE_NONE);
    candidate.record.pause_until_ms = 5000;
    ck_assert(decide_one(candidate) == LOAD_PROBE_SEND);
}
END_TEST

START_TEST(one_probe_per_backend)
{
    load_probe_candidate_t candidate = unknown_candidate();
    candidate.record.sent_ms = 4990;
    ck_assert(decide_one(candidate) == LOAD_PROBE_JOIN);
    candidate.record.sent_ms = 5000 - LOAD_PROBE_WAIT_MAX_MS;
    ck_assert(decide_one(candidate) == LOAD_PROBE_NONE);
}
END_TEST

START_TEST(report_serves_a_limited_number_of_requests)
{
    load_probe_candidate_t candidate = unknown_candidate();
    candidate.slowdown = 1;
    candidate.record.uses = LOAD_PROBE_USES_MAX - 1;
    ck_assert(decide_one(candidate) == LOAD_PROBE_NONE);
    candidate.record.uses = LOAD_PROBE_USES_MAX;
    ck_assert(decide_one(candidate) == LOAD_PROBE_SEND);
}
END_TEST

/* Asks a new candidate for each request; `other_hall`: all in another data hall. None answers. */
static unsigned
count_sent(load_probe_budget_t *budget, unsigned requests, bool other_hall)
{
    load_probe_candidate_t candidate = unknown_candidate();
    unsigned sent = 0;
    candidate.in_own_hall = !other_hall;
    for (unsigned i = 0; i < requests; i++) {
        load_probe_budget_add_request(budget);
        if (load_probe_decide(&candidate, 1, budget, 5000).step != LOAD_PROBE_SEND)
            continue;
        load_probe_budget_take(budget);
        sent++;
    }
    return sent;
}

START_TEST(outstanding_probes_are_limited)
{
    load_probe_budget_t budget = load_probe_budget_new();
    const unsigned other_hall = LOAD_PROBES_OUTSTANDING_MAX - LOAD_PROBES_OWN_HALL;
    ck_assert_uint_eq(count_sent(&budget, 1000, true), other_hall);
    ck_assert_uint_eq(count_sent(&budget, 1000, false), LOAD_PROBES_OWN_HALL);
    ck_assert_uint_eq(budget.outstanding, LOAD_PROBES_OUTSTANDING_MAX);
}
END_TEST

START_TEST(probes_are_paced_by_requests)
{
    enum { REQUESTS = 1000, ASKED_EACH = 2 };
    load_probe_budget_t budget = load_probe_budget_new();
    const load_probe_candidate_t candidate = unknown_candidate();
    unsigned sent = 0;
    for (unsigned i = 0; i < REQUESTS; i++) {
        load_probe_budget_add_request(&budget);
        for (unsigned k = 0; k < ASKED_EACH; k++) {
            if (load_probe_decide(&candidate, 1, &budget, 5000).step != LOAD_PROBE_SEND)
                continue;
            load_probe_budget_take(&budget);
            budget.outstanding--;
            sent++;
        }
    }
    ck_assert_uint_ge(sent, REQUESTS);
    ck_assert_uint_le(sent, REQUESTS + LOAD_PROBES_SAVED_MAX);
}
END_TEST

START_TEST(wait_leaves_the_caller_time_for_a_run)
{
    ck_assert_uint_eq(load_probe_wait_ms(2000, 400), LOAD_PROBE_WAIT_MAX_MS);
    ck_assert_uint_eq(load_probe_wait_ms(410, 400), 10);
    ck_assert_uint_eq(load_probe_wait_ms(300, 400), 0);
    ck_assert_uint_eq(load_probe_wait_ms(300, 0), LOAD_PROBE_WAIT_MAX_MS);
}
END_TEST

/* ---- a gateway and its backend servers ---- */

static size_t
total_probes(const site_t *site)
{
    size_t probes = 0;
    for (size_t i = 0; i < BACKENDS_MAX; i++)
        probes += site->backends[i].probes;
    return probes;
}

static void
set_all_paces(site_t *site, unsigned percent)
{
    for (size_t i = 0; i < BACKENDS_MAX; i++)
        site->backends[i].pace_percent = percent;
}

static void
set_all_probes(site_t *site, probe_behaviour_t behaviour)
{
    for (size_t i = 0; i < BACKENDS_MAX; i++)
        site->backends[i].probe_behaviour = behaviour;
}

static void
let_reports_expire(site_t *site)
{
    run_loop_ms(site, STALE_MS);
    for (size_t i = 0; i < BACKENDS_MAX; i++)
        site->backends[i].probes = 0;
}

/* A site whose instance knows that the backends report their pace, and no current report. */
static site_t *
new_reporting_site(size_t backends)
{
    site_t *site = new_ready_site(backends);
    set_all_paces(site, USUAL);
    ck_assert_int_eq(ask(site, "GET", "/safe/x").status, 200);
    let_reports_expire(site);
    return site;
}

static const backend_t *
known_backend(const site_t *site, const scripted_t *backend)
{
    return gateway_backend(site->gateway, str_from(backend->id));
}

static double
known_slowdown(site_t *site, const scripted_t *backend)
{
    return backend_slowdown(known_backend(site, backend), loop_now(&site->loop));
}

/* Sends a request that nobody waits for; returns the time until a backend has it. */
static uint64_t
ms_until_sent(site_t *site, reply_t *reply)
{
    const size_t before = total_runs(site);
    uv_update_time(&site->loop);
    const uint64_t begun_ms = uv_now(&site->loop);
    call(site, reply,
         "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: t\r\nAffinity-Key: 7\r\n"
         "Deadline-Ms: 800\r\n\r\n");
    RUN_UNTIL(site, total_runs(site) > before);
    return uv_now(&site->loop) - begun_ms;
}

START_TEST(services_that_report_no_pace_are_not_asked)
{
    enum { ASKED = 20 };
    site_t *site = new_ready_site(BACKENDS);
    for (unsigned i = 0; i < ASKED; i++) {
        ck_assert_int_eq(ask_about(site, "GET", "/safe/x", i).status, 200);
        run_loop_ms(site, STALE_MS / ASKED);
    }
    ck_assert_uint_eq(total_probes(site), 0);
}
END_TEST

START_TEST(slowed_first_candidate_is_known_before_the_send)
{
    reply_t reply;
    site_t *site = new_reporting_site(BACKENDS);
    scripted_t *first = first_backend(site, "/safe/x");
    let_reports_expire(site);
    first->pace_percent = SLOWED;
    set_all_behaviours(site, DOES_HOLD); /* only probes tell the load */
    ms_until_sent(site, &reply);
    ck_assert(known_slowdown(site, first) == 2.5);
    ck_assert_uint_eq(first->probes, 1);
    ck_assert_uint_eq(total_probes(site), 2); /* and the second candidate, once */
    RUN_UNTIL(site, reply.done);
}
END_TEST

/* Any path of a valid configuration fits into the request of a probe: the process must not end. */
START_TEST(long_health_path_is_asked_whole)
{
    static const size_t lengths[] = {400, 511, 512, 614, 2000, 7900};
    char path[8000];
    for (size_t i = 0; i < sizeof(lengths) / sizeof(lengths[0]); i++) {
        site_t *site = new_reporting_site(BACKENDS);
        memset(path, 't', lengths[i]);
        memcpy(path, "/health?k=", strlen("/health?k="));
        path[lengths[i]] = '\0';
        site->health_path = path;
        put_config(site, "/later/");
        RUN_UNTIL(site, ask(site, "GET", "/later/x").status == 200);
        let_reports_expire(site);
        ck_assert_int_eq(ask(site, "GET", "/later/x").status, 200);
        ck_assert_uint_gt(total_probes(site), 0);
        for (size_t k = 0; k < BACKENDS; k++) {
            const scripted_t *backend = &site->backends[k];
            ck_assert(backend->probes == 0 || backend->probe_target_len == lengths[i]);
        }
    }
}
END_TEST

START_TEST(reports_are_shared_by_requests)
{
    enum { ASKED = 60 };
    site_t *site = new_reporting_site(BACKENDS);
    for (unsigned i = 0; i < ASKED; i++)
        ck_assert_int_eq(ask(site, "GET", "/safe/x").status, 200);
    ck_assert_uint_ge(total_probes(site), 1);
    ck_assert_uint_le(total_probes(site), ASKED / LOAD_PROBE_USES_MAX);
}
END_TEST

START_TEST(concurrent_requests_share_a_probe)
{
    enum { CONCURRENT = LOAD_PROBE_USES_MAX };
    reply_t replies[CONCURRENT];
    site_t *site = new_reporting_site(BACKENDS);
    for (size_t i = 0; i < CONCURRENT; i++)
        call(site, &replies[i],
             "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: t\r\nAffinity-Key: 7\r\n"
             "Deadline-Ms: 800\r\n\r\n");
    for (size_t i = 0; i < CONCURRENT; i++) {
        RUN_UNTIL(site, replies[i].done);
        ck_assert_int_eq(replies[i].status, 200);
    }
    ck_assert_uint_eq(total_probes(site), 1);
}
END_TEST

START_TEST(silent_probe_holds_up_a_request_for_the_bound_at_most)
{
    reply_t reply;
    site_t *site = new_reporting_site(BACKENDS);
    set_all_probes(site, PROBE_HOLDS);
    ck_assert_uint_le(ms_until_sent(site, &reply), WAIT_MS + DELAY_MS);
    RUN_UNTIL(site, reply.done);
    ck_assert_int_eq(reply.status, 200);
    ck_assert_uint_eq(total_probes(site), 1);
    /* It is no verdict of health, and the backend is left alone for a while. */
    run_loop_ms(site, LOAD_PROBE_TIMEOUT_MS + DELAY_MS);
    const scripted_t *first = first_backend(site, "/safe/x");
    const uint64_t now_ms = loop_now(&site->loop);
    ck_assert(backend_is_usable(known_backend(site, first), now_ms));
    ck_assert(!health_is_avoided(&known_backend(site, first)->health, now_ms));
    run_loop_ms(site, STALE_MS);
    ck_assert_int_eq(ask(site, "GET", "/safe/x").status, 200);
    ck_assert_uint_eq(total_probes(site), 1);
}
END_TEST

START_TEST(load_sends_one_probe_to_each_silent_backend)
{
    enum { REQUESTS = 200 };
    static reply_t replies[REQUESTS];
    char request[256];
    site_t *site = new_reporting_site(BACKENDS_MAX);
    set_all_probes(site, PROBE_HOLDS);
    for (unsigned i = 0; i < REQUESTS; i++) {
        snprintf(request, sizeof(request),
                 "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: t-%u\r\n"
                 "Affinity-Key: %u\r\nDeadline-Ms: 800\r\n\r\n",
                 i, i);
        call(site, &replies[i], request);
    }
    for (unsigned i = 0; i < REQUESTS; i++)
        RUN_UNTIL(site, replies[i].done);
    for (size_t i = 0; i < BACKENDS_MAX; i++)
        ck_assert_uint_le(site->backends[i].probes, 1);
    ck_assert_uint_gt(total_probes(site), 0);
}
END_TEST

START_TEST(probed_backend_that_ends_costs_no_request)
{
    site_t *site = new_reporting_site(BACKENDS);
    scripted_t *first = first_backend(site, "/safe/x");
    let_reports_expire(site);
    first->probe_behaviour = PROBE_BREAKS_DOWN;
    ck_assert_int_eq(ask(site, "GET", "/safe/x").status, 200);
    ck_assert_uint_eq(first->probes, 1);
    ck_assert_uint_eq(site->ends, 1);
}
END_TEST

START_TEST(answer_under_another_id_is_not_used)
{
    site_t *site = new_reporting_site(BACKENDS);
    scripted_t *first = first_backend(site, "/safe/x");
    let_reports_expire(site);
    first->probe_behaviour = PROBE_OTHER_ID;
    first->pace_percent = 0;
    ck_assert_int_eq(ask(site, "GET", "/safe/x").status, 200);
    ck_assert_uint_eq(first->probes, 1);
    ck_assert(known_slowdown(site, first) == 0);
    ck_assert(backend_is_usable(known_backend(site, first), loop_now(&site->loop)));
    run_loop_ms(site, STALE_MS);
    ck_assert_int_eq(ask(site, "GET", "/safe/x").status, 200);
    ck_assert_uint_eq(first->probes, 1);
}
END_TEST

START_TEST(backend_without_pace_is_left_alone)
{
    site_t *site = new_reporting_site(BACKENDS);
    scripted_t *first = first_backend(site, "/safe/x");
    let_reports_expire(site);
    first->pace_percent = 0; /* its software version does not report it */
    for (int i = 0; i < 4; i++) {
        ck_assert_int_eq(ask(site, "GET", "/safe/x").status, 200);
        run_loop_ms(site, STALE_MS);
    }
    ck_assert_uint_eq(first->probes, 1);
}
END_TEST

START_TEST(resting_backend_is_not_asked)
{
    site_t *site = new_reporting_site(BACKENDS);
    scripted_t *first = first_backend(site, "/safe/x");
    first->behaviour = DOES_REFUSE;
    first->extra_headers = "Retry-After: 2\r\n";
    ck_assert_int_eq(ask(site, "GET", "/safe/x").status, 200);
    let_reports_expire(site);
    ck_assert_int_eq(ask(site, "GET", "/safe/x").status, 200);
    ck_assert_uint_eq(first->probes, 0);
    ck_assert_uint_eq(total_probes(site), 1);
}
END_TEST

START_TEST(leaving_backend_is_not_asked)
{
    site_t *site = new_reporting_site(BACKENDS);
    scripted_t *first = first_backend(site, "/safe/x");
    put_backend(site, first, "draining");
    RUN_UNTIL(site, backend_is_leaving(known_backend(site, first)));
    let_reports_expire(site);
    ck_assert_int_eq(ask(site, "GET", "/safe/x").status, 200);
    ck_assert_uint_eq(first->probes, 0);
    ck_assert_uint_eq(total_probes(site), 1);
}
END_TEST

/* True if a request would have this backend asked. */
static bool
would_ask(load_probes_t *probes, backend_t *backend)
{
    load_probe_wait_t wait = {0};
    const bool asked = load_probes_await(probes, STR("/health"), &backend, 1, &wait);
    load_probes_cancel(&wait);
    return asked;
}

START_TEST(states_without_requests_are_not_asked)
{
    site_t *site = new_site(1);
    router_t router = {.loop = &site->loop};
    load_probes_t probes;
    const addr_t addr = standin_backend_addr(site->backends[0].standin);
    backend_info_t info = {.capacity = 4, .addr = addr};
    ck_assert(name_set(&info.id, STR("i-0")));
    load_probes_init(&probes, &router, &platform_dialect);
    backend_t *backend = backend_new(&info, 0, wire_pool_new(&site->loop, &addr, 4));
    const uint64_t now_ms = loop_now(&site->loop);
    ck_assert(!would_ask(&probes, backend)); /* not listed */
    backend->listed = true;
    breaker_record_failure(&backend->breaker, now_ms);
    breaker_record_failure(&backend->breaker, now_ms);
    ck_assert(!would_ask(&probes, backend)); /* suspended */
    breaker_record_answer(&backend->breaker);
    backoff_request(&backend->backoff, 1000, now_ms);
    ck_assert(!would_ask(&probes, backend));
    backend->backoff = (backoff_t){0};
    backend->stated_leaving = true;
    ck_assert(!would_ask(&probes, backend));
    backend->stated_leaving = false;
    backend->hall_closed = true;
    ck_assert(!would_ask(&probes, backend));
    backend->hall_closed = false;
    backend->limit.is_set = true;
    ck_assert(!would_ask(&probes, backend));
    backend->limit.is_set = false;
    backend_extend_cold(backend, 1000, now_ms);
    ck_assert(!would_ask(&probes, backend));
    backend->cold_until_ms = 0;
    ck_assert(would_ask(&probes, backend));
    ck_assert_uint_eq(probes.budget.outstanding, 1);
}
END_TEST

static void
note_end(void *ctx)
{
    *(bool *)ctx = true;
}

/* The probe holds the last reference to its backend, and to the pool whose call just ended. */
START_TEST(backend_may_be_removed_while_it_is_asked)
{
    site_t *site = new_site(1);
    router_t router = {.loop = &site->loop};
    load_probes_t probes;
    bool ended = false;
    const addr_t addr = standin_backend_addr(site->backends[0].standin);
    const backend_info_t info = {.capacity = 4, .addr = addr};
    load_probe_wait_t wait = {.cb = note_end, .ctx = &ended};
    load_probes_init(&probes, &router, &platform_dialect);
    backend_t *backend = backend_new(&info, 0, wire_pool_new(&site->loop, &addr, 4));
    backend->listed = true;
    site->backends[0].probe_behaviour = PROBE_BREAKS_DOWN;
    ck_assert(load_probes_await(&probes, STR("/health"), &backend, 1, &wait));
    backend_unref(backend);
    RUN_UNTIL(site, ended);
    ck_assert_uint_eq(probes.budget.outstanding, 0);
    run_loop_ms(site, DELAY_MS);
}
END_TEST

START_TEST(caller_may_disconnect_during_the_wait)
{
    reply_t reply;
    site_t *site = new_reporting_site(BACKENDS);
    set_all_probes(site, PROBE_HOLDS);
    const size_t before = total_runs(site);
    wire_call_t *gone =
        call(site, &reply,
             "GET /unaimed/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: t\r\nAffinity-Key: 7\r\n"
             "Deadline-Ms: 800\r\n\r\n");
    RUN_UNTIL(site, gateway_active(site->gateway) == 1);
    wire_call_cancel(gone);
    RUN_UNTIL(site, gateway_active(site->gateway) == 0);
    run_loop_ms(site, LOAD_PROBE_TIMEOUT_MS + DELAY_MS);
    ck_assert_uint_eq(total_runs(site), before);
}
END_TEST

START_TEST(deadline_ends_the_wait)
{
    reply_t reply;
    site_t *site = new_reporting_site(BACKENDS);
    set_all_probes(site, PROBE_HOLDS);
    call(site, &reply,
         "GET /unaimed/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: t\r\nAffinity-Key: 7\r\n"
         "Deadline-Ms: 10\r\n\r\n");
    RUN_UNTIL(site, reply.done);
    ck_assert_int_ge(reply.status, 500);
    run_loop_ms(site, LOAD_PROBE_TIMEOUT_MS + DELAY_MS);
    ck_assert_uint_eq(gateway_active(site->gateway), 0);
}
END_TEST

/* An instance that just started asks before its own first answer, because a peer told it. */
START_TEST(new_instance_learns_from_peers)
{
    instances_t fleet = new_instances(BACKENDS, 1);
    site_t *site = fleet.site;
    set_all_paces(site, USUAL);
    ck_assert_int_eq(ask_through(&fleet, 0, "/safe/x").status, 200);
    const size_t before = total_probes(site);
    set_all_behaviours(site, DOES_FAIL); /* readiness is asked for with a request */
    gateway_t *second =
        start_gateway(site, "g-2", &site->store_port, &gateway_settings(fleet.gateways[0])->peer);
    use_gateway(site, second);
    RUN_UNTIL(site, gateway_live_instances(second) == 2);
    set_all_behaviours(site, DOES_ANSWER);
    run_loop_ms(site, 1000);
    ck_assert_uint_eq(total_probes(site), before);
    ck_assert_int_eq(ask(site, "GET", "/safe/x").status, 200);
    ck_assert_uint_eq(total_probes(site), before + 1);
}
END_TEST

Suite *
suite_gateway_load_probe(void)
{
    Suite *suite = suite_create("gateway: load probe");
    TCase *tests = tcase_create("load probe");
    tcase_set_timeout(tests, 30);
    tcase_add_test(tests, second_candidate_is_asked_if_first_is_slowed_or_full);
    tcase_add_test(tests, excluded_backends_are_not_asked);
    tcase_add_test(tests, one_probe_per_backend);
    tcase_add_test(tests, report_serves_a_limited_number_of_requests);
    tcase_add_test(tests, outstanding_probes_are_limited);
    tcase_add_test(tests, probes_are_paced_by_requests);
    tcase_add_test(tests, wait_leaves_the_caller_time_for_a_run);
    tcase_add_test(tests, services_that_report_no_pace_are_not_asked);
    tcase_add_test(tests, slowed_first_candidate_is_known_before_the_send);
    tcase_add_test(tests, long_health_path_is_asked_whole);
    tcase_add_test(tests, reports_are_shared_by_requests);
    tcase_add_test(tests, concurrent_requests_share_a_probe);
    tcase_add_test(tests, silent_probe_holds_up_a_request_for_the_bound_at_most);
    tcase_add_test(tests, load_sends_one_probe_to_each_silent_backend);
    tcase_add_test(tests, probed_backend_that_ends_costs_no_request);
    tcase_add_test(tests, answer_under_another_id_is_not_used);
    tcase_add_test(tests, backend_without_pace_is_left_alone);
    tcase_add_test(tests, resting_backend_is_not_asked);
    tcase_add_test(tests, leaving_backend_is_not_asked);
    tcase_add_test(tests, states_without_requests_are_not_asked);
    tcase_add_test(tests, backend_may_be_removed_while_it_is_asked);
    tcase_add_test(tests, caller_may_disconnect_during_the_wait);
    tcase_add_test(tests, deadline_ends_the_wait);
    tcase_add_test(tests, new_instance_learns_from_peers);
    suite_add_tcase(suite, tests);
    return suite;
}
