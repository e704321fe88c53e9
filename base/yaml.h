/*
 * Loads YAML files with libcyaml; errors name the file, line, key and value. libyaml finds the line
 * of a key.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>

#include <cyaml/cyaml.h>

#include "base/error.h"

/* The top level of the schema must be a pointer to a mapping. Free `*out` with yaml_unload(). */
bool yaml_load(const char *path, const cyaml_schema_value_t *schema, void **out, err_t *err);
void yaml_unload(const cyaml_schema_value_t *schema, void *data);
/* Returns the line (from 1) of the last occurrence of a key, 0 if there is none. */
size_t yaml_line_of(const char *path, const char *key);
