/*
 * Length-counted strings.
 *
 * str_t is a view of bytes that the caller owns. name_t stores a short name (service, data hall,
 * instance) inline, without a separate allocation.
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
/* Arguments of a "%.*s" conversion. */
#define STR_ARG(s) (int)(s).len, (s).ptr

enum { NAME_MAX_LEN = 47 };

typedef struct {
    uint8_t len;
    char ptr[NAME_MAX_LEN + 1]; /* always NUL-terminated */
} name_t;

str_t str_from(const char *cstr); /* NULL gives an empty string */
bool str_eq(str_t a, str_t b);
/* Compares in constant time for equal lengths; for secrets. */
bool str_eq_constant_time(str_t a, str_t b);
/* Compares bytewise; returns <0, 0 or >0 like memcmp(). */
int str_compare(str_t a, str_t b);
bool str_starts_with(str_t s, str_t prefix);
/* Removes leading and trailing whitespace. */
str_t str_trim(str_t s);
/* Parses a decimal number that spans the whole string; false on other input or overflow. */
bool str_to_u64(str_t s, uint64_t *out);
/* 64-bit xxHash. */
uint64_t str_hash(str_t s, uint64_t seed);

/* Returns false if `s` is empty, too long or has characters other than letters, digits, '-', '_'
 * and '.'. */
bool name_set(name_t *name, str_t s);
str_t name_str(const name_t *name);
bool name_eq(const name_t *name, str_t s);
