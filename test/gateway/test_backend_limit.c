/*
 * A backend server that states a rate limit in its answers must not get more than that from all
 * instances together, and the limit must be usable from any of them.
 */
#include <stdlib.h>

#include "peer/link.h"
#include "test/gateway/site.h"
#include "test/suites.h"

enum {
    BACKENDS = 4,
    INSTANCES = 3,
    LIMIT_PER_S = 2,
    SETTLE_MS = 1000, /* the limit is known by then */
    WINDOW_MS = 4000,
    SPAN_MS = 5500,
    /* One and a half times the limit, plus five. */
    WINDOW_MAX_ARRIVALS = LIMIT_PER_S * WINDOW_MS / 1000 * 3 / 2 + 5,
    /* Eight tenths of the limit. */
    SPAN_MIN_ARRIVALS = LIMIT_PER_S * SPAN_MS / 1000 * 8 / 10,
};

static void
check_limit_is_kept(size_t used_instances)
{
    const instances_t fleet = new_instances(BACKENDS, INSTANCES);
    scripted_t *limited = &fleet.site->backends[0];
    limited->extra_headers = "Server-Limit: 2.0\r\n";
    ck_assert_uint_eq(send_continuously(&fleet, used_instances, SETTLE_MS), 0);
    const uint64_t from_ms = uv_now(&fleet.site->loop);
    ck_assert_uint_eq(send_continuously(&fleet, used_instances, SPAN_MS), 0);
    ck_assert_uint_le(max_arrivals_in_window(limited, from_ms, WINDOW_MS), WINDOW_MAX_ARRIVALS);
    ck_assert_uint_ge(arrivals_between(limited, from_ms, UINT64_MAX), SPAN_MIN_ARRIVALS);
}

START_TEST(backend_limit_holds_across_instances)
{
    check_limit_is_kept(INSTANCES);
}
END_TEST

START_TEST(backend_limit_is_usable_from_one_instance)
{
    check_limit_is_kept(1);
}
END_TEST

/* Requests cover all objects; the limited backend server is one of four. */
static instances_t
new_limited(size_t instances, const char *says)
{
    const instances_t fleet = new_instances(BACKENDS, instances);
    fleet.site->backends[0].extra_headers = says;
    send_continuously(&fleet, instances, SETTLE_MS);
    return fleet;
}

static const backend_t *
backend_at(const instances_t *fleet, size_t instance)
{
    return gateway_backend(fleet->gateways[instance], str_from(fleet->site->backends[0].id));
}

START_TEST(withdrawn_limit_is_lifted_on_all_instances)
{
    instances_t fleet = new_limited(INSTANCES, "Server-Limit: 2\r\n");
    for (size_t i = 0; i < INSTANCES; i++)
        ck_assert(backend_at(&fleet, i)->limit.is_set);
    fleet.site->backends[0].extra_headers = NULL;
    send_continuously(&fleet, 1, SETTLE_MS);
    for (size_t i = 0; i < INSTANCES; i++)
        ck_assert(!backend_at(&fleet, i)->limit.is_set);
}
END_TEST

START_TEST(new_instance_learns_limit_before_sending)
{
    instances_t fleet = new_limited(1, "Server-Limit: 2\r\n");
    const size_t before = fleet.site->backends[0].arrival_count;
    const addr_t seed = gateway_settings(fleet.gateways[0])->peer;
    fleet.gateways[1] = start_gateway(fleet.site, "g-2", &fleet.site->store_port, &seed);
    RUN_UNTIL(fleet.site, backend_at(&fleet, 1) != NULL && backend_at(&fleet, 1)->limit.is_set);
    ck_assert_uint_eq(fleet.site->backends[0].arrival_count, before);
}
END_TEST

START_TEST(new_incarnation_starts_without_limit)
{
    instances_t fleet = new_instances(BACKENDS, 1);
    scripted_t *backend = &fleet.site->backends[0];
    backend->born = 1000;
    backend->extra_headers = "Server-Limit: 0.1\r\n";
    put_backend(fleet.site, backend, "ready");
    RUN_UNTIL(fleet.site, backend_at(&fleet, 0)->info.born == backend->born);
    send_continuously(&fleet, 1, SETTLE_MS);
    ck_assert(backend_at(&fleet, 0)->limit.is_set);
    backend->extra_headers = NULL;
    backend->born = 2000;
    put_backend(fleet.site, backend, "ready");
    RUN_UNTIL(fleet.site, backend_at(&fleet, 0)->info.born == backend->born);
    ck_assert(!backend_at(&fleet, 0)->limit.is_set);
}
END_TEST

