/* Backend servers that are leaving, restart under the same id, or have an invalid entry. */
#include <stdio.h>
#include <stdlib.h>

#include "base/xmalloc.h"
#include "gateway/membership/heartbeat.h"
#include "gateway/state/catalog.h"
#include "platform/objects.h"
#include "test/gateway/fixture.h"
#include "test/suites.h"

enum { START_MS = 100000, ENTRIES_MAX = 3, UNKNOWN_START = 0 };

/* A list of backend servers and the catalog that it is applied to, with a fixed clock. */
typedef struct {
    uv_loop_t loop;
    topology_t topology;
    view_t view;
    catalog_t catalog;
    uint64_t revision;
} test_catalog_t;

static test_catalog_t *
new_test_catalog(void)
{
    test_catalog_t *test = xcalloc(1, sizeof(*test));
    uv_loop_init(&test->loop);
    test->loop.time = START_MS;
    test->topology = three_regions();
    catalog_init(&test->catalog, &test->loop, &test->topology, &platform_decoder);
    test->revision = 10;
    ck_assert_int_eq(view_replace(&test->view, NULL, 0, test->revision), VIEW_CHANGED);
    return test;
}

static void
free_test_catalog(test_catalog_t *test)
{
    backends_free(&test->catalog.backends);
    departures_free(&test->catalog.departures);
    departures_free(&test->catalog.new_departures);
    free(test->catalog.unusable);
    view_free(&test->view);
    ck_assert_int_eq(uv_loop_close(&test->loop), 0);
    free(test);
}

static const removal_store_t healthy_store = {REMOVAL_NEVER, REMOVAL_NEVER};

/* Changes one entry of the list; an empty `body` removes it. */
static void
put_raw_entry(test_catalog_t *test, const char *id, const char *body)
{
    const uint64_t from = test->view.at;
    test->revision++;
    const store_item_t item = {
        .name = str_from(id),
        .revision = test->revision,
        .gone = body[0] == '\0',
        .body = str_from(body),
    };
    view_apply(&test->view, &item, 1, from, test->revision);
    catalog_apply_backends(&test->catalog, &test->view, healthy_store);
}

/* An entry as a backend server writes it; UNKNOWN_START leaves `born` out. */
static char *
entry_json(const char *state, unsigned long long born)
{
    char *born_field =
        born != UNKNOWN_START ? xasprintf("\"born\":%llu,", born) : xasprintf("%s", "");
    char *body = xasprintf("{\"metadata\":{},\"spec\":{%s\"address\":\"10.1.0.9:80\",\"info\":{"
                           "\"service\":\"svc\",\"version\":\"v1\",\"zone\":\"a1\",\"capacity\":4},"
                           "\"status\":{\"state\":\"%s\",\"callSeq\":1,\"coldRemainingMs\":0}}}",
                           born_field, state);
    free(born_field);
    return body;
}

static void
put_entry(test_catalog_t *test, const char *id, const char *state, unsigned long long born)
{
    char *body = entry_json(state, born);
    put_raw_entry(test, id, body);
    free(body);
}

static backend_t *
find_backend(const test_catalog_t *test, const char *id)
{
    return backends_find(&test->catalog.backends, str_from(id));
}

static bool
is_usable(const test_catalog_t *test, const char *id)
{
    const backend_t *backend = find_backend(test, id);
    return backend != NULL && backend_is_usable(backend, test->loop.time);
}

static void
announce_departure(test_catalog_t *test, const char *id, uint64_t revision, bool gone)
{
    departure_t departure = {.revision = revision, .gone = gone, .learned_ms = test->loop.time};
    ck_assert(name_set(&departure.backend, str_from(id)));
    catalog_apply_departures(&test->catalog, &departure, 1, healthy_store);
}

/* ---- departures ---- */

