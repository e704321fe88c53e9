/* Removal of backend entries during and after an outage of the store. */
#include "base/loop_time.h"
#include "base/xmalloc.h"
#include "gateway/state/catalog.h"
#include "gateway/state/store_watch.h"
#include "test/gateway/fixture.h"
#include "test/gateway/site.h"
#include "test/suites.h"
#include "wire/client.h"

enum {
    BACKENDS = 4,
    START_MS = 100000,
    TICK_MS = 200,
    OUTAGE_MS = 4000,
    MASS_LOSS_MS = 1400, /* as in removal.c */
    GRACE_MS = 2200,     /* as in removal.c */
    RETURN_MS = 1000,    /* time for the next store call to succeed */
    /* Time in which live backend servers are listed again, as given by the platform. */
    BACK_WITHIN_MS = 2000,
    FALLBACK_MS = 3000, /* as in store_watch.c */
};

/* Body of the entry of a leaving backend server. */
#define LEAVING "leaving"

/* A store whose calls the test answers, the components under test, and a clock that only the test
 * advances. */
typedef struct {
    uv_loop_t loop;
    store_port_t port;
    store_cb_t cbs[VIEW_WATCHED]; /* NULL if no call of the kind is pending */
    void *cb_ctxs[VIEW_WATCHED];
    uint64_t revision;
    topology_t topology;
    members_t members;
    views_t views;
    store_watch_t watch;
    catalog_t catalog;
} outage_fixture_t;

static bool
decode_backend(str_t name, str_t body, backend_info_t *out, err_t *err)
{
    (void)err;
    *out = (backend_info_t){.capacity = 4, .leaving = str_eq(body, STR(LEAVING))};
    return name_set(&out->id, name) && name_set(&out->service, STR("svc")) &&
           name_set(&out->hall, STR("a1"));
}

static void
on_list_call(void *ctx, view_kind_t kind, str_t after, uint32_t timeout_ms, store_cb_t cb,
             void *cb_ctx)
{
    (void)after;
    (void)timeout_ms;
    outage_fixture_t *fixture = ctx;
    fixture->cbs[kind] = cb;
    fixture->cb_ctxs[kind] = cb_ctx;
}

static void
on_watch_call(void *ctx, view_kind_t kind, uint64_t from, uint32_t wait_ms, uint32_t timeout_ms,
              store_cb_t cb, void *cb_ctx)
{
    (void)from;
    (void)wait_ms;
    on_list_call(ctx, kind, STR(""), timeout_ms, cb, cb_ctx);
}

static void
on_view_change(void *ctx, view_kind_t kind)
{
    outage_fixture_t *fixture = ctx;
    store_watch_view_changed(&fixture->watch);
    if (kind == VIEW_BACKENDS)
        catalog_apply_backends(&fixture->catalog, &fixture->views.items[kind],
                               store_watch_outage_state(&fixture->watch));
}

static void
on_delta(void *ctx, const view_delta_t *delta)
{
    (void)ctx;
    (void)delta;
}

/* Answers the pending call of a kind, if any. */
static void
answer_call(outage_fixture_t *fixture, view_kind_t kind, const store_answer_t *answer)
{
    const store_cb_t cb = fixture->cbs[kind];
    fixture->cbs[kind] = NULL;
    if (cb != NULL)
        cb(fixture->cb_ctxs[kind], answer);
}

static void
advance_ms(outage_fixture_t *fixture, uint64_t ms)
{
    fixture->loop.time += ms;
    store_watch_tick(&fixture->watch);
    catalog_tick(&fixture->catalog);
}

/* Advances the clock by `ms`; the store answers all calls, or fails them. */
static void
run_store(outage_fixture_t *fixture, uint64_t ms, bool serves)
{
    const store_answer_t nothing_new = {.outcome = STORE_OK, .at = fixture->revision};
    const store_answer_t failure = {.outcome = STORE_FAILED};
    for (uint64_t passed = 0; passed < ms; passed += TICK_MS) {
        advance_ms(fixture, ms - passed < TICK_MS ? ms - passed : TICK_MS);
        for (view_kind_t kind = 0; kind < VIEW_WATCHED; kind++)
            answer_call(fixture, kind, serves ? &nothing_new : &failure);
    }
}

