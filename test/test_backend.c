/* Backend servers: selection, draining and ejection. */
#include <stdio.h>
#include <stdlib.h>

#include "entry/backend/backend.h"
#include "base/mutate.h"
#include "base/xmalloc.h"
#include "test/suites.h"

enum { SERVERS = 4 };

static instances_t *
make_list(bool first_leaves)
{
    char json[1024];
    int len = snprintf(json, sizeof(json), "[");
    for (int i = 0; i < SERVERS; i++)
        len += snprintf(json + len, sizeof(json) - (size_t)len,
                        "%s{\"name\":\"b%d\",\"role\":\"backend\",\"service\":\"s\",\"region\":"
                        "\"r\",\"place\":\"p\",\"addr\":\"127.0.0.1:%d\",\"slots\":2,\"state\":"
                        "\"%s\"}",
                        i > 0 ? "," : "", i, i + 1, first_leaves && i == 0 ? "leaving" : "live");
    snprintf(json + len, sizeof(json) - (size_t)len, "]");
    err_t err = {0};
    instances_t *list = instances_parse(str_from(json), 1, &err);
    ck_assert_msg(list != NULL, "%s", err.detail);
    return list;
}

static backends_t
make_backends(void)
{
    backends_t backends = {0};
    instances_t *list = make_list(false);
    backends_update(&backends, list, STR("r"));
    instances_free(list);
    ck_assert_uint_eq(backends.count, SERVERS);
    return backends;
}

static backend_t *
choose(const backends_t *backends, uint64_t now)
{
    static rng_t rng = {.state = 5};
    uint64_t turn = 0;
    const choice_t choice = {.service = STR("s"), .place = STR("p"), .policy = POLICY_IRIS};
    return backend_choose(backends, &choice, now, &rng, &turn);
}

static void
expect_never_chosen(const backends_t *backends, const backend_t *backend, uint64_t now)
{
    for (size_t i = 0; i < 200; i++)
        ck_assert_ptr_ne(choose(backends, now), backend);
}

START_TEST(any_leaving_signal_stops_new_requests)
{
    backends_t backends = make_backends();
    backend_t *first = backends.items[0];
    instances_t *leaving = make_list(true);
    if (_i == 0)
        backends_update(&backends, leaving, STR("r"));
    else if (_i == 1)
        first->leaving_marked = true;
    else
        first->leaving_reported_ms = 1000;
    expect_never_chosen(&backends, first, 1000);
    instances_free(leaving);
}
END_TEST

START_TEST(leaving_test_detects_ignored_drain)
{
    backends_t backends = make_backends();
    backends.items[0]->leaving_marked = true;
    mutate_set(MUTATE_IGNORE_DRAIN);
    size_t chosen = 0;
    for (size_t i = 0; i < 200; i++)
        chosen += choose(&backends, 1000) == backends.items[0];
    mutate_set(MUTATE_NONE);
    ck_assert_uint_gt(chosen, 0);
}
END_TEST

/* A server with a stale status may be leaving unnoticed, so it must be probed first. */
START_TEST(stale_server_is_probed_before_use)
{
    backends_t backends = make_backends();
    backend_t *first = backends.items[0];
    const uint64_t now = 1000 + BACKEND_STATUS_TTL_MS + 1;
    backend_status_received(first, false, 1000, now); /* read late: dated by the send time */
    for (size_t i = 1; i < SERVERS; i++)
        backend_status_received(backends.items[i], false, 1001, 1001);
    expect_never_chosen(&backends, first, now);
    ck_assert(first->probe_requested);
    ck_assert_ptr_nonnull(choose(&backends, now));
    ck_assert_ptr_null(choose(&backends, now + 1));
    backend_status_received(first, false, now + 1, now + 2);
    ck_assert_ptr_eq(choose(&backends, now + 2), first);
    backend_status_received(first, true, now + 3, now + 3);
    ck_assert_ptr_null(choose(&backends, now + 3));
}
END_TEST

START_TEST(slots_limit_requests_sent)
{
    backends_t backends = make_backends();
    size_t sent = 0;
    for (backend_t *b = choose(&backends, 1000); b != NULL; b = choose(&backends, 1000)) {
        backend_started(b);
        sent++;
    }
    ck_assert_uint_eq(sent, SERVERS * 3); /* two slots and one queued request each */
    for (size_t i = 0; i < SERVERS; i++)
        ck_assert_uint_eq(backends.items[i]->outstanding, 3);
}
END_TEST

START_TEST(slow_server_gets_fewer_requests)
{
    backends_t backends = make_backends();
    for (size_t i = 0; i < SERVERS; i++)
        backend_answered(backends.items[i], i == 0 ? 100 : 20, 0, 1000);
    expect_never_chosen(&backends, backends.items[0], 1000);
    size_t later = 0;
    const uint64_t then = 1000 + 8 * BACKEND_LATENCY_DECAY_MS;
    for (size_t i = 0; i < SERVERS; i++)
        backend_status_received(backends.items[i], false, then, then);
    for (size_t i = 0; i < 200; i++) /* an old estimate decays, so the server is tried again */
        later += choose(&backends, then) == backends.items[0];
    ck_assert_uint_gt(later, 0);
}
END_TEST

START_TEST(failures_eject_until_timeout)
{
    backends_t backends = make_backends();
    backend_t *first = backends.items[0];
    for (size_t i = 0; i < BACKEND_EJECT_FAILURES; i++)
        backend_failed(first, 1000);
    ck_assert(backend_is_ejected(first, 1000));
    expect_never_chosen(&backends, first, 1000);
    ck_assert(!backend_is_ejected(first, 1000 + BACKEND_EJECT_MIN_MS));
    backend_failed(first, 3000);
    ck_assert(backend_is_ejected(first, 3000 + BACKEND_EJECT_MIN_MS));
}
END_TEST

START_TEST(ejection_is_ignored_if_all_are_ejected)
{
    backends_t backends = make_backends();
    for (size_t i = 0; i < SERVERS * BACKEND_EJECT_FAILURES; i++)
        backend_failed(backends.items[i % SERVERS], 1000);
    ck_assert_ptr_nonnull(choose(&backends, 1000));
}
END_TEST

START_TEST(reported_load_decays)
{
    backends_t backends = make_backends();
    backend_t *first = backends.items[0];
    backend_answered(first, 10, 6, 1000);
    ck_assert(backend_load(first, 1000) > 5.9);
    ck_assert(backend_load(first, 1000 + 10 * BACKEND_LOAD_DECAY_MS) < 0.01);
}
END_TEST

Suite *
suite_backend(void)
{
    Suite *suite = suite_create("backend");
    TCase *tcase = tcase_create("backend");
    tcase_add_loop_test(tcase, any_leaving_signal_stops_new_requests, 0, 3);
    tcase_add_test(tcase, leaving_test_detects_ignored_drain);
    tcase_add_test(tcase, stale_server_is_probed_before_use);
    tcase_add_test(tcase, slots_limit_requests_sent);
    tcase_add_test(tcase, slow_server_gets_fewer_requests);
    tcase_add_test(tcase, failures_eject_until_timeout);
    tcase_add_test(tcase, ejection_is_ignored_if_all_are_ejected);
    tcase_add_test(tcase, reported_load_decays);
    suite_add_tcase(suite, tcase);
    return suite;
}