START_TEST(departure_applies_before_list_changes)
{
    for (int gone = 0; gone <= 1; gone++) {
        test_catalog_t *test = new_test_catalog();
        put_entry(test, "i-1", "ready", UNKNOWN_START);
        put_entry(test, "i-2", "ready", UNKNOWN_START);
        announce_departure(test, "i-1", test->revision + 5, gone);
        ck_assert(!is_usable(test, "i-1"));
        ck_assert(is_usable(test, "i-2"));
        /* Older states of the list change nothing, even if they arrive later. */
        put_entry(test, "i-1", "ready", UNKNOWN_START);
        ck_assert(!is_usable(test, "i-1"));
        put_entry(test, "i-2", "ready", UNKNOWN_START);
        ck_assert(!is_usable(test, "i-1"));
        /* Newer ones do. */
        test->revision += 10;
        put_entry(test, "i-1", "ready", UNKNOWN_START);
        ck_assert(is_usable(test, "i-1"));
        free_test_catalog(test);
    }
}
END_TEST

START_TEST(departure_applies_to_later_stale_entry)
{
    test_catalog_t *test = new_test_catalog();
    announce_departure(test, "i-1", 50, false);
    announce_departure(test, "i-2", 50, true);
    put_entry(test, "i-1", "ready", UNKNOWN_START);
    put_entry(test, "i-2", "ready", UNKNOWN_START);
    ck_assert(!is_usable(test, "i-1") && !is_usable(test, "i-2"));
    free_test_catalog(test);
}
END_TEST

START_TEST(list_change_reports_new_departures)
{
    test_catalog_t *test = new_test_catalog();
    put_entry(test, "i-1", "ready", UNKNOWN_START);
    put_entry(test, "i-2", "ready", UNKNOWN_START);
    ck_assert_uint_eq(test->catalog.new_departures.count, 0);
    put_entry(test, "i-1", "draining", UNKNOWN_START);
    ck_assert_uint_eq(test->catalog.new_departures.count, 1);
    ck_assert(!test->catalog.new_departures.items[0].gone);
    put_entry(test, "i-1", "draining", UNKNOWN_START); /* already reported */
    ck_assert_uint_eq(test->catalog.new_departures.count, 0);
    put_raw_entry(test, "i-2", "");
    ck_assert_uint_eq(test->catalog.new_departures.count, 1);
    ck_assert(test->catalog.new_departures.items[0].gone);
    ck_assert_uint_eq(test->catalog.new_departures.items[0].revision, test->revision);
    free_test_catalog(test);
}
END_TEST

START_TEST(departures_are_removed_after_timeout)
{
    test_catalog_t *test = new_test_catalog();
    announce_departure(test, "i-1", 50, true);
    test->loop.time += 30001;
    catalog_tick(&test->catalog);
    ck_assert_uint_eq(test->catalog.departures.count, 0);
    free_test_catalog(test);
}
END_TEST

/* ---- incarnations ---- */

START_TEST(new_incarnation_starts_with_clean_state)
{
    test_catalog_t *test = new_test_catalog();
    put_entry(test, "i-1", "draining", 1000);
    backend_t *old = backend_ref(find_backend(test, "i-1"));
    const reported_load_t load = {.running = 4, .waiting = 9, .slots = 4};
    backend_attempt_started(old);
    backend_report_load(old, &load, test->loop.time);
    backend_extend_cold(old, 5000, test->loop.time);
    backend_answered(old, 700, false);
    breaker_record_failure(&old->breaker, test->loop.time);
    breaker_record_failure(&old->breaker, test->loop.time);
    health_record(&old->health, true, test->loop.time);
    put_entry(test, "i-1", "ready", 2000);
    backend_t *now = find_backend(test, "i-1");
    ck_assert(now != NULL && now != old && is_usable(test, "i-1"));
    ck_assert(now->pool != old->pool);
    ck_assert(now->in_flight == 0 && now->service_time_ms == 0 && now->other_load == 0);
    ck_assert(!backend_is_cold(now, test->loop.time));
    ck_assert(now->health.weight == 0);
    ck_assert(!breaker_is_suspended(&now->breaker, test->loop.time));
    /* Attempts at the old incarnation finish there. */
    ck_assert(!old->listed);
    backend_attempt_finished(old);
    ck_assert_uint_eq(now->in_flight, 0);
    backend_unref(old);
    free_test_catalog(test);
}
END_TEST

