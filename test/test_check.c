/* Tests of the history checker: each rule accepts a good history and rejects a bad one. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/xmalloc.h"
#include "check/rules.h"
#include "test/suites.h"

#define S(n) #n "000000"

static const char region_write[] =
    "{\"t\":1,\"ev\":\"store_write\",\"kind\":\"region\",\"name\":\"r\",\"version\":1,\"value\":"
    "{\"limit\":1}}\n";
static const char table_write[] =
    "{\"t\":1,\"ev\":\"store_write\",\"kind\":\"table\",\"name\":\"s\",\"version\":2,\"value\":"
    "{\"rows\":[{\"place\":\"p\",\"limit\":1,\"rate\":1,\"cap\":5}],\"draining\":[\"s-1\"],"
    "\"edits\":[\"e1\"]}}\n";

#define ENTER(t, id)                                                                               \
    "{\"t\":" t ",\"ev\":\"enter\",\"id\":\"" id "\",\"service\":\"s\",\"place\":\"p\","           \
    "\"region\":\"r\",\"upstream\":\"s-1\"}\n"
#define LEAVE(t, id)                                                                               \
    "{\"t\":" t ",\"ev\":\"leave\",\"id\":\"" id "\",\"service\":\"s\",\"place\":\"p\","           \
    "\"region\":\"r\",\"upstream\":\"s-1\"}\n"
#define START(t, id, key)                                                                          \
    "{\"t\":" t ",\"ev\":\"run_start\",\"id\":\"" id "\",\"key\":\"" key "\"}\n"
#define RECV(t, id, result)                                                                        \
    "{\"t\":" t ",\"ev\":\"recv\",\"id\":\"" id "\",\"result\":\"" result "\"}\n"
#define LOOKUP(t, version)                                                                         \
    "{\"t\":" t ",\"ev\":\"lookup\",\"entry\":\"x\",\"service\":\"s\",\"version\":" version "}\n"
#define EDIT(id, result)                                                                           \
    "{\"t\":9,\"ev\":\"edit\",\"id\":\"" id "\",\"service\":\"s\",\"result\":\"" result "\"}\n"
#define PLANNED_STOP                                                                               \
    "{\"t\":1,\"ev\":\"entry_leave\",\"entry\":\"x\"}\n"                                           \
    "{\"t\":2,\"ev\":\"admit\",\"entry\":\"x\",\"id\":\"a\"}\n"                                    \
    "{\"t\":3,\"ev\":\"run_end\",\"id\":\"a\",\"result\":\"done\"}\n"                              \
    "{\"t\":9,\"ev\":\"entry_stopped\",\"entry\":\"x\"}\n"

/* The client has its outcome before another entry forwards the request to the leaving one. */
#define ABANDONED_BEFORE_STOP                                                                      \
    "{\"t\":1,\"ev\":\"entry_leave\",\"entry\":\"x\"}\n" RECV(                                     \
        "2", "b",                                                                                  \
        "unknown") "{\"t\":3,\"ev\":\"admit\",\"entry\":\"x\",\"id\":\"b\"}\n" PLANNED_STOP

static const struct {
    rule_t rule;
    const char *good;
    const char *bad;
    const char *setup;
} cases[] = {
    {rule_region_limit, ENTER("2", "a") LEAVE("3", "a") ENTER("4", "b"),
     ENTER(S(30), "a") ENTER(S(31), "b"), region_write},
    {rule_row_limit, ENTER("2", "a") LEAVE("3", "a") ENTER("4", "b"),
     ENTER(S(30), "a") ENTER(S(31), "b"), table_write},
    {rule_row_rate, ENTER(S(30), "a") ENTER(S(31), "b"),
     ENTER(S(30), "a") ENTER(S(31), "b") ENTER(S(31), "c") ENTER(S(31), "d") ENTER(S(31), "e")
         ENTER(S(31), "f") ENTER(S(31), "g"),
     table_write},
    {rule_whole_answers, RECV("2", "a", "whole"), RECV("2", "a", "wrong"), ""},
    {rule_not_run, RECV("2", "a", "not_run"), START("1", "a", "") RECV("2", "a", "not_run"), ""},
    {rule_at_most_once, START("1", "a", "k") START("2", "b", "l"),
     START("1", "a", "k") START("2", "b", "k"), ""},
    {rule_leaving, ENTER("100", "a"), ENTER(S(9), "a"), table_write},
    {rule_planned_stop, PLANNED_STOP RECV("5", "a", "whole"), PLANNED_STOP RECV("5", "a", "broken"),
     ""},
    {rule_planned_stop, PLANNED_STOP RECV("5", "a", "whole"),
     PLANNED_STOP RECV("15", "a", "unknown"), ""},
    {rule_planned_stop, ABANDONED_BEFORE_STOP RECV("5", "a", "whole"),
     ABANDONED_BEFORE_STOP RECV("5", "a", "unknown"), ""},
    {rule_planned_stop, PLANNED_STOP RECV("5", "a", "whole"), PLANNED_STOP RECV("2", "a", "broken"),
     ""},
    {rule_no_revert, LOOKUP("5", "3") LOOKUP("6", "4"), LOOKUP("5", "4") LOOKUP("6", "3"), ""},
    {rule_in_force, LOOKUP(S(16), "1") LOOKUP(S(19), "2"), LOOKUP(S(19), "1"), table_write},
    {rule_edits, EDIT("e1", "applied") EDIT("e2", "refused"),
     EDIT("e1", "refused") EDIT("e2", "applied"), table_write},
};