START_TEST(retry_after_when_all_backends_at_limit)
{
    enum { REQUESTS = 20 };
    const instances_t fleet = new_instances(2, 2);
    site_t *site = fleet.site;
    for (size_t i = 0; i < 2; i++)
        site->backends[i].extra_headers = "Server-Limit: 0.5\r\n";
    send_continuously(&fleet, 2, SETTLE_MS);
    size_t refused = 0;
    reply_t reply;
    for (size_t i = 0; i < REQUESTS; i++) {
        const uint64_t start_ms = uv_now(&site->loop);
        reply = ask_through(&fleet, i % 2, "/safe/x");
        refused += reply.status == 503;
        ck_assert(reply.status == 200 || strtod(reply.retry_after, NULL) > 0);
        ck_assert_uint_lt(uv_now(&site->loop) - start_ms, 200); /* immediately */
    }
    ck_assert_uint_ge(refused, REQUESTS - 4);
    /* After the stated time a request is served. */
    run_loop_ms(site, (uint64_t)(1000 * strtod(reply.retry_after, NULL)));
    ck_assert_int_eq(ask_through(&fleet, (REQUESTS - 1) % 2, "/safe/x").status, 200);
}
END_TEST

static void
count_permit_requests(void *ctx, peer_conn_t *conn, const Iris__Envelope *message)
{
    unsigned *permit_requests = ctx;
    (void)conn;
    *permit_requests += message->body_case == IRIS__ENVELOPE__BODY_PERMIT_REQUEST;
}

/* Announces an instance that owns nearly all backends, due to its number of cores, and does not
 * answer. */
static void
send_heartbeat(peer_hub_t *hub, const addr_t *own, const addr_t *to)
{
    char address[ADDR_TEXT_MAX];
    Iris__GatewayHeartbeat heartbeat = IRIS__GATEWAY_HEARTBEAT__INIT;
    Iris__Envelope envelope = IRIS__ENVELOPE__INIT;
    addr_format(own, address);
    heartbeat.instance = "g-silent";
    heartbeat.place = "a1";
    heartbeat.incarnation = 1;
    heartbeat.peer_address = address;
    heartbeat.caller_address = address;
    heartbeat.gives_permits = true;
    heartbeat.cpu_cores = 1e6F;
    envelope.schema = PEER_SCHEMA;
    envelope.body_case = IRIS__ENVELOPE__BODY_GATEWAY;
    envelope.gateway = &heartbeat;
    peer_send(hub, to, &envelope);
}

START_TEST(silent_permit_owner_diverts_requests)
{
    enum { ROUNDS = 8, ROUND_MS = 300 };
    err_t err = {0};
    unsigned permit_requests = 0;
    instances_t fleet = new_limited(1, "Server-Limit: 2\r\n");
    site_t *site = fleet.site;
    peer_hub_t *hub =
        peer_hub_start(&site->loop, &site->any, count_permit_requests, &permit_requests, &err);
    addr_t own = site->any;
    addr_set_port(&own, peer_hub_port(hub));
    send_heartbeat(hub, &own, &gateway_settings(fleet.gateways[0])->peer);
    RUN_UNTIL(site, gateway_live_instances(fleet.gateways[0]) == 2);
    const size_t before = site->backends[0].arrival_count;
    for (size_t i = 0; i < ROUNDS; i++) {
        send_heartbeat(hub, &own, &gateway_settings(fleet.gateways[0])->peer);
        ck_assert_uint_eq(send_continuously(&fleet, 1, ROUND_MS), 0);
    }
    ck_assert_uint_ge(permit_requests, 2);
    ck_assert_uint_le(permit_requests,
                      ROUNDS * ROUND_MS / 500 + 2); /* one request per half second waits */
    ck_assert_uint_le(site->backends[0].arrival_count, before + 1);
}
END_TEST

START_TEST(retries_take_permits)
{
    /* The other three answer 500, so that every request is retried, half of them at the limited
     * backend. */
    const instances_t fleet = new_limited(2, "Server-Limit: 2\r\n");
    site_t *site = fleet.site;
    for (size_t i = 1; i < BACKENDS; i++)
        site->backends[i].behaviour = DOES_FAIL;
    const uint64_t from_ms = uv_now(&site->loop);
    send_continuously(&fleet, 2, WINDOW_MS);
    ck_assert_uint_le(max_arrivals_in_window(&site->backends[0], from_ms, WINDOW_MS),
                      WINDOW_MAX_ARRIVALS);
}
END_TEST

Suite *
suite_gateway_backend_limit(void)
{
    Suite *suite = suite_create("gateway: backend limit");
    TCase *tests = tcase_create("backend limit");
    tcase_set_timeout(tests, 30);
    tcase_add_test(tests, backend_limit_holds_across_instances);
    tcase_add_test(tests, backend_limit_is_usable_from_one_instance);
    tcase_add_test(tests, withdrawn_limit_is_lifted_on_all_instances);
    tcase_add_test(tests, new_instance_learns_limit_before_sending);
    tcase_add_test(tests, new_incarnation_starts_without_limit);
    tcase_add_test(tests, retry_after_when_all_backends_at_limit);
    tcase_add_test(tests, silent_permit_owner_diverts_requests);
    tcase_add_test(tests, retries_take_permits);
    suite_add_tcase(suite, tests);
    return suite;
}
