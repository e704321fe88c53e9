/* The evidence on requests under which backend servers have ended, and what is decided from it. */
#include <stdlib.h>

#include "base/xmalloc.h"
#include "gateway/membership/suspect_message.h"
#include "gateway/state/suspects.h"
#include "test/suites.h"

enum {
    START_MS = 1000000,
    REQUEST = 7,
    BYSTANDER = 8,
    FAMILIES = 1 << 20,
    RUN_MS = 100,
    VERSION = 5
};

static const str_t text = {"10.0.0.1:4 GET h.example/x", 26};

/* A request that is alone in its family. */
static fingerprint_t
alone(uint64_t request)
{
    return (fingerprint_t){request, FAMILIES + request};
}

static void
end_under_member(suspects_t *suspects, fingerprint_t fingerprint, uint64_t life, uint64_t now_ms)
{
    suspects_add_end(suspects, &fingerprint, text, life, VERSION, now_ms);
    suspects_confirm(suspects, life, now_ms);
}

static void
end_under(suspects_t *suspects, uint64_t request, uint64_t life, uint64_t now_ms)
{
    end_under_member(suspects, alone(request), life, now_ms);
}

static quarantine_t
decide(const suspects_t *suspects, uint64_t request, uint64_t now_ms)
{
    const fingerprint_t fingerprint = alone(request);
    return suspects_decide(suspects, &fingerprint, now_ms);
}

static quarantine_verdict_t
verdict_at(const suspects_t *suspects, uint64_t request, uint64_t now_ms)
{
    return decide(suspects, request, now_ms).verdict;
}

static unsigned
ends_of(const suspects_t *suspects, uint64_t request)
{
    const fingerprint_t fingerprint = alone(request);
    return suspects_ends(suspects, &fingerprint);
}

static void
try(suspects_t *suspects, uint64_t request, uint64_t now_ms)
{
    const fingerprint_t fingerprint = alone(request);
    suspects_begin_trial(suspects, &fingerprint, now_ms);
}

static void
finish(suspects_t *suspects, uint64_t request, uint64_t now_ms)
{
    const fingerprint_t fingerprint = alone(request);
    suspects_add_finished_run(suspects, &fingerprint, VERSION, now_ms);
}

START_TEST(the_terms_grow)
{
    uint64_t before = 0;
    ck_assert_uint_eq(quarantine_term_ms(0), 0);
    ck_assert_uint_eq(quarantine_term_ms(1), 0);
    for (unsigned ends = 2; ends <= 6; ends++) {
        ck_assert_uint_gt(quarantine_term_ms(ends), before);
        before = quarantine_term_ms(ends);
    }
    ck_assert_uint_eq(quarantine_term_ms(20), before);
    ck_assert(quarantine_may_resend(1));
    ck_assert(!quarantine_may_resend(2));
}
END_TEST

START_TEST(a_version_that_finished_a_run_comes_first_and_a_new_one_is_tried)
{
    const quarantine_t free = {.verdict = QUARANTINE_FREE};
    const quarantine_t trial = {.verdict = QUARANTINE_TRIAL};
    const quarantine_t held = {.verdict = QUARANTINE_HELD, .held_ms = 1};
    const quarantine_t with_new[] = {held, trial};
    const quarantine_t with_free[] = {trial, free};
    const quarantine_t all_held[] = {held, held};
    ck_assert_uint_eq(quarantine_pick_version(&free, with_free, 2), 2);
    ck_assert_uint_eq(quarantine_pick_version(&held, with_new, 2), 1);
    ck_assert_uint_eq(quarantine_pick_version(&held, with_free, 2), 1);
    ck_assert_uint_eq(quarantine_pick_version(&trial, with_free, 2), 1);
    ck_assert_uint_eq(quarantine_pick_version(&trial, with_new, 2), 2);
    ck_assert_uint_eq(quarantine_pick_version(&held, all_held, 2), 2);
    ck_assert_uint_eq(quarantine_pick_version(&held, NULL, 0), 0);
}
END_TEST

