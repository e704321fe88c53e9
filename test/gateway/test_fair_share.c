/* Fair shares of client accounts. Guards against an account that takes the room of others, and long
 * requests that hold all slots. */
#include <stdlib.h>

#include "base/rng.h"
#include "base/xmalloc.h"
#include "gateway/policy/fair_share.h"
#include "test/leak.h"
#include "test/suites.h"

START_TEST(limit_fills_the_room_and_binds_the_largest_only)
{
    double fitting[] = {5, 1, 3};
    ck_assert_double_eq(fair_share_limit(fitting, ALEN(fitting), 9), 0);
    double one_large[] = {30, 1, 3, 2};
    ck_assert_double_eq(fair_share_limit(one_large, ALEN(one_large), 16), 10);
    double two_large[] = {8, 30, 2};
    ck_assert_double_eq(fair_share_limit(two_large, ALEN(two_large), 14), 6);
    double all_large[] = {8, 30, 9, 13};
    ck_assert_double_eq(fair_share_limit(all_large, ALEN(all_large), 12), 3);
    ck_assert_double_eq(fair_share_limit(NULL, 0, 12), 0);
}
END_TEST

/* ---- requests of several accounts ---- */

enum { ACCOUNTS = 12, STEP_MS = 100, STEPS_PER_S = 10 };

/* One instance's callers on one level of urgency in one region. */
typedef struct {
    account_work_t work;
    fair_share_t fair;
    shortage_t shortage;
    rng_t rng;
    double per_s[ACCOUNTS];
    double work_ms[ACCOUNTS];
    double asked[ACCOUNTS]; /* work in slot milliseconds */
    double served[ACCOUNTS];
    uint64_t now_ms;
} callers_t;

static callers_t *
new_callers(double per_s, double work_ms)
{
    callers_t *callers = xcalloc(1, sizeof(*callers));
    leak_ignore(callers);
    callers->rng.state = 3;
    for (size_t i = 0; i < ACCOUNTS; i++) {
        callers->per_s[i] = per_s;
        callers->work_ms[i] = work_ms;
    }
    return callers;
}

static void
ask(callers_t *callers, size_t account)
{
    account_work_count(&callers->work, account, 0, 0, callers->work_ms[account]);
    callers->asked[account] += callers->work_ms[account];
    const double share = 1 - callers->shortage.held[0][0];
    const double of_account =
        share < 1 ? fair_share_of_account(&callers->fair, &callers->work, account, 0, 0, share) : 1;
    const bool admitted = rng_unit(&callers->rng) < of_account;
    fair_share_count(&callers->fair, 0, 0, callers->work_ms[account], admitted);
    if (admitted)
        callers->served[account] += callers->work_ms[account];
}

/* Plays requests while `room` slots are free for them. */
static void
run(callers_t *callers, double room, unsigned seconds)
{
    double offered = 0;
    for (size_t i = 0; i < ACCOUNTS; i++) {
        offered += callers->per_s[i] * callers->work_ms[i] / 1000;
        callers->asked[i] = callers->served[i] = 0;
    }
    callers->shortage.held[0][0] = offered > room ? 1 - room / offered : 0;
    for (unsigned step = 0; step < seconds * STEPS_PER_S; step++) {
        for (size_t i = 0; i < ACCOUNTS; i++) {
            if (rng_unit(&callers->rng) < callers->per_s[i] / STEPS_PER_S)
                ask(callers, i);
        }
        callers->now_ms += STEP_MS;
        account_work_update(&callers->work, callers->now_ms);
        fair_share_update(&callers->fair, &callers->work, &callers->shortage, 1, callers->now_ms);
    }
}

static double
served(const callers_t *callers, size_t account)
{
    return callers->served[account] / callers->asked[account];
}

static double
all_served_slots(const callers_t *callers, unsigned seconds)
{
    double work = 0;
    for (size_t i = 0; i < ACCOUNTS; i++)
        work += callers->served[i];
    return work / (seconds * 1000.0);
}

START_TEST(account_at_six_times_its_usual_takes_no_room_of_others)
{
    callers_t *callers = new_callers(1, 1000);
    callers->per_s[0] = 6;
    run(callers, ACCOUNTS, 10);
    run(callers, ACCOUNTS, 120);
    for (size_t i = 1; i < ACCOUNTS; i++)
        ck_assert_double_ge(served(callers, i), 0.95);
    ck_assert_double_le(served(callers, 0), 0.35);
    ck_assert_double_ge(served(callers, 0), 0.3 * ACCOUNTS / (ACCOUNTS + 5.0) - 0.03);
    ck_assert_double_le(all_served_slots(callers, 120), 1.1 * ACCOUNTS);
    ck_assert_double_ge(all_served_slots(callers, 120), 0.85 * ACCOUNTS);
    free(callers);
}
END_TEST