static str_t
backend_id(size_t index)
{
    static const char *const ids[BACKENDS] = {"i-0", "i-1", "i-2", "i-3"};
    return str_from(ids[index]);
}

/* Answers the watch of the backend list with entries that were added or removed. */
static void
deliver_backends(outage_fixture_t *fixture, size_t first, size_t count, bool gone)
{
    store_item_t items[BACKENDS];
    fixture->revision++;
    for (size_t i = 0; i < count; i++)
        items[i] = (store_item_t){.name = backend_id(first + i),
                                  .revision = fixture->revision,
                                  .gone = gone,
                                  .body = STR("b")};
    const store_answer_t answer = {
        .outcome = STORE_OK, .items = items, .item_count = count, .at = fixture->revision};
    while (fixture->cbs[VIEW_BACKENDS] == NULL)
        advance_ms(fixture, TICK_MS);
    answer_call(fixture, VIEW_BACKENDS, &answer);
}

static bool
is_usable(const outage_fixture_t *fixture, size_t index)
{
    const backend_t *backend = backends_find(&fixture->catalog.backends, backend_id(index));
    return backend != NULL && backend_is_usable(backend, loop_now(&fixture->loop));
}

/* Creates an instance that knows all backend servers and watches the store. */
static outage_fixture_t *
new_fixture(void)
{
    static const decoder_port_t decoder = {.backend = decode_backend};
    outage_fixture_t *fixture = xcalloc(1, sizeof(*fixture));
    uv_loop_init(&fixture->loop);
    fixture->loop.time = START_MS;
    fixture->port = (store_port_t){.list = on_list_call, .watch = on_watch_call, .ctx = fixture};
    fixture->topology = three_regions();
    fixture->views.count = VIEW_ROLLOUTS; /* without orders of roll-outs */
    fixture->views.on_change = on_view_change;
    fixture->views.ctx = fixture;
    catalog_init(&fixture->catalog, &fixture->loop, &fixture->topology, &decoder);
    const store_watch_conf_t conf = {
        .loop = &fixture->loop,
        .store = &fixture->port,
        .members = &fixture->members,
        .views = &fixture->views,
        .instance = STR("a-1"),
        .on_delta = on_delta,
        .ctx = fixture,
    };
    store_watch_init(&fixture->watch, &conf);
    advance_ms(fixture, 1000);
    deliver_backends(fixture, 0, BACKENDS, false);
    run_store(fixture, 1000, true);
    return fixture;
}

/* Adds an instance with a recent heartbeat. */
static member_t *
add_instance(outage_fixture_t *fixture, const char *addr_text, const char *name, bool failing,
             uint32_t store_age_ms)
{
    addr_t addr;
    ck_assert(addr_parse(str_from(addr_text), &addr));
    member_t *peer = members_find_or_add(&fixture->members, &addr);
    peer->heard = true;
    peer->region = fixture->watch.conf.region;
    peer->heard_ms = uv_now(&fixture->loop);
    peer->interval_ms = OUTAGE_MS; /* long enough to stay alive throughout a test */
    peer->store_failing = failing;
    peer->store_age_ms = store_age_ms;
    name_set(&peer->instance, str_from(name));
    return peer;
}

/* Adds a peer with a recent heartbeat. */
static member_t *
add_peer(outage_fixture_t *fixture, bool failing, uint32_t store_age_ms)
{
    return add_instance(fixture, "10.0.0.1:1", "a-2", failing, store_age_ms);
}

/* Like run_store(), while two instances of higher rank watch the store and are served. */
static void
run_store_with_watchers(outage_fixture_t *fixture, uint64_t ms, bool serves)
{
    for (uint64_t passed = 0; passed < ms; passed += TICK_MS) {
        add_instance(fixture, "10.0.0.3:1", "a-0-1", false, 100);
        add_instance(fixture, "10.0.0.4:1", "a-0-2", false, 100);
        run_store(fixture, TICK_MS, serves);
    }
}

static void
free_fixture(outage_fixture_t *fixture)
{
    const store_answer_t failure = {.outcome = STORE_FAILED};
    for (view_kind_t kind = 0; kind < VIEW_WATCHED; kind++)
        answer_call(fixture, kind, &failure);
    backends_free(&fixture->catalog.backends);
    departures_free(&fixture->catalog.departures);
    departures_free(&fixture->catalog.new_departures);
    for (view_kind_t kind = 0; kind < VIEW_WATCHED; kind++)
        view_free(&fixture->views.items[kind]);
    members_free(&fixture->members);
    ck_assert_int_eq(uv_loop_close(&fixture->loop), 0);
    free(fixture);
}

