/*
 * The stored form of a table: JSON, as it lies in the object store.
 *
 * Unknown members, values out of range and tables that table_check() refuses are errors. Relies on
 * jansson.
 */
#pragma once

#include "entry/table/table.h"

/* Parses and checks the stored form; NULL with ERR_PARSE, ERR_INVALID or ERR_TOO_LARGE. */
table_t *table_parse(str_t json, err_t *err);
/* The stored form; free() the result. */
char *table_format(const table_t *table);