/* The same number of requests, but five times the work. */
START_TEST(long_requests_do_not_hold_the_slots_of_short_ones)
{
    callers_t *callers = new_callers(1, 1100);
    for (size_t i = 0; i < ACCOUNTS / 2; i++)
        callers->work_ms[i] = 5600;
    const double short_slots = ACCOUNTS / 2.0 * 1.1;
    run(callers, 3 * short_slots, 10);
    run(callers, 3 * short_slots, 120);
    for (size_t i = ACCOUNTS / 2; i < ACCOUNTS; i++)
        ck_assert_double_ge(served(callers, i), 0.9);
    for (size_t i = 0; i < ACCOUNTS / 2; i++)
        ck_assert_double_ge(served(callers, i), 0.2);
    ck_assert_double_le(all_served_slots(callers, 120), 1.1 * 3 * short_slots);
    free(callers);
}
END_TEST

/* An instance meets most accounts once in many seconds: each request finds no work of its account
 * there, and all would be admitted. */
START_TEST(rare_accounts_are_held_to_the_share_of_their_urgency)
{
    enum { RARE = 600, PER_STEP = 2, STEPS = 1200, WORK_MS = 500 };
    const double share = 0.3;
    callers_t *callers = new_callers(1, WORK_MS);
    callers->shortage.held[0][0] = 1 - share;
    unsigned admitted = 0;
    for (unsigned step = 0; step < STEPS; step++) {
        for (unsigned i = 0; i < PER_STEP; i++) {
            const uint64_t account = (uint64_t)(rng_unit(&callers->rng) * RARE);
            account_work_count(&callers->work, account, 0, 0, WORK_MS);
            const bool admits =
                rng_unit(&callers->rng) <
                fair_share_of_account(&callers->fair, &callers->work, account, 0, 0, share);
            fair_share_count(&callers->fair, 0, 0, WORK_MS, admits);
            admitted += step >= STEPS / 2 && admits;
        }
        callers->now_ms += STEP_MS;
        account_work_update(&callers->work, callers->now_ms);
        fair_share_update(&callers->fair, &callers->work, &callers->shortage, 1, callers->now_ms);
    }
    ck_assert_double_eq_tol(admitted / (PER_STEP * STEPS / 2.0), share, 0.05);
    free(callers);
}
END_TEST

START_TEST(nothing_is_refused_while_there_is_room)
{
    callers_t *callers = new_callers(1, 1000);
    callers->per_s[0] = 6;
    run(callers, 2 * ACCOUNTS, 30);
    for (size_t i = 0; i < ACCOUNTS; i++)
        ck_assert_double_eq(served(callers, i), 1);
    free(callers);
}
END_TEST

START_TEST(table_of_accounts_is_bounded_and_keeps_the_heaviest)
{
    static account_work_t work;
    for (unsigned second = 1; second <= 20; second++) {
        for (uint64_t account = 0; account < 3ULL * ACCOUNT_WORK_MAX; account++)
            account_work_count(&work, account, 0, 0, account < 4 ? 5000 : 10);
        account_work_update(&work, second * 1000ULL);
        ck_assert_uint_le(work.count, ACCOUNT_WORK_MAX);
    }
    for (uint64_t account = 0; account < 4; account++)
        ck_assert_double_ge(account_work_slots(&work, account, 0, 0), 4);
    account_work_update(&work, 100000);
    ck_assert_uint_eq(work.count, 0);
    ck_assert_uint_le(sizeof(work), 12288);
}
END_TEST

START_TEST(regions_and_levels_are_counted_apart)
{
    static account_work_t work;
    double slots[ACCOUNT_WORK_MAX];
    account_work_count(&work, 7, 0, 1, 1000);
    account_work_count(&work, 7, 1, 1, 2000);
    account_work_count(&work, 8, 1, 1, 4000);
    account_work_update(&work, 100);
    ck_assert_uint_eq(account_work_list(&work, 0, 1, slots), 1);
    ck_assert_uint_eq(account_work_list(&work, 1, 1, slots), 2);
    ck_assert_uint_eq(account_work_list(&work, 1, 0, slots), 0);
    ck_assert_double_eq(account_work_slots(&work, 7, 1, 1), 2 * account_work_slots(&work, 7, 0, 1));
    ck_assert_double_eq(account_work_slots(&work, 9, 0, 1), 0);
}
END_TEST

Suite *
suite_gateway_fair_share(void)
{
    Suite *suite = suite_create("gateway: fair share");
    TCase *tests = tcase_create("fair share");
    tcase_add_test(tests, limit_fills_the_room_and_binds_the_largest_only);
    tcase_add_test(tests, account_at_six_times_its_usual_takes_no_room_of_others);
    tcase_add_test(tests, long_requests_do_not_hold_the_slots_of_short_ones);
    tcase_add_test(tests, rare_accounts_are_held_to_the_share_of_their_urgency);
    tcase_add_test(tests, nothing_is_refused_while_there_is_room);
    tcase_add_test(tests, table_of_accounts_is_bounded_and_keeps_the_heaviest);
    tcase_add_test(tests, regions_and_levels_are_counted_apart);
    suite_add_tcase(suite, tests);
    return suite;
}
