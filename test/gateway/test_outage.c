/* Entries of backend servers that go during an outage of the store, and after it. */
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
    MASS_LOSS_MS = 1400, /* removal.c's */
    GRACE_MS = 2200,     /* removal.c's */
    RETURN_MS = 1000,    /* the store is tried again, and answers */
    /* The platform's figure, in which backend servers that live are listed again. */
    BACK_WITHIN_MS = 2000,
    FALLBACK_MS = 3000, /* store_watch.c's */
};

/* The entry of a backend server that says it is leaving. */
#define LEAVING "leaving"

/* A store whose calls the test answers, the state that is kept of it, and time that stands still
 * while nothing is done. */
typedef struct {
    uv_loop_t loop;
    store_port_t port;
    store_cb_t cbs[VIEW_WATCHED]; /* NULL if no call of the kind is under way */
    void *cb_ctxs[VIEW_WATCHED];
    uint64_t revision;
    topology_t topology;
    members_t members;
    views_t views;
    store_watch_t watch;
    catalog_t catalog;
} rig_t;

static bool
decode_backend(str_t name, str_t body, backend_info_t *out, err_t *err)
{
    (void)err;
    *out = (backend_info_t){.capacity = 4, .leaving = str_eq(body, STR(LEAVING))};
    return name_set(&out->id, name) && name_set(&out->service, STR("svc")) &&
           name_set(&out->hall, STR("a1"));
}

static void
on_list_call(void *ctx, view_kind_t kind, str_t after, store_cb_t cb, void *cb_ctx)
{
    (void)after;
    rig_t *rig = ctx;
    rig->cbs[kind] = cb;
    rig->cb_ctxs[kind] = cb_ctx;
}

static void
on_watch_call(void *ctx, view_kind_t kind, uint64_t from, uint32_t wait_ms, store_cb_t cb,
              void *cb_ctx)
{
    (void)from;
    (void)wait_ms;
    on_list_call(ctx, kind, STR(""), cb, cb_ctx);
}

static void
on_view_change(void *ctx, view_kind_t kind)
{
    rig_t *rig = ctx;
    store_watch_view_changed(&rig->watch);
    if (kind == VIEW_BACKENDS)
        catalog_apply_backends(&rig->catalog, &rig->views.items[kind],
                               store_watch_outage_state(&rig->watch));
}

static void
on_delta(void *ctx, const view_delta_t *delta)
{
    (void)ctx;
    (void)delta;
}

/* Answers the call of a kind that is under way, if there is one. */
static void
answer_call(rig_t *rig, view_kind_t kind, const store_answer_t *answer)
{
    const store_cb_t cb = rig->cbs[kind];
    rig->cbs[kind] = NULL;
    if (cb != NULL)
        cb(rig->cb_ctxs[kind], answer);
}

static void
pass_ms(rig_t *rig, uint64_t ms)
{
    rig->loop.time += ms;
    store_watch_tick(&rig->watch);
    catalog_tick(&rig->catalog);
}

/* Lets time go by; the store answers all calls, or fails them. */
static void
go_by(rig_t *rig, uint64_t ms, bool serves)
{
    const store_answer_t nothing_new = {.outcome = STORE_OK, .at = rig->revision};
    const store_answer_t failure = {.outcome = STORE_FAILED};
    for (uint64_t passed = 0; passed < ms; passed += TICK_MS) {
        pass_ms(rig, ms - passed < TICK_MS ? ms - passed : TICK_MS);
        for (view_kind_t kind = 0; kind < VIEW_WATCHED; kind++)
            answer_call(rig, kind, serves ? &nothing_new : &failure);
    }
}

static str_t
id_of(size_t index)
{
    static const char *const ids[BACKENDS] = {"i-0", "i-1", "i-2", "i-3"};
    return str_from(ids[index]);
}

