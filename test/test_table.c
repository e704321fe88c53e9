/* Tables: parsing, ramps within their caps, concurrent edits. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/mutate.h"
#include "base/rng.h"
#include "base/xmalloc.h"
#include "entry/table/edit.h"
#include "entry/table/ramp.h"
#include "entry/table/table_json.h"
#include "test/suites.h"

static const char two_rows[] =
    "{\"schema\":1,\"service\":\"s\",\"rows\":[{\"place\":\"a\",\"weight\":80,\"cap\":10},"
    "{\"place\":\"b\",\"weight\":20,\"cap\":10}],\"classes\":[{\"name\":\"c\",\"method\":\"GET\","
    "\"path\":\"/\",\"repeatable\":true,\"deadline_ms\":100}]}";

static table_t *
parse(const char *json)
{
    err_t err = {0};
    table_t *table = table_parse(str_from(json), &err);
    ck_assert_msg(table != NULL, "%s", err.detail);
    return table;
}

static edit_t *
new_edit(const char *id)
{
    name_t name;
    ck_assert(name_set(&name, str_from(id)));
    return edit_new(&name);
}

static edit_t *
cell_edit(const char *id, const table_t *table, const char *place, const char *assignment)
{
    err_t err = {0};
    edit_t *edit = new_edit(id);
    ck_assert_msg(edit_add_cell(edit, table, str_from(place), str_from(assignment), &err), "%s",
                  err.detail);
    return edit;
}

static const char *const bad_tables[] = {
    "not json",
    "{\"schema\":2,\"service\":\"s\",\"rows\":[],\"classes\":[]}",
    "{\"schema\":1,\"service\":\"s\",\"rows\":[],\"classes\":[]}",
    "{\"schema\":1,\"service\":\"s\",\"rows\":[{\"place\":\"a\",\"weight\":-1}],\"classes\":[]}",
    "{\"schema\":1,\"service\":\"s\",\"rows\":[{\"place\":\"a\",\"weight\":1,\"cap\":101}],"
    "\"classes\":[]}",
    "{\"schema\":1,\"service\":\"s\",\"rows\":[{\"place\":\"a\",\"weight\":1},{\"place\":\"a\","
    "\"weight\":1}],\"classes\":[]}",
    "{\"schema\":1,\"service\":\"s\",\"rows\":[{\"place\":\"a\",\"weight\":1,\"colour\":1}],"
    "\"classes\":[]}",
    "{\"schema\":1,\"service\":\"s\",\"rows\":[{\"place\":\"a\",\"weight\":1}],\"classes\":[]}",
};

START_TEST(invalid_tables_are_rejected)
{
    err_t err = {0};
    ck_assert_ptr_null(table_parse(str_from(bad_tables[_i]), &err));
    ck_assert(err.code == ERR_PARSE || err.code == ERR_INVALID);
    ck_assert(err.detail[0] != '\0');
}
END_TEST

START_TEST(stored_form_round_trips)
{
    table_t *table = parse(two_rows);
    char *text = table_format(table);
    table_t *again = parse(text);
    char *second = table_format(again);
    ck_assert_str_eq(text, second);
    free(text);
    free(second);
    table_free(table);
    table_free(again);
}
END_TEST

/* Largest rise of a row's share within the cap's window, sampled every 250 ms. */
static double
greatest_rise(double *samples, size_t count, size_t window)
{
    double greatest = 0;
    for (size_t i = 0; i < count; i++) {
        for (size_t j = i + 1; j < count && j <= i + window; j++)
            greatest = fmax(greatest, samples[j] - samples[i]);
    }
    return greatest;
}

enum { SAMPLE_MS = 250, SAMPLES = 2400 };

static double
rise_with_random_edits(uint64_t seed)
{
    rng_t rng = {.state = seed};
    table_t *table = parse(two_rows);
    static double samples[SAMPLES];
    uint64_t wall = 1000000;
    for (size_t i = 0; i < SAMPLES; i++, wall += SAMPLE_MS) {
        double shares[2];
        if (rng_below(&rng, 150) == 0) {
            err_t err = {0};
            char value[32];
            snprintf(value, sizeof(value), "weight=%u", (unsigned)rng_below(&rng, 100) + 1);
            edit_t *edit = cell_edit("e", table, rng_below(&rng, 2) ? "a" : "b", value);
            table->edit_count = 0;
            ck_assert_int_eq(edit_apply(edit, table, wall, &err), EDIT_APPLIED);
            edit_free(edit);
        }
        ramp_shares(table, wall, shares);
        ck_assert(fabs(shares[0] + shares[1] - 100) < 1e-6);
        samples[i] = shares[1];
    }
    table_free(table);
    return greatest_rise(samples, SAMPLES, RAMP_WINDOW_MS / SAMPLE_MS);
}

START_TEST(cap_holds_with_edits_in_mid_ramp)
{
    ck_assert(rise_with_random_edits((uint64_t)_i + 1) <= 10.0 + 1e-6);
}
END_TEST

START_TEST(cap_test_detects_disabled_cap)
{
    mutate_set(MUTATE_NO_CAP);
    const double rise = rise_with_random_edits(1);
    mutate_set(MUTATE_NONE);
    ck_assert(rise > 10.0 + 1e-6);
}
END_TEST