/* Runs an outage in which entries expire and are listed again in time. */
static void
run_outage(outage_fixture_t *fixture)
{
    run_store(fixture, OUTAGE_MS, false);
    run_store(fixture, RETURN_MS, true);
    deliver_backends(fixture, 0, BACKENDS, true);
    run_store(fixture, BACK_WITHIN_MS - RETURN_MS, true);
    for (size_t i = 0; i < BACKENDS; i++)
        ck_assert(is_usable(fixture, i));
    deliver_backends(fixture, 0, BACKENDS, false);
}

START_TEST(removal_well_after_outage_is_immediate)
{
    outage_fixture_t *fixture = new_fixture();
    run_outage(fixture);
    run_store(fixture, 1000, true);
    deliver_backends(fixture, 0, 1, true);
    ck_assert(!is_usable(fixture, 0));
    ck_assert(is_usable(fixture, 1));
    free_fixture(fixture);
}
END_TEST

/* The grace ends at the same moment, whenever the removal was received. */
START_TEST(outage_grace_ends_at_the_same_time_for_all)
{
    outage_fixture_t *fixture = new_fixture();
    run_store(fixture, OUTAGE_MS, false);
    run_store(fixture, RETURN_MS, true);
    const uint64_t return_ms = fixture->watch.recovered_ms;
    ck_assert_uint_gt(return_ms, 0);
    deliver_backends(fixture, 0, 1, true);
    run_store(fixture, 600, true);
    deliver_backends(fixture, 1, 1, true);
    run_store(fixture, return_ms + GRACE_MS - 1 - uv_now(&fixture->loop), true);
    ck_assert(is_usable(fixture, 0) && is_usable(fixture, 1));
    advance_ms(fixture, 1);
    ck_assert(!is_usable(fixture, 0) && !is_usable(fixture, 1));
    ck_assert(is_usable(fixture, 2));
    free_fixture(fixture);
}
END_TEST

/* An entry that was removed, listed again and removed once more. */
START_TEST(second_removal_gets_no_second_grace)
{
    outage_fixture_t *fixture = new_fixture();
    run_store(fixture, OUTAGE_MS, false);
    run_store(fixture, RETURN_MS, true);
    deliver_backends(fixture, 0, 1, true);
    deliver_backends(fixture, 0, 1, false);
    run_store(fixture, 600, true);
    deliver_backends(fixture, 0, 1, true);
    ck_assert(is_usable(fixture, 0));
    advance_ms(fixture, fixture->watch.recovered_ms + GRACE_MS - uv_now(&fixture->loop));
    ck_assert(!is_usable(fixture, 0));
    free_fixture(fixture);
}
END_TEST

START_TEST(second_outage_starts_a_new_grace)
{
    outage_fixture_t *fixture = new_fixture();
    run_outage(fixture);
    const uint64_t first_ms = fixture->watch.recovered_ms;
    run_store(fixture, 1200, false);
    ck_assert_uint_eq(store_watch_outage_state(&fixture->watch).since_return_ms, 0);
    run_store(fixture, RETURN_MS, true);
    ck_assert_uint_gt(fixture->watch.recovered_ms, first_ms);
    deliver_backends(fixture, 0, 1, true);
    ck_assert(is_usable(fixture, 0));
    advance_ms(fixture, GRACE_MS);
    ck_assert(!is_usable(fixture, 0));
    free_fixture(fixture);
}
END_TEST

/* Calls of this instance still fail, but a peer is served again. */
START_TEST(outage_ends_when_store_serves_a_peer)
{
    outage_fixture_t *fixture = new_fixture();
    add_peer(fixture, true, OUTAGE_MS);
    run_store(fixture, OUTAGE_MS, false);
    ck_assert_uint_eq(store_watch_outage_state(&fixture->watch).since_return_ms, 0);
    /* A restarted peer has neither a failure nor an answer yet. */
    add_peer(fixture, false, STORE_AGE_NONE);
    advance_ms(fixture, TICK_MS);
    ck_assert_uint_eq(store_watch_outage_state(&fixture->watch).since_return_ms, 0);
    add_peer(fixture, false, 100);
    run_store(fixture, 2900, false);
    ck_assert_uint_ge(store_watch_outage_state(&fixture->watch).since_return_ms, 2500);
    free_fixture(fixture);
}
END_TEST