/* The store tells that entries have come or gone; the watch of the list rests until then. */
static void
tell(rig_t *rig, size_t first, size_t count, bool gone)
{
    store_item_t items[BACKENDS];
    rig->revision++;
    for (size_t i = 0; i < count; i++)
        items[i] = (store_item_t){
            .name = id_of(first + i), .revision = rig->revision, .gone = gone, .body = STR("b")};
    const store_answer_t answer = {
        .outcome = STORE_OK, .items = items, .item_count = count, .at = rig->revision};
    while (rig->cbs[VIEW_BACKENDS] == NULL)
        pass_ms(rig, TICK_MS);
    answer_call(rig, VIEW_BACKENDS, &answer);
}

static bool
is_usable(const rig_t *rig, size_t index)
{
    const backend_t *backend = backends_find(&rig->catalog.backends, id_of(index));
    return backend != NULL && backend_is_usable(backend, loop_now(&rig->loop));
}

/* An instance that knows all backend servers and watches the store. */
static rig_t *
new_rig(void)
{
    static const decoder_port_t decoder = {.backend = decode_backend};
    rig_t *rig = xcalloc(1, sizeof(*rig));
    uv_loop_init(&rig->loop);
    rig->loop.time = START_MS;
    rig->port = (store_port_t){.list = on_list_call, .watch = on_watch_call, .ctx = rig};
    rig->topology = three_regions();
    rig->views.on_change = on_view_change;
    rig->views.ctx = rig;
    catalog_init(&rig->catalog, &rig->loop, &rig->topology, &decoder);
    const store_watch_conf_t conf = {
        .loop = &rig->loop,
        .store = &rig->port,
        .members = &rig->members,
        .views = &rig->views,
        .instance = STR("a-1"),
        .on_delta = on_delta,
        .ctx = rig,
    };
    store_watch_init(&rig->watch, &conf);
    pass_ms(rig, 1000);
    tell(rig, 0, BACKENDS, false);
    go_by(rig, 1000, true);
    return rig;
}

/* An instance of that name, heard just now. */
static member_t *
hear_instance(rig_t *rig, const char *addr_text, const char *name, bool failing,
              uint32_t store_age_ms)
{
    addr_t addr;
    ck_assert(addr_parse(str_from(addr_text), &addr));
    member_t *peer = members_at(&rig->members, &addr);
    peer->heard = true;
    peer->region = rig->watch.conf.region;
    peer->heard_ms = uv_now(&rig->loop);
    peer->interval_ms = OUTAGE_MS; /* it lives for long */
    peer->store_failing = failing;
    peer->store_age_ms = store_age_ms;
    name_set(&peer->instance, str_from(name));
    return peer;
}

/* Another instance, heard just now. */
static member_t *
hear_peer(rig_t *rig, bool failing, uint32_t store_age_ms)
{
    return hear_instance(rig, "10.0.0.1:1", "a-2", failing, store_age_ms);
}

/* Lets time go by in which two others, before this instance in the order of the names, watch the
 * store and are served. */
static void
go_by_beside_watchers(rig_t *rig, uint64_t ms, bool serves)
{
    for (uint64_t passed = 0; passed < ms; passed += TICK_MS) {
        hear_instance(rig, "10.0.0.3:1", "a-0-1", false, 100);
        hear_instance(rig, "10.0.0.4:1", "a-0-2", false, 100);
        go_by(rig, TICK_MS, serves);
    }
}

static void
free_rig(rig_t *rig)
{
    backends_free(&rig->catalog.backends);
    for (view_kind_t kind = 0; kind < VIEW_WATCHED; kind++)
        view_free(&rig->views.items[kind]);
    members_free(&rig->members);
    free(rig);
}

/* The store is away, entries lapse, and all are back within the platform's time of its return. */
static void
have_outage(rig_t *rig)
{
    go_by(rig, OUTAGE_MS, false);
    go_by(rig, RETURN_MS, true);
    tell(rig, 0, BACKENDS, true);
    go_by(rig, BACK_WITHIN_MS - RETURN_MS, true);
    for (size_t i = 0; i < BACKENDS; i++)
        ck_assert(is_usable(rig, i));
    tell(rig, 0, BACKENDS, false);
}

