/*
 * Concurrent edits of a table by several operators.
 *
 * An edit lists the cells it changes and the values the operator saw. Applied to a newer table, it
 * merges with changes of other cells; if a cell it changes has a different value by then, it is
 * refused with both values. The stored table keeps the ids of the latest edits, so an operator who
 * lost the response can find out whether the edit was applied.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "entry/table/table.h"

enum { EDIT_VALUE_MAX = 64 }; /* bytes of a cell, including the terminating NUL */

typedef enum { COLUMN_WEIGHT, COLUMN_LIMIT, COLUMN_RATE, COLUMN_CAP, COLUMN_STATE } column_t;

enum { COLUMN_COUNT = COLUMN_STATE + 1 };

typedef enum {
    CHANGE_CELL,  /* `name` is the place */
    CHANGE_DRAIN, /* `name` is a backend server */
    CHANGE_UNDRAIN,
} change_kind_t;

typedef struct {
    change_kind_t kind;
    name_t name;
    column_t column;
    char seen[EDIT_VALUE_MAX]; /* value the operator saw; empty if the row did not exist */
    char value[EDIT_VALUE_MAX];
} change_t;

typedef struct {
    name_t id;
    change_t *changes;
    size_t count;
} edit_t;

typedef enum {
    EDIT_APPLIED,
    EDIT_ALREADY_APPLIED, /* the table already contains this edit */
    EDIT_REFUSED,         /* conflicts with another edit, or the result is invalid */
} edit_result_t;

const char *column_name(column_t column);
/* Formats a cell as shown to operators and compared by edits. */
void column_format(const table_row_t *row, column_t column, char out[EDIT_VALUE_MAX]);

edit_t *edit_new(const name_t *id);
void edit_free(edit_t *edit);
/* Adds "column=value" for a place; records the current value in `table` as seen. */
bool edit_add_cell(edit_t *edit, const table_t *table, str_t place, str_t assignment, err_t *err);
void edit_add_drain(edit_t *edit, change_kind_t kind, const name_t *backend);

/* Changes `table` in place; on EDIT_REFUSED it is unchanged and `err` gives the reason. */
edit_result_t edit_apply(const edit_t *edit, table_t *table, uint64_t wall_ms, err_t *err);
