/* Configuration: route look-up, health paths and the table of services. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

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
    tcase_add_test(tests, health_path_fits_into_a_request_line);
    tcase_add_test(tests, services_get_returns_same_entry);
    suite_add_tcase(suite, tests);
    return suite;
}