START_TEST(an_entry_that_goes_well_after_an_outage_is_gone_at_once)
{
    rig_t *rig = new_rig();
    have_outage(rig);
    go_by(rig, 1000, true);
    tell(rig, 0, 1, true);
    ck_assert(!is_usable(rig, 0));
    ck_assert(is_usable(rig, 1));
    free_rig(rig);
}
END_TEST

/* Each that lapsed is used up to the same moment, however late that is told. */
START_TEST(the_grace_of_an_outage_ends_once_for_all)
{
    rig_t *rig = new_rig();
    go_by(rig, OUTAGE_MS, false);
    go_by(rig, RETURN_MS, true);
    const uint64_t return_ms = rig->watch.recovered_ms;
    ck_assert_uint_gt(return_ms, 0);
    tell(rig, 0, 1, true);
    go_by(rig, 600, true);
    tell(rig, 1, 1, true);
    go_by(rig, return_ms + GRACE_MS - 1 - uv_now(&rig->loop), true);
    ck_assert(is_usable(rig, 0) && is_usable(rig, 1));
    pass_ms(rig, 1);
    ck_assert(!is_usable(rig, 0) && !is_usable(rig, 1));
    ck_assert(is_usable(rig, 2));
    free_rig(rig);
}
END_TEST

/* An entry that was gone, is listed again and goes once more gets no second grace. */
START_TEST(an_entry_that_goes_twice_gets_no_second_grace)
{
    rig_t *rig = new_rig();
    go_by(rig, OUTAGE_MS, false);
    go_by(rig, RETURN_MS, true);
    tell(rig, 0, 1, true);
    tell(rig, 0, 1, false);
    go_by(rig, 600, true);
    tell(rig, 0, 1, true);
    ck_assert(is_usable(rig, 0));
    pass_ms(rig, rig->watch.recovered_ms + GRACE_MS - uv_now(&rig->loop));
    ck_assert(!is_usable(rig, 0));
    free_rig(rig);
}
END_TEST

START_TEST(a_second_outage_grants_its_own_time)
{
    rig_t *rig = new_rig();
    have_outage(rig);
    const uint64_t first_ms = rig->watch.recovered_ms;
    go_by(rig, 1200, false);
    ck_assert_uint_eq(store_watch_outage_state(&rig->watch).since_return_ms, 0);
    go_by(rig, RETURN_MS, true);
    ck_assert_uint_gt(rig->watch.recovered_ms, first_ms);
    tell(rig, 0, 1, true);
    ck_assert(is_usable(rig, 0));
    pass_ms(rig, GRACE_MS);
    ck_assert(!is_usable(rig, 0));
    free_rig(rig);
}
END_TEST

/* This instance's calls fail on; a peer is served again. */
START_TEST(a_peer_that_is_served_ends_the_outage)
{
    rig_t *rig = new_rig();
    hear_peer(rig, true, OUTAGE_MS);
    go_by(rig, OUTAGE_MS, false);
    ck_assert_uint_eq(store_watch_outage_state(&rig->watch).since_return_ms, 0);
    /* A restarted peer has not failed yet and has had no answer either. */
    hear_peer(rig, false, STORE_AGE_NONE);
    pass_ms(rig, TICK_MS);
    ck_assert_uint_eq(store_watch_outage_state(&rig->watch).since_return_ms, 0);
    hear_peer(rig, false, 100);
    go_by(rig, 2900, false);
    ck_assert_uint_ge(store_watch_outage_state(&rig->watch).since_return_ms, 2500);
    free_rig(rig);
}
END_TEST