/* The received change is the only sign of the recovery. */
START_TEST(outage_ends_with_change_from_a_peer)
{
    outage_fixture_t *fixture = new_fixture();
    add_peer(fixture, true, OUTAGE_MS);
    run_store(fixture, OUTAGE_MS, false);
    view_t *view = &fixture->views.items[VIEW_BACKENDS];
    const store_item_t gone = {
        .name = backend_id(0), .revision = fixture->revision + 1, .gone = true};
    ck_assert_int_eq(view_apply(view, &gone, 1, view->at, view->at + 1), VIEW_CHANGED);
    views_changed(&fixture->views, VIEW_BACKENDS, "peer", 0, fixture->loop.time);
    ck_assert(is_usable(fixture, 0));
    advance_ms(fixture, GRACE_MS / 2);
    ck_assert_uint_eq(store_watch_outage_state(&fixture->watch).since_return_ms, GRACE_MS / 2);
    advance_ms(fixture, GRACE_MS / 2);
    ck_assert(!is_usable(fixture, 0));
    free_fixture(fixture);
}
END_TEST

/* A call that started before the recovery and fails after it does not indicate a new outage. */
START_TEST(stalled_call_does_not_restart_the_outage)
{
    outage_fixture_t *fixture = new_fixture();
    add_peer(fixture, true, OUTAGE_MS);
    run_store(fixture, OUTAGE_MS, false);
    while (fixture->cbs[VIEW_CONFIG] == NULL)
        advance_ms(fixture, TICK_MS);
    advance_ms(fixture, TICK_MS);
    store_watch_view_changed(&fixture->watch);
    advance_ms(fixture, 600);
    const store_answer_t failure = {.outcome = STORE_FAILED};
    answer_call(fixture, VIEW_CONFIG, &failure);
    ck_assert_uint_eq(store_watch_outage_state(&fixture->watch).since_return_ms, 600);
    /* A call that started after it does. */
    run_store(fixture, 2000, false);
    ck_assert_uint_eq(store_watch_outage_state(&fixture->watch).since_return_ms, 0);
    free_fixture(fixture);
}
END_TEST

START_TEST(leaving_backend_gets_no_requests_during_grace)
{
    outage_fixture_t *fixture = new_fixture();
    run_store(fixture, OUTAGE_MS, false);
    run_store(fixture, RETURN_MS, true);
    deliver_backends(fixture, 0, 2, true);
    ck_assert(is_usable(fixture, 0) && is_usable(fixture, 1));
    const store_item_t back = {
        .name = backend_id(0), .revision = ++fixture->revision, .body = STR(LEAVING)};
    const store_answer_t answer = {
        .outcome = STORE_OK, .items = &back, .item_count = 1, .at = fixture->revision};
    while (fixture->cbs[VIEW_BACKENDS] == NULL)
        advance_ms(fixture, TICK_MS);
    answer_call(fixture, VIEW_BACKENDS, &answer);
    ck_assert(!is_usable(fixture, 0) && is_usable(fixture, 1));
    free_fixture(fixture);
}
END_TEST

/* The watch history is gone, and the following list lacks an entry. */
START_TEST(entry_missing_from_a_list_is_removed_immediately)
{
    outage_fixture_t *fixture = new_fixture();
    const store_answer_t forgotten = {.outcome = STORE_HISTORY_GONE};
    while (fixture->cbs[VIEW_BACKENDS] == NULL)
        advance_ms(fixture, TICK_MS);
    answer_call(fixture, VIEW_BACKENDS, &forgotten);
    ck_assert(fixture->watch.kinds[VIEW_BACKENDS].state == WATCH_LISTING);
    deliver_backends(fixture, 1, BACKENDS - 1, false);
    ck_assert(!is_usable(fixture, 0));
    ck_assert(is_usable(fixture, 1));
    free_fixture(fixture);
}
END_TEST

