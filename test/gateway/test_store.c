/* A gateway and a stand-in of the store: changes, removals, trouble. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "test/gateway/site.h"
#include "test/suites.h"
#include "wire/fetch.h"

START_TEST(a_change_of_configuration_comes_into_force)
{
    site_t *site = new_ready_site(1);
    ck_assert_int_eq(ask(site, "GET", "/new/x").status, 404);
    put_config(site, "/new/");
    RUN_UNTIL(site, ask(site, "GET", "/new/x").status == 200);
    /* The history is forgotten and the watch cut: the next change comes all the same. */
    standin_store_forget(site->store);
    put_config(site, NULL);
    RUN_UNTIL(site, ask(site, "GET", "/new/x").status == 404);
}
END_TEST

/* True once a request for `path` gets that status; false if it does not in a generous time. */
static bool
gets(site_t *site, const char *path, int status)
{
    const uint64_t until_ms = uv_now(&site->loop) + PATIENCE_MS;
    while (ask(site, "GET", path).status != status) {
        if (uv_now(&site->loop) > until_ms)
            return false;
    }
    return true;
}

/* As many routes as an object of the store holds (1 MiB). */
START_TEST(a_configuration_of_many_routes_comes_into_force)
{
    site_t *site = new_ready_site(1);
    ck_assert_int_eq(ask(site, "GET", "/many/5999/x").status, 404);
    site->extra_routes = 6000;
    put_config(site, NULL);
    ck_assert(gets(site, "/many/5999/x", 200));
    ck_assert_int_eq(ask(site, "GET", "/many/0/x").status, 200);
}
END_TEST

START_TEST(a_broken_configuration_changes_nothing)
{
    site_t *site = new_ready_site(1);
    standin_store_put(site->store, "config", "main", json_pack("{s:{s:{}}}", "routes", "r"), NULL);
    put_backend(site, &site->backends[0], "ready");
    for (int i = 0; i < 5; i++)
        ck_assert_int_eq(ask(site, "GET", "/safe/x").status, 200);
    put_config(site, "/new/");
    RUN_UNTIL(site, ask(site, "GET", "/new/x").status == 200);
}
END_TEST

START_TEST(leaving_gone_and_closed_backends_get_nothing)
{
    site_t *site = new_ready_site(2);
    put_backend(site, &site->backends[0], "draining");
    put_backend(site, &site->backends[1], "draining");
    RUN_UNTIL(site, ask(site, "GET", "/safe/x").status == 503);
    put_backend(site, &site->backends[1], "ready");
    RUN_UNTIL(site, ask(site, "GET", "/safe/x").status == 200);
    standin_store_remove(site->store, "servers", "i-0");
    standin_store_put(site->store, "evacuations", "a1", json_object(), NULL);
    RUN_UNTIL(site, ask(site, "GET", "/safe/x").status == 503);
    const size_t before = total_runs(site);
    for (int i = 0; i < 5; i++)
        ck_assert_int_eq(ask(site, "POST", "/once/x").status, 503);
    ck_assert_uint_eq(total_runs(site), before);
    /* Taken back: cold for a while, then served again. */
    standin_store_remove(site->store, "evacuations", "a1");
    ck_assert(gets(site, "/safe/x", 200)); /* asked once: the next one would be paced */
}
END_TEST

START_TEST(lists_come_in_pages)
{
    site_t *site = new_site(3);
    standin_store_set_page(site->store, 2);
    use_gateway(site, start_gateway(site, "g-1", &site->store_port, NULL));
    RUN_UNTIL(site, is_ready(site));
    put_backend(site, &site->backends[0], "draining");
    put_backend(site, &site->backends[1], "draining");
    const size_t before = site->backends[2].runs;
    RUN_UNTIL(site, (ask(site, "GET", "/safe/x"), site->backends[2].runs > before));
}
END_TEST

START_TEST(a_store_in_trouble_changes_nothing)
{
    static const standin_store_mode_t modes[] = {STANDIN_STORE_BUSY, STANDIN_STORE_MANY,
                                                 STANDIN_STORE_RESETS, STANDIN_STORE_GARBLES,
                                                 STANDIN_STORE_SILENT};
    site_t *site = new_ready_site(1);
    for (size_t i = 0; i < ALEN(modes); i++) {
        char prefix[16];
        standin_store_set_mode(site->store, modes[i]);
        const uint64_t calls = standin_store_calls(site->store);
        RUN_UNTIL(site, standin_store_calls(site->store) > calls);
        ck_assert_int_eq(ask(site, "GET", "/safe/x").status, 200);
        standin_store_set_mode(site->store, STANDIN_STORE_SERVES);
        snprintf(prefix, sizeof(prefix), "/new%zu/", i);
        put_config(site, prefix);
        RUN_UNTIL(site, ask(site, "GET", prefix).status == 200);
    }
}
END_TEST

/* Nothing happens for that long. */
static void
wait_ms(site_t *site, uint64_t ms)
{
    const uint64_t until_ms = uv_now(&site->loop) + ms;
    RUN_UNTIL(site, uv_now(&site->loop) >= until_ms);
}

START_TEST(a_backend_that_leaves_after_an_outage_gets_nothing)
{
    /* Of the removal; with the grace of an outage it takes 2,200 ms. */
    enum { GONE_WITHIN_MS = 1500 };
    site_t *site = new_ready_site(1);
    standin_store_set_mode(site->store, STANDIN_STORE_BUSY);
    const uint64_t calls = standin_store_calls(site->store);
    RUN_UNTIL(site, standin_store_calls(site->store) >= calls + 4);
    standin_store_remove(site->store, "servers", "i-0");
    standin_store_set_mode(site->store, STANDIN_STORE_SERVES);
    wait_ms(site, 1000);
    ck_assert_int_eq(ask(site, "GET", "/safe/x").status, 200);
    put_backend(site, &site->backends[0], "ready");
    wait_ms(site, 2300);
    ck_assert_int_eq(ask(site, "GET", "/safe/x").status, 200);
    standin_store_remove(site->store, "servers", "i-0");
    const uint64_t removed_ms = uv_now(&site->loop);
    RUN_UNTIL(site, ask(site, "GET", "/safe/x").status == 503);
    ck_assert_uint_le(uv_now(&site->loop) - removed_ms, GONE_WITHIN_MS);
}
END_TEST

