/* Strings, addresses, clocks, token buckets, histograms, traces and irisstall-entry settings. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/addr.h"
#include "base/bucket.h"
#include "base/clock.h"
#include "base/counter.h"
#include "base/trace.h"
#include "entry/settings.h"
#include "test/suites.h"

START_TEST(name_set_rejects_invalid_names)
{
    name_t name;
    ck_assert(name_set(&name, STR("toledo-hall_1.a")));
    ck_assert(!name_set(&name, STR("")));
    ck_assert(!name_set(&name, STR("a b")));
    ck_assert(!name_set(&name, STR("a/b")));
    ck_assert(!name_set(&name, STR("123456789012345678901234567890123456789012345678")));
    ck_assert(name_eq(&name, STR("toledo-hall_1.a")));
}
END_TEST

START_TEST(str_to_u64_rejects_overflow_and_trailing_text)
{
    uint64_t value;
    ck_assert(str_to_u64(STR("18446744073709551615"), &value));
    ck_assert(value == UINT64_MAX);
    ck_assert(!str_to_u64(STR("18446744073709551616"), &value));
    ck_assert(!str_to_u64(STR("12x"), &value));
    ck_assert(!str_to_u64(STR(""), &value));
}
END_TEST

START_TEST(addr_parse_accepts_only_numeric_addresses)
{
    addr_t addr;
    char text[ADDR_TEXT_MAX];
    ck_assert(addr_parse(STR("127.0.0.1:80"), &addr));
    ck_assert_str_eq(addr_format(&addr, text), "127.0.0.1:80");
    ck_assert(addr_parse(STR("[::1]:8080"), &addr));
    ck_assert_str_eq(addr_format(&addr, text), "[::1]:8080");
    ck_assert(!addr_parse(STR("localhost:80"), &addr));
    ck_assert(!addr_parse(STR("127.0.0.1:65536"), &addr));
    ck_assert(!addr_parse(STR("127.0.0.1"), &addr));
}
END_TEST

START_TEST(bucket_limits_the_rate)
{
    bucket_t bucket;
    bucket_init(&bucket, 10, 5, 0);
    uint64_t taken = 0;
    for (uint64_t ms = 0; ms < 10000; ms += 7)
        taken += bucket_take(&bucket, 1, ms);
    ck_assert_uint_ge(taken, 100);
    ck_assert_uint_le(taken, 105);
}
END_TEST

START_TEST(histogram_quantiles_are_close)
{
    histogram_t *h = histogram_new();
    for (uint64_t us = 1; us <= 100000; us++)
        histogram_record(h, us);
    ck_assert_uint_eq(histogram_count(h), 100000);
    const double p99 = (double)histogram_quantile(h, 0.99);
    ck_assert(p99 >= 99000 && p99 <= 99000 * 1.07);
    histogram_free(h);
}
END_TEST

START_TEST(manual_clock_advances_only_explicitly)
{
    clock_manual_t state = {.steady_ms = 5, .wall_ms = 1000};
    const iris_clock_t clock = clock_manual(&state);
    ck_assert_uint_eq(clock_steady_ms(&clock), 5);
    clock_manual_advance(&state, 20);
    ck_assert_uint_eq(clock_steady_ms(&clock), 25);
    ck_assert_uint_eq(clock_wall_ms(&clock), 1020);
}
END_TEST

START_TEST(trace_continues_a_valid_traceparent)
{
    rng_t rng = {.state = 1};
    char text[TRACEPARENT_SIZE];
    const str_t header = STR("00-0123456789abcdef0123456789abcdef-00000000000000aa-01");
    const trace_t trace = trace_continue(header, &rng);
    ck_assert_uint_eq(trace.parent, 0xaa);
    const trace_t child = trace_child(&trace, &rng);
    ck_assert_uint_eq(child.parent, trace.span);
    trace_format(&child, text);
    ck_assert(strncmp(text, header.ptr, 36) == 0);
    const trace_t fresh = trace_continue(STR("rubbish"), &rng);
    ck_assert_uint_eq(fresh.parent, 0);
    ck_assert(fresh.trace_low != trace.trace_low);
}
END_TEST

static const char valid_settings[] =
    "name: a-1\nregion: r\nplace: p\nlisten: 127.0.0.1:0\npeer: 127.0.0.1:0\n"
    "admin: 127.0.0.1:0\nplatform: 127.0.0.1:9\n";

static bool
load_text(const char *text, settings_t *settings, err_t *err)
{
    char path[] = "/tmp/iris-settings-XXXXXX";
    const int fd = mkstemp(path);
    ck_assert_int_ge(fd, 0);
    ck_assert(write(fd, text, strlen(text)) == (ssize_t)strlen(text));
    close(fd);
    const bool ok = settings_load(path, settings, err);
    unlink(path);
    return ok;
}

START_TEST(settings_load_accepts_a_valid_file)
{
    settings_t settings;
    err_t err = {0};
    ck_assert_msg(load_text(valid_settings, &settings, &err), "%s", err.detail);
    ck_assert_str_eq(settings.name.ptr, "a-1");
    ck_assert_int_eq(settings.log_level, LOG_LEVEL_INFO);
    ck_assert_uint_eq(settings.max_body_kb, 1024);
}
END_TEST

static const struct {
    const char *extra;
    const char *expected[4];
} invalid_settings[] = {
    {"policy: best\n", {":8: policy", "'best'", "expected iris"}},
    {"max_body_kb: 0\n", {":8: max_body_kb", "'0'", "from 1 to"}},
    {"max_body_kb: many\n", {":8: max_body_kb", "many"}},
    {"colour: red\n", {":8: colour", "nexpected key"}},
    {"name: b\n", {":8: name", "already seen"}},
    {"seeds: [1.2.3.4:99999]\n", {":8: seeds", "'1.2.3.4:99999'", "IP:PORT"}},
    {"seeds: [1.2.3.4:9, 1.2.3.4:9]\n", {":8: seeds", "each address once"}},
    {"log: {level: loud}\n", {":8: level", "'loud'", "error, warn, info or debug"}},
};

START_TEST(settings_errors_name_line_key_and_value)
{
    char text[1024];
    settings_t settings;
    err_t err = {0};
    snprintf(text, sizeof(text), "%s%s", valid_settings, invalid_settings[_i].extra);
    ck_assert(!load_text(text, &settings, &err));
    for (size_t i = 0; i < 4 && invalid_settings[_i].expected[i] != NULL; i++)
        ck_assert_msg(strstr(err.detail, invalid_settings[_i].expected[i]) != NULL,
                      "'%s' not in: %s", invalid_settings[_i].expected[i], err.detail);
    ck_assert_ptr_null(strstr(err.detail, "Backtrace"));
}
END_TEST

Suite *
suite_base(void)
{
    Suite *suite = suite_create("base");
    TCase *tcase = tcase_create("base");
    tcase_add_test(tcase, name_set_rejects_invalid_names);
    tcase_add_test(tcase, str_to_u64_rejects_overflow_and_trailing_text);
    tcase_add_test(tcase, addr_parse_accepts_only_numeric_addresses);
    tcase_add_test(tcase, bucket_limits_the_rate);
    tcase_add_test(tcase, histogram_quantiles_are_close);
    tcase_add_test(tcase, manual_clock_advances_only_explicitly);
    tcase_add_test(tcase, trace_continues_a_valid_traceparent);
    tcase_add_test(tcase, settings_load_accepts_a_valid_file);
    tcase_add_loop_test(tcase, settings_errors_name_line_key_and_value, 0,
                        (int)(sizeof(invalid_settings) / sizeof(invalid_settings[0])));
    suite_add_tcase(suite, tcase);
    return suite;
}
