/*
 * Head of an HTTP/1.1 message: start line and header fields, stored in one buffer.
 *
 * Filled from parser callbacks, which may deliver a field in several pieces. Returned strings are
 * valid until the head is reset or extended.
 *
 * The number of fields is not limited separately: http-parser rejects heads above 80 kB, and a
 * field takes at least 4 bytes, so the field list stays below 400 kB.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

enum {
    /* Body lengths that are not known from the head. */
    WIRE_CHUNKED = -1,
    WIRE_UNTIL_CLOSE = -2, /* ends when the connection closes */
};

typedef struct {
    uint32_t name_offset;
    uint32_t name_len;
    uint32_t value_offset;
    uint32_t value_len;
} wire_field_t;

typedef struct {
    char *text; /* target, then field names and values, concatenated */
    size_t len;
    size_t size;
    uint32_t target_len; /* the target starts at offset 0 */
    wire_field_t *fields;
    size_t field_count;
    size_t field_size;
    bool in_value;         /* the last piece was part of a value */
    bool folded;           /* a value has several lines (RFC 9112, 5.2) */
    const char *input;     /* start of the input that is being parsed */
    const char *value_end; /* end of the last piece of a value in this input */
    bool value_open;       /* the input before ended within a value */
    unsigned method;       /* enum http_method of http-parser */
    int status;
} wire_head_t;

/* Clears the head and keeps the buffers. */
void wire_head_reset(wire_head_t *head);
void wire_head_free(wire_head_t *head);

/* Frame the parsing of one piece of input, which tells folded values from those in several pieces.
 */
void wire_head_begin_input(wire_head_t *head, const char *ptr);
void wire_head_end_input(wire_head_t *head, const char *end);
void wire_head_add_target(wire_head_t *head, const char *ptr, size_t len);
void wire_head_add_name(wire_head_t *head, const char *ptr, size_t len);
void wire_head_add_value(wire_head_t *head, const char *ptr, size_t len);

str_t wire_head_target(const wire_head_t *head);
/* The target without the query string. */
str_t wire_head_path(const wire_head_t *head);
/* The raw value of a query parameter, empty if absent. */
str_t wire_head_query(const wire_head_t *head, str_t name);
str_t wire_head_name(const wire_head_t *head, size_t index);
str_t wire_head_value(const wire_head_t *head, size_t index);
/* The value of the first field with this name (case-insensitive), empty if absent. */
str_t wire_head_find(const wire_head_t *head, str_t name);
/* Removes all fields with this name (case-insensitive). Strings returned before stay valid. */
void wire_head_remove(wire_head_t *head, str_t name);

/* A growable string buffer. */
typedef struct {
    char *ptr;
    size_t len;
    size_t size;
} wire_text_t;

void wire_text_add(wire_text_t *text, const char *ptr, size_t len);
void wire_text_str(wire_text_t *text, str_t s);
/* Appends formatted text of any length. */
void wire_text_printf(wire_text_t *text, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
/* Appends text in the form that it has in a path or query (RFC 3986, 2.1). */
void wire_text_encoded(wire_text_t *text, str_t s);
/* Appends "name: value\r\n". */
void wire_text_field(wire_text_t *text, str_t name, str_t value);

bool wire_str_case_eq(str_t a, str_t b);
/* The standard reason phrase of a status code. */
const char *wire_reason(int status);
