/*
 * CSV form of a table, for irisctl export and import. The file holds each row twice: once to be
 * edited and once as exported.
 */
#pragma once

#include "entry/table/edit.h"

typedef struct table_file table_file_t;

/* Writes the table to standard output. */
void table_file_print(const table_t *table);
/* On failure returns NULL with an error that names the file and line. */
table_file_t *table_file_read(const char *path, err_t *err);
/* Adds the cells that differ from the exported ones; returns false if one is invalid. */
bool table_file_add_changes(const table_file_t *file, const table_t *table, edit_t *edit,
                            err_t *err);
void table_file_free(table_file_t *file);
