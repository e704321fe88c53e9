#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "entry/table/edit.h"
#include "entry/table/ramp.h"

static const char *const column_names[COLUMN_COUNT] = {
    [COLUMN_WEIGHT] = "weight", [COLUMN_LIMIT] = "limit", [COLUMN_RATE] = "rate",
    [COLUMN_CAP] = "cap",       [COLUMN_STATE] = "state",
};

static bool
column_parse(str_t text, column_t *out)
{
    for (size_t i = 0; i < COLUMN_COUNT; i++) {
        if (str_eq(text, str_from(column_names[i]))) {
            *out = (column_t)i;
            return true;
        }
    }
    return false;
}

const char *
column_name(column_t column)
{
    return column_names[column];
}

void
column_format(const table_row_t *row, column_t column, char out[EDIT_VALUE_MAX])
{
    switch (column) {
    case COLUMN_WEIGHT:
        snprintf(out, EDIT_VALUE_MAX, "%g", row->weight);
        return;
    case COLUMN_LIMIT:
        snprintf(out, EDIT_VALUE_MAX, "%u", row->limit);
        return;
    case COLUMN_RATE:
        snprintf(out, EDIT_VALUE_MAX, "%u", row->rate);
        return;
    case COLUMN_CAP:
        snprintf(out, EDIT_VALUE_MAX, "%g", row->cap);
        return;
    case COLUMN_STATE:
        snprintf(out, EDIT_VALUE_MAX, "%s", row_state_name(row->state));
        return;
    }
    BUG("unknown column");
}

static bool
parse_number(const char *text, double *out)
{
    char *end;
    errno = 0;
    *out = strtod(text, &end);
    return errno == 0 && end != text && *end == '\0';
}

static bool
set_cell(table_row_t *row, column_t column, const char *text)
{
    double number = 0;
    uint64_t whole = 0;
    switch (column) {
    case COLUMN_WEIGHT:
    case COLUMN_CAP:
        if (!parse_number(text, &number))
            return false;
        *(column == COLUMN_WEIGHT ? &row->weight : &row->cap) = number;
        return true;
    case COLUMN_LIMIT:
    case COLUMN_RATE:
        if (!str_to_u64(str_from(text), &whole) || whole > UINT32_MAX)
            return false;
        *(column == COLUMN_LIMIT ? &row->limit : &row->rate) = (uint32_t)whole;
        return true;
    case COLUMN_STATE:
        return row_state_parse(text, &row->state);
    }
    BUG("unknown column");
}

edit_t *
edit_new(const name_t *id)
{
    edit_t *edit = xcalloc(1, sizeof(*edit));
    edit->id = *id;
    return edit;
}

void
edit_free(edit_t *edit)
{
    if (edit == NULL)
        return;
    free(edit->changes);
    free(edit);
}

static change_t *
add_change(edit_t *edit, change_kind_t kind)
{
    edit->changes = xrealloc(edit->changes, (edit->count + 1) * sizeof(*edit->changes));
    change_t *change = &edit->changes[edit->count++];
    *change = (change_t){.kind = kind};
    return change;
}

bool
edit_add_cell(edit_t *edit, const table_t *table, str_t place, str_t assignment, err_t *err)
{
    const char *equals = memchr(assignment.ptr, '=', assignment.len);
    const size_t key_len = equals != NULL ? (size_t)(equals - assignment.ptr) : assignment.len;
    const str_t key = {assignment.ptr, key_len};
    column_t column;
    if (equals == NULL || !column_parse(key, &column)) {
        err_set(err, ERR_INVALID,
                "%.*s: expected weight=, limit=, rate=, cap= or state=", STR_ARG(assignment));
        return false;
    }
    name_t name;
    if (!name_set(&name, place)) {
        err_set(err, ERR_INVALID, "place %.*s: not a valid name", STR_ARG(place));
        return false;
    }
    const str_t value = {equals + 1, assignment.len - key_len - 1};
    table_row_t scratch = {.place = name};
    char text[EDIT_VALUE_MAX];
    snprintf(text, sizeof(text), "%.*s", STR_ARG(value));
    if (value.len >= EDIT_VALUE_MAX || !set_cell(&scratch, column, text)) {
        err_set(err, ERR_INVALID, "%s=%.*s: not a valid value", column_name(column),
                STR_ARG(value));
        return false;
    }
    change_t *change = add_change(edit, CHANGE_CELL);
    change->name = name;
    change->column = column;
    column_format(&scratch, column, change->value);
    const table_row_t *row = table_row(table, place);
    if (row != NULL)
        column_format(row, column, change->seen);
    return true;
}

void
edit_add_drain(edit_t *edit, change_kind_t kind, const name_t *backend)
{
    change_t *change = add_change(edit, kind);
    change->name = *backend;
}

static bool
affects_shares(const change_t *change)
{
    return change->kind == CHANGE_CELL &&
           (change->column == COLUMN_WEIGHT || change->column == COLUMN_CAP ||
            change->column == COLUMN_STATE);
}

static bool
apply_cell(const change_t *change, table_t *table, err_t *err)
{
    table_row_t *row = table_row(table, name_str(&change->name));
    char current[EDIT_VALUE_MAX] = "";
    if (row != NULL)
        column_format(row, change->column, current);
    const bool as_seen = strcmp(current, change->seen) == 0;
    const bool new_row = change->seen[0] == '\0' && row != NULL;
    if (!as_seen && !new_row && strcmp(current, change->value) != 0) {
        err_set(err, ERR_CONFLICT, "%s %s: you saw %s and want %s, but it is now %s",
                change->name.ptr, column_name(change->column), change->seen, change->value,
                row != NULL ? current : "gone");
        return false;
    }
    if (row == NULL)
        row = table_add_row(table, &change->name);
    return set_cell(row, change->column, change->value);
}

static bool
apply_change(const change_t *change, table_t *table, err_t *err)
{
    switch (change->kind) {
    case CHANGE_CELL:
        return apply_cell(change, table, err);
    case CHANGE_DRAIN:
        if (table->draining_count >= TABLE_DRAINING_MAX) {
            err_set(err, ERR_TOO_LARGE, "more than %d draining backend servers",
                    TABLE_DRAINING_MAX);
            return false;
        }
        table_add_draining(table, &change->name);
        return true;
    case CHANGE_UNDRAIN:
        table_remove_draining(table, name_str(&change->name));
        return true;
    }
    BUG("unknown change");
}

static void
swap_tables(table_t *a, table_t *b)
{
    const table_t tmp = *a;
    *a = *b;
    *b = tmp;
}

edit_result_t
edit_apply(const edit_t *edit, table_t *table, uint64_t wall_ms, err_t *err)
{
    if (table_has_edit(table, name_str(&edit->id)))
        return EDIT_ALREADY_APPLIED;
    table_t *work = table_copy(table);
    bool rebase = false;
    for (size_t i = 0; i < edit->count; i++)
        rebase = rebase || affects_shares(&edit->changes[i]);
    if (rebase)
        ramp_rebase(work, wall_ms);
    bool ok = true;
    for (size_t i = 0; ok && i < edit->count; i++)
        ok = apply_change(&edit->changes[i], work, err);
    if (ok)
        table_remember_edit(work, &edit->id);
    ok = ok && table_check(work, err);
    if (ok)
        swap_tables(table, work);
    table_free(work);
    return ok ? EDIT_APPLIED : EDIT_REFUSED;
}
