/* What backend servers tell of themselves: which notice holds, and what it does to choice. */
#include "base/xmalloc.h"
#include "gateway/policy/pass_over.h"
#include "gateway/state/notices.h"
#include "gateway/state/permits.h"
#include "test/suites.h"

static notice_t
limit_of(const char *backend, uint64_t born, double per_s, uint64_t said_ms)
{
    notice_t notice = {.born = born, .limit = {per_s >= 0, per_s >= 0 ? per_s : 0, said_ms}};
    name_set(&notice.backend, str_from(backend));
    return notice;
}

static const notice_t *
find(const notices_t *notices, uint64_t born)
{
    return notices_find(notices, STR("i-1"), born);
}

START_TEST(an_older_answer_that_comes_later_undoes_nothing)
{
    enum { NONE = -1 };
    notices_t notices = {0};
    notice_t news = limit_of("i-1", 0, 2, 500);
    ck_assert(notices_merge(&notices, &news).limit);
    /* The request was sent before the one that was answered with the limit. */
    news = limit_of("i-1", 0, NONE, 400);
    ck_assert(!notices_merge(&notices, &news).limit);
    ck_assert(find(&notices, 0)->limit.is_set);
    news = limit_of("i-1", 0, 1, 450);
    ck_assert(!notices_merge(&notices, &news).limit);
    ck_assert_double_eq(find(&notices, 0)->limit.per_s, 2);
    /* A later one lifts it, and then an older one does not bring it back. */
    news = limit_of("i-1", 0, NONE, 700);
    ck_assert(notices_merge(&notices, &news).limit);
    news = limit_of("i-1", 0, 2, 650);
    ck_assert(!notices_merge(&notices, &news).limit);
    ck_assert(!find(&notices, 0)->limit.is_set);
    notices_free(&notices);
}
END_TEST

START_TEST(each_limit_is_kept_and_those_far_from_the_last_are_news)
{
    notices_t notices = {0};
    const double limits[] = {2, 2.1, 1.9, 1.5, 0};
    const bool news[] = {true, false, false, true, true};
    for (size_t i = 0; i < ALEN(limits); i++) {
        const notice_t notice = limit_of("i-1", 0, limits[i], 100 + i);
        ck_assert(notices_merge(&notices, &notice).limit == news[i]);
        ck_assert_double_eq(find(&notices, 0)->limit.per_s, limits[i]);
    }
    notices_free(&notices);
}
END_TEST

START_TEST(a_later_life_begins_without_a_notice)
{
    notices_t notices = {0};
    notice_t news = limit_of("i-1", 10, 2, 500);
    news.leaving = true;
    notices_merge(&notices, &news);
    ck_assert(find(&notices, 10)->leaving);
    ck_assert_ptr_null(find(&notices, 20));
    news = limit_of("i-1", 20, 5, 600);
    notices_merge(&notices, &news);
    ck_assert(!find(&notices, 20)->leaving);
    news = limit_of("i-1", 10, 1, 700); /* of the earlier life, late */
    news.leaving = true;
    notices_merge(&notices, &news);
    ck_assert_double_eq(find(&notices, 20)->limit.per_s, 5);
    ck_assert(!find(&notices, 20)->leaving);
    notices_free(&notices);
}
END_TEST

START_TEST(leaving_stays_for_a_life)
{
    notices_t notices = {0};
    notice_t news = limit_of("i-1", 0, 2, 500);
    news.leaving = true;
    ck_assert(notices_merge(&notices, &news).leaving);
    news = limit_of("i-1", 0, 2, 600);
    ck_assert(!notices_merge(&notices, &news).leaving);
    ck_assert(find(&notices, 0)->leaving);
    notices_free(&notices);
}
END_TEST

START_TEST(instances_do_not_remind_each_other_for_ever)
{
    enum { HEARTBEAT_MS = 400, LONG_MS = 600000 };
    notices_t one = {0};
    notices_t other = {0};
    notice_t news = limit_of("i-1", 0, 2, 500);
    news.leaving = true;
    news.leaving_since_ms = 500;
    notices_merge(&one, &news);
    for (uint64_t now_ms = 1000; now_ms < LONG_MS; now_ms += HEARTBEAT_MS) {
        if (one.count > 0)
            notices_merge(&other, &one.items[0]);
        if (other.count > 0)
            notices_merge(&one, &other.items[0]);
        notices_expire(&one, now_ms);
        notices_expire(&other, now_ms);
    }
    ck_assert_uint_eq(one.count + other.count, 0);
    notices_free(&one);
    notices_free(&other);
}
END_TEST

START_TEST(what_says_nothing_has_no_entry)
{
    notices_t notices = {0};
    const notice_t news = limit_of("i-1", 0, -1, 500);
    ck_assert(!notices_merge(&notices, &news).limit);
    ck_assert_uint_eq(notices.count, 0);
    notices_free(&notices);
}
END_TEST