static verdict_t
run_rule(rule_t rule, const char *setup, const char *lines)
{
    char path[] = "/tmp/iris-history-XXXXXX";
    const int fd = mkstemp(path);
    ck_assert_int_ge(fd, 0);
    ck_assert(write(fd, setup, strlen(setup)) == (ssize_t)strlen(setup));
    ck_assert(write(fd, lines, strlen(lines)) == (ssize_t)strlen(lines));
    close(fd);
    events_t events = {0};
    err_t err = {0};
    ck_assert(events_read(&events, path, &err));
    ck_assert_uint_eq(events.bad_lines, 0);
    unlink(path);
    events_sort(&events);
    verdict_t verdict = {0};
    rule(&events, &verdict);
    events_free(&events);
    return verdict;
}

START_TEST(rules_hold_on_good_histories)
{
    const verdict_t verdict = run_rule(cases[_i].rule, cases[_i].setup, cases[_i].good);
    ck_assert_msg(verdict.violations == 0, "%s: %s", verdict.guarantee, verdict.first_violation);
    ck_assert_uint_gt(verdict.examined, 0);
}
END_TEST

START_TEST(rules_fail_on_bad_histories)
{
    const verdict_t verdict = run_rule(cases[_i].rule, cases[_i].setup, cases[_i].bad);
    ck_assert_msg(verdict.violations > 0, "%s", verdict.guarantee);
    ck_assert(verdict.first_violation[0] != '\0');
}
END_TEST

/* Sends 200 requests/s; the data hall's share grows by `points` percentage points within 20 s. */
static verdict_t
run_shift(unsigned points)
{
    char *text = NULL;
    size_t len = 0;
    FILE *out = open_memstream(&text, &len);
    ck_assert_ptr_nonnull(out);
    for (unsigned i = 0; i < 60 * 200; i++) {
        const unsigned long t = 2000000ul + i * 5000ul;
        const unsigned part = 20 + (i < 4000 ? 0 : i < 8000 ? points * (i - 4000) / 4000 : points);
        fprintf(out, "{\"t\":%lu,\"ev\":\"send\",\"id\":\"%u\",\"service\":\"s\"}\n", t, i);
        if (i * 37 % 100 < part)
            fprintf(out,
                    "{\"t\":%lu,\"ev\":\"enter\",\"id\":\"%u\",\"service\":\"s\",\"place\":"
                    "\"p\"}\n",
                    t, i);
    }
    fclose(out);
    const verdict_t verdict = run_rule(rule_shift_cap, table_write, text);
    free(text);
    return verdict;
}

#define LISTED(t, state)                                                                           \
    "{\"t\":" t ",\"ev\":\"instance\",\"name\":\"s-1\",\"version\":7,\"state\":\"" state "\"}\n"
#define ADOPTED(t, version)                                                                        \
    "{\"t\":" t ",\"ev\":\"adopt\",\"entry\":\"x\",\"kind\":\"instances\",\"version\":" version    \
    "}\n"
#define STORE(t, outage) "{\"t\":" t ",\"ev\":\"store_control\",\"outage\":" outage "}\n"
#define SERVER(t, draining)                                                                        \
    "{\"t\":" t ",\"ev\":\"upstream_control\",\"upstream\":\"s-1\",\"draining\":" draining "}\n"

