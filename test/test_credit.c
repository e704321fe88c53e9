/* Credits: the total in use never exceeds the region's limit, whatever fails. */
#include <stdlib.h>

#include "base/mutate.h"
#include "entry/region/credit.h"
#include "entry/region/limiter.h"
#include "test/credit_sim.h"
#include "test/suites.h"

enum { SEEDS = 12, STEPS = 12000, LIMIT = 40 };

static sim_result_t
run_seed(uint64_t seed)
{
    const sim_conf_t conf = {.seed = seed, .steps = STEPS, .limit = LIMIT};
    return sim_run(&conf);
}

START_TEST(limit_holds_under_faults)
{
    const sim_result_t result = run_seed((uint64_t)_i + 1);
    ck_assert_uint_eq(result.violations, 0);
    ck_assert_uint_le(result.most, LIMIT);
    ck_assert_uint_gt(result.started, 1000);
    ck_assert_uint_gt(result.epochs, 10);
}
END_TEST

START_TEST(simulation_detects_disabled_rules)
{
    static const mutation_t mutations[] = {MUTATE_NO_FENCE, MUTATE_EARLY_UNLOCK,
                                           MUTATE_EARLY_REISSUE, MUTATE_LEND_FOR_FREE};
    uint64_t violations = 0;
    mutate_set(mutations[_i]);
    for (uint64_t seed = 1; seed <= SEEDS; seed++)
        violations += run_seed(seed).violations;
    mutate_set(MUTATE_NONE);
    ck_assert_uint_gt(violations, 0);
}
END_TEST

static allocation_t *
parse(const char *json, uint64_t version)
{
    err_t err = {0};
    return allocation_parse(str_from(json), version, &err);
}

START_TEST(allocation_above_limit_is_refused)
{
    err_t err = {0};
    const char *json =
        "{\"region\":\"r\",\"limit\":4,\"formers\":[],\"holders\":[{\"instance\":\"a\","
        "\"incarnation\":1,\"credits\":5,\"quorum_of\":1,\"long_bound\":2}]}";
    ck_assert_ptr_null(allocation_parse(str_from(json), 1, &err));
    ck_assert_int_eq(err.code, ERR_INVALID);
}
END_TEST

START_TEST(expired_authority_limits_to_floor)
{
    name_t name;
    name_set(&name, STR("a"));
    credit_t *credit = credit_new(&name, 1);
    credit_adopt(credit,
                 parse("{\"region\":\"r\",\"limit\":9,\"formers\":[],\"holders\":["
                       "{\"instance\":\"a\",\"incarnation\":1,\"credits\":3,\"quorum_of\":3,"
                       "\"long_bound\":1},"
                       "{\"instance\":\"b\",\"incarnation\":1,\"credits\":3,\"quorum_of\":3,"
                       "\"long_bound\":1},"
                       "{\"instance\":\"c\",\"incarnation\":1,\"credits\":3,\"quorum_of\":3,"
                       "\"long_bound\":1}]}",
                       7),
                 1000);
    ck_assert_uint_eq(credit_usable(credit, 1000), 0);
    const credit_report_t b = {
        .instance = STR("b"), .incarnation = 1, .epoch = 7, .settled = true, .asked_ms = 1000};
    const credit_report_t c = {
        .instance = STR("c"), .incarnation = 1, .epoch = 7, .settled = true, .asked_ms = 1000};
    credit_peer_report(credit, &b, 1100);
    ck_assert_uint_eq(credit_usable(credit, 1100), 0); /* c has not settled yet */
    credit_peer_report(credit, &c, 1100);
    ck_assert_uint_eq(credit_usable(credit, 1100), 3);
    ck_assert_uint_eq(credit_usable(credit, 1000 + CREDIT_FENCE_MS), CREDIT_FLOOR);
    credit_store_confirm(credit, 7, 6000);
    ck_assert_uint_eq(credit_usable(credit, 6100), 3);
    credit_free(credit);
}
END_TEST

START_TEST(older_epoch_is_not_adopted)
{
    name_t name;
    name_set(&name, STR("a"));
    credit_t *credit = credit_new(&name, 1);
    const char *json = "{\"region\":\"r\",\"limit\":2,\"formers\":[],\"holders\":[]}";
    credit_adopt(credit, parse(json, 9), 1);
    credit_adopt(credit, parse(json, 8), 2);
    ck_assert_uint_eq(credit_epoch(credit), 9);
    credit_free(credit);
}
END_TEST

START_TEST(limiter_acquires_all_or_none)
{
    name_t name;
    name_set(&name, STR("a"));
    credit_t *credit = credit_new(&name, 1);
    credit_adopt(credit,
                 parse("{\"region\":\"r\",\"limit\":4,\"formers\":[],\"holders\":["
                       "{\"instance\":\"a\",\"incarnation\":1,\"credits\":4,\"quorum_of\":1,"
                       "\"long_bound\":2}]}",
                       1),
                 1000);
    limiter_t limiter;
    limiter_init(&limiter, credit, 1000);
    limiter_row_t *row = limiter_row(&limiter, STR("s"), STR("p"));
    row->limit = 2;
    ck_assert_int_eq(limiter_acquire(&limiter, row, false, 1000), LIMITER_ADMITTED);
    ck_assert_int_eq(limiter_acquire(&limiter, row, true, 1000), LIMITER_ADMITTED);
    ck_assert_int_eq(limiter_acquire(&limiter, row, false, 1000), LIMITER_ROW_FULL);
    ck_assert_uint_eq(credit_in_flight(credit), 2);
    limiter_row_t *other = limiter_row(&limiter, STR("s"), STR("q"));
    ck_assert_int_eq(limiter_acquire(&limiter, other, true, 1000), LIMITER_ADMITTED);
    ck_assert_int_eq(limiter_acquire(&limiter, other, true, 1000),
                     LIMITER_REGION_FULL); /* long part */
    ck_assert_int_eq(limiter_acquire(&limiter, other, false, 1000), LIMITER_ADMITTED);
    ck_assert_int_eq(limiter_acquire(&limiter, other, false, 1000), LIMITER_REGION_FULL);
    limiter_release(&limiter, row, false);
    limiter_release(&limiter, row, true);
    row->rate = 2;
    ck_assert_int_eq(limiter_acquire(&limiter, row, false, 1000),
                     LIMITER_ROW_RATE); /* a new bucket starts empty */
    ck_assert_int_eq(limiter_acquire(&limiter, row, false, 1600), LIMITER_ADMITTED);
    ck_assert_int_eq(limiter_acquire(&limiter, row, false, 1600), LIMITER_ROW_RATE);
    credit_free(credit);
}
END_TEST

Suite *
suite_credit(void)
{
    Suite *suite = suite_create("credit");
    TCase *faults = tcase_create("faults");
    tcase_set_timeout(faults, 120);
    tcase_add_loop_test(faults, limit_holds_under_faults, 0, SEEDS);
    tcase_add_loop_test(faults, simulation_detects_disabled_rules, 0, 4);
    suite_add_tcase(suite, faults);
    TCase *rules = tcase_create("rules");
    tcase_add_test(rules, allocation_above_limit_is_refused);
    tcase_add_test(rules, expired_authority_limits_to_floor);
    tcase_add_test(rules, older_epoch_is_not_adopted);
    tcase_add_test(rules, limiter_acquires_all_or_none);
    suite_add_tcase(suite, rules);
    return suite;
}
