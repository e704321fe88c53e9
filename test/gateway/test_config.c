/* Configuration: route look-up, health paths and the table of services. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uv.h>

#include "base/rng.h"
#include "gateway/state/services.h"
#include "gateway/state/config.h"
#include "test/gateway/fixture.h"
#include "test/suites.h"

START_TEST(longest_prefix_wins)
{
    config_t *config = config_new(3, 0);
    fill_route(&config->routes[0], "h.example", "/a/");
    fill_route(&config->routes[1], "h.example", "/a/b/");
    fill_route(&config->routes[2], "other.example", "/");
    config_seal(config);
    ck_assert_str_eq(config_route(config, STR("h.example"), STR("/a/b/c"))->prefix, "/a/b/");
    ck_assert_str_eq(config_route(config, STR("H.Example:80"), STR("/a/x"))->prefix, "/a/");
    ck_assert_str_eq(config_route(config, STR("other.example"), STR("/q"))->prefix, "/");
    ck_assert_ptr_null(config_route(config, STR("h.example"), STR("/a")));
    ck_assert_ptr_null(config_route(config, STR("h.example"), STR("/b/")));
    ck_assert_ptr_null(config_route(config, STR(""), STR("")));
    config_unref(config);
}
END_TEST

/* Hosts that differ behind the first 255 bytes have routes of their own. */
START_TEST(long_hosts_are_told_apart)
{
    enum { LEN = 300 };
    char first[LEN + 1];
    char second[LEN + 1];
    memset(first, 'h', LEN);
    first[LEN] = '\0';
    memcpy(second, first, sizeof(first));
    second[LEN - 1] = 'x';
    config_t *config = config_new(2, 0);
    fill_route(&config->routes[0], first, "/");
    fill_route(&config->routes[1], second, "/a/");
    config_seal(config);
    ck_assert_str_eq(config_route(config, str_from(first), STR("/a/x"))->prefix, "/");
    ck_assert_str_eq(config_route(config, str_from(second), STR("/a/x"))->prefix, "/a/");
    ck_assert_ptr_null(config_route(config, str_from(second), STR("/x")));
    second[LEN - 2] = 'x';
    ck_assert_ptr_null(config_route(config, str_from(second), STR("/a/x")));
    second[LEN - 2] = 'H';
    ck_assert_str_eq(config_route(config, str_from(second), STR("/a/x"))->prefix, "/a/");
    config_unref(config);
}
END_TEST

enum { ROUTES_MAX = 5600, PATH_MAX_LEN = 15000 };

/* The look-up as it is defined: the longest prefix among all routes of the host. */
static const char *
longest_prefix(const config_t *config, const char *host, str_t path)
{
    const char *longest = "";
    for (size_t i = 0; i < config->route_count; i++) {
        const config_route_t *route = &config->routes[i];
        if (strcmp(route->host, host) == 0 && str_starts_with(path, str_from(route->prefix)) &&
            strlen(route->prefix) > strlen(longest))
            longest = route->prefix;
    }
    return longest;
}

/* A path of few letters and many slashes; returns its length. */
static size_t
draw_path(rng_t *rng, char *path, size_t max)
{
    const size_t len = 1 + rng_below(rng, max - 1);
    path[0] = '/';
    for (size_t i = 1; i < len; i++)
        path[i] = "/ab"[rng_below(rng, 3)];
    path[len] = '\0';
    return len;
}

/* Drawn tables and paths: the route is the one with the longest prefix. */
START_TEST(look_up_finds_the_longest_prefix_in_drawn_tables)
{
    enum { TABLES = 300, ROUTES = 40, PATHS = 200, PREFIX_MAX = 12, LEN_MAX = 24 };
    static const char *const hosts[] = {"h.example", "other.example"};
    rng_t rng = {.state = 4};
    for (unsigned table = 0; table < TABLES; table++) {
        config_t *config = config_new(ROUTES, 0);
        for (unsigned i = 0; i < ROUTES; i++) {
            char prefix[PREFIX_MAX + 2];
            const size_t len = draw_path(&rng, prefix, PREFIX_MAX);
            memcpy(prefix + len, "/", sizeof("/"));
            fill_route(&config->routes[i], hosts[rng_below(&rng, 2)], prefix);
        }
        config_seal(config);
        for (unsigned i = 0; i < PATHS; i++) {
            char path[LEN_MAX + 1];
            const char *host = hosts[rng_below(&rng, 2)];
            draw_path(&rng, path, LEN_MAX);
            const config_route_t *route = config_route(config, str_from(host), str_from(path));
            ck_assert_str_eq(route != NULL ? route->prefix : "",
                             longest_prefix(config, host, str_from(path)));
        }
        config_unref(config);
    }
}
END_TEST

