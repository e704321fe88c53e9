/* A gateway with a fake store: changes, removals, failures. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "gateway/gateway_state.h"
#include "test/gateway/site.h"
#include "test/suites.h"
#include "wire/fetch.h"

START_TEST(configuration_change_is_applied)
{
    site_t *site = new_ready_site(1);
    ck_assert_int_eq(ask(site, "GET", "/new/x").status, 404);
    put_config(site, "/new/");
    RUN_UNTIL(site, ask(site, "GET", "/new/x").status == 200);
    /* A change is applied even after the history was dropped and the watch cut. */
    standin_store_forget(site->store);
    put_config(site, NULL);
    RUN_UNTIL(site, ask(site, "GET", "/new/x").status == 404);
}
END_TEST

/* Requests `path` until it gets that status; false after PATIENCE_MS. */
static bool
wait_for_status(site_t *site, const char *path, int status)
{
    const uint64_t until_ms = uv_now(&site->loop) + PATIENCE_MS;
    while (ask(site, "GET", path).status != status) {
        if (uv_now(&site->loop) > until_ms)
            return false;
    }
    return true;
}

/* About as many routes as fit a store object (1 MiB). */
START_TEST(configuration_with_many_routes_is_applied)
{
    site_t *site = new_ready_site(1);
    ck_assert_int_eq(ask(site, "GET", "/many/5999/x").status, 404);
    site->extra_routes = 6000;
    put_config(site, NULL);
    ck_assert(wait_for_status(site, "/many/5999/x", 200));
    ck_assert_int_eq(ask(site, "GET", "/many/0/x").status, 200);
}
END_TEST

START_TEST(invalid_configuration_is_ignored)
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

START_TEST(draining_removed_and_evacuated_backends_get_no_requests)
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
    /* Reverted: cold for a while, then used again. */
    standin_store_remove(site->store, "evacuations", "a1");
    /* No RUN_UNTIL: after the first success the next request would be rate-limited. */
    ck_assert(wait_for_status(site, "/safe/x", 200));
}
END_TEST

START_TEST(paged_lists_are_read_completely)
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

/* A list goes on after the last name of a page, which may be any text. */
START_TEST(list_continues_after_any_name)
{
    char long_name[400];
    memset(long_name, 'b', sizeof(long_name));
    long_name[sizeof(long_name) - 1] = '\0';
    const char *const names[] = {"a b", "a&after=z", "a\r\nX: y", "a%41#?/", "\xc3\xa9", long_name};
    for (size_t i = 0; i < ALEN(names); i++) {
        site_t *site = new_site(1); /* i-0 */
        standin_store_set_page(site->store, 1);
        standin_store_put(site->store, "servers", names[i], json_object(), NULL);
        use_gateway(site, start_gateway(site, "g-1", &site->store_port, NULL));
        RUN_UNTIL(site, is_ready(site));
        ck_assert_int_eq(ask(site, "GET", "/safe/x").status, 200);
    }
}
END_TEST

START_TEST(store_failure_modes_do_not_affect_requests)
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

/* Runs the loop for `ms`. */
static void
wait_ms(site_t *site, uint64_t ms)
{
    const uint64_t until_ms = uv_now(&site->loop) + ms;
    RUN_UNTIL(site, uv_now(&site->loop) >= until_ms);
}

START_TEST(backend_removed_after_outage_gets_no_requests)
{
    /* Limit for the removal; with the grace of an outage it would take 2,200 ms. */
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
    /* 40 kB/s: the configuration below takes about 2.5 s. */
    PIECE = 4096,
    PIECE_PAUSE_MS = 100,
    MANY_ROUTES = 500,
};

/* Requests `path` until it gets that status; false after PATIENCE_MS. */
static bool
status_is_reached(site_t *site, const char *path, int status)
{
    const uint64_t until_ms = uv_now(&site->loop) + PATIENCE_MS;
    while (uv_now(&site->loop) < until_ms) {
        if (ask(site, "GET", path).status == status)
            return true;
    }
    return false;
}

static bool
config_is_applied(site_t *site, const char *path)
{
    return status_is_reached(site, path, 200);
}

/* Makes the store fail, and waits until the instance has retried. */
static void
begin_outage(site_t *site)
{
    const uint64_t calls = standin_store_calls(site->store);
    standin_store_set_mode(site->store, STANDIN_STORE_BUSY);
    RUN_UNTIL(site, standin_store_calls(site->store) > calls + 2);
}

START_TEST(slow_store_answer_is_read_completely)
{
    site_t *site = new_site(1);
    standin_store_set_pace(site->store, PIECE, PIECE_PAUSE_MS);
    site->extra_routes = MANY_ROUTES;
    put_config(site, NULL);
    use_gateway(site, start_gateway(site, "g-1", &site->store_port, NULL));
    ck_assert(config_is_applied(site, "/safe/x"));
    /* The same for a change made during an outage. */
    begin_outage(site);
    put_config(site, "/new/");
    standin_store_set_mode(site->store, STANDIN_STORE_SERVES);
    ck_assert(config_is_applied(site, "/new/x"));
}
END_TEST

