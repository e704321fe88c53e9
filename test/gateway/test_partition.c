/* Instances that are partitioned from all backend servers, while callers and other instances reach
 * them. */
#include <stdio.h>
#include <string.h>

#include "base/counter.h"
#include "base/xmalloc.h"
#include "gateway/policy/reachability.h"
#include "gateway/gateway_state.h"
#include "gateway/policy/transit.h"

#include "test/gateway/link.h"
#include "test/gateway/site.h"
#include "test/suites.h"
#include "wire/server_conn.h"

enum {
    BACKENDS = 4,
    DETECTION_MS = 2500, /* from the cut until requests must be served */
    ASKS = 30,
    PAUSE_MS = 20,
    LOAD_MAX = 256, /* requests under way */
    RUNS_MAX = 1024,
    END_MAX_MS = 500, /* from a caller's close to the end of its run */
    FAST_MS = 150,    /* a refusal that waits for no connection */
};

static const link_mode_t cuts[] = {LINK_HANGS, LINK_RESETS, LINK_REFUSES};

/* Sends requests through the first instances in turn without waiting for their responses. */
static void
ask_for_ms(const instances_t *fleet, size_t instances, uint64_t ms)
{
    static reply_t replies[LOAD_MAX];
    static unsigned number;
    site_t *site = fleet->site;
    const uint64_t until_ms = uv_now(&site->loop) + ms;
    for (size_t i = 0; uv_now(&site->loop) < until_ms; i++) {
        char request[160];
        reply_t *reply = &replies[number % LOAD_MAX];
        ck_assert(reply->site == NULL || reply->done);
        snprintf(request, sizeof(request),
                 "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: load-%u\r\n"
                 "Affinity-Key: %u\r\nDeadline-Ms: 800\r\n\r\n",
                 number, number);
        number++;
        site->callers = fleet->callers[i % instances];
        call(site, reply, request);
        run_loop_ms(site, PAUSE_MS);
    }
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

static unsigned runs_of[RUNS_MAX];

static void
count_run(str_t id)
{
    uint64_t number;
    if (str_starts_with(id, STR("u-")) && str_to_u64((str_t){id.ptr + 2, id.len - 2}, &number))
        runs_of[number]++;
}

/* A request that fell into a cut may run when the link is back, after its caller was told so. */
START_TEST(unsafe_requests_run_once_and_refusals_are_true_while_links_come_and_go)
{
    static const link_mode_t modes[] = {LINK_HANGS,   LINK_OPEN, LINK_RESETS, LINK_OPEN,
                                        LINK_REFUSES, LINK_OPEN, LINK_HANGS,  LINK_OPEN};
    static reply_t replies[RUNS_MAX];
    instances_t fleet = new_linked_instances(BACKENDS, 1, 3);
    site_t *site = fleet.site;
    unsigned number = 0;
    site->on_run = count_run;
    site->callers = fleet.callers[0];
    for (size_t i = 0; i < ALEN(modes); i++) {
        link_set_mode(modes[i]);
        for (unsigned k = 0; k < 2 * ASKS; k++) {
            char request[160];
            snprintf(request, sizeof(request),
                     "POST /once/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: u-%u\r\n"
                     "Affinity-Key: %u\r\nDeadline-Ms: 800\r\n\r\n",
                     number, k);
            call(site, &replies[number++], request);
            run_loop_ms(site, PAUSE_MS);
        }
    }
    run_loop_ms(site, DETECTION_MS);
    for (unsigned i = 0; i < number; i++) {
        ck_assert(replies[i].done);
        ck_assert_uint_le(runs_of[i], 1);
        ck_assert(runs_of[i] == 0 || (replies[i].status != 503 && replies[i].status != 429));
        ck_assert(runs_of[i] == 1 || replies[i].status != 200);
    }
}
END_TEST

START_TEST(large_responses_arrive_whole_by_way_of_a_peer)
{
    enum { LARGE = 100000 };
    instances_t fleet = new_linked_instances(BACKENDS, 1, 2);
    link_set_mode(LINK_HANGS);
    ask_for_ms(&fleet, 2, DETECTION_MS);
    set_all_behaviours(fleet.site, DOES_LARGE);
    const reply_t reply = ask_through(&fleet, 0, "/safe/x");
    ck_assert_int_eq(reply.status, 200);
    ck_assert(reply.whole);
    ck_assert_uint_eq(reply.body_len, LARGE);
}
END_TEST

START_TEST(truncated_responses_do_not_look_whole_by_way_of_a_peer)
{
    instances_t fleet = new_linked_instances(BACKENDS, 1, 2);
    link_set_mode(LINK_HANGS);
    ask_for_ms(&fleet, 2, DETECTION_MS);
    set_all_behaviours(fleet.site, DOES_CUT_UNFRAMED);
    const reply_t reply = ask_through(&fleet, 0, "/safe/x");
    ck_assert(reply.status != 200 || !reply.whole);
}
END_TEST

/* What the kernel does with the connections of a process that is killed. */
static void
close_connections(wire_listener_t *listener)
{
    while (listener->conns != NULL)
        wire_conn_close(listener->conns);
}

/* A response without a length is cut by the end of the instance that the caller asked, or of the
 * peer by way of which it comes. */
START_TEST(killed_instance_does_not_look_like_the_end_of_a_response)
{
    enum { SENT = 40000, HALF = 20000 };
    static char raw[SENT + 200];
    reply_t reply;
    const bool by_peer = _i == 1;
    instances_t fleet = new_linked_instances(BACKENDS, 1, 2);
    if (by_peer) {
        link_set_mode(LINK_HANGS);
        ask_for_ms(&fleet, 2, DETECTION_MS);
    }
    const int head = snprintf(raw, sizeof(raw),
                              "HTTP/1.1 200 OK\r\nAttempt-Id: f\r\nResponse-Signature: s\r\n\r\n");
    memset(raw + head, 'r', SENT);
    for (size_t i = 0; i < BACKENDS; i++) {
        fleet.site->backends[i].behaviour = DOES_RAW;
        fleet.site->backends[i].raw = (str_t){raw, (size_t)head + SENT};
    }
    fleet.site->callers = fleet.callers[0];
    call(fleet.site, &reply,
         "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: f\r\nDeadline-Ms: 5000\r\n\r\n");
    RUN_UNTIL(fleet.site, reply.body_len > HALF);
    ck_assert(!reply.done && !reply.unframed);
    close_connections(by_peer ? fleet.gateways[1]->listeners.transit
                              : fleet.gateways[0]->listeners.callers);
    RUN_UNTIL(fleet.site, reply.done);
    ck_assert(!reply.whole);
}
END_TEST

START_TEST(fields_of_transit_and_keys_do_not_reach_backend_servers)
{
    instances_t fleet = new_linked_instances(1, 1, 2);
    site_t *site = fleet.site;
    reply_t reply;
    link_set_mode(LINK_HANGS);
    ask_for_ms(&fleet, 2, DETECTION_MS);
    site->callers = fleet.callers[0];
    call(site, &reply,
         "POST /once/x?q=1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a-1\r\nCredential: secret\r\n"
         "X-Other: kept\r\nDeadline-Ms: 800\r\nContent-Length: 4\r\n\r\nbody");
    RUN_UNTIL(site, reply.done);
    ck_assert_int_eq(reply.status, 200);
    const char *seen = site->backends[0].last;
    ck_assert(strstr(seen, "POST /once/x?q=1 HTTP/1.1\r\n") == seen);
    ck_assert(strstr(seen, "X-Other: kept\r\n") != NULL);
    ck_assert(strstr(seen, "\r\n\r\nbody") != NULL);
    ck_assert(strcasestr(seen, "irisstall-") == NULL);
    ck_assert(strstr(seen, "secret") == NULL);
    ck_assert(!site->backends[0].wrong_instance);
}
END_TEST

START_TEST(fields_of_transit_from_a_caller_do_not_count)
{
    instances_t fleet = new_linked_instances(1, 1, 2);
    site_t *site = fleet.site;
    reply_t reply;
    link_set_mode(LINK_HANGS);
    ask_for_ms(&fleet, 2, DETECTION_MS);
    site->accounts = "{\"acme\":{\"apiKeys\":[\"k-acme\"]},\"bolt\":{\"apiKeys\":[\"k-bolt\"]}}";
    put_config(site, NULL);
    run_loop_ms(site, DETECTION_MS);
    site->callers = fleet.callers[0];
    call(site, &reply,
         "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a-1\r\nCredential: k-acme\r\n"
         "Irisstall-Account: bolt\r\nIrisstall-Sends: 9\r\nDeadline-Ms: 800\r\n\r\n");
    RUN_UNTIL(site, reply.done);
    ck_assert_int_eq(reply.status, 200);
    ck_assert(strstr(site->backends[0].last, "Tenant: acme\r\n") != NULL);
    ck_assert(strcasestr(site->backends[0].last, "irisstall-") == NULL);
}
END_TEST

START_TEST(caller_that_leaves_ends_its_request_at_the_backend_server)
{
    instances_t fleet = new_linked_instances(1, 1, 2);
    site_t *site = fleet.site;
    reply_t reply;
    link_set_mode(LINK_HANGS);
    ask_for_ms(&fleet, 2, DETECTION_MS);
    set_all_behaviours(site, DOES_HOLD);
    const size_t runs = total_runs(site);
    const size_t ended = standin_backend_ended(site->backends[0].standin);
    site->callers = fleet.callers[0];
    wire_call_t *request = call(site, &reply,
                                "POST /once/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a-1\r\n"
                                "Deadline-Ms: 5000\r\n\r\n");
    RUN_UNTIL(site, total_runs(site) > runs);
    const uint64_t from_ms = uv_now(&site->loop);
    wire_call_cancel(request);
    RUN_UNTIL(site, standin_backend_ended(site->backends[0].standin) > ended);
    ck_assert_uint_lt(uv_now(&site->loop) - from_ms, END_MAX_MS);
}
END_TEST

START_TEST(callers_are_served_while_peers_stop_and_the_store_is_away)
{
    instances_t fleet = new_linked_instances(BACKENDS, 1, 3);
    link_set_mode(LINK_HANGS);
    standin_store_set_mode(fleet.site->store, STANDIN_STORE_RESETS);
    ask_for_ms(&fleet, 3, DETECTION_MS);
    ck_assert_uint_eq(count_failures(&fleet, "POST", "/once/x"), 0);
    gateway_stop(fleet.gateways[1]);
    ck_assert_uint_eq(count_failures(&fleet, "POST", "/once/x"), 0);
}
END_TEST

START_TEST(backend_server_that_is_down_as_well_costs_no_request)
{
    instances_t fleet = new_linked_instances(BACKENDS, 1, 3);
    link_set_mode(LINK_HANGS);
    standin_backend_end(fleet.site->backends[0].standin);
    ask_for_ms(&fleet, 3, DETECTION_MS);
    ck_assert_uint_eq(count_failures(&fleet, "GET", "/safe/x"), 0);
}
END_TEST

/* Sends requests at once through the first instance; returns those that did not get 200. */
static size_t
burst(const instances_t *fleet, size_t count)
{
    static reply_t replies[64];
    site_t *site = fleet->site;
    size_t failures = 0;
    site->callers = fleet->callers[0];
    for (size_t i = 0; i < count; i++) {
        char request[160];
        snprintf(request, sizeof(request),
                 "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: b-%zu\r\n"
                 "Affinity-Key: %zu\r\nDeadline-Ms: 800\r\n\r\n",
                 i, i);
        call(site, &replies[i], request);
    }
    for (size_t i = 0; i < count; i++) {
        RUN_UNTIL(site, replies[i].done);
        failures += replies[i].status != 200;
    }
    return failures;
}

START_TEST(new_connections_that_are_refused_beside_open_ones_cost_no_request)
{
    enum { BURST = 16 };
    instances_t fleet = new_linked_instances(BACKENDS, 1, 3);
    ask_for_ms(&fleet, 3, 300);
    link_set_mode(LINK_REFUSES);
    burst(&fleet, BURST);
    run_loop_ms(fleet.site, DETECTION_MS);
    ck_assert_uint_eq(burst(&fleet, BURST), 0);
}
END_TEST

/* Connections too old for unsafe requests; four refusals come before the first probe's result. */
START_TEST(connections_refused_at_once_do_not_use_up_a_request)
{
    enum { AGED_MS = 3500 };
    instances_t fleet = new_linked_instances(BACKENDS, 1, 3);
    ask_for_ms(&fleet, 3, 300);
    run_loop_ms(fleet.site, AGED_MS);
    link_set_mode(LINK_REFUSES);
    ck_assert_uint_eq(count_failures(&fleet, "POST", "/once/x"), 0);
}
END_TEST

START_TEST(requests_return_to_own_connections_after_the_cut)
{
    instances_t fleet = new_linked_instances(BACKENDS, 1, 2);
    counter_t *sent =
        counter_get("irisstall_transit_requests_total", "direction=\"sent\",result=\"forwarded\"",
                    "Requests sent by way of a peer, and taken from peers.");
    link_set_mode(LINK_HANGS);
    ask_for_ms(&fleet, 2, DETECTION_MS);
    ck_assert_int_gt(counter_value(sent), 0);
    link_set_mode(LINK_OPEN);
    ask_for_ms(&fleet, 2, 2 * DETECTION_MS);
    const int64_t before = counter_value(sent);
    ck_assert_uint_eq(count_failures(&fleet, "GET", "/safe/x"), 0);
    ck_assert_int_eq(counter_value(sent), before);
}
END_TEST

/* Connections that a cut resets, and refuses afterwards, look like the end of a process. */
START_TEST(cut_does_not_quarantine_requests)
{
    enum { REQUESTS = 6 };
    static reply_t replies[REQUESTS];
    instances_t fleet = new_linked_instances(BACKENDS, 1, 3);
    site_t *site = fleet.site;
    set_all_behaviours(site, DOES_HOLD);
    site->callers = fleet.callers[0];
    for (int i = 0; i < REQUESTS; i++)
        call(site, &replies[i],
             "GET /safe/same HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: q\r\nDeadline-Ms: "
             "800\r\n\r\n");
    run_loop_ms(site, 200);
    link_set_mode(LINK_RESETS);
    run_loop_ms(site, DETECTION_MS);
    set_all_behaviours(site, DOES_ANSWER);
    for (size_t i = 0; i < fleet.count; i++)
        ck_assert_int_eq(ask_through(&fleet, i, "/safe/same").status, 200);
}
END_TEST

/* ---- the decision alone ---- */

START_TEST(backend_servers_that_end_do_not_look_like_a_cut)
{
    reachability_t reach = {0};
    reachability_add_response(&reach, 10000);
    ck_assert(!reachability_add_failure(&reach, 1, 10000));
    reachability_add_connection(&reach, 10100);
    ck_assert(!reachability_add_failure(&reach, 2, 10200));
    ck_assert(reachability_add_failure(&reach, 3, 10300));
    reachability_add_probe(&reach, false, 10400);
    reachability_add_probe(&reach, false, 10400);
    reachability_add_probe(&reach, true, 10400);
    ck_assert_int_eq(reach.state, REACH_NORMAL);
    ck_assert(reachability_direct_share(&reach, 10400) == 1);
}
END_TEST

static uint64_t
lose_and_return(reachability_t *reach, uint64_t now_ms, unsigned *probes)
{
    reachability_add_failure(reach, 1, now_ms);
    reachability_add_failure(reach, 2, now_ms);
    for (int i = 0; i < REACHABILITY_PROBES; i++)
        reachability_add_probe(reach, false, now_ms);
    ck_assert_int_eq(reach->state, REACH_LOST);
    ck_assert(reachability_direct_share(reach, now_ms) == 0);
    for (*probes = 0; reach->state == REACH_LOST; ++*probes)
        reachability_add_probe(reach, true, now_ms += 200);
    return now_ms;
}

START_TEST(links_that_come_and_go_are_left_alone_for_longer)
{
    reachability_t reach = {0};
    unsigned probes[4];
    uint64_t now_ms = 10000;
    for (size_t i = 0; i < ALEN(probes); i++)
        now_ms = lose_and_return(&reach, now_ms + 1000, &probes[i]);
    ck_assert_uint_eq(probes[0], 2);
    ck_assert_uint_eq(probes[1], 4);
    ck_assert_uint_eq(probes[3], 16);
    lose_and_return(&reach, now_ms + 60000, &probes[0]);
    ck_assert_uint_eq(probes[0], 2);
}
END_TEST

START_TEST(requests_return_gradually)
{
    reachability_t reach = {0};
    unsigned probes;
    const uint64_t back_ms = lose_and_return(&reach, 10000, &probes);
    ck_assert(reachability_direct_share(&reach, back_ms) < 0.01);
    ck_assert(reachability_direct_share(&reach, back_ms + 750) > 0.4);
    ck_assert(reachability_direct_share(&reach, back_ms + 1500) == 1);
}
END_TEST

START_TEST(silence_of_few_requests_is_probed)
{
    reachability_t reach = {0};
    reachability_add_send(&reach, 10000);
    ck_assert(!reachability_wants_probe(&reach, 10900));
    ck_assert(reachability_wants_probe(&reach, 11000));
    ck_assert(reachability_add_failure(&reach, 1, 11400));
}
END_TEST

START_TEST(nearest_peer_with_fewest_requests_is_chosen)
{
    const transit_peer_t peers[] = {
        {.in_flight = 0},
        {.own_region = true, .in_flight = 5},
        {.own_region = true, .in_flight = 2},
        {.own_region = true, .own_hall = true, .in_flight = 9},
    };
    ck_assert_uint_eq(transit_choose(peers, ALEN(peers), 1, 2), 3);
    ck_assert_uint_eq(transit_choose(peers, 3, 0, 1), 2);
    ck_assert_uint_eq(transit_choose(peers, 1, 5, 6), 0);
    ck_assert_uint_eq(transit_choose(peers, 0, 5, 6), 0);
}
END_TEST

START_TEST(requests_in_transit_do_not_outnumber_own_ones)
{
    ck_assert(transit_admits(31, 0));
    ck_assert(!transit_admits(32, 10));
    ck_assert(transit_admits(90, 100));
    ck_assert(!transit_admits(100, 100));
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
    tcase_add_test(tcase, unsafe_requests_run_once_and_refusals_are_true_while_links_come_and_go);
    tcase_add_test(tcase, large_responses_arrive_whole_by_way_of_a_peer);
    tcase_add_test(tcase, truncated_responses_do_not_look_whole_by_way_of_a_peer);
    tcase_add_loop_test(tcase, killed_instance_does_not_look_like_the_end_of_a_response, 0, 2);
    tcase_add_test(tcase, fields_of_transit_and_keys_do_not_reach_backend_servers);
    tcase_add_test(tcase, fields_of_transit_from_a_caller_do_not_count);
    tcase_add_test(tcase, caller_that_leaves_ends_its_request_at_the_backend_server);
    tcase_add_test(tcase, callers_are_served_while_peers_stop_and_the_store_is_away);
    tcase_add_test(tcase, backend_server_that_is_down_as_well_costs_no_request);
    tcase_add_test(tcase, new_connections_that_are_refused_beside_open_ones_cost_no_request);
    tcase_add_test(tcase, connections_refused_at_once_do_not_use_up_a_request);
    tcase_add_test(tcase, requests_return_to_own_connections_after_the_cut);
    tcase_add_test(tcase, cut_does_not_quarantine_requests);
    tcase_add_test(tcase, backend_servers_that_end_do_not_look_like_a_cut);
    tcase_add_test(tcase, links_that_come_and_go_are_left_alone_for_longer);
    tcase_add_test(tcase, requests_return_gradually);
    tcase_add_test(tcase, silence_of_few_requests_is_probed);
    tcase_add_test(tcase, nearest_peer_with_fewest_requests_is_chosen);
    tcase_add_test(tcase, requests_in_transit_do_not_outnumber_own_ones);
    suite_add_tcase(suite, tcase);
    return suite;
}
