/* Request keys, the budget of extra attempts, the latency quantile. */
#include <stdio.h>
#include <string.h>

#include "base/rng.h"
#include "entry/request/budget.h"
#include "entry/request/key.h"
#include "entry/request/latency.h"
#include "test/suites.h"

START_TEST(minted_keys_identify_owner)
{
    rng_t rng = {.state = 1};
    name_t name;
    name_set(&name, STR("toledo-1"));
    char text[KEY_TEXT_MAX];
    minted_key_t key;
    key_mint(&name, 77, 5000, &rng, text);
    ck_assert(key_parse_minted(str_from(text), &key));
    ck_assert(name_eq(&key.instance, STR("toledo-1")));
    ck_assert_uint_eq(key.incarnation, 77);
    ck_assert_uint_eq(key.expires_ms, 5000 + KEY_LIFETIME_MS);
    char second[KEY_TEXT_MAX];
    key_mint(&name, 77, 5000, &rng, second);
    ck_assert_str_ne(text, second);
    ck_assert(!key_parse_minted(STR("order-17"), &key));
    ck_assert(!key_parse_minted(STR("k1~x~1~2"), &key));
    strcat(second, "!");
    ck_assert(!key_parse_minted(str_from(second), &key));
}
END_TEST

START_TEST(registry_keeps_and_expires_records)
{
    key_registry_t *registry = key_registry_new();
    key_record_t *record = key_registry_add(registry, STR("a"), 9, 1000);
    ck_assert_ptr_eq(key_registry_find(registry, STR("a")), record);
    ck_assert_ptr_null(key_registry_find(registry, STR("b")));
    for (int i = 0; i < 20; i++)
        key_registry_sweep(registry, 1000 + 2 * KEY_RECORD_MS);
    ck_assert_uint_eq(key_registry_count(registry), 1); /* still running */
    record->state = KEY_DONE;
    for (int i = 0; i < 20; i++)
        key_registry_sweep(registry, 1000 + KEY_RECORD_MS - 1);
    ck_assert_uint_eq(key_registry_count(registry), 1);
    for (int i = 0; i < 20; i++)
        key_registry_sweep(registry, 1000 + KEY_RECORD_MS);
    ck_assert_uint_eq(key_registry_count(registry), 0);
    key_registry_free(registry);
}
END_TEST

START_TEST(attempt_budget_limits_extra_requests)
{
    attempt_budget_t budget;
    attempt_budget_init(&budget);
    size_t extra = 0;
    for (size_t i = 0; i < 10000; i++) {
        attempt_budget_deposit(&budget);
        extra += attempt_budget_withdraw(&budget);
        extra += attempt_budget_withdraw(&budget);
    }
    ck_assert_uint_le(extra, 1000); /* at most a tenth, even if every request fails */
    ck_assert_uint_ge(extra, 700);
}
END_TEST

START_TEST(quantile_converges)
{
    rng_t rng = {.state = 4};
    latency_quantile_t quantile = {0};
    for (size_t i = 0; i < 20000; i++)
        latency_quantile_add(&quantile, 100 * rng_unit(&rng));
    ck_assert(quantile.ms > 85 && quantile.ms < 105);
}
END_TEST

Suite *
suite_request(void)
{
    Suite *suite = suite_create("request");
    TCase *tcase = tcase_create("request");
    tcase_add_test(tcase, minted_keys_identify_owner);
    tcase_add_test(tcase, registry_keeps_and_expires_records);
    tcase_add_test(tcase, attempt_budget_limits_extra_requests);
    tcase_add_test(tcase, quantile_converges);
    suite_add_tcase(suite, tcase);
    return suite;
}