/* The shortest of many look-ups, which other processes disturb least. */
static uint64_t
look_up_ns(const config_t *config, str_t path)
{
    enum { LOOK_UPS = 200 };
    uint64_t shortest = UINT64_MAX;
    for (unsigned i = 0; i < LOOK_UPS; i++) {
        const uint64_t start_ns = uv_hrtime();
        config_route(config, STR("h.example"), path);
        const uint64_t ns = uv_hrtime() - start_ns;
        shortest = ns < shortest ? ns : shortest;
    }
    return shortest;
}

/* A caller cannot make look-ups expensive: a path of slashes takes no longer than a few plain ones.
 */
START_TEST(path_of_slashes_is_looked_up_in_linear_time)
{
    static const size_t counts[] = {5, 500, ROUTES_MAX};
    static const size_t lengths[] = {20, 200, 2000, PATH_MAX_LEN};
    enum { MAX_NS_PER_BYTE = 100 };
    static char path[PATH_MAX_LEN];
    for (size_t i = 0; i < sizeof(counts) / sizeof(counts[0]); i++) {
        config_t *config = config_new(counts[i], 0);
        for (size_t k = 0; k < counts[i]; k++) {
            char prefix[32];
            snprintf(prefix, sizeof(prefix), "/service/%zu/", k);
            fill_route(&config->routes[k], "h.example", prefix);
        }
        config_seal(config);
        for (size_t k = 0; k < sizeof(lengths) / sizeof(lengths[0]); k++) {
            memset(path, 'p', lengths[k]);
            path[0] = '/';
            const uint64_t plain_ns = look_up_ns(config, (str_t){path, lengths[k]});
            memset(path, '/', lengths[k]);
            const uint64_t slashes_ns = look_up_ns(config, (str_t){path, lengths[k]});
            printf(
                "a look-up among %zu routes, path of %zu bytes: plain %llu ns, slashes %llu ns\n",
                counts[i], lengths[k], (unsigned long long)plain_ns,
                (unsigned long long)slashes_ns);
            ck_assert_uint_lt(slashes_ns, MAX_NS_PER_BYTE * lengths[k] + 10000);
        }
        config_unref(config);
    }
}
END_TEST

/* The path goes into request lines: it must not be able to add a field or a second request. */
START_TEST(health_path_fits_into_a_request_line)
{
    config_service_t service = {0};
    char long_path[CONFIG_HEALTH_PATH_MAX + 1];
    memset(long_path, '/', sizeof(long_path));
    ck_assert(!config_set_health_path(&service, STR("")));
    ck_assert(!config_set_health_path(&service, STR("health")));
    ck_assert(!config_set_health_path(&service, STR("/a b")));
    ck_assert(!config_set_health_path(&service, STR("/a\r\nX: y")));
    ck_assert(!config_set_health_path(&service, (str_t){"/a\0b", 4}));
    ck_assert(!config_set_health_path(&service, (str_t){long_path, sizeof(long_path)}));
    ck_assert_ptr_null(service.health_path);
    ck_assert(config_set_health_path(&service, (str_t){long_path, CONFIG_HEALTH_PATH_MAX}));
    free(service.health_path);
    ck_assert(config_set_health_path(&service, STR("/health?deep=1")));
    ck_assert_str_eq(service.health_path, "/health?deep=1");
    free(service.health_path);
}
END_TEST

/* Pointers stay valid whatever the order of insertion. */
START_TEST(services_get_returns_same_entry)
{
    enum { COUNT = 50, STRIDE = 7 };
    services_t services = {0};
    service_t *made[COUNT];
    char name[16];
    for (size_t i = 0; i < COUNT; i++) {
        snprintf(name, sizeof(name), "s%zu", i * STRIDE % COUNT);
        made[i] = services_get(&services, str_from(name));
    }
    ck_assert_uint_eq(services.count, COUNT);
    for (size_t i = 0; i < COUNT; i++) {
        snprintf(name, sizeof(name), "s%zu", i * STRIDE % COUNT);
        ck_assert_ptr_eq(services_find(&services, str_from(name)), made[i]);
        ck_assert_ptr_eq(services_get(&services, str_from(name)), made[i]);
        ck_assert_str_eq(made[i]->name.ptr, name);
    }
    ck_assert_ptr_null(services_find(&services, STR("s")));
    services_free(&services);
}
END_TEST

Suite *
suite_gateway_config(void)
{
    Suite *suite = suite_create("gateway: config");
    TCase *tests = tcase_create("config");
    tcase_add_test(tests, longest_prefix_wins);
    tcase_add_test(tests, long_hosts_are_told_apart);
    tcase_add_test(tests, look_up_finds_the_longest_prefix_in_drawn_tables);
    tcase_add_test(tests, path_of_slashes_is_looked_up_in_linear_time);
    tcase_add_test(tests, health_path_fits_into_a_request_line);
    tcase_add_test(tests, services_get_returns_same_entry);
    suite_add_tcase(suite, tests);
    return suite;
}
