/*
 * Length-counted strings.
 *
 * str_t borrows bytes that somebody else owns. name_t owns a short name (service, place,
 * instance) in place, so aggregates hold names without separate allocations.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct {
    const char *ptr;
    size_t len;
} str_t;

#define STR(literal) ((str_t){.ptr = (literal), .len = sizeof(literal) - 1})
/* Arguments for a "%.*s" conversion. */
#define STR_ARG(s) (int)(s).len, (s).ptr

enum { NAME_MAX_LEN = 47 };

typedef struct {
    uint8_t len;
    char ptr[NAME_MAX_LEN + 1]; /* always NUL-terminated */
} name_t;

str_t str_from(const char *cstr); /* NULL gives an empty string */
bool str_eq(str_t a, str_t b);
/* The same in a time that depends on the lengths alone, not on where they differ: for keys. */
bool str_eq_constant_time(str_t a, str_t b);
/* Below, at or above 0 as `a` comes before, equals or comes after `b`, byte by byte. */
int str_compare(str_t a, str_t b);
bool str_starts_with(str_t s, str_t prefix);
/* Without the blanks at both ends. */
str_t str_trim(str_t s);
/* Decimal unsigned number covering the whole string; false on anything else or overflow. */
bool str_to_u64(str_t s, uint64_t *out);
/* 64-bit hash (xxHash); `seed` separates independent uses. */
uint64_t str_hash(str_t s, uint64_t seed);

/* False if `s` is empty, too long or holds anything but letters, digits, '-', '_' and '.'. */
bool name_set(name_t *name, str_t s);
str_t name_str(const name_t *name);
bool name_eq(const name_t *name, str_t s);
