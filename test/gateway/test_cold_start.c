/* Cold-start pacing over all instances. */
#include "base/xmalloc.h"
#include "gateway/policy/cold_start.h"
#include "test/suites.h"

START_TEST(cold_backend_has_few_senders_with_diverging_lists)
{
    enum { PEERS = 9 };
    cold_sender_t all[PEERS];
    for (size_t i = 0; i < PEERS; i++)
        all[i] = (cold_sender_t){.key = 1000 + 77 * i, .mesh = i % 3};
    for (uint64_t backend = 1; backend < 300; backend++) {
        size_t senders = 0;
        size_t split_senders = 0;
        for (size_t i = 0; i < PEERS; i++) {
            senders += cold_start_is_sender(backend * 31, 1, all[i].key, all, PEERS);
            /* Half of the instances don't know the last four. */
            split_senders +=
                cold_start_is_sender(backend * 31, 1, all[i].key, all, i < 5 ? 5 : PEERS);
        }
        ck_assert_uint_ge(senders, 1);
        ck_assert_uint_le(senders, COLD_SENDERS);
        ck_assert_uint_le(split_senders, 2 * COLD_SENDERS);
    }
}
END_TEST

START_TEST(cold_rate_of_all_senders_is_bounded)
{
    /* 3.5 per second, over any second and all senders: at most 3.5 x 1.5 + 5. */
    enum { STEP_MS = 10, SPAN_MS = 4000 };
    unsigned sent[SPAN_MS / STEP_MS] = {0};
    for (int sender = 0; sender < COLD_SENDERS; sender++) {
        bucket_t tokens;
        cold_start_begin(&tokens, 3.5, 0);
        for (uint64_t at = 0; at < SPAN_MS; at += STEP_MS) {
            while (cold_start_may_send(&tokens, at)) {
                cold_start_count_send(&tokens, at);
                sent[at / STEP_MS]++;
            }
        }
    }
    for (size_t from = 0; from + 100 <= ALEN(sent); from++) {
        unsigned in_second = 0;
        for (size_t i = 0; i < 100; i++)
            in_second += sent[from + i];
        ck_assert_uint_le(in_second, 5);
    }
}
END_TEST

Suite *
suite_gateway_cold_start(void)
{
    Suite *suite = suite_create("gateway: cold start");
    TCase *tests = tcase_create("cold start");
    tcase_add_test(tests, cold_backend_has_few_senders_with_diverging_lists);
    tcase_add_test(tests, cold_rate_of_all_senders_is_bounded);
    suite_add_tcase(suite, tests);
    return suite;
}
