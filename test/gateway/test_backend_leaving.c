/*
 * A backend server that announces its shutdown in its answers must get no new requests, even while
 * the store's list still says that it is ready.
 */
#include <stdlib.h>

#include "base/xmalloc.h"
#include "test/gateway/site.h"
#include "test/suites.h"

enum { BACKENDS = 4, INSTANCES = 3, SETTLE_MS = 400, SPAN_MS = 1500 };

START_TEST(leaving_backend_gets_no_requests_despite_store)
{
    const instances_t fleet = new_instances(BACKENDS, INSTANCES);
    site_t *site = fleet.site;
    scripted_t *leaving = &site->backends[0];
    ck_assert_uint_eq(send_continuously(&fleet, fleet.count, SETTLE_MS), 0);
    leaving->extra_headers = "Server-Leaving: 1\r\n";
    ck_assert_uint_eq(send_continuously(&fleet, fleet.count, SETTLE_MS), 0);
    const size_t before = leaving->arrival_count;
    ck_assert_uint_eq(send_continuously(&fleet, fleet.count, SPAN_MS), 0);
    put_backend(site, leaving, "ready"); /* a newer entry of the same incarnation */
    put_config(site, NULL);
    ck_assert_uint_eq(send_continuously(&fleet, fleet.count, SPAN_MS), 0);
    ck_assert_uint_eq(leaving->arrival_count, before);
}
END_TEST

static const backend_t *
backend_at(const instances_t *fleet, size_t instance)
{
    return gateway_backend(fleet->gateways[instance], str_from(fleet->site->backends[0].id));
}

/* One instance reads the announcement and sends it to the others while the store is unavailable. */
START_TEST(leaving_is_gossiped_and_survives_store_outage)
{
    instances_t fleet = new_instances(BACKENDS, INSTANCES);
    site_t *site = fleet.site;
    scripted_t *leaving = &site->backends[0];
    standin_store_set_mode(site->store, STANDIN_STORE_BUSY);
    leaving->extra_headers = "Server-Leaving: 1\r\n";
    ck_assert_uint_eq(send_continuously(&fleet, 1, SETTLE_MS), 0);
    for (size_t i = 0; i < INSTANCES; i++)
        ck_assert(!backend_is_usable(backend_at(&fleet, i), uv_now(&site->loop)));
    const size_t before = leaving->arrival_count;
    standin_store_forget(site->store); /* a new list is fetched */
    standin_store_set_mode(site->store, STANDIN_STORE_SERVES);
    ck_assert_uint_eq(send_continuously(&fleet, fleet.count, SPAN_MS), 0);
    ck_assert_uint_eq(leaving->arrival_count, before);
}
END_TEST

START_TEST(new_instance_learns_leaving_before_sending)
{
    instances_t fleet = new_instances(BACKENDS, 1);
    site_t *site = fleet.site;
    scripted_t *leaving = &site->backends[0];
    leaving->extra_headers = "Server-Leaving: 1\r\n";
    send_continuously(&fleet, fleet.count, SETTLE_MS);
    const size_t before = leaving->arrival_count;
    add_instances(&fleet, 2);
    ck_assert(!backend_is_usable(backend_at(&fleet, 1), uv_now(&site->loop)));
    ck_assert_uint_eq(send_continuously(&fleet, fleet.count, SETTLE_MS), 0);
    ck_assert_uint_eq(leaving->arrival_count, before);
}
END_TEST

START_TEST(relisted_entry_does_not_reset_leaving)
{
    instances_t fleet = new_instances(BACKENDS, 1);
    site_t *site = fleet.site;
    scripted_t *leaving = &site->backends[0];
    leaving->extra_headers = "Server-Leaving: 1\r\n";
    send_continuously(&fleet, fleet.count, SETTLE_MS);
    standin_store_remove(site->store, "servers", leaving->id);
    RUN_UNTIL(site, backend_at(&fleet, 0) == NULL);
    put_backend(site, leaving, "ready");
    RUN_UNTIL(site, backend_at(&fleet, 0) != NULL);
    ck_assert(!backend_is_usable(backend_at(&fleet, 0), uv_now(&site->loop)));
}
END_TEST

START_TEST(new_incarnation_serves_again)
{
    instances_t fleet = new_instances(BACKENDS, 1);
    site_t *site = fleet.site;
    scripted_t *leaving = &site->backends[0];
    leaving->born = 1000;
    leaving->extra_headers = "Server-Leaving: 1\r\n";
    put_backend(site, leaving, "ready");
    RUN_UNTIL(site, backend_at(&fleet, 0)->info.born == leaving->born);
    send_continuously(&fleet, fleet.count, SETTLE_MS);
    ck_assert(backend_at(&fleet, 0)->stated_leaving);
    leaving->extra_headers = NULL;
    leaving->born = 2000;
    put_backend(site, leaving, "ready");
    RUN_UNTIL(site, backend_at(&fleet, 0)->info.born == leaving->born);
    ck_assert(!backend_at(&fleet, 0)->stated_leaving);
}
END_TEST

/* Requests are refused immediately, with a time to retry. */
START_TEST(retry_after_when_all_backends_leave)
{
    enum { LEAVING = 2 };
    instances_t fleet = new_instances(LEAVING, 1);
    site_t *site = fleet.site;
    for (size_t i = 0; i < LEAVING; i++)
        site->backends[i].extra_headers = "Server-Leaving: 1\r\n";
    send_continuously(&fleet, fleet.count, SETTLE_MS);
    const size_t before = site->backends[0].arrival_count + site->backends[1].arrival_count;
    for (size_t i = 0; i < 10; i++) {
        const uint64_t start_ms = uv_now(&site->loop);
        const reply_t reply = ask_through(&fleet, 0, "/safe/x");
        ck_assert_int_eq(reply.status, 503);
        ck_assert_str_ne(reply.retry_after, "");
        ck_assert_uint_lt(uv_now(&site->loop) - start_ms, 100);
    }
    ck_assert_uint_eq(site->backends[0].arrival_count + site->backends[1].arrival_count, before);
}
END_TEST

Suite *
suite_gateway_backend_leaving(void)
{
    Suite *suite = suite_create("gateway: backend leaving");
    TCase *tests = tcase_create("backend leaving");
    tcase_set_timeout(tests, 30);
    tcase_add_test(tests, leaving_backend_gets_no_requests_despite_store);
    tcase_add_test(tests, leaving_is_gossiped_and_survives_store_outage);
    tcase_add_test(tests, new_instance_learns_leaving_before_sending);
    tcase_add_test(tests, relisted_entry_does_not_reset_leaving);
    tcase_add_test(tests, new_incarnation_serves_again);
    tcase_add_test(tests, retry_after_when_all_backends_leave);
    suite_add_tcase(suite, tests);
    return suite;
}
