/* Notices of backend servers: which one is in force, and how it affects the choice of backends. */
#include "base/xmalloc.h"
#include "gateway/policy/backend_skip.h"
#include "gateway/state/notices.h"
#include "gateway/state/permits.h"
#include "test/suites.h"

static notice_t
make_limit_notice(const char *backend, uint64_t born, double per_s, uint64_t said_ms)
{
    notice_t notice = {.born = born, .limit = {per_s >= 0, per_s >= 0 ? per_s : 0, said_ms}};
    name_set(&notice.backend, str_from(backend));
    return notice;
}

static const notice_t *
find_notice(const notices_t *notices, uint64_t born)
{
    return notices_find(notices, STR("i-1"), born);
}

START_TEST(late_older_answer_does_not_override_limit)
{
    enum { NONE = -1 };
    notices_t notices = {0};
    notice_t update = make_limit_notice("i-1", 0, 2, 500);
    ck_assert(notices_merge(&notices, &update).limit);
    /* Its request was sent before the one answered with the limit. */
    update = make_limit_notice("i-1", 0, NONE, 400);
    ck_assert(!notices_merge(&notices, &update).limit);
    ck_assert(find_notice(&notices, 0)->limit.is_set);
    update = make_limit_notice("i-1", 0, 1, 450);
    ck_assert(!notices_merge(&notices, &update).limit);
    ck_assert_double_eq(find_notice(&notices, 0)->limit.per_s, 2);
    /* A newer answer withdraws the limit, and an older one does not restore it. */
    update = make_limit_notice("i-1", 0, NONE, 700);
    ck_assert(notices_merge(&notices, &update).limit);
    update = make_limit_notice("i-1", 0, 2, 650);
    ck_assert(!notices_merge(&notices, &update).limit);
    ck_assert(!find_notice(&notices, 0)->limit.is_set);
    notices_free(&notices);
}
END_TEST

START_TEST(every_limit_is_stored_and_large_changes_published)
{
    notices_t notices = {0};
    const double limits[] = {2, 2.1, 1.9, 1.5, 0};
    const bool update[] = {true, false, false, true, true};
    for (size_t i = 0; i < ALEN(limits); i++) {
        const notice_t notice = make_limit_notice("i-1", 0, limits[i], 100 + i);
        ck_assert(notices_merge(&notices, &notice).limit == update[i]);
        ck_assert_double_eq(find_notice(&notices, 0)->limit.per_s, limits[i]);
    }
    notices_free(&notices);
}
END_TEST

START_TEST(new_incarnation_starts_without_notice)
{
    notices_t notices = {0};
    notice_t update = make_limit_notice("i-1", 10, 2, 500);
    update.leaving = true;
    notices_merge(&notices, &update);
    ck_assert(find_notice(&notices, 10)->leaving);
    ck_assert_ptr_null(find_notice(&notices, 20));
    update = make_limit_notice("i-1", 20, 5, 600);
    notices_merge(&notices, &update);
    ck_assert(!find_notice(&notices, 20)->leaving);
    update = make_limit_notice("i-1", 10, 1, 700); /* late, of the earlier incarnation */
    update.leaving = true;
    notices_merge(&notices, &update);
    ck_assert_double_eq(find_notice(&notices, 20)->limit.per_s, 5);
    ck_assert(!find_notice(&notices, 20)->leaving);
    notices_free(&notices);
}
END_TEST

START_TEST(leaving_persists_for_incarnation)
{
    notices_t notices = {0};
    notice_t update = make_limit_notice("i-1", 0, 2, 500);
    update.leaving = true;
    ck_assert(notices_merge(&notices, &update).leaving);
    update = make_limit_notice("i-1", 0, 2, 600);
    ck_assert(!notices_merge(&notices, &update).leaving);
    ck_assert(find_notice(&notices, 0)->leaving);
    notices_free(&notices);
}
END_TEST

START_TEST(notices_expire_despite_gossip)
{
    enum { HEARTBEAT_MS = 400, LONG_MS = 600000 };
    notices_t first = {0};
    notices_t second = {0};
    notice_t update = make_limit_notice("i-1", 0, 2, 500);
    update.leaving = true;
    update.leaving_since_ms = 500;
    notices_merge(&first, &update);
    for (uint64_t now_ms = 1000; now_ms < LONG_MS; now_ms += HEARTBEAT_MS) {
        if (first.count > 0)
            notices_merge(&second, &first.items[0]);
        if (second.count > 0)
            notices_merge(&first, &second.items[0]);
        notices_expire(&first, now_ms);
        notices_expire(&second, now_ms);
    }
    ck_assert_uint_eq(first.count + second.count, 0);
    notices_free(&first);
    notices_free(&second);
}
END_TEST

START_TEST(empty_notice_creates_no_entry)
{
    notices_t notices = {0};
    const notice_t update = make_limit_notice("i-1", 0, -1, 500);
    ck_assert(!notices_merge(&notices, &update).limit);
    ck_assert_uint_eq(notices.count, 0);
    notices_free(&notices);
}
END_TEST