START_TEST(the_second_end_holds_a_request_and_a_finished_run_frees_it)
{
    suspects_t suspects = {0};
    end_under(&suspects, REQUEST, 1, START_MS);
    ck_assert_int_eq(verdict_at(&suspects, REQUEST, START_MS), QUARANTINE_FREE);
    end_under(&suspects, REQUEST, 2, START_MS + RUN_MS);
    const quarantine_t held = decide(&suspects, REQUEST, START_MS + RUN_MS + 1000);
    ck_assert_int_eq(held.verdict, QUARANTINE_HELD);
    ck_assert_uint_eq(held.held_ms, quarantine_term_ms(2) - 1000);
    const uint64_t over_ms = START_MS + RUN_MS + quarantine_term_ms(2);
    ck_assert_int_eq(verdict_at(&suspects, REQUEST, over_ms), QUARANTINE_TRIAL);
    try(&suspects, REQUEST, over_ms);
    ck_assert_int_eq(verdict_at(&suspects, REQUEST, over_ms + 1), QUARANTINE_HELD);
    finish(&suspects, REQUEST, over_ms + RUN_MS);
    ck_assert_int_eq(verdict_at(&suspects, REQUEST, over_ms + RUN_MS), QUARANTINE_FREE);
    suspects_free(&suspects);
}
END_TEST

START_TEST(a_trial_that_ends_a_backend_server_holds_for_longer)
{
    suspects_t suspects = {0};
    end_under(&suspects, REQUEST, 1, START_MS);
    end_under(&suspects, REQUEST, 2, START_MS);
    end_under(&suspects, REQUEST, 3, START_MS + quarantine_term_ms(2));
    ck_assert_uint_eq(decide(&suspects, REQUEST, START_MS + quarantine_term_ms(2)).held_ms,
                      quarantine_term_ms(3));
    suspects_free(&suspects);
}
END_TEST

START_TEST(one_end_counts_once_and_is_taken_back_if_the_backend_server_lives)
{
    suspects_t suspects = {0};
    end_under(&suspects, REQUEST, 1, START_MS);
    end_under(&suspects, REQUEST, 1, START_MS + 1); /* another run there, seen later */
    ck_assert_uint_eq(ends_of(&suspects, REQUEST), 1);
    const fingerprint_t fingerprint = alone(REQUEST);
    suspects_add_end(&suspects, &fingerprint, text, 2, VERSION, START_MS + 2);
    ck_assert_int_eq(verdict_at(&suspects, REQUEST, START_MS + 2), QUARANTINE_HELD);
    suspects_retract(&suspects, 2);
    ck_assert_int_eq(verdict_at(&suspects, REQUEST, START_MS + 2), QUARANTINE_FREE);
    suspects_free(&suspects);
}
END_TEST

START_TEST(a_request_that_was_only_there_goes_on)
{
    /* It shares every end, and finishes a run between two of them. */
    suspects_t suspects = {0};
    for (uint64_t life = 1; life <= 20; life++) {
        const uint64_t now_ms = START_MS + life * RUN_MS;
        end_under(&suspects, REQUEST, life, now_ms);
        end_under(&suspects, BYSTANDER, life, now_ms);
        ck_assert_int_eq(verdict_at(&suspects, BYSTANDER, now_ms), QUARANTINE_FREE);
        finish(&suspects, BYSTANDER, now_ms + 1);
    }
    ck_assert_int_eq(verdict_at(&suspects, REQUEST, START_MS + 21 * RUN_MS), QUARANTINE_HELD);
    suspects_free(&suspects);
}
END_TEST

/* What `from` knows of the request, as `to` hears it. */
static void
tell(const suspects_t *from, suspects_t *to, uint64_t now_ms)
{
    suspect_message_t message;
    suspect_t theirs;
    suspect_message_fill(&message, suspects_find(from, REQUEST), now_ms);
    suspect_message_read(&message.message, &theirs, now_ms);
    suspects_merge(to, &theirs, now_ms);
}

