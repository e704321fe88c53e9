/* Backend servers that leave, start again under their id, or whose entry is of another writer. */
#include <stdio.h>
#include <stdlib.h>

#include "base/xmalloc.h"
#include "gateway/membership/heartbeat.h"
#include "gateway/state/catalog.h"
#include "platform/objects.h"
#include "test/gateway/fixture.h"
#include "test/suites.h"

enum { START_MS = 100000, ENTRIES_MAX = 3, NOT_TOLD = 0 };

/* A list of backend servers and the catalog that it is applied to, on a clock that stands still. */
typedef struct {
    uv_loop_t loop;
    topology_t topology;
    view_t view;
    catalog_t catalog;
    uint64_t revision;
} rig_t;

static rig_t *
new_rig(void)
{
    rig_t *rig = xcalloc(1, sizeof(*rig));
    uv_loop_init(&rig->loop);
    rig->loop.time = START_MS;
    rig->topology = three_regions();
    catalog_init(&rig->catalog, &rig->loop, &rig->topology, &platform_decoder);
    rig->revision = 10;
    ck_assert_int_eq(view_replace(&rig->view, NULL, 0, rig->revision), VIEW_CHANGED);
    return rig;
}

static void
free_rig(rig_t *rig)
{
    backends_free(&rig->catalog.backends);
    departures_free(&rig->catalog.departures);
    departures_free(&rig->catalog.new_departures);
    free(rig->catalog.unusable);
    view_free(&rig->view);
    free(rig);
}

static const removal_store_t no_trouble = {REMOVAL_NEVER, REMOVAL_NEVER};

/* The list says this of a backend server from now on; `body` empty: nothing. */
static void
tell(rig_t *rig, const char *id, const char *body)
{
    const uint64_t from = rig->view.at;
    rig->revision++;
    const store_item_t item = {
        .name = str_from(id),
        .revision = rig->revision,
        .gone = body[0] == '\0',
        .body = str_from(body),
    };
    view_apply(&rig->view, &item, 1, from, rig->revision);
    catalog_apply_backends(&rig->catalog, &rig->view, no_trouble);
}

/* An entry as a backend server writes it; `born` NOT_TOLD: without. */
static char *
entry(const char *state, unsigned long long born)
{
    char *text = born != NOT_TOLD ? xasprintf("\"born\":%llu,", born) : xasprintf("%s", "");
    char *body = xasprintf("{\"metadata\":{},\"spec\":{%s\"address\":\"10.1.0.9:80\",\"info\":{"
                           "\"service\":\"svc\",\"version\":\"v1\",\"zone\":\"a1\",\"capacity\":4},"
                           "\"status\":{\"state\":\"%s\",\"callSeq\":1,\"coldRemainingMs\":0}}}",
                           text, state);
    free(text);
    return body;
}

static void
tell_entry(rig_t *rig, const char *id, const char *state, unsigned long long born)
{
    char *body = entry(state, born);
    tell(rig, id, body);
    free(body);
}

static backend_t *
find(const rig_t *rig, const char *id)
{
    return backends_find(&rig->catalog.backends, str_from(id));
}

static bool
is_usable(const rig_t *rig, const char *id)
{
    const backend_t *backend = find(rig, id);
    return backend != NULL && backend_is_usable(backend, rig->loop.time);
}

static void
tell_departure(rig_t *rig, const char *id, uint64_t revision, bool gone)
{
    departure_t departure = {.revision = revision, .gone = gone, .told_ms = rig->loop.time};
    ck_assert(name_set(&departure.backend, str_from(id)));
    catalog_apply_departures(&rig->catalog, &departure, 1, no_trouble);
}

/* ---- departures ---- */

START_TEST(a_departure_binds_before_the_list_tells_it)
{
    for (int gone = 0; gone <= 1; gone++) {
        rig_t *rig = new_rig();
        tell_entry(rig, "i-1", "ready", NOT_TOLD);
        tell_entry(rig, "i-2", "ready", NOT_TOLD);
        tell_departure(rig, "i-1", rig->revision + 5, gone);
        ck_assert(!is_usable(rig, "i-1"));
        ck_assert(is_usable(rig, "i-2"));
        /* What the list said before that changes nothing, also if it comes later. */
        tell_entry(rig, "i-1", "ready", NOT_TOLD);
        ck_assert(!is_usable(rig, "i-1"));
        tell_entry(rig, "i-2", "ready", NOT_TOLD);
        ck_assert(!is_usable(rig, "i-1"));
        /* What it said after that does. */
        rig->revision += 10;
        tell_entry(rig, "i-1", "ready", NOT_TOLD);
        ck_assert(is_usable(rig, "i-1"));
        free_rig(rig);
    }
}
END_TEST

