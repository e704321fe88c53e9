/*
 * The head of an HTTP/1.1 message: start line and header fields, owned in one buffer.
 *
 * Fields are not counted: the parser library ends a head of more than 80 kB, and a field has 4
 * bytes at least, so that the list of fields stays below 400 kB; a listener's limit is lower.
 *
 * Filled by the parser callbacks of request_reader.c and client_response.c, which may deliver a
 * field in pieces. Owns the bytes; a str_t returned from here lives as long as the head is not
 * reset.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

enum {
    /* Lengths of a body that the head does not give. */
    WIRE_CHUNKED = -1,
    WIRE_UNTIL_CLOSE = -2, /* ends with its connection */
};

typedef struct {
    uint32_t name_offset;
    uint32_t name_len;
    uint32_t value_offset;
    uint32_t value_len;
} wire_field_t;

typedef struct {
    char *text; /* target, then names and values one after the other */
    size_t len;
    size_t size;
    uint32_t target_len; /* the target starts at 0 */
    wire_field_t *fields;
    size_t field_count;
    size_t field_size;
    bool in_value;   /* the last piece was part of a value */
    unsigned method; /* enum http_method of the parser library */
    int status;
} wire_head_t;

/* Forgets the message and keeps the buffers. */
void wire_head_reset(wire_head_t *head);
void wire_head_free(wire_head_t *head);

void wire_head_add_target(wire_head_t *head, const char *ptr, size_t len);
void wire_head_add_name(wire_head_t *head, const char *ptr, size_t len);
void wire_head_add_value(wire_head_t *head, const char *ptr, size_t len);

str_t wire_head_target(const wire_head_t *head);
/* The target without its query. */
str_t wire_head_path(const wire_head_t *head);
/* The raw value of a query parameter, empty if absent. */
str_t wire_head_query(const wire_head_t *head, str_t name);
str_t wire_head_name(const wire_head_t *head, size_t index);
str_t wire_head_value(const wire_head_t *head, size_t index);
/* The value of the first field of that name in any case, empty if absent. */
str_t wire_head_find(const wire_head_t *head, str_t name);
/* True for fields that concern one connection only (connection, keep-alive, ...) or the framing. */
bool wire_is_hop_by_hop_field(str_t name);

/* A growing text with a bound on nothing but memory; used to build heads. */
typedef struct {
    char *ptr;
    size_t len;
    size_t size;
} wire_text_t;

void wire_text_add(wire_text_t *text, const char *ptr, size_t len);
void wire_text_str(wire_text_t *text, str_t s);
void wire_text_printf(wire_text_t *text, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
/* Appends "name: value\r\n". */
void wire_text_field(wire_text_t *text, str_t name, str_t value);

bool wire_str_case_eq(str_t a, str_t b);
/* The standard reason phrase of a status. */
const char *wire_reason(int status);