START_TEST(permits_do_not_accumulate_during_stall)
{
    enum { STILL_MS = 60000 };
    permits_t permits = {0};
    uint32_t wait_ms = 0;
    unsigned granted = 0;
    const permit_rate_t rate = rate_limit_permits(5, 9, 9);
    ck_assert(
        !permits_take(&permits, 1, rate, 1000, &wait_ms)); /* a new owner starts with no permits */
    ck_assert_uint_gt(wait_ms, 0);
    ck_assert(permits_take(&permits, 1, rate, 1000 + wait_ms, &wait_ms));
    while (permits_take(&permits, 1, rate, 1000 + STILL_MS, &wait_ms))
        granted++;
    ck_assert_uint_le(granted, 5 + 2 * 5); /* that all instances together may hold */
    ck_assert_uint_le(granted, (unsigned)rate.burst);
    permits_free(&permits);
}
END_TEST

START_TEST(zero_limit_still_allows_probes)
{
    enum { SPAN_MS = 100000 };
    permits_t permits = {0};
    unsigned granted = 0;
    for (uint64_t now_ms = 0; now_ms < SPAN_MS; now_ms += 10) {
        uint32_t wait_ms;
        granted += permits_take(&permits, 1, rate_limit_permits(0, 9, 9), now_ms, &wait_ms);
    }
    ck_assert_uint_ge(granted, 9);
    ck_assert_uint_le(granted, 10);
    permits_free(&permits);
}
END_TEST

START_TEST(lower_limit_applies_immediately)
{
    permits_t permits = {0};
    unsigned granted = 0;
    uint32_t wait_ms;
    permits_take(&permits, 1, rate_limit_permits(50, 9, 9), 0, &wait_ms);
    for (uint64_t now_ms = 10000; now_ms < 14000; now_ms++)
        granted += permits_take(&permits, 1, rate_limit_permits(0.5, 9, 9), now_ms, &wait_ms);
    ck_assert_uint_le(granted, 8);
    permits_free(&permits);
}
END_TEST

START_TEST(backend_at_limit_is_skipped_until_next_permit)
{
    backend_t backend = {.limit = {true, 2, 100}, .next_permit_ms = 700};
    ck_assert_int_eq(backend_skip_reason(&backend, true, 500), SKIP_RATE_LIMITED);
    ck_assert_uint_eq(backend_skip_wait_ms(&backend, 500), 200);
    ck_assert_int_eq(backend_skip_reason(&backend, true, 700), SKIP_NONE);
    ck_assert_int_eq(backend_skip_reason(&backend, false, 700), SKIP_RATE_LIMITED);
    backend.limit.is_set = false;
    ck_assert_int_eq(backend_skip_reason(&backend, true, 500), SKIP_NONE);
    ck_assert_int_eq(backend_skip_reason(&backend, false, 500), SKIP_NONE);
}
END_TEST

START_TEST(leaving_backend_is_skipped_permanently)
{
    backend_t backend = {.listed = true, .stated_leaving = true, .limit = {true, 2, 100}};
    ck_assert_int_eq(backend_skip_reason(&backend, true, 500), SKIP_LEAVING);
    ck_assert_uint_eq(backend_skip_wait_ms(&backend, 500), 0);
    ck_assert(backend_is_leaving(&backend) && !backend_is_usable(&backend, 500));
}
END_TEST

START_TEST(limited_backend_counts_fewer_slots)
{
    ck_assert_double_eq_tol(rate_limit_usable_slots(2, 4, 500), 1, 1e-9);
    ck_assert_double_eq_tol(rate_limit_usable_slots(20, 4, 500), 4, 1e-9);
    ck_assert_double_eq_tol(rate_limit_usable_slots(2, 4, 0), 4, 1e-9);
}
END_TEST

Suite *
suite_gateway_notices(void)
{
    Suite *suite = suite_create("gateway: notices");
    TCase *tests = tcase_create("notices");
    tcase_add_test(tests, late_older_answer_does_not_override_limit);
    tcase_add_test(tests, every_limit_is_stored_and_large_changes_published);
    tcase_add_test(tests, new_incarnation_starts_without_notice);
    tcase_add_test(tests, leaving_persists_for_incarnation);
    tcase_add_test(tests, notices_expire_despite_gossip);
    tcase_add_test(tests, empty_notice_creates_no_entry);
    tcase_add_test(tests, permits_do_not_accumulate_during_stall);
    tcase_add_test(tests, zero_limit_still_allows_probes);
    tcase_add_test(tests, lower_limit_applies_immediately);
    tcase_add_test(tests, backend_at_limit_is_skipped_until_next_permit);
    tcase_add_test(tests, leaving_backend_is_skipped_permanently);
    tcase_add_test(tests, limited_backend_counts_fewer_slots);
    suite_add_tcase(suite, tests);
    return suite;
}
