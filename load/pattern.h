/*
 * Answer bodies of the test bench: byte i of the answer to request `id` is (hash(id) + i) mod
 * 256, so that a caller recognises a missing, foreign or reordered part at once.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

enum { PATTERN_CHUNK = 32768 };

/* PATTERN_CHUNK bytes of the body of `id` from offset `at` on; valid for ever. */
const char *pattern_bytes(str_t id, uint64_t at);
bool pattern_matches(str_t id, uint64_t at, const char *ptr, size_t len);
