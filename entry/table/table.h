/*
 * The steering table: one object per service with a row per place.
 *
 * table_check() enforces that places are unique, numbers are in range and at least one row takes
 * traffic. docs/TABLE.md describes the columns, table_json.h the stored form.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/str.h"

/* Limits of one table. */
enum {
    TABLE_ROWS_MAX = 512,
    TABLE_CLASSES_MAX = 32,
    TABLE_DRAINING_MAX = 1024,
    TABLE_EDITS_MAX = 32,
};

#define TABLE_POINTS 100.0 /* sum of the shares of all rows */

typedef enum { ROW_STEERED, ROW_DRAINING } row_state_t;

typedef struct {
    name_t place;
    double weight;  /* relative target share, 0 or more */
    double from;    /* share in points (0..100) when the ramp starts */
    uint32_t limit; /* maximum requests in flight; 0: only the region's limit applies */
    uint32_t rate;  /* maximum requests started per second; 0: unlimited */
    double cap;     /* maximum points that may move to the place in any rolling minute */
    row_state_t state;
} table_row_t;

typedef struct {
    name_t name;
    name_t method;
    char path[64]; /* prefix of the request path */
    bool repeatable;
    bool hedge;
    uint32_t deadline_ms;
    uint32_t priority; /* 0 is served first when capacity is scarce */
    double weight_latency;
    double weight_headroom;
    double weight_drain;
} table_class_t;

typedef struct {
    name_t service;
    uint64_t version;       /* of the stored object; 0 if not stored yet */
    uint64_t ramp_start_ms; /* wall time at which the ramp starts */
    table_row_t *rows;
    size_t row_count;
    table_class_t *classes;
    size_t class_count;
    name_t *draining; /* backend servers marked as draining */
    size_t draining_count;
    name_t edits[TABLE_EDITS_MAX]; /* ids of the latest edits, newest last */
    size_t edit_count;
} table_t;

table_t *table_copy(const table_t *table);
void table_free(table_t *table);
bool table_check(const table_t *table, err_t *err);

table_row_t *table_row(const table_t *table, str_t place);
const table_class_t *table_class_match(const table_t *table, str_t method, str_t path);
bool table_is_draining(const table_t *table, str_t backend);
bool table_has_edit(const table_t *table, str_t edit_id);
void table_remember_edit(table_t *table, const name_t *edit_id);
table_row_t *table_add_row(table_t *table, const name_t *place);
void table_add_draining(table_t *table, const name_t *backend);
void table_remove_draining(table_t *table, str_t backend);
const char *row_state_name(row_state_t state);
/* Returns false if `text` names no state. */
bool row_state_parse(const char *text, row_state_t *state);
