/*
 * A table as CSV, for irisctl export and import.
 *
 * The file holds each row twice: to be edited, and as it was when it was exported. Owns the rows of
 * a file. Relies on entry/table/edit.h for cells.
 */
#pragma once

#include "entry/table/edit.h"

typedef struct table_file table_file_t;

/* Writes the table to standard output. */
void table_file_print(const table_t *table);
/* NULL with an error that names file and line. */
table_file_t *table_file_read(const char *path, err_t *err);
/* Adds the cells that differ from what the operator saw; false if one is not valid. */
bool table_file_add_changes(const table_file_t *file, const table_t *table, edit_t *edit,
                            err_t *err);
void table_file_free(table_file_t *file);