/* The list marks s-1 as leaving around a store outage; then s-1 gets a new request. */
static const struct {
    const char *lines;
    size_t violations;
} unread_list_cases[] = {
    /* The outage begins 17 ms after the change: time runs from its end. */
    {LISTED("1000000", "leaving") STORE("1017000", "1") ENTER("8000000", "a"), 0},
    {LISTED("1000000", "leaving") STORE("1017000", "1") STORE("9000000", "0")
         ENTER("14000000", "a"),
     0},
    {LISTED("1000000", "leaving") STORE("1017000", "1") STORE("9000000", "0")
         ENTER("14000001", "a"),
     1},
    /* The list changes during the outage. */
    {STORE("500000", "1") LISTED("1000000", "leaving") STORE("9000000", "0") ENTER("14000000", "a"),
     0},
    {STORE("500000", "1") LISTED("1000000", "leaving") STORE("9000000", "0") ENTER("14000001", "a"),
     1},
    /* The list was readable: no outage, a late outage, or a gap between outages. */
    {LISTED("1000000", "leaving") ENTER("6000001", "a"), 1},
    {LISTED("1000000", "leaving") STORE("1017000", "0") ENTER("6000001", "a"), 1},
    {LISTED("1000000", "leaving") STORE("1100001", "1") STORE("9000000", "0") ENTER("9500000", "a"),
     1},
    {LISTED("1000000", "leaving") STORE("1017000", "1") STORE("1050000", "0") STORE("3000000", "1")
         STORE("9000000", "0") ENTER("6050001", "a"),
     1},
    {LISTED("1000000", "leaving") STORE("1017000", "1") STORE("2000000", "1") STORE("9000000", "0")
         STORE("9000001", "0") ENTER("14000001", "a"),
     1},
    /* An instance adopted the list before or during the outage; older lists do not count. */
    {LISTED("1000000", "leaving") ADOPTED("1010000", "7") STORE("1017000", "1")
         ENTER("6000001", "a"),
     1},
    {LISTED("1000000", "leaving") STORE("1017000", "1") ADOPTED("1020000", "8")
         ENTER("6020001", "a"),
     1},
    {LISTED("1000000", "leaving") STORE("1017000", "1") ADOPTED("1020000", "8")
         ENTER("6020000", "a"),
     0},
    {LISTED("1000000", "leaving") STORE("1017000", "1") ADOPTED("1020000", "6")
         ENTER("6020001", "a"),
     0},
    /* A server's own announcement counts at once, regardless of the outage. */
    {SERVER("1000000", "1") LISTED("1000000", "leaving") STORE("1017000", "1")
         ENTER("6000001", "a"),
     1},
    {LISTED("1000000", "leaving") STORE("1017000", "1") SERVER("2000000", "1")
         ENTER("7000001", "a"),
     1},
};

START_TEST(leaving_list_counts_once_readable)
{
    const verdict_t verdict = run_rule(rule_leaving, "", unread_list_cases[_i].lines);
    ck_assert_uint_eq(verdict.violations, unread_list_cases[_i].violations);
}
END_TEST

START_TEST(shift_cap_rule_rejects_large_shifts)
{
    ck_assert_uint_eq(run_shift(4).violations, 0);
    ck_assert_uint_gt(run_shift(4).examined, 0);
    ck_assert_uint_gt(run_shift(25).violations, 0);
}
END_TEST

START_TEST(empty_history_examines_nothing)
{
    ck_assert_uint_eq(run_rule(rule_at_most_once, "", "").examined, 0);
}
END_TEST

Suite *
suite_check(void)
{
    Suite *suite = suite_create("check");
    TCase *tcase = tcase_create("check");
    tcase_add_loop_test(tcase, rules_hold_on_good_histories, 0, (int)ALEN(cases));
    tcase_add_loop_test(tcase, rules_fail_on_bad_histories, 0, (int)ALEN(cases));
    tcase_add_loop_test(tcase, leaving_list_counts_once_readable, 0, (int)ALEN(unread_list_cases));
    tcase_add_test(tcase, shift_cap_rule_rejects_large_shifts);
    tcase_add_test(tcase, empty_history_examines_nothing);
    suite_add_tcase(suite, tcase);
    return suite;
}
