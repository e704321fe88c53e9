#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "entry/table/table.h"

static const char *const state_names[] = {[ROW_STEERED] = "steered", [ROW_DRAINING] = "draining"};

const char *
row_state_name(row_state_t state)
{
    return state_names[state];
}

bool
row_state_parse(const char *text, row_state_t *state)
{
    for (size_t i = 0; i < ALEN(state_names); i++) {
        if (strcmp(text, state_names[i]) == 0) {
            *state = (row_state_t)i;
            return true;
        }
    }
    return false;
}

static void *
copy_array(const void *from, size_t count, size_t size)
{
    void *to = xcalloc(count, size);
    if (count > 0)
        memcpy(to, from, count * size);
    return to;
}

table_t *
table_copy(const table_t *table)
{
    table_t *copy = xmalloc(sizeof(*copy));
    *copy = *table;
    copy->rows = copy_array(table->rows, table->row_count, sizeof(*table->rows));
    copy->classes = copy_array(table->classes, table->class_count, sizeof(*table->classes));
    copy->draining = copy_array(table->draining, table->draining_count, sizeof(*table->draining));
    return copy;
}

void
table_free(table_t *table)
{
    if (table == NULL)
        return;
    free(table->rows);
    free(table->classes);
    free(table->draining);
    free(table);
}

static bool
check_row(const table_t *table, size_t index, err_t *err)
{
    const table_row_t *row = &table->rows[index];
    if (!isfinite(row->weight) || row->weight < 0 || row->weight > 1e6) {
        err_set(err, ERR_INVALID, "row %s: weight=%g, expected 0 to 1000000", row->place.ptr,
                row->weight);
        return false;
    }
    if (!isfinite(row->cap) || row->cap < 0 || row->cap > TABLE_POINTS) {
        err_set(err, ERR_INVALID, "row %s: cap=%g, expected 0 to 100 points a minute",
                row->place.ptr, row->cap);
        return false;
    }
    if (!isfinite(row->from) || row->from < 0 || row->from > TABLE_POINTS + 1e-6) {
        err_set(err, ERR_INVALID, "row %s: from=%g, expected 0 to 100", row->place.ptr, row->from);
        return false;
    }
    for (size_t i = 0; i < index; i++) {
        if (name_eq(&table->rows[i].place, name_str(&row->place))) {
            err_set(err, ERR_INVALID, "row %s: listed twice", row->place.ptr);
            return false;
        }
    }
    return true;
}

bool
table_check(const table_t *table, err_t *err)
{
    bool steered = false;
    for (size_t i = 0; i < table->row_count; i++) {
        if (!check_row(table, i, err))
            return false;
        steered = steered || (table->rows[i].weight > 0 && table->rows[i].state == ROW_STEERED);
    }
    if (!steered) {
        err_set(err, ERR_INVALID,
                "service %s: no row takes traffic: one must be steered with weight above 0",
                table->service.ptr);
        return false;
    }
    if (table->class_count == 0) {
        err_set(err, ERR_INVALID, "service %s: no request classes", table->service.ptr);
        return false;
    }
    return true;
}

table_row_t *
table_row(const table_t *table, str_t place)
{
    for (size_t i = 0; i < table->row_count; i++) {
        if (name_eq(&table->rows[i].place, place))
            return &table->rows[i];
    }
    return NULL;
}

const table_class_t *
table_class_match(const table_t *table, str_t method, str_t path)
{
    for (size_t i = 0; i < table->class_count; i++) {
        const table_class_t *cls = &table->classes[i];
        if (name_eq(&cls->method, method) && str_starts_with(path, str_from(cls->path)))
            return cls;
    }
    return NULL;
}

bool
table_is_draining(const table_t *table, str_t backend)
{
    for (size_t i = 0; i < table->draining_count; i++) {
        if (name_eq(&table->draining[i], backend))
            return true;
    }
    return false;
}

bool
table_has_edit(const table_t *table, str_t edit_id)
{
    for (size_t i = 0; i < table->edit_count; i++) {
        if (name_eq(&table->edits[i], edit_id))
            return true;
    }
    return false;
}

void
table_remember_edit(table_t *table, const name_t *edit_id)
{
    if (table->edit_count == TABLE_EDITS_MAX) {
        memmove(&table->edits[0], &table->edits[1],
                (TABLE_EDITS_MAX - 1) * sizeof(table->edits[0]));
        table->edit_count--;
    }
    table->edits[table->edit_count++] = *edit_id;
}

table_row_t *
table_add_row(table_t *table, const name_t *place)
{
    table->rows = xrealloc(table->rows, (table->row_count + 1) * sizeof(*table->rows));
    table_row_t *row = &table->rows[table->row_count++];
    *row = (table_row_t){.place = *place, .cap = TABLE_POINTS};
    return row;
}

void
table_add_draining(table_t *table, const name_t *backend)
{
    if (table_is_draining(table, name_str(backend)))
        return;
    table->draining =
        xrealloc(table->draining, (table->draining_count + 1) * sizeof(*table->draining));
    table->draining[table->draining_count++] = *backend;
}

void
table_remove_draining(table_t *table, str_t backend)
{
    size_t kept = 0;
    for (size_t i = 0; i < table->draining_count; i++) {
        if (!name_eq(&table->draining[i], backend))
            table->draining[kept++] = table->draining[i];
    }
    table->draining_count = kept;
}
