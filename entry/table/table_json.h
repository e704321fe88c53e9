/*
 * JSON form of a table in the object store.
 *
 * Unknown members, values out of range and tables rejected by table_check() are errors.
 */
#pragma once

#include "entry/table/table.h"

/* Parses and checks the stored form; returns NULL with ERR_PARSE, ERR_INVALID or ERR_TOO_LARGE. */
table_t *table_parse(str_t json, err_t *err);
/* Returns the stored form; free() the result. */
char *table_format(const table_t *table);