START_TEST(ramp_reaches_its_target_in_time)
{
    err_t err = {0};
    table_t *table = parse(two_rows);
    double shares[2];
    edit_t *edit = cell_edit("e1", table, "b", "weight=80");
    ck_assert_int_eq(edit_apply(edit, table, 1000000, &err), EDIT_APPLIED);
    ramp_shares(table, 1000000 + RAMP_LEAD_MS, shares);
    ck_assert(fabs(shares[1] - 20) < 1e-9); /* lead time: the shares have not moved yet */
    const uint64_t end = ramp_end_ms(table);
    ramp_shares(table, end, shares);
    ck_assert(fabs(shares[1] - 50) < 1e-3);
    ck_assert(end - 1000000 - RAMP_LEAD_MS == 3 * (RAMP_WINDOW_MS + RAMP_ANSWER_TTL_MS));
    edit_free(edit);
    table_free(table);
}
END_TEST

START_TEST(zero_cap_never_changes_shares)
{
    err_t err = {0};
    table_t *table = parse(two_rows);
    double shares[2];
    edit_t *edit = cell_edit("e1", table, "b", "cap=0");
    ck_assert(edit_add_cell(edit, table, STR("b"), STR("weight=80"), &err));
    ck_assert_int_eq(edit_apply(edit, table, 1000, &err), EDIT_APPLIED);
    ramp_shares(table, 100000000, shares);
    ck_assert(fabs(shares[1] - 20) < 1e-9);
    ck_assert(ramp_end_ms(table) == UINT64_MAX);
    edit_free(edit);
    table_free(table);
}
END_TEST

START_TEST(edits_of_other_cells_merge)
{
    err_t err = {0};
    table_t *table = parse(two_rows);
    edit_t *first = cell_edit("e1", table, "a", "weight=50");
    edit_t *second = cell_edit("e2", table, "a", "limit=7");
    ck_assert_int_eq(edit_apply(first, table, 1000, &err), EDIT_APPLIED);
    ck_assert_int_eq(edit_apply(second, table, 1000, &err), EDIT_APPLIED);
    ck_assert(table->rows[0].weight == 50 && table->rows[0].limit == 7);
    edit_free(first);
    edit_free(second);
    table_free(table);
}
END_TEST

START_TEST(conflicting_edits_report_both_values)
{
    err_t err = {0};
    table_t *table = parse(two_rows);
    edit_t *first = cell_edit("e1", table, "a", "weight=50");
    edit_t *second = cell_edit("e2", table, "a", "weight=60");
    ck_assert_int_eq(edit_apply(first, table, 1000, &err), EDIT_APPLIED);
    ck_assert_int_eq(edit_apply(second, table, 1000, &err), EDIT_REFUSED);
    ck_assert_int_eq(err.code, ERR_CONFLICT);
    ck_assert_ptr_nonnull(strstr(err.detail, "50"));
    ck_assert_ptr_nonnull(strstr(err.detail, "60"));
    ck_assert(table->rows[0].weight == 50);
    edit_free(first);
    edit_free(second);
    table_free(table);
}
END_TEST

START_TEST(edit_is_applied_once)
{
    err_t err = {0};
    table_t *table = parse(two_rows);
    edit_t *edit = cell_edit("e1", table, "a", "weight=50");
    ck_assert_int_eq(edit_apply(edit, table, 1000, &err), EDIT_APPLIED);
    ck_assert_int_eq(edit_apply(edit, table, 1000, &err), EDIT_ALREADY_APPLIED);
    edit_free(edit);
    table_free(table);
}
END_TEST

START_TEST(invalid_edit_changes_nothing)
{
    err_t err = {0};
    table_t *table = parse(two_rows);
    edit_t *edit = cell_edit("e1", table, "a", "state=draining");
    ck_assert(edit_add_cell(edit, table, STR("b"), STR("weight=0"), &err));
    ck_assert_int_eq(edit_apply(edit, table, 1000, &err), EDIT_REFUSED);
    ck_assert_int_eq(table->rows[0].state, ROW_STEERED);
    ck_assert_uint_eq(table->ramp_start_ms, 0);
    edit_free(edit);
    table_free(table);
}
END_TEST

Suite *
suite_table(void)
{
    Suite *suite = suite_create("table");
    TCase *tcase = tcase_create("table");
    tcase_set_timeout(tcase, 60);
    tcase_add_loop_test(tcase, invalid_tables_are_rejected, 0, (int)ALEN(bad_tables));
    tcase_add_test(tcase, stored_form_round_trips);
    tcase_add_loop_test(tcase, cap_holds_with_edits_in_mid_ramp, 0, 20);
    tcase_add_test(tcase, cap_test_detects_disabled_cap);
    tcase_add_test(tcase, ramp_reaches_its_target_in_time);
    tcase_add_test(tcase, zero_cap_never_changes_shares);
    tcase_add_test(tcase, edits_of_other_cells_merge);
    tcase_add_test(tcase, conflicting_edits_report_both_values);
    tcase_add_test(tcase, edit_is_applied_once);
    tcase_add_test(tcase, invalid_edit_changes_nothing);
    suite_add_tcase(suite, tcase);
    return suite;
}