START_TEST(instances_put_their_evidence_together)
{
    suspects_t a = {0};
    suspects_t b = {0};
    end_under(&a, REQUEST, 1, START_MS);
    end_under(&b, REQUEST, 2, START_MS + RUN_MS);
    tell(&a, &b, START_MS + RUN_MS);
    tell(&b, &a, START_MS + RUN_MS);
    tell(&b, &a, START_MS + RUN_MS); /* twice is as once */
    ck_assert_uint_eq(ends_of(&a, REQUEST), 2);
    ck_assert_uint_eq(decide(&a, REQUEST, START_MS + RUN_MS).held_ms,
                      decide(&b, REQUEST, START_MS + RUN_MS).held_ms);
    /* A trial at one keeps the other out, and its finished run frees both. */
    const uint64_t over_ms = START_MS + RUN_MS + quarantine_term_ms(2);
    try(&a, REQUEST, over_ms);
    tell(&a, &b, over_ms);
    ck_assert_int_eq(verdict_at(&b, REQUEST, over_ms), QUARANTINE_HELD);
    finish(&a, REQUEST, over_ms + RUN_MS);
    tell(&a, &b, over_ms + RUN_MS);
    ck_assert_int_eq(verdict_at(&b, REQUEST, over_ms + RUN_MS), QUARANTINE_FREE);
    suspects_free(&a);
    suspects_free(&b);
}
END_TEST

START_TEST(a_request_whose_caller_changes_its_address_is_held_as_a_family)
{
    enum { FAMILY = 99 };
    suspects_t suspects = {0};
    const fingerprint_t next = {4, FAMILY};
    end_under_member(&suspects, (fingerprint_t){1, FAMILY}, 1, START_MS);
    end_under_member(&suspects, (fingerprint_t){1, FAMILY}, 2, START_MS);
    /* One caller's ends are its own. */
    ck_assert_int_eq(suspects_decide(&suspects, &next, START_MS).verdict, QUARANTINE_FREE);
    end_under_member(&suspects, (fingerprint_t){2, FAMILY}, 3, START_MS);
    ck_assert_int_eq(suspects_decide(&suspects, &next, START_MS).verdict, QUARANTINE_HELD);
    ck_assert_uint_eq(suspects_ends(&suspects, &next), 3);
    /* Another caller's finished run clears the family, and not who is held for itself. */
    suspects_add_finished_run(&suspects, &next, VERSION, START_MS + 1);
    ck_assert_int_eq(suspects_decide(&suspects, &next, START_MS + 2).verdict, QUARANTINE_FREE);
    const fingerprint_t first = {1, FAMILY};
    ck_assert_int_eq(suspects_decide(&suspects, &first, START_MS + 2).verdict, QUARANTINE_HELD);
    suspects_free(&suspects);
}
END_TEST

START_TEST(a_request_whose_ends_others_explain_is_not_held)
{
    /* Two that end what runs them, and one that was with each of them once. */
    suspects_t suspects = {0};
    end_under(&suspects, REQUEST, 1, START_MS);
    end_under(&suspects, BYSTANDER, 1, START_MS);
    end_under(&suspects, REQUEST + 10, 2, START_MS);
    end_under(&suspects, BYSTANDER, 2, START_MS);
    ck_assert_int_eq(verdict_at(&suspects, BYSTANDER, START_MS), QUARANTINE_HELD);
    end_under(&suspects, REQUEST, 3, START_MS);
    end_under(&suspects, REQUEST + 10, 4, START_MS);
    ck_assert_int_eq(verdict_at(&suspects, REQUEST, START_MS), QUARANTINE_HELD);
    ck_assert_int_eq(verdict_at(&suspects, REQUEST + 10, START_MS), QUARANTINE_HELD);
    ck_assert_int_eq(verdict_at(&suspects, BYSTANDER, START_MS), QUARANTINE_FREE);
    /* A third end of its own tells more than what it shared. */
    end_under(&suspects, BYSTANDER, 5, START_MS);
    ck_assert_int_eq(verdict_at(&suspects, BYSTANDER, START_MS), QUARANTINE_HELD);
    suspects_free(&suspects);
}
END_TEST

