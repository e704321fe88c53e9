/* Configuration: which route a request belongs to. */
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

Suite *
suite_gateway_config(void)
{
    Suite *suite = suite_create("gateway: config");
    TCase *tests = tcase_create("config");
    tcase_add_test(tests, longest_prefix_wins);
    suite_add_tcase(suite, tests);
    return suite;
}