/* Calls that are given up too early never bring a change. */
START_TEST(changes_arrive_while_the_store_answers_slowly)
{
    enum { DELAY_MS = 2000, BEGINNING_MS = 10000 };
    site_t *site = new_ready_site(1);
    standin_store_set_delay(site->store, DELAY_MS);
    run_loop_ms(site, BEGINNING_MS); /* calls have been given up */
    const uint64_t revision = site->gateway->router.catalog.config->revision;
    put_config(site, "/new/");
    RUN_UNTIL(site, site->gateway->router.catalog.config->revision > revision);
    standin_store_remove(site->store, "servers", site->backends[0].id);
    RUN_UNTIL(site, site->gateway->router.catalog.backends.count == 0 ||
                        !site->gateway->router.catalog.backends.items[0]->listed);
}
END_TEST

START_TEST(change_after_silence_does_not_wait_for_a_long_timeout)
{
    enum { SILENT_MS = 9000, PROBE_MS = 1000, TICKS_MS = 3 * GATEWAY_TICK_MS };
    site_t *site = new_ready_site(1);
    standin_store_set_mode(site->store, STANDIN_STORE_SILENT);
    run_loop_ms(site, SILENT_MS);
    const uint64_t revision = site->gateway->router.catalog.config->revision;
    standin_store_set_mode(site->store, STANDIN_STORE_SERVES);
    put_config(site, "/new/");
    const uint64_t from_ms = uv_now(&site->loop);
    RUN_UNTIL(site, site->gateway->router.catalog.config->revision > revision);
    ck_assert_uint_le(uv_now(&site->loop) - from_ms, PROBE_MS + TICKS_MS);
}
END_TEST

START_TEST(stalled_store_answer_times_out)
{
    site_t *site = new_ready_site(1);
    standin_store_set_pace(site->store, PIECE, PATIENCE_MS * 10);
    site->extra_routes = MANY_ROUTES;
    put_config(site, "/new/");
    const uint64_t calls = standin_store_calls(site->store);
    RUN_UNTIL(site, standin_store_calls(site->store) > calls);
    standin_store_set_pace(site->store, 0, 0);
    ck_assert(config_is_applied(site, "/new/x"));
}
END_TEST

START_TEST(kind_without_answer_does_not_block_others)
{
    static const char *const held[] = {"config", "servers", "evacuations"};
    for (size_t i = 0; i < ALEN(held); i++) {
        site_t *site = new_ready_site(1);
        begin_outage(site);
        standin_store_hold(site->store, held[i]);
        standin_store_set_mode(site->store, STANDIN_STORE_SERVES);
        if (strcmp(held[i], "servers") != 0) {
            put_backend(site, &site->backends[0], "draining");
            ck_assert(status_is_reached(site, "/safe/x", 503));
        } else {
            put_config(site, "/new/");
            ck_assert(config_is_applied(site, "/new/x"));
        }
    }
}
END_TEST

START_TEST(oversized_watch_answer_falls_back_to_list)
{
    enum { VERSIONS = 60 }; /* 5 MB in total */
    site_t *site = new_ready_site(1);
    begin_outage(site);
    site->extra_routes = MANY_ROUTES;
    for (unsigned i = 0; i < VERSIONS; i++)
        put_config(site, "/new/");
    standin_store_set_mode(site->store, STANDIN_STORE_SERVES);
    ck_assert(config_is_applied(site, "/new/x"));
}
END_TEST

START_TEST(rejected_watch_falls_back_to_list)
{
    static const int statuses[] = {400, 404, 500};
    for (size_t i = 0; i < ALEN(statuses); i++) {
        site_t *site = new_ready_site(1);
        begin_outage(site);
        put_config(site, "/new/");
        standin_store_fail_watches(site->store, statuses[i]);
        standin_store_set_mode(site->store, STANDIN_STORE_SERVES);
        ck_assert(config_is_applied(site, "/new/x"));
    }
}
END_TEST

Suite *
suite_gateway_store(void)
{
    Suite *suite = suite_create("gateway: store");
    TCase *tests = tcase_create("store");
    tcase_set_timeout(tests, 120);
    tcase_add_test(tests, configuration_change_is_applied);
    tcase_add_test(tests, configuration_with_many_routes_is_applied);
    tcase_add_test(tests, invalid_configuration_is_ignored);
    tcase_add_test(tests, draining_removed_and_evacuated_backends_get_no_requests);
    tcase_add_test(tests, paged_lists_are_read_completely);
    tcase_add_test(tests, list_continues_after_any_name);
    tcase_add_test(tests, store_failure_modes_do_not_affect_requests);
    tcase_add_test(tests, backend_removed_after_outage_gets_no_requests);
    tcase_add_test(tests, slow_store_answer_is_read_completely);
    tcase_add_test(tests, changes_arrive_while_the_store_answers_slowly);
    tcase_add_test(tests, change_after_silence_does_not_wait_for_a_long_timeout);
    tcase_add_test(tests, stalled_store_answer_times_out);
    tcase_add_test(tests, kind_without_answer_does_not_block_others);
    tcase_add_test(tests, oversized_watch_answer_falls_back_to_list);
    tcase_add_test(tests, rejected_watch_falls_back_to_list);
    suite_add_tcase(suite, tests);
    return suite;
}