START_TEST(of_two_that_were_always_together_both_are_held)
{
    suspects_t suspects = {0};
    for (uint64_t life = 1; life <= 2; life++) {
        end_under(&suspects, REQUEST, life, START_MS);
        end_under(&suspects, BYSTANDER, life, START_MS);
    }
    ck_assert_int_eq(verdict_at(&suspects, REQUEST, START_MS), QUARANTINE_HELD);
    ck_assert_int_eq(verdict_at(&suspects, BYSTANDER, START_MS), QUARANTINE_HELD);
    /* Until one of them ends a third. */
    end_under(&suspects, REQUEST, 3, START_MS + 3000);
    ck_assert_int_eq(verdict_at(&suspects, BYSTANDER, START_MS), QUARANTINE_FREE);
    suspects_free(&suspects);
}
END_TEST

START_TEST(a_caller_that_was_there_with_its_like_is_not_held_with_it)
{
    enum { FAMILY = 99 };
    suspects_t suspects = {0};
    const fingerprint_t poison = {1, FAMILY};
    const fingerprint_t like = {2, FAMILY};
    end_under_member(&suspects, poison, 1, START_MS);
    end_under_member(&suspects, like, 1, START_MS);
    end_under_member(&suspects, poison, 2, START_MS);
    ck_assert_int_eq(suspects_decide(&suspects, &poison, START_MS).verdict, QUARANTINE_HELD);
    ck_assert_int_eq(suspects_decide(&suspects, &like, START_MS).verdict, QUARANTINE_FREE);
    suspects_free(&suspects);
}
END_TEST

START_TEST(ends_at_which_one_member_always_was_do_not_count_for_the_family)
{
    enum { FAMILY = 99 };
    suspects_t suspects = {0};
    const fingerprint_t next = {3, FAMILY};
    end_under_member(&suspects, (fingerprint_t){1, FAMILY}, 1, START_MS);
    end_under_member(&suspects, (fingerprint_t){2, FAMILY}, 1, START_MS);
    end_under_member(&suspects, (fingerprint_t){1, FAMILY}, 2, START_MS);
    ck_assert_uint_eq(suspects_ends(&suspects, &next), 0);
    ck_assert_int_eq(suspects_decide(&suspects, &next, START_MS).verdict, QUARANTINE_FREE);
    suspects_free(&suspects);
}
END_TEST

START_TEST(what_is_held_outlives_the_instances_that_saw_it)
{
    /* Each is killed after the next has started: none of the last ones saw an end. */
    enum { LIVES = 4 };
    suspects_t lives[LIVES] = {0};
    end_under(&lives[0], REQUEST, 1, START_MS);
    end_under(&lives[0], REQUEST, 2, START_MS);
    for (size_t i = 1; i < LIVES; i++) {
        tell(&lives[i - 1], &lives[i], START_MS + i);
        suspects_free(&lives[i - 1]);
    }
    ck_assert_int_eq(verdict_at(&lives[LIVES - 1], REQUEST, START_MS + LIVES), QUARANTINE_HELD);
    suspects_free(&lives[LIVES - 1]);
}
END_TEST

START_TEST(another_version_is_tried_before_the_term_is_over)
{
    suspects_t suspects = {0};
    const fingerprint_t fingerprint = alone(REQUEST);
    for (uint64_t life = 1; life <= 3; life++)
        end_under(&suspects, REQUEST, life, START_MS);
    ck_assert_int_eq(suspects_decide_version(&suspects, &fingerprint, VERSION, START_MS).verdict,
                     QUARANTINE_HELD);
    ck_assert_int_eq(
        suspects_decide_version(&suspects, &fingerprint, VERSION + 1, START_MS).verdict,
        QUARANTINE_TRIAL);
    /* One try in the fleet; and once that version has ended too, none before the next term. */
    try(&suspects, REQUEST, START_MS);
    ck_assert_int_eq(
        suspects_decide_version(&suspects, &fingerprint, VERSION + 1, START_MS + 1).verdict,
        QUARANTINE_HELD);
    suspects_add_end(&suspects, &fingerprint, text, 4, VERSION + 1, START_MS + 2);
    ck_assert_int_eq(suspects_decide_version(&suspects, &fingerprint, VERSION + 1,
                                             START_MS + 2 + QUARANTINE_TRIAL_MS)
                         .verdict,
                     QUARANTINE_HELD);
    suspects_free(&suspects);
}
END_TEST