/* Nothing is told but the change itself. */
START_TEST(a_peers_change_ends_the_outage)
{
    rig_t *rig = new_rig();
    hear_peer(rig, true, OUTAGE_MS);
    go_by(rig, OUTAGE_MS, false);
    view_t *view = &rig->views.items[VIEW_BACKENDS];
    const store_item_t gone = {.name = id_of(0), .revision = rig->revision + 1, .gone = true};
    ck_assert_int_eq(view_apply(view, &gone, 1, view->at, view->at + 1), VIEW_CHANGED);
    views_changed(&rig->views, VIEW_BACKENDS, "peer", 0, rig->loop.time);
    ck_assert(is_usable(rig, 0));
    pass_ms(rig, GRACE_MS / 2);
    ck_assert_uint_eq(store_watch_outage_state(&rig->watch).since_return_ms, GRACE_MS / 2);
    pass_ms(rig, GRACE_MS / 2);
    ck_assert(!is_usable(rig, 0));
    free_rig(rig);
}
END_TEST

/* A call that was begun before the first sign of the return and fails after it says nothing new. */
START_TEST(a_call_that_hung_does_not_renew_the_outage)
{
    rig_t *rig = new_rig();
    hear_peer(rig, true, OUTAGE_MS);
    go_by(rig, OUTAGE_MS, false);
    while (rig->cbs[VIEW_CONFIG] == NULL)
        pass_ms(rig, TICK_MS);
    pass_ms(rig, TICK_MS);
    store_watch_view_changed(&rig->watch);
    pass_ms(rig, 600);
    const store_answer_t failure = {.outcome = STORE_FAILED};
    answer_call(rig, VIEW_CONFIG, &failure);
    ck_assert_uint_eq(store_watch_outage_state(&rig->watch).since_return_ms, 600);
    /* One that was begun after it does. */
    go_by(rig, 2000, false);
    ck_assert_uint_eq(store_watch_outage_state(&rig->watch).since_return_ms, 0);
    free_rig(rig);
}
END_TEST

START_TEST(one_that_says_it_leaves_gets_nothing_whatever_the_store_does)
{
    rig_t *rig = new_rig();
    go_by(rig, OUTAGE_MS, false);
    go_by(rig, RETURN_MS, true);
    tell(rig, 0, 2, true);
    ck_assert(is_usable(rig, 0) && is_usable(rig, 1));
    const store_item_t back = {.name = id_of(0), .revision = ++rig->revision, .body = STR(LEAVING)};
    const store_answer_t answer = {
        .outcome = STORE_OK, .items = &back, .item_count = 1, .at = rig->revision};
    while (rig->cbs[VIEW_BACKENDS] == NULL)
        pass_ms(rig, TICK_MS);
    answer_call(rig, VIEW_BACKENDS, &answer);
    ck_assert(!is_usable(rig, 0) && is_usable(rig, 1));
    free_rig(rig);
}
END_TEST

/* The watch ended with the history, and the list that follows lacks an entry. */
START_TEST(an_entry_that_a_list_lacks_is_gone_at_once)
{
    rig_t *rig = new_rig();
    const store_answer_t forgotten = {.outcome = STORE_HISTORY_GONE};
    while (rig->cbs[VIEW_BACKENDS] == NULL)
        pass_ms(rig, TICK_MS);
    answer_call(rig, VIEW_BACKENDS, &forgotten);
    ck_assert(rig->watch.kinds[VIEW_BACKENDS].state == WATCH_LISTING);
    tell(rig, 1, BACKENDS - 1, false);
    ck_assert(!is_usable(rig, 0));
    ck_assert(is_usable(rig, 1));
    free_rig(rig);
}
END_TEST

/* The store fails this instance alone: that is no outage, and nothing lapses. */
START_TEST(a_store_that_refuses_some_grants_nothing)
{
    rig_t *rig = new_rig();
    hear_peer(rig, false, 100);
    go_by(rig, OUTAGE_MS, false);
    go_by(rig, RETURN_MS, true);
    ck_assert(store_watch_outage_state(&rig->watch).since_return_ms == REMOVAL_NEVER);
    tell(rig, 0, 1, true);
    ck_assert(!is_usable(rig, 0));
    free_rig(rig);
}
END_TEST

