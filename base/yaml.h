/*
 * YAML files read by libcyaml against a schema, with errors that name file, line, key and value.
 *
 * Owns nothing. Relies on libcyaml, and on libyaml for the line of a key.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>

#include <cyaml/cyaml.h>

#include "base/error.h"

/* The schema's top must be a mapping behind a pointer, which is returned; free it with
 * yaml_unload(). */
bool yaml_load(const char *path, const cyaml_schema_value_t *schema, void **out, err_t *err);
void yaml_unload(const cyaml_schema_value_t *schema, void *data);
/* Line (from 1) of the last place of a key in the file, 0 if it is not there. */
size_t yaml_line_of(const char *path, const char *key);
