/*
 * Response bodies for tests: byte i of the response to request `id` is (hash(id) + i) mod 256, so
 * that the client detects missing, foreign and reordered parts.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

enum { PATTERN_CHUNK = 32768 };

/* Returns PATTERN_CHUNK bytes of the body of `id` from offset `at`, in static storage. */
const char *pattern_bytes(str_t id, uint64_t at);
bool pattern_matches(str_t id, uint64_t at, const char *ptr, size_t len);