START_TEST(stale_update_of_old_incarnation_is_ignored)
{
    test_catalog_t *test = new_test_catalog();
    put_entry(test, "i-1", "ready", 1000);
    const uint64_t old_revision = test->revision;
    put_entry(test, "i-1", "ready", 2000);
    const backend_t *now = find_backend(test, "i-1");
    /* From the list, at a revision after the new incarnation's entry. */
    put_entry(test, "i-1", "draining", 1000);
    ck_assert_ptr_eq(find_backend(test, "i-1"), now);
    ck_assert(is_usable(test, "i-1"));
    /* From a peer's departures. */
    announce_departure(test, "i-1", old_revision, true);
    announce_departure(test, "i-1", old_revision, false);
    ck_assert(is_usable(test, "i-1"));
    free_test_catalog(test);
}
END_TEST

START_TEST(entry_without_start_time_is_same_incarnation)
{
    test_catalog_t *test = new_test_catalog();
    put_entry(test, "i-1", "ready", UNKNOWN_START);
    const backend_t *first = find_backend(test, "i-1");
    put_entry(test, "i-1", "ready", 1000);
    ck_assert_ptr_eq(find_backend(test, "i-1"), first);
    put_entry(test, "i-1", "draining", UNKNOWN_START);
    ck_assert_ptr_eq(find_backend(test, "i-1"), first);
    ck_assert(!is_usable(test, "i-1"));
    ck_assert_int_eq(backend_incarnation_order(0, 7), 0);
    ck_assert_int_lt(backend_incarnation_order(6, 7), 0);
    ck_assert_int_gt(backend_incarnation_order(8, 7), 0);
    free_test_catalog(test);
}
END_TEST

/* ---- invalid entries ---- */

static const char *const invalid_entries[] = {
    "no JSON",
    "[]",
    "{\"spec\":7}",
    "{\"spec\":{}}",
};

START_TEST(invalid_entry_adds_no_backend)
{
    for (size_t i = 0; i < ALEN(invalid_entries); i++) {
        test_catalog_t *test = new_test_catalog();
        put_entry(test, "i-1", "ready", UNKNOWN_START);
        put_raw_entry(test, "i-2", invalid_entries[i]);
        ck_assert_ptr_null(find_backend(test, "i-2"));
        ck_assert(is_usable(test, "i-1"));
        ck_assert_uint_eq(test->catalog.unusable_count, 1);
        /* The entry is decoded only once. */
        put_entry(test, "i-1", "ready", UNKNOWN_START);
        ck_assert_uint_eq(test->catalog.unusable_count, 1);
        put_raw_entry(test, "i-2", "");
        ck_assert_uint_eq(test->catalog.unusable_count, 0);
        free_test_catalog(test);
    }
}
END_TEST

START_TEST(backend_with_unreadable_entry_gets_no_requests)
{
    test_catalog_t *test = new_test_catalog();
    put_entry(test, "i-1", "ready", UNKNOWN_START);
    put_entry(test, "i-1", "resting", UNKNOWN_START);
    ck_assert(!is_usable(test, "i-1"));
    ck_assert_uint_eq(test->catalog.new_departures.count, 1);
    put_entry(test, "i-2", "ready", UNKNOWN_START);
    ck_assert(!is_usable(test, "i-1"));
    ck_assert_uint_eq(test->catalog.unusable_count, 1);
    put_entry(test, "i-1", "ready", UNKNOWN_START);
    ck_assert(is_usable(test, "i-1"));
    ck_assert_uint_eq(test->catalog.unusable_count, 0);
    free_test_catalog(test);
}
END_TEST

Suite *
suite_gateway_backend_incarnations(void)
{
    Suite *suite = suite_create("gateway: backend incarnations");
    TCase *tests = tcase_create("backend incarnations");
    tcase_add_test(tests, departure_applies_before_list_changes);
    tcase_add_test(tests, departure_applies_to_later_stale_entry);
    tcase_add_test(tests, list_change_reports_new_departures);
    tcase_add_test(tests, departures_are_removed_after_timeout);
    tcase_add_test(tests, new_incarnation_starts_with_clean_state);
    tcase_add_test(tests, stale_update_of_old_incarnation_is_ignored);
    tcase_add_test(tests, entry_without_start_time_is_same_incarnation);
    tcase_add_test(tests, invalid_entry_adds_no_backend);
    tcase_add_test(tests, backend_with_unreadable_entry_gets_no_requests);
    suite_add_tcase(suite, tests);
    return suite;
}