START_TEST(a_version_that_bears_it_gets_it_and_the_others_do_not)
{
    enum { MENDED = VERSION + 1 };
    suspects_t a = {0};
    suspects_t b = {0};
    const fingerprint_t fingerprint = alone(REQUEST);
    end_under(&a, REQUEST, 1, START_MS);
    end_under(&a, REQUEST, 2, START_MS);
    tell(&a, &b, START_MS);
    suspects_add_finished_run(&a, &fingerprint, MENDED, START_MS + 10);
    tell(&a, &b, START_MS + 20);
    const suspects_t *both[] = {&a, &b};
    for (size_t i = 0; i < ALEN(both); i++) {
        ck_assert_int_eq(verdict_at(both[i], REQUEST, START_MS + 30), QUARANTINE_HELD);
        ck_assert_int_eq(
            suspects_decide_version(both[i], &fingerprint, MENDED, START_MS + 30).verdict,
            QUARANTINE_FREE);
        ck_assert_int_eq(
            suspects_decide_version(both[i], &fingerprint, VERSION, START_MS + 30).verdict,
            QUARANTINE_HELD);
    }
    /* Until one of that version ends too. */
    suspects_add_end(&b, &fingerprint, text, 3, MENDED, START_MS + 40);
    ck_assert_int_eq(suspects_decide_version(&b, &fingerprint, MENDED, START_MS + 40).verdict,
                     QUARANTINE_HELD);
    /* A run that finishes on the version that ended clears it. */
    suspects_add_finished_run(&a, &fingerprint, VERSION, START_MS + 50);
    ck_assert_uint_eq(ends_of(&a, REQUEST), 0);
    suspects_free(&a);
    suspects_free(&b);
}
END_TEST

/* Backend servers that end under a request that comes three times a second, at an instance that
 * knows nothing before: what a fleet that was killed all at once costs again. */
static unsigned
ends_within(uint64_t ms)
{
    enum { EVERY_MS = 333 };
    suspects_t suspects = {0};
    uint64_t life = 0;
    for (uint64_t at_ms = START_MS; at_ms < START_MS + ms; at_ms += EVERY_MS) {
        if (verdict_at(&suspects, REQUEST, at_ms) == QUARANTINE_HELD)
            continue;
        do {
            end_under(&suspects, REQUEST, ++life, at_ms);
        } while (quarantine_may_resend(ends_of(&suspects, REQUEST)));
    }
    suspects_free(&suspects);
    return (unsigned)life;
}

START_TEST(a_caller_that_goes_on_ends_few)
{
    enum { MINUTE_MS = 60000 };
    ck_assert_uint_eq(ends_within(2000), 2);
    ck_assert_uint_eq(ends_within(30000), 3);
    ck_assert_uint_eq(ends_within(11 * MINUTE_MS), 6);
    ck_assert_uint_eq(ends_within(120 * MINUTE_MS), 6);
}
END_TEST

START_TEST(old_news_does_not_undo_a_clearing)
{
    suspects_t a = {0};
    suspects_t b = {0};
    end_under(&a, REQUEST, 1, START_MS);
    end_under(&a, REQUEST, 2, START_MS);
    tell(&a, &b, START_MS);
    ck_assert(suspects_lift(&b, REQUEST, START_MS + 10));
    tell(&a, &b, START_MS + 20); /* it has not heard of the clearing */
    ck_assert_uint_eq(ends_of(&b, REQUEST), 0);
    tell(&b, &a, START_MS + 30);
    ck_assert_uint_eq(ends_of(&a, REQUEST), 0);
    /* What ends later counts again. */
    end_under(&a, REQUEST, 3, START_MS + 40);
    tell(&a, &b, START_MS + 40);
    ck_assert_uint_eq(ends_of(&b, REQUEST), 1);
    suspects_free(&a);
    suspects_free(&b);
}
END_TEST

START_TEST(memory_is_bounded_and_what_is_held_stays)
{
    suspects_t suspects = {0};
    end_under(&suspects, REQUEST, 1, START_MS);
    end_under(&suspects, REQUEST, 2, START_MS);
    for (uint64_t i = 0; i < 3 * SUSPECTS_MAX; i++)
        end_under(&suspects, 1000 + i, 100 + i, START_MS + i);
    ck_assert_uint_eq(suspects.count, SUSPECTS_MAX);
    ck_assert_int_eq(verdict_at(&suspects, REQUEST, START_MS), QUARANTINE_HELD);
    /* All are forgotten in the end. */
    suspects_tick(&suspects, START_MS + 2 * quarantine_term_ms(20));
    ck_assert_uint_eq(suspects.count, 0);
    suspects_free(&suspects);
}
END_TEST