START_TEST(a_departure_binds_an_entry_that_comes_after_it)
{
    rig_t *rig = new_rig();
    tell_departure(rig, "i-1", 50, false);
    tell_departure(rig, "i-2", 50, true);
    tell_entry(rig, "i-1", "ready", NOT_TOLD);
    tell_entry(rig, "i-2", "ready", NOT_TOLD);
    ck_assert(!is_usable(rig, "i-1") && !is_usable(rig, "i-2"));
    free_rig(rig);
}
END_TEST

START_TEST(the_list_tells_who_leaves_from_now_on)
{
    rig_t *rig = new_rig();
    tell_entry(rig, "i-1", "ready", NOT_TOLD);
    tell_entry(rig, "i-2", "ready", NOT_TOLD);
    ck_assert_uint_eq(rig->catalog.new_departures.count, 0);
    tell_entry(rig, "i-1", "draining", NOT_TOLD);
    ck_assert_uint_eq(rig->catalog.new_departures.count, 1);
    ck_assert(!rig->catalog.new_departures.items[0].gone);
    tell_entry(rig, "i-1", "draining", NOT_TOLD); /* told before */
    ck_assert_uint_eq(rig->catalog.new_departures.count, 0);
    tell(rig, "i-2", "");
    ck_assert_uint_eq(rig->catalog.new_departures.count, 1);
    ck_assert(rig->catalog.new_departures.items[0].gone);
    ck_assert_uint_eq(rig->catalog.new_departures.items[0].revision, rig->revision);
    free_rig(rig);
}
END_TEST

START_TEST(departures_are_forgotten_in_time)
{
    rig_t *rig = new_rig();
    tell_departure(rig, "i-1", 50, true);
    rig->loop.time += 30001;
    catalog_tick(&rig->catalog);
    ck_assert_uint_eq(rig->catalog.departures.count, 0);
    free_rig(rig);
}
END_TEST

/* ---- lives ---- */

START_TEST(a_new_life_knows_nothing_of_the_old_one)
{
    rig_t *rig = new_rig();
    tell_entry(rig, "i-1", "draining", 1000);
    backend_t *old = backend_ref(find(rig, "i-1"));
    const reported_load_t load = {4, 9, 4};
    backend_attempt_started(old);
    backend_report_load(old, &load, rig->loop.time);
    backend_extend_cold(old, 5000, rig->loop.time);
    backend_answered(old, 700, false);
    breaker_record_failure(&old->breaker, rig->loop.time);
    breaker_record_failure(&old->breaker, rig->loop.time);
    health_record(&old->health, true, rig->loop.time);
    tell_entry(rig, "i-1", "ready", 2000);
    backend_t *now = find(rig, "i-1");
    ck_assert(now != NULL && now != old && is_usable(rig, "i-1"));
    ck_assert(now->pool != old->pool);
    ck_assert(now->in_flight == 0 && now->service_time_ms == 0 && now->other_load == 0);
    ck_assert(!backend_is_cold(now, rig->loop.time));
    ck_assert(now->health.weight == 0);
    ck_assert(!breaker_is_suspended(&now->breaker, rig->loop.time));
    /* An attempt at the old life ends there. */
    ck_assert(!old->listed);
    backend_attempt_finished(old);
    ck_assert_uint_eq(now->in_flight, 0);
    backend_unref(old);
    free_rig(rig);
}
END_TEST

