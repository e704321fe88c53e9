/* Removal of backend servers and planned stop of an instance. */
#include "base/xmalloc.h"
#include "gateway/policy/removal.h"
#include "gateway/policy/shutdown.h"
#include "test/suites.h"

START_TEST(removal_is_delayed_only_during_store_trouble)
{
    static const struct {
        removal_input_t input;
        removal_t expected;
    } rows[] = {
        {{{REMOVAL_NEVER, REMOVAL_NEVER}, 10, 12}, {0, REMOVAL_AT_ONCE}},
        {{{REMOVAL_NEVER, REMOVAL_NEVER}, 0, 12}, {0, REMOVAL_AT_ONCE}},
        {{{REMOVAL_NEVER, 0}, 6, 12}, {0, REMOVAL_AT_ONCE}},
        {{{REMOVAL_NEVER, 0}, 5, 12}, {1400, REMOVAL_MASS_LOSS}},
        {{{REMOVAL_NEVER, 2199}, 0, 12}, {1400, REMOVAL_MASS_LOSS}},
        {{{REMOVAL_NEVER, 2200}, 0, 12}, {0, REMOVAL_AT_ONCE}},
        {{{REMOVAL_NEVER, 0}, 13, 12}, {0, REMOVAL_AT_ONCE}},
        {{{0, 0}, 5, 12}, {2200, REMOVAL_AFTER_OUTAGE}},
        {{{0, 0}, 12, 12}, {2200, REMOVAL_AFTER_OUTAGE}},
        {{{1500, 1600}, 11, 12}, {700, REMOVAL_AFTER_OUTAGE}},
        {{{2199, 2200}, 11, 12}, {1, REMOVAL_AFTER_OUTAGE}},
        {{{2200, 2200}, 11, 12}, {0, REMOVAL_AT_ONCE}},
        {{{2900, 3500}, 11, 12}, {0, REMOVAL_AT_ONCE}},
    };
    for (size_t i = 0; i < ALEN(rows); i++) {
        const removal_t removal = removal_decide(&rows[i].input);
        ck_assert_uint_eq(removal.grace_ms, rows[i].expected.grace_ms);
        ck_assert_int_eq(removal.reason, rows[i].expected.reason);
    }
}
END_TEST

START_TEST(shutdown_ends_when_idle_or_before_the_grace_period)
{
    static const struct {
        shutdown_input_t input;
        bool due;
    } rows[] = {
        {{.age_ms = 2300, .grace_ms = 6000}, false},
        {{.age_ms = 2400, .grace_ms = 6000}, true},
        {{.age_ms = 2400, .grace_ms = 6000, .requests = 1}, false},
        {{.age_ms = 2400, .grace_ms = 6000, .connections = 1}, false},
        {{.age_ms = 2400, .grace_ms = 6000, .accepting = true}, false},
        {{.age_ms = 5399, .grace_ms = 6000, .requests = 1}, false},
        {{.age_ms = 5400, .grace_ms = 6000, .requests = 1}, true},
    };
    for (size_t i = 0; i < ALEN(rows); i++)
        ck_assert(shutdown_is_due(&rows[i].input) == rows[i].due);
    ck_assert(!shutdown_refuses_connections(1999));
    ck_assert(shutdown_refuses_connections(2000));
    ck_assert_uint_eq(shutdown_idle_max_ms(2000), 1000);
    ck_assert_uint_eq(shutdown_idle_max_ms(2899), 1000);
    ck_assert_uint_eq(shutdown_idle_max_ms(2900), 0);
}
END_TEST

Suite *
suite_gateway_lifetime(void)
{
    Suite *suite = suite_create("gateway: lifetime");
    TCase *tests = tcase_create("lifetime");
    tcase_add_test(tests, removal_is_delayed_only_during_store_trouble);
    tcase_add_test(tests, shutdown_ends_when_idle_or_before_the_grace_period);
    suite_add_tcase(suite, tests);
    return suite;
}