/* The store fails for this instance only, so no entry expires. */
START_TEST(store_failing_for_one_instance_grants_no_grace)
{
    outage_fixture_t *fixture = new_fixture();
    add_peer(fixture, false, 100);
    run_store(fixture, OUTAGE_MS, false);
    run_store(fixture, RETURN_MS, true);
    ck_assert(store_watch_outage_state(&fixture->watch).since_return_ms == REMOVAL_NEVER);
    deliver_backends(fixture, 0, 1, true);
    ck_assert(!is_usable(fixture, 0));
    free_fixture(fixture);
}
END_TEST

/* Without a store failure, no entry can have expired, however many are removed. */
START_TEST(mass_removal_without_failure_is_immediate)
{
    outage_fixture_t *fixture = new_fixture();
    deliver_backends(fixture, 0, BACKENDS, true);
    for (size_t i = 0; i < BACKENDS; i++)
        ck_assert(!is_usable(fixture, i));
    free_fixture(fixture);
}
END_TEST

/* The failure, here or at a peer, is too short to count as an outage. */
START_TEST(mass_removal_near_a_failure_gets_grace)
{
    for (int by_peer = 0; by_peer < 2; by_peer++) {
        outage_fixture_t *fixture = new_fixture();
        add_peer(fixture, by_peer, 100);
        run_store(fixture, TICK_MS, by_peer);
        run_store(fixture, RETURN_MS, true);
        ck_assert(store_watch_outage_state(&fixture->watch).since_return_ms == REMOVAL_NEVER);
        deliver_backends(fixture, 0, BACKENDS, true);
        advance_ms(fixture, MASS_LOSS_MS - 1);
        ck_assert(is_usable(fixture, 0));
        advance_ms(fixture, 1);
        ck_assert(!is_usable(fixture, 0));
        free_fixture(fixture);
    }
}
END_TEST

/* Most instances of a large fleet never call the store; they learn of the outage and its end from
 * those that do. */
START_TEST(outage_is_detected_without_own_store_calls)
{
    static const char *const addrs[] = {"10.0.0.3:1", "10.0.0.4:1", "10.0.0.5:1", "10.0.0.6:1"};
    static const char *const names[] = {"a-0-1", "a-0-2", "a-0-3", "a-0-4"};
    enum { WITNESSES = ALEN(names), HALF_MS = TICK_MS / 2 };
    outage_fixture_t *fixture = new_fixture();
    run_store_with_watchers(fixture, 2 * FALLBACK_MS, true);
    ck_assert(!fixture->watch.watching);
    add_instance(fixture, "10.0.0.7:1", "a-0-5", false, STORE_AGE_NONE);
    add_instance(fixture, "10.0.0.8:1", "a-0-6", false, STORE_AGE_NONE);
    for (size_t i = 0; i < WITNESSES; i++)
        add_instance(fixture, addrs[i], names[i], i < WITNESSES - 1, STORE_AGE_NONE);
    advance_ms(fixture, HALF_MS);
    ck_assert(store_watch_outage_state(&fixture->watch).since_return_ms == REMOVAL_NEVER);
    add_instance(fixture, addrs[WITNESSES - 1], names[WITNESSES - 1], true, STORE_AGE_NONE);
    advance_ms(fixture, HALF_MS);
    ck_assert(!fixture->watch.watching);
    ck_assert_uint_eq(store_watch_outage_state(&fixture->watch).since_return_ms, 0);
    add_instance(fixture, addrs[0], names[0], false, 0);
    advance_ms(fixture, HALF_MS);
    advance_ms(fixture, HALF_MS);
    ck_assert_uint_eq(store_watch_outage_state(&fixture->watch).since_return_ms, HALF_MS);
    free_fixture(fixture);
}
END_TEST

/* An instance that counts as failing gets whole views of any size from its peers, so the state must
 * end. */
START_TEST(recovery_is_detected_without_watching)
{
    enum { LOOK_MS = 4000 };
    outage_fixture_t *fixture = new_fixture();
    run_store(fixture, OUTAGE_MS, false);
    run_store_with_watchers(fixture, OUTAGE_MS, false);
    ck_assert(store_watch_is_failing(&fixture->watch));
    ck_assert(!fixture->watch.watching);
    run_store_with_watchers(fixture, LOOK_MS, true);
    ck_assert(!store_watch_is_failing(&fixture->watch));
    free_fixture(fixture);
}
END_TEST