START_TEST(permits_do_not_pile_up_while_an_instance_stands_still)
{
    enum { STILL_MS = 60000 };
    permits_t permits = {0};
    uint32_t wait_ms = 0;
    unsigned given = 0;
    const permit_rate_t rate = named_limit_permits(5, 9, 9);
    ck_assert(!permits_take(&permits, 1, rate, 1000, &wait_ms)); /* an owner begins with none */
    ck_assert_uint_gt(wait_ms, 0);
    ck_assert(permits_take(&permits, 1, rate, 1000 + wait_ms, &wait_ms));
    while (permits_take(&permits, 1, rate, 1000 + STILL_MS, &wait_ms))
        given++;
    ck_assert_uint_le(given, 5 + 2 * 5); /* what all instances together may hold */
    ck_assert_uint_le(given, (unsigned)rate.burst);
    permits_free(&permits);
}
END_TEST

START_TEST(a_limit_of_nothing_lets_one_find_out)
{
    enum { SPAN_MS = 100000 };
    permits_t permits = {0};
    unsigned given = 0;
    for (uint64_t now_ms = 0; now_ms < SPAN_MS; now_ms += 10) {
        uint32_t wait_ms;
        given += permits_take(&permits, 1, named_limit_permits(0, 9, 9), now_ms, &wait_ms);
    }
    ck_assert_uint_ge(given, 9);
    ck_assert_uint_le(given, 10);
    permits_free(&permits);
}
END_TEST

START_TEST(a_lower_limit_binds_at_once)
{
    permits_t permits = {0};
    unsigned given = 0;
    uint32_t wait_ms;
    permits_take(&permits, 1, named_limit_permits(50, 9, 9), 0, &wait_ms);
    for (uint64_t now_ms = 10000; now_ms < 14000; now_ms++)
        given += permits_take(&permits, 1, named_limit_permits(0.5, 9, 9), now_ms, &wait_ms);
    ck_assert_uint_le(given, 8);
    permits_free(&permits);
}
END_TEST

START_TEST(a_backend_at_its_limit_is_passed_over_until_the_next_permit)
{
    backend_t backend = {.limit = {true, 2, 100}, .next_permit_ms = 700};
    ck_assert_int_eq(pass_over(&backend, true, 500), PASSED_AT_LIMIT);
    ck_assert_uint_eq(pass_over_wait_ms(&backend, 500), 200);
    ck_assert_int_eq(pass_over(&backend, true, 700), PASSED_NOT);
    ck_assert_int_eq(pass_over(&backend, false, 700), PASSED_AT_LIMIT);
    backend.limit.is_set = false;
    ck_assert_int_eq(pass_over(&backend, true, 500), PASSED_NOT);
    ck_assert_int_eq(pass_over(&backend, false, 500), PASSED_NOT);
}
END_TEST

START_TEST(a_backend_that_says_it_leaves_is_passed_over_for_good)
{
    backend_t backend = {.listed = true, .stated_leaving = true, .limit = {true, 2, 100}};
    ck_assert_int_eq(pass_over(&backend, true, 500), PASSED_LEAVES);
    ck_assert_uint_eq(pass_over_wait_ms(&backend, 500), 0);
    ck_assert(backend_is_leaving(&backend) && !backend_is_usable(&backend, 500));
}
END_TEST

START_TEST(a_limited_backend_counts_for_the_slots_that_its_limit_keeps_busy)
{
    ck_assert_double_eq_tol(named_limit_room(2, 4, 500), 1, 1e-9);
    ck_assert_double_eq_tol(named_limit_room(20, 4, 500), 4, 1e-9);
    ck_assert_double_eq_tol(named_limit_room(2, 4, 0), 4, 1e-9);
}
END_TEST

Suite *
suite_gateway_notices(void)
{
    Suite *suite = suite_create("gateway: notices");
    TCase *tests = tcase_create("notices");
    tcase_add_test(tests, an_older_answer_that_comes_later_undoes_nothing);
    tcase_add_test(tests, each_limit_is_kept_and_those_far_from_the_last_are_news);
    tcase_add_test(tests, a_later_life_begins_without_a_notice);
    tcase_add_test(tests, leaving_stays_for_a_life);
    tcase_add_test(tests, instances_do_not_remind_each_other_for_ever);
    tcase_add_test(tests, what_says_nothing_has_no_entry);
    tcase_add_test(tests, permits_do_not_pile_up_while_an_instance_stands_still);
    tcase_add_test(tests, a_limit_of_nothing_lets_one_find_out);
    tcase_add_test(tests, a_lower_limit_binds_at_once);
    tcase_add_test(tests, a_backend_at_its_limit_is_passed_over_until_the_next_permit);
    tcase_add_test(tests, a_backend_that_says_it_leaves_is_passed_over_for_good);
    tcase_add_test(tests, a_limited_backend_counts_for_the_slots_that_its_limit_keeps_busy);
    suite_add_tcase(suite, tests);
    return suite;
}