/* The store has answered all along: nothing can have lapsed, however much goes together. */
START_TEST(many_entries_that_go_in_a_calm_time_are_gone_at_once)
{
    rig_t *rig = new_rig();
    tell(rig, 0, BACKENDS, true);
    for (size_t i = 0; i < BACKENDS; i++)
        ck_assert(!is_usable(rig, i));
    free_rig(rig);
}
END_TEST

/* The outage is too short to be known for one, here or by the peer that was failed. */
START_TEST(many_entries_that_go_near_a_failure_are_used_for_a_while)
{
    for (int by_peer = 0; by_peer < 2; by_peer++) {
        rig_t *rig = new_rig();
        hear_peer(rig, by_peer, 100);
        go_by(rig, TICK_MS, by_peer);
        go_by(rig, RETURN_MS, true);
        ck_assert(store_watch_outage_state(&rig->watch).since_return_ms == REMOVAL_NEVER);
        tell(rig, 0, BACKENDS, true);
        pass_ms(rig, MASS_LOSS_MS - 1);
        ck_assert(is_usable(rig, 0));
        pass_ms(rig, 1);
        ck_assert(!is_usable(rig, 0));
        free_rig(rig);
    }
}
END_TEST

/* Most instances of a large fleet never call the store: they hear of its outage from those that do,
 * and of its return. */
START_TEST(an_outage_is_known_to_who_does_not_call_the_store)
{
    static const char *const addrs[] = {"10.0.0.3:1", "10.0.0.4:1", "10.0.0.5:1", "10.0.0.6:1"};
    static const char *const names[] = {"a-0-1", "a-0-2", "a-0-3", "a-0-4"};
    enum { WITNESSES = ALEN(names), HALF_MS = TICK_MS / 2 };
    rig_t *rig = new_rig();
    go_by_beside_watchers(rig, 2 * FALLBACK_MS, true);
    ck_assert(!rig->watch.watching);
    hear_instance(rig, "10.0.0.7:1", "a-0-5", false, STORE_AGE_NONE);
    hear_instance(rig, "10.0.0.8:1", "a-0-6", false, STORE_AGE_NONE);
    for (size_t i = 0; i < WITNESSES; i++)
        hear_instance(rig, addrs[i], names[i], i < WITNESSES - 1, STORE_AGE_NONE);
    pass_ms(rig, HALF_MS);
    ck_assert(store_watch_outage_state(&rig->watch).since_return_ms == REMOVAL_NEVER);
    hear_instance(rig, addrs[WITNESSES - 1], names[WITNESSES - 1], true, STORE_AGE_NONE);
    pass_ms(rig, HALF_MS);
    ck_assert(!rig->watch.watching);
    ck_assert_uint_eq(store_watch_outage_state(&rig->watch).since_return_ms, 0);
    hear_instance(rig, addrs[0], names[0], false, 0);
    pass_ms(rig, HALF_MS);
    pass_ms(rig, HALF_MS);
    ck_assert_uint_eq(store_watch_outage_state(&rig->watch).since_return_ms, HALF_MS);
    free_rig(rig);
}
END_TEST

/* Peers send an instance that the store fails whole views, however large. */
START_TEST(an_instance_that_does_not_watch_notices_the_return)
{
    enum { LOOK_MS = 4000 };
    rig_t *rig = new_rig();
    go_by(rig, OUTAGE_MS, false);
    go_by_beside_watchers(rig, OUTAGE_MS, false);
    ck_assert(store_watch_is_failing(&rig->watch));
    ck_assert(!rig->watch.watching);
    go_by_beside_watchers(rig, LOOK_MS, true);
    ck_assert(!store_watch_is_failing(&rig->watch));
    free_rig(rig);
}
END_TEST