START_TEST(late_news_of_an_old_life_changes_nothing)
{
    rig_t *rig = new_rig();
    tell_entry(rig, "i-1", "ready", 1000);
    const uint64_t old_revision = rig->revision;
    tell_entry(rig, "i-1", "ready", 2000);
    const backend_t *now = find(rig, "i-1");
    /* By the list, though it says so later than the new life's entry. */
    tell_entry(rig, "i-1", "draining", 1000);
    ck_assert_ptr_eq(find(rig, "i-1"), now);
    ck_assert(is_usable(rig, "i-1"));
    /* By a peer's departures. */
    tell_departure(rig, "i-1", old_revision, true);
    tell_departure(rig, "i-1", old_revision, false);
    ck_assert(is_usable(rig, "i-1"));
    free_rig(rig);
}
END_TEST

START_TEST(an_entry_that_does_not_tell_its_life_is_of_the_same)
{
    rig_t *rig = new_rig();
    tell_entry(rig, "i-1", "ready", NOT_TOLD);
    const backend_t *first = find(rig, "i-1");
    tell_entry(rig, "i-1", "ready", 1000);
    ck_assert_ptr_eq(find(rig, "i-1"), first);
    tell_entry(rig, "i-1", "draining", NOT_TOLD);
    ck_assert_ptr_eq(find(rig, "i-1"), first);
    ck_assert(!is_usable(rig, "i-1"));
    ck_assert_int_eq(backend_incarnation_order(0, 7), 0);
    ck_assert_int_lt(backend_incarnation_order(6, 7), 0);
    ck_assert_int_gt(backend_incarnation_order(8, 7), 0);
    free_rig(rig);
}
END_TEST

/* ---- entries of another writer ---- */

static const char *const foreign_entries[] = {
    "no JSON",
    "[]",
    "{\"spec\":7}",
    "{\"spec\":{}}",
};

START_TEST(a_foreign_entry_names_no_backend_server)
{
    for (size_t i = 0; i < ALEN(foreign_entries); i++) {
        rig_t *rig = new_rig();
        tell_entry(rig, "i-1", "ready", NOT_TOLD);
        tell(rig, "i-2", foreign_entries[i]);
        ck_assert_ptr_null(find(rig, "i-2"));
        ck_assert(is_usable(rig, "i-1"));
        ck_assert_uint_eq(rig->catalog.unusable_count, 1);
        /* It is looked at once. */
        tell_entry(rig, "i-1", "ready", NOT_TOLD);
        ck_assert_uint_eq(rig->catalog.unusable_count, 1);
        tell(rig, "i-2", "");
        ck_assert_uint_eq(rig->catalog.unusable_count, 0);
        free_rig(rig);
    }
}
END_TEST

START_TEST(a_used_backend_whose_entry_cannot_be_read_gets_nothing)
{
    rig_t *rig = new_rig();
    tell_entry(rig, "i-1", "ready", NOT_TOLD);
    tell_entry(rig, "i-1", "resting", NOT_TOLD);
    ck_assert(!is_usable(rig, "i-1"));
    ck_assert_uint_eq(rig->catalog.new_departures.count, 1);
    tell_entry(rig, "i-2", "ready", NOT_TOLD);
    ck_assert(!is_usable(rig, "i-1"));
    ck_assert_uint_eq(rig->catalog.unusable_count, 1);
    tell_entry(rig, "i-1", "ready", NOT_TOLD);
    ck_assert(is_usable(rig, "i-1"));
    ck_assert_uint_eq(rig->catalog.unusable_count, 0);
    free_rig(rig);
}
END_TEST

Suite *
suite_gateway_lives(void)
{
    Suite *suite = suite_create("gateway: lives of backend servers");
    TCase *tests = tcase_create("lives");
    tcase_add_test(tests, a_departure_binds_before_the_list_tells_it);
    tcase_add_test(tests, a_departure_binds_an_entry_that_comes_after_it);
    tcase_add_test(tests, the_list_tells_who_leaves_from_now_on);
    tcase_add_test(tests, departures_are_forgotten_in_time);
    tcase_add_test(tests, a_new_life_knows_nothing_of_the_old_one);
    tcase_add_test(tests, late_news_of_an_old_life_changes_nothing);
    tcase_add_test(tests, an_entry_that_does_not_tell_its_life_is_of_the_same);
    tcase_add_test(tests, a_foreign_entry_names_no_backend_server);
    tcase_add_test(tests, a_used_backend_whose_entry_cannot_be_read_gets_nothing);
    suite_add_tcase(suite, tests);
    return suite;
}