enum {
    /* 40 kB a second: the configuration below takes some 2.5 s. */
    PIECE = 4096,
    PIECE_PAUSE_MS = 100,
    MANY_ROUTES = 500,
};

/* Asks until the answer has that status; false after PATIENCE_MS. */
static bool
comes_to_answer(site_t *site, const char *path, int status)
{
    const uint64_t until_ms = uv_now(&site->loop) + PATIENCE_MS;
    while (uv_now(&site->loop) < until_ms) {
        if (ask(site, "GET", path).status == status)
            return true;
    }
    return false;
}

static bool
comes_into_force(site_t *site, const char *path)
{
    return comes_to_answer(site, path, 200);
}

/* The store is out, and the instance has noticed. */
static void
begin_outage(site_t *site)
{
    const uint64_t calls = standin_store_calls(site->store);
    standin_store_set_mode(site->store, STANDIN_STORE_BUSY);
    RUN_UNTIL(site, standin_store_calls(site->store) > calls + 2);
}

START_TEST(a_slow_answer_is_read_to_its_end)
{
    site_t *site = new_site(1);
    standin_store_set_pace(site->store, PIECE, PIECE_PAUSE_MS);
    site->extra_routes = MANY_ROUTES;
    put_config(site, NULL);
    use_gateway(site, start_gateway(site, "g-1", &site->store_port, NULL));
    ck_assert(comes_into_force(site, "/safe/x"));
    /* The same with a change that was made in an outage. */
    begin_outage(site);
    put_config(site, "/new/");
    standin_store_set_mode(site->store, STANDIN_STORE_SERVES);
    ck_assert(comes_into_force(site, "/new/x"));
}
END_TEST

START_TEST(an_answer_that_stops_is_given_up)
{
    site_t *site = new_ready_site(1);
    standin_store_set_pace(site->store, PIECE, PATIENCE_MS * 10);
    site->extra_routes = MANY_ROUTES;
    put_config(site, "/new/");
    const uint64_t calls = standin_store_calls(site->store);
    RUN_UNTIL(site, standin_store_calls(site->store) > calls);
    standin_store_set_pace(site->store, 0, 0);
    ck_assert(comes_into_force(site, "/new/x"));
}
END_TEST

START_TEST(a_kind_without_an_answer_does_not_hold_up_another)
{
    static const char *const held[] = {"config", "servers", "evacuations"};
    for (size_t i = 0; i < ALEN(held); i++) {
        site_t *site = new_ready_site(1);
        begin_outage(site);
        standin_store_hold(site->store, held[i]);
        standin_store_set_mode(site->store, STANDIN_STORE_SERVES);
        if (strcmp(held[i], "servers") != 0) {
            put_backend(site, &site->backends[0], "draining");
            ck_assert(comes_to_answer(site, "/safe/x", 503));
        } else {
            put_config(site, "/new/");
            ck_assert(comes_into_force(site, "/new/x"));
        }
    }
}
END_TEST

START_TEST(versions_too_many_for_one_answer_are_passed_over)
{
    enum { VERSIONS = 60 }; /* 5 MB */
    site_t *site = new_ready_site(1);
    begin_outage(site);
    site->extra_routes = MANY_ROUTES;
    for (unsigned i = 0; i < VERSIONS; i++)
        put_config(site, "/new/");
    standin_store_set_mode(site->store, STANDIN_STORE_SERVES);
    ck_assert(comes_into_force(site, "/new/x"));
}
END_TEST

START_TEST(a_kind_whose_watch_is_rejected_is_listed)
{
    static const int statuses[] = {400, 404, 500};
    for (size_t i = 0; i < ALEN(statuses); i++) {
        site_t *site = new_ready_site(1);
        begin_outage(site);
        put_config(site, "/new/");
        standin_store_fail_watches(site->store, statuses[i]);
        standin_store_set_mode(site->store, STANDIN_STORE_SERVES);
        ck_assert(comes_into_force(site, "/new/x"));
    }
}
END_TEST

Suite *
suite_gateway_store(void)
{
    Suite *suite = suite_create("gateway: store");
    TCase *tests = tcase_create("store");
    tcase_set_timeout(tests, 120);
    tcase_add_test(tests, a_change_of_configuration_comes_into_force);
    tcase_add_test(tests, a_configuration_of_many_routes_comes_into_force);
    tcase_add_test(tests, a_broken_configuration_changes_nothing);
    tcase_add_test(tests, leaving_gone_and_closed_backends_get_nothing);
    tcase_add_test(tests, lists_come_in_pages);
    tcase_add_test(tests, a_store_in_trouble_changes_nothing);
    tcase_add_test(tests, a_backend_that_leaves_after_an_outage_gets_nothing);
    tcase_add_test(tests, a_slow_answer_is_read_to_its_end);
    tcase_add_test(tests, an_answer_that_stops_is_given_up);
    tcase_add_test(tests, a_kind_without_an_answer_does_not_hold_up_another);
    tcase_add_test(tests, versions_too_many_for_one_answer_are_passed_over);
    tcase_add_test(tests, a_kind_whose_watch_is_rejected_is_listed);
    suite_add_tcase(suite, tests);
    return suite;
}
