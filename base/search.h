/*
 * Binary search in sorted arrays of any element type.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>

/* Returns true if the element at `index` sorts before the searched key. */
typedef bool (*search_below_t)(const void *ctx, size_t index);

/* Returns the index of the first element that is not below the key, or `count` if there is none. */
size_t search_lower_bound(size_t count, search_below_t is_below, const void *ctx);
