/* The soak's own rules: that its schedule follows the seed, and that its judge sees each fault. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/xmalloc.h"
#include "standin/soak/outcomes.h"
#include "standin/soak/schedule.h"
#include "test/gateway/site.h"
#include "test/leak.h"
#include "test/suites.h"

enum { BOUND_MS = 3500, GRACE_MS = 6000, LATE_MS = 60000 /* long after any trouble */ };

/* A judge, an operator with a store, and one request to a process that lives. */
typedef struct {
    site_t *site;
    judge_t judge;
    operator_t *ops;
    outcomes_conf_t conf;
    requests_t *requests;
    life_t life;
    answer_t answer;
    outcome_t outcome;
} case_t;

static case_t *
new_case(request_kind_t kind, uint64_t sent_ms)
{
    case_t *c = xcalloc(1, sizeof(*c));
    leak_ignore(c);
    c->site = new_site(0);
    accounts_t *accounts = accounts_new(&c->judge);
    c->ops = operator_new(c->site->store, accounts, 1);
    c->conf = (outcomes_conf_t){&c->judge, c->ops, accounts, BOUND_MS, GRACE_MS, 1};
    c->requests = requests_new();
    c->life = (life_t){.pid = getpid()};
    soak_request_t *request = requests_add(c->requests, kind, 0);
    request->sent_ms = sent_ms;
    request->answer_len = 5;
    request->touched = true;
    c->outcome = (outcome_t){.request = request,
                             .life = &c->life,
                             .answer = &c->answer,
                             .deadline_ms = 2000,
                             .closed_ms = sent_ms + 10,
                             .now_ms = sent_ms + 10};
    answer_expect(&c->answer, request->number);
    return c;
}

static void
feed(case_t *c, const char *text)
{
    answer_feed(&c->answer, text, strlen(text));
}

/* The right answer of a backend server, but for its body. */
static void
feed_success(case_t *c, const char *body)
{
    char text[256];
    snprintf(text, sizeof(text),
             "HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nResponse-Signature: s1\r\n"
             "Content-Length: 5\r\n\r\n%s",
             body);
    c->outcome.request->runs = 1;
    feed(c, text);
}

static uint64_t
broken(const case_t *c, rule_t rule)
{
    return c->judge.rules[rule].broken;
}

static uint64_t
examined(const case_t *c, rule_t rule)
{
    return c->judge.rules[rule].examined;
}

static void
change_config(case_t *c, uint64_t now_ms)
{
    const trouble_t trouble = {.kind = TROUBLE_CONFIG};
    operator_trouble(c->ops, &trouble, now_ms);
}

START_TEST(a_schedule_follows_its_seed)
{
    const schedule_conf_t conf = {.seed = 7, .length_ms = 60000, .instances = 9, .servers = 12};
    schedule_conf_t other = conf;
    other.seed = 8;
    const schedule_t first = schedule_draw(&conf);
    const schedule_t second = schedule_draw(&conf);
    const schedule_t third = schedule_draw(&other);
    ck_assert_uint_gt(first.count, 50);
    ck_assert_uint_eq(first.count, second.count);
    for (size_t i = 0; i < first.count; i++) {
        ck_assert_uint_eq(first.items[i].at_ms, second.items[i].at_ms);
        ck_assert_uint_eq(first.items[i].target, second.items[i].target);
        ck_assert(i == 0 || first.items[i].at_ms >= first.items[i - 1].at_ms);
    }
    ck_assert(first.count != third.count || first.items[0].at_ms != third.items[0].at_ms);
    free(first.items);
    free(second.items);
    free(third.items);
}
END_TEST

START_TEST(a_whole_answer_keeps_the_rules)
{
    case_t *c = new_case(REQUEST_SAFE, LATE_MS);
    feed_success(c, "hijkl"); /* the letters of request 1 */
    ck_assert(c->answer.whole && c->answer.keep);
    outcome_answered(&c->conf, &c->outcome);
    ck_assert_uint_eq(examined(c, RULE_MIXED), 1);
    ck_assert_uint_eq(broken(c, RULE_MIXED), 0);
    ck_assert_uint_eq(examined(c, RULE_LOST), 1);
}
END_TEST

START_TEST(anothers_body_and_surplus_bytes_are_mixed)
{
    case_t *c = new_case(REQUEST_SAFE, LATE_MS);
    feed_success(c, "xxxxx");
    outcome_answered(&c->conf, &c->outcome);
    ck_assert_uint_eq(broken(c, RULE_MIXED), 1);
    c = new_case(REQUEST_SAFE, LATE_MS);
    feed_success(c, "hijklHTTP/1.1 200 OK\r\n");
    outcome_answered(&c->conf, &c->outcome);
    ck_assert_uint_eq(broken(c, RULE_MIXED), 1);
}
END_TEST

