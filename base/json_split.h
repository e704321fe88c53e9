/*
 * Splits a JSON text into its parts without parsing them, so that one part that cannot be parsed
 * does not affect the others. Looks only at brackets, commas and strings.
 */
#pragma once

#include "base/str.h"

/* Returns the index past the white space that starts at `at`. */
size_t json_skip_whitespace(str_t text, size_t at);
/* Returns the index past the value that starts at `at`. */
size_t json_skip_value(str_t text, size_t at);
/* Advances to the value of the object's next member and sets its name; returns false at the end. */
bool json_next_member(str_t text, size_t *at, str_t *name);