/* The configuration alone gets no answers or ones of no use; the list of backends is served. */
START_TEST(one_kind_that_fails_is_no_outage)
{
    static const store_outcome_t outcomes[] = {STORE_UNUSABLE, STORE_FAILED};
    rig_t *rig = new_rig();
    const store_answer_t failure = {.outcome = outcomes[_i]};
    while (rig->cbs[VIEW_BACKENDS] == NULL || rig->cbs[VIEW_CLOSURES] == NULL)
        pass_ms(rig, TICK_MS);
    for (int i = 0; i < 8; i++) {
        pass_ms(rig, TICK_MS);
        answer_call(rig, VIEW_CONFIG, &failure);
    }
    tell(rig, 0, 1, true);
    ck_assert(!is_usable(rig, 0));
    free_rig(rig);
}
END_TEST

/* It stood still during the outage and has not failed yet. */
START_TEST(a_peer_with_an_old_answer_does_not_end_the_outage)
{
    rig_t *rig = new_rig();
    hear_peer(rig, true, OUTAGE_MS);
    go_by(rig, OUTAGE_MS, false);
    hear_peer(rig, false, 5000);
    go_by(rig, 3000, false);
    go_by(rig, 400, true);
    tell(rig, 0, 1, true);
    ck_assert(is_usable(rig, 0));
    free_rig(rig);
}
END_TEST

START_TEST(the_age_of_the_stores_answer_counts_a_suspension)
{
    enum { SUSPENDED_MS = 6000 };
    rig_t *rig = new_rig();
    go_by(rig, 1000, true);
    const uint32_t age_ms = store_watch_age_ms(&rig->watch);
    ck_assert_uint_lt(age_ms, SUSPENDED_MS);
    loop_time_suspend(SUSPENDED_MS);
    ck_assert_uint_ge(store_watch_age_ms(&rig->watch), age_ms + SUSPENDED_MS);
    free_rig(rig);
}
END_TEST

START_TEST(what_is_missing_after_an_outage_goes_by_the_time_that_passed)
{
    rig_t *rig = new_rig();
    go_by(rig, 5000, false);
    go_by(rig, 400, true);
    tell(rig, 0, 1, true);
    ck_assert(is_usable(rig, 0)); /* for a moment, as its entry may come back */
    loop_time_suspend(6000);
    catalog_tick(&rig->catalog);
    ck_assert(!is_usable(rig, 0));
    free_rig(rig);
}
END_TEST

Suite *
suite_gateway_outage(void)
{
    Suite *suite = suite_create("gateway: outage");
    TCase *tests = tcase_create("outage");
    tcase_add_test(tests, the_age_of_the_stores_answer_counts_a_suspension);
    tcase_add_test(tests, what_is_missing_after_an_outage_goes_by_the_time_that_passed);
    tcase_add_test(tests, an_entry_that_goes_well_after_an_outage_is_gone_at_once);
    tcase_add_test(tests, the_grace_of_an_outage_ends_once_for_all);
    tcase_add_test(tests, an_entry_that_goes_twice_gets_no_second_grace);
    tcase_add_test(tests, a_second_outage_grants_its_own_time);
    tcase_add_test(tests, a_peer_that_is_served_ends_the_outage);
    tcase_add_test(tests, a_peers_change_ends_the_outage);
    tcase_add_test(tests, a_call_that_hung_does_not_renew_the_outage);
    tcase_add_test(tests, one_that_says_it_leaves_gets_nothing_whatever_the_store_does);
    tcase_add_test(tests, an_entry_that_a_list_lacks_is_gone_at_once);
    tcase_add_test(tests, a_store_that_refuses_some_grants_nothing);
    tcase_add_test(tests, many_entries_that_go_in_a_calm_time_are_gone_at_once);
    tcase_add_test(tests, many_entries_that_go_near_a_failure_are_used_for_a_while);
    tcase_add_test(tests, an_outage_is_known_to_who_does_not_call_the_store);
    tcase_add_test(tests, an_instance_that_does_not_watch_notices_the_return);
    tcase_add_loop_test(tests, one_kind_that_fails_is_no_outage, 0, 2);
    tcase_add_test(tests, a_peer_with_an_old_answer_does_not_end_the_outage);
    suite_add_tcase(suite, tests);
    return suite;
}