START_TEST(more_ends_than_are_kept_hold_as_long)
{
    suspects_t suspects = {0};
    for (uint64_t life = 1; life <= 3 * SUSPECT_ENDS_MAX; life++)
        end_under(&suspects, REQUEST, life, START_MS + life);
    ck_assert_uint_eq(ends_of(&suspects, REQUEST), SUSPECT_ENDS_MAX);
    ck_assert_uint_eq(decide(&suspects, REQUEST, START_MS + 3 * SUSPECT_ENDS_MAX).held_ms,
                      quarantine_term_ms(SUSPECT_ENDS_MAX));
    suspects_free(&suspects);
}
END_TEST

START_TEST(a_message_from_another_version_is_read_as_far_as_it_is_known)
{
    enum { MANY = 3 * SUSPECT_ENDS_MAX };
    Iris__SuspectEnd ends[MANY];
    Iris__SuspectEnd *list[MANY];
    Iris__Suspect message = IRIS__SUSPECT__INIT;
    suspect_t out;
    for (size_t i = 0; i < MANY; i++) {
        iris__suspect_end__init(&ends[i]);
        ends[i].life = i + 1;
        ends[i].age_ms = UINT32_MAX;
        list[i] = &ends[i];
    }
    message.request = REQUEST;
    message.n_ends = MANY;
    message.ends = list;
    message.cleared = 99;
    message.trial_left_ms = UINT32_MAX;
    suspect_message_read(&message, &out, START_MS);
    ck_assert_uint_eq(out.end_count, SUSPECT_ENDS_MAX);
    ck_assert_uint_ge(out.ends[0].at_ms, 1);
    ck_assert_int_eq(out.cleared, CLEARED_FINISHED);
    ck_assert_uint_eq(out.trial_until_ms, START_MS + QUARANTINE_TRIAL_MS);
}
END_TEST

Suite *
suite_gateway_suspects(void)
{
    Suite *suite = suite_create("gateway_suspects");
    TCase *tc = tcase_create("suspects");
    tcase_add_test(tc, the_terms_grow);
    tcase_add_test(tc, a_version_that_finished_a_run_comes_first_and_a_new_one_is_tried);
    tcase_add_test(tc, the_second_end_holds_a_request_and_a_finished_run_frees_it);
    tcase_add_test(tc, a_trial_that_ends_a_backend_server_holds_for_longer);
    tcase_add_test(tc, one_end_counts_once_and_is_taken_back_if_the_backend_server_lives);
    tcase_add_test(tc, a_request_that_was_only_there_goes_on);
    tcase_add_test(tc, instances_put_their_evidence_together);
    tcase_add_test(tc, a_request_whose_caller_changes_its_address_is_held_as_a_family);
    tcase_add_test(tc, a_request_whose_ends_others_explain_is_not_held);
    tcase_add_test(tc, of_two_that_were_always_together_both_are_held);
    tcase_add_test(tc, a_caller_that_was_there_with_its_like_is_not_held_with_it);
    tcase_add_test(tc, ends_at_which_one_member_always_was_do_not_count_for_the_family);
    tcase_add_test(tc, what_is_held_outlives_the_instances_that_saw_it);
    tcase_add_test(tc, another_version_is_tried_before_the_term_is_over);
    tcase_add_test(tc, a_version_that_bears_it_gets_it_and_the_others_do_not);
    tcase_add_test(tc, a_caller_that_goes_on_ends_few);
    tcase_add_test(tc, old_news_does_not_undo_a_clearing);
    tcase_add_test(tc, memory_is_bounded_and_what_is_held_stays);
    tcase_add_test(tc, more_ends_than_are_kept_hold_as_long);
    tcase_add_test(tc, a_message_from_another_version_is_read_as_far_as_it_is_known);
    suite_add_tcase(suite, tc);
    return suite;
}