/* Calls for the configuration fail, while the backend list is served. */
START_TEST(failure_of_one_kind_is_no_outage)
{
    static const store_outcome_t outcomes[] = {STORE_UNUSABLE, STORE_FAILED};
    outage_fixture_t *fixture = new_fixture();
    const store_answer_t failure = {.outcome = outcomes[_i]};
    while (fixture->cbs[VIEW_BACKENDS] == NULL || fixture->cbs[VIEW_CLOSURES] == NULL)
        advance_ms(fixture, TICK_MS);
    for (int i = 0; i < 8; i++) {
        advance_ms(fixture, TICK_MS);
        answer_call(fixture, VIEW_CONFIG, &failure);
    }
    deliver_backends(fixture, 0, 1, true);
    ck_assert(!is_usable(fixture, 0));
    free_fixture(fixture);
}
END_TEST

/* The peer was suspended during the outage and has not failed yet. */
START_TEST(peer_with_old_answer_does_not_end_the_outage)
{
    outage_fixture_t *fixture = new_fixture();
    add_peer(fixture, true, OUTAGE_MS);
    run_store(fixture, OUTAGE_MS, false);
    add_peer(fixture, false, 5000);
    run_store(fixture, 3000, false);
    run_store(fixture, 400, true);
    deliver_backends(fixture, 0, 1, true);
    ck_assert(is_usable(fixture, 0));
    free_fixture(fixture);
}
END_TEST

START_TEST(store_answer_age_includes_suspension)
{
    enum { SUSPENDED_MS = 6000 };
    outage_fixture_t *fixture = new_fixture();
    run_store(fixture, 1000, true);
    const uint32_t age_ms = store_watch_age_ms(&fixture->watch);
    ck_assert_uint_lt(age_ms, SUSPENDED_MS);
    loop_time_suspend(SUSPENDED_MS);
    ck_assert_uint_ge(store_watch_age_ms(&fixture->watch), age_ms + SUSPENDED_MS);
    free_fixture(fixture);
}
END_TEST

START_TEST(outage_grace_includes_suspension)
{
    outage_fixture_t *fixture = new_fixture();
    run_store(fixture, 5000, false);
    run_store(fixture, 400, true);
    deliver_backends(fixture, 0, 1, true);
    ck_assert(is_usable(fixture, 0)); /* within the grace, as the entry may be listed again */
    loop_time_suspend(6000);
    catalog_tick(&fixture->catalog);
    ck_assert(!is_usable(fixture, 0));
    free_fixture(fixture);
}
END_TEST

Suite *
suite_gateway_outage(void)
{
    Suite *suite = suite_create("gateway: outage");
    TCase *tests = tcase_create("outage");
    tcase_add_test(tests, store_answer_age_includes_suspension);
    tcase_add_test(tests, outage_grace_includes_suspension);
    tcase_add_test(tests, removal_well_after_outage_is_immediate);
    tcase_add_test(tests, outage_grace_ends_at_the_same_time_for_all);
    tcase_add_test(tests, second_removal_gets_no_second_grace);
    tcase_add_test(tests, second_outage_starts_a_new_grace);
    tcase_add_test(tests, outage_ends_when_store_serves_a_peer);
    tcase_add_test(tests, outage_ends_with_change_from_a_peer);
    tcase_add_test(tests, stalled_call_does_not_restart_the_outage);
    tcase_add_test(tests, leaving_backend_gets_no_requests_during_grace);
    tcase_add_test(tests, entry_missing_from_a_list_is_removed_immediately);
    tcase_add_test(tests, store_failing_for_one_instance_grants_no_grace);
    tcase_add_test(tests, mass_removal_without_failure_is_immediate);
    tcase_add_test(tests, mass_removal_near_a_failure_gets_grace);
    tcase_add_test(tests, outage_is_detected_without_own_store_calls);
    tcase_add_test(tests, recovery_is_detected_without_watching);
    tcase_add_loop_test(tests, failure_of_one_kind_is_no_outage, 0, 2);
    tcase_add_test(tests, peer_with_old_answer_does_not_end_the_outage);
    suite_add_tcase(suite, tests);
    return suite;
}