START_TEST(an_answer_without_a_length_is_whole_at_the_end_only)
{
    case_t *c = new_case(REQUEST_SAFE, LATE_MS);
    feed(c, "HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\n\r\nhij");
    ck_assert(!c->answer.whole);
    answer_end(&c->answer);
    ck_assert(c->answer.whole && !c->answer.keep);
    c->outcome.request->runs = 1;
    outcome_answered(&c->conf, &c->outcome);
    ck_assert_uint_eq(broken(c, RULE_MIXED), 1); /* three of five bytes look whole */
}
END_TEST

START_TEST(a_refusal_of_what_has_run_is_noticed)
{
    case_t *c = new_case(REQUEST_UNSAFE, LATE_MS);
    feed(c, "HTTP/1.1 503 No\r\nAttempt-Id: 1\r\nContent-Length: 0\r\n\r\n");
    outcome_answered(&c->conf, &c->outcome);
    ck_assert_uint_eq(broken(c, RULE_REFUSED), 0);
    ck_assert_int_eq(c->outcome.request->refused, 503); /* for backend servers to see */
    c->outcome.request->runs = 1;
    outcome_answered(&c->conf, &c->outcome);
    ck_assert_uint_eq(broken(c, RULE_REFUSED), 1);
}
END_TEST

START_TEST(a_close_without_an_answer_is_lost_unless_the_process_was_killed)
{
    case_t *c = new_case(REQUEST_SAFE, LATE_MS);
    outcome_closed(&c->conf, &c->outcome, "closed");
    ck_assert_uint_eq(broken(c, RULE_LOST), 1);
    c->outcome.crossed = true;
    outcome_closed(&c->conf, &c->outcome, "closed");
    ck_assert_uint_eq(broken(c, RULE_CROSSED), 1);
    c->life.paused_ms = LATE_MS + 5;
    outcome_closed(&c->conf, &c->outcome, "closed");
    ck_assert_uint_eq(broken(c, RULE_PAUSED), 1);
    c->life.killed = true;
    outcome_closed(&c->conf, &c->outcome, "closed");
    ck_assert_uint_eq(broken(c, RULE_PAUSED), 1);
}
END_TEST

START_TEST(a_pause_excuses_only_what_it_leaves_no_time_for)
{
    case_t *c = new_case(REQUEST_SAFE, LATE_MS);
    c->outcome.answers_before = 3;
    c->life.asked_ms = LATE_MS - 1000;
    c->life.paused_ms = LATE_MS + 500;
    outcome_closed(&c->conf, &c->outcome, "closed");
    ck_assert_uint_eq(broken(c, RULE_PAUSED), 1);
    c->life.paused_ms = c->life.asked_ms + GRACE_MS - 500;
    outcome_closed(&c->conf, &c->outcome, "closed");
    ck_assert_uint_eq(broken(c, RULE_PAUSED), 1);
}
END_TEST

START_TEST(a_cut_answer_is_lost_unless_its_backend_server_broke_off)
{
    case_t *c = new_case(REQUEST_SAFE, LATE_MS);
    feed_success(c, "hij");
    c->outcome.request->server_left = true;
    outcome_closed(&c->conf, &c->outcome, "closed");
    ck_assert_uint_eq(broken(c, RULE_LOST), 0);
    c->outcome.request->server_left = false;
    outcome_closed(&c->conf, &c->outcome, "closed");
    ck_assert_uint_eq(broken(c, RULE_LOST), 1);
}
END_TEST

START_TEST(a_request_that_crossed_a_close_is_refused_unread_by_a_reset)
{
    case_t *c = new_case(REQUEST_UNSAFE, LATE_MS);
    c->outcome.crossed = true;
    c->outcome.reset = true;
    outcome_closed(&c->conf, &c->outcome, "reset");
    ck_assert_uint_eq(examined(c, RULE_CROSSED), 1);
    ck_assert_uint_eq(broken(c, RULE_CROSSED), 0);
    ck_assert_int_eq(c->outcome.request->refused, REFUSED_UNREAD);
    c->outcome.crossed = false;
    c->outcome.request->runs = 1; /* it was read after all */
    outcome_closed(&c->conf, &c->outcome, "reset");
    ck_assert_uint_eq(broken(c, RULE_LOST), 1);
    c->outcome.request->runs = 0;
    c->outcome.closed_ms = LATE_MS + 1000; /* too late for a crossing */
    outcome_closed(&c->conf, &c->outcome, "reset");
    ck_assert_uint_eq(broken(c, RULE_LOST), 2);
}
END_TEST

/* A probe of a version's route, answered 404, sent so long after its acknowledgement. */
static case_t *
absent_probe(uint64_t sent_after_ms)
{
    case_t *c = new_case(REQUEST_PROBE, LATE_MS + sent_after_ms);
    change_config(c, LATE_MS);
    c->outcome.marker = operator_version(c->ops);
    feed(c, "HTTP/1.1 404 No\r\nAttempt-Id: 1\r\nContent-Length: 0\r\n\r\n");
    return c;
}

START_TEST(a_configuration_that_is_not_in_force_is_noticed_after_the_bound)
{
    case_t *c = absent_probe(BOUND_MS - 1);
    outcome_answered(&c->conf, &c->outcome);
    ck_assert_uint_eq(examined(c, RULE_CONFIG), 0);
    c = absent_probe(BOUND_MS);
    outcome_answered(&c->conf, &c->outcome);
    ck_assert_uint_eq(broken(c, RULE_CONFIG), 1);
    c = absent_probe(BOUND_MS); /* the same at an instance that was in trouble */
    c->outcome.request->touched = false;
    outcome_answered(&c->conf, &c->outcome);
    ck_assert_uint_eq(examined(c, RULE_CONFIG), 0);
    c = absent_probe(BOUND_MS); /* and with the store in trouble */
    const trouble_t trouble = {.kind = TROUBLE_STORE_FORGETS};
    operator_trouble(c->ops, &trouble, LATE_MS + 1);
    outcome_answered(&c->conf, &c->outcome);
    ck_assert_uint_eq(examined(c, RULE_CONFIG), 0);
}
END_TEST

START_TEST(a_route_that_was_taken_away_is_noticed)
{
    case_t *c = new_case(REQUEST_PROBE, LATE_MS + BOUND_MS);
    c->outcome.marker = operator_version(c->ops);
    for (int i = 0; i < OPERATOR_MARKERS; i++)
        change_config(c, LATE_MS);
    feed_success(c, "hijkl");
    outcome_answered(&c->conf, &c->outcome);
    ck_assert_uint_eq(broken(c, RULE_CONFIG), 1);
}
END_TEST

START_TEST(a_configuration_that_goes_back_is_noticed)
{
    case_t *c = absent_probe(1); /* too soon for the bound */
    c->life.seen_version = c->outcome.marker;
    c->life.seen_ms = LATE_MS;
    outcome_answered(&c->conf, &c->outcome);
    ck_assert_uint_eq(examined(c, RULE_CONFIG), 0);
    ck_assert_uint_eq(broken(c, RULE_BACKWARDS), 1);
}
END_TEST

START_TEST(a_soak_that_examined_nothing_has_failed)
{
    static judge_t judge;
    FILE *out = tmpfile();
    ck_assert(!judge_report(&judge, out));
    for (rule_t rule = 0; rule < RULE_COUNT; rule++)
        judge_examine(&judge, rule);
    ck_assert(judge_report(&judge, out));
    judge_break(&judge, RULE_TWICE, "%d", 1);
    ck_assert(!judge_report(&judge, out));
    fclose(out);
}
END_TEST

Suite *
suite_gateway_soak(void)
{
    Suite *suite = suite_create("gateway: soak");
    TCase *tests = tcase_create("soak");
    tcase_add_test(tests, a_schedule_follows_its_seed);
    tcase_add_test(tests, a_whole_answer_keeps_the_rules);
    tcase_add_test(tests, anothers_body_and_surplus_bytes_are_mixed);
    tcase_add_test(tests, an_answer_without_a_length_is_whole_at_the_end_only);
    tcase_add_test(tests, a_refusal_of_what_has_run_is_noticed);
    tcase_add_test(tests, a_close_without_an_answer_is_lost_unless_the_process_was_killed);
    tcase_add_test(tests, a_pause_excuses_only_what_it_leaves_no_time_for);
    tcase_add_test(tests, a_cut_answer_is_lost_unless_its_backend_server_broke_off);
    tcase_add_test(tests, a_request_that_crossed_a_close_is_refused_unread_by_a_reset);
    tcase_add_test(tests, a_configuration_that_is_not_in_force_is_noticed_after_the_bound);
    tcase_add_test(tests, a_route_that_was_taken_away_is_noticed);
    tcase_add_test(tests, a_configuration_that_goes_back_is_noticed);
    tcase_add_test(tests, a_soak_that_examined_nothing_has_failed);
    suite_add_tcase(suite, tests);
    return suite;
}
