#include <ctype.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <http_parser.h>

#include "base/xmalloc.h"
#include "wire/head.h"

enum { TEXT_START = 512, FIELDS_START = 16 };

void
wire_head_reset(wire_head_t *head)
{
    head->len = 0;
    head->target_len = 0;
    head->field_count = 0;
    head->in_value = false;
    head->folded = false;
    head->value_open = false;
    head->status = 0;
}

void
wire_head_begin_input(wire_head_t *head, const char *ptr)
{
    head->input = ptr;
    head->value_end = NULL;
}

void
wire_head_end_input(wire_head_t *head, const char *end)
{
    head->value_open = head->in_value && head->value_end == end;
}

void
wire_head_free(wire_head_t *head)
{
    free(head->text);
    free(head->fields);
    *head = (wire_head_t){0};
}

static void
append(wire_head_t *head, const char *ptr, size_t len)
{
    if (head->len + len > head->size) {
        size_t size = head->size > 0 ? head->size : TEXT_START;
        while (size < head->len + len)
            size *= 2;
        head->text = xrealloc(head->text, size);
        head->size = size;
    }
    memcpy(head->text + head->len, ptr, len);
    head->len += len;
}

void
wire_head_add_target(wire_head_t *head, const char *ptr, size_t len)
{
    append(head, ptr, len);
    head->target_len += (uint32_t)len;
}

static void
new_field(wire_head_t *head)
{
    if (head->field_count == head->field_size) {
        head->field_size = head->field_size > 0 ? head->field_size * 2 : FIELDS_START;
        head->fields = xrealloc(head->fields, head->field_size * sizeof(*head->fields));
    }
    head->fields[head->field_count++] =
        (wire_field_t){.name_offset = (uint32_t)head->len, .value_offset = (uint32_t)head->len};
}

void
wire_head_add_name(wire_head_t *head, const char *ptr, size_t len)
{
    if (head->field_count == 0 || head->in_value)
        new_field(head);
    head->in_value = false;
    append(head, ptr, len);
    wire_field_t *field = &head->fields[head->field_count - 1];
    field->name_len += (uint32_t)len;
    field->value_offset = (uint32_t)head->len;
}

void
wire_head_add_value(wire_head_t *head, const char *ptr, size_t len)
{
    if (head->field_count == 0)
        return;
    const bool adjoins = ptr == head->value_end || (head->value_open && ptr == head->input);
    head->folded |= head->in_value && !adjoins;
    head->value_end = ptr + len;
    head->in_value = true;
    append(head, ptr, len);
    head->fields[head->field_count - 1].value_len += (uint32_t)len;
}

str_t
wire_head_target(const wire_head_t *head)
{
    return (str_t){head->text, head->target_len};
}

str_t
wire_head_path(const wire_head_t *head)
{
    const char *query = head->target_len > 0 ? memchr(head->text, '?', head->target_len) : NULL;
    return (str_t){head->text, query != NULL ? (size_t)(query - head->text) : head->target_len};
}

str_t
wire_head_query(const wire_head_t *head, str_t name)
{
    const str_t path = wire_head_path(head);
    const char *at = head->text + path.len;
    const char *const end = head->text + head->target_len;
    while (at < end) {
        at++; /* '?' or '&' */
        const char *stop = memchr(at, '&', (size_t)(end - at));
        if (stop == NULL)
            stop = end;
        const char *equals = memchr(at, '=', (size_t)(stop - at));
        if (equals != NULL && str_eq((str_t){at, (size_t)(equals - at)}, name))
            return (str_t){equals + 1, (size_t)(stop - equals - 1)};
        at = stop;
    }
    return STR("");
}

str_t
wire_head_name(const wire_head_t *head, size_t index)
{
    const wire_field_t *field = &head->fields[index];
    return (str_t){head->text + field->name_offset, field->name_len};
}

str_t
wire_head_value(const wire_head_t *head, size_t index)
{
    const wire_field_t *field = &head->fields[index];
    return (str_t){head->text + field->value_offset, field->value_len};
}

bool
wire_str_case_eq(str_t a, str_t b)
{
    return a.len == b.len && strncasecmp(a.ptr, b.ptr, a.len) == 0;
}

str_t
wire_head_find(const wire_head_t *head, str_t name)
{
    for (size_t i = 0; i < head->field_count; i++) {
        if (wire_str_case_eq(wire_head_name(head, i), name))
            return wire_head_value(head, i);
    }
    return STR("");
}

void
wire_head_remove(wire_head_t *head, str_t name)
{
    size_t kept = 0;
    for (size_t i = 0; i < head->field_count; i++) {
        if (!wire_str_case_eq(wire_head_name(head, i), name))
            head->fields[kept++] = head->fields[i];
    }
    head->field_count = kept;
}

/* Makes room for `len` more bytes and a NUL. */
static void
reserve(wire_text_t *text, size_t len)
{
    size_t size = text->size > 0 ? text->size : TEXT_START;
    while (size < text->len + len + 1)
        size *= 2;
    if (size == text->size)
        return;
    text->ptr = xrealloc(text->ptr, size);
    text->size = size;
}

void
wire_text_add(wire_text_t *text, const char *ptr, size_t len)
{
    reserve(text, len);
    if (len > 0)
        memcpy(text->ptr + text->len, ptr, len);
    text->len += len;
    text->ptr[text->len] = '\0';
}

void
wire_text_str(wire_text_t *text, str_t s)
{
    wire_text_add(text, s.ptr, s.len);
}

/* Formats into the free space of the buffer, and once more if the result is longer than that. */
void
wire_text_printf(wire_text_t *text, const char *fmt, ...)
{
    size_t len = 0;
    bool fits = false;
    while (!fits) {
        reserve(text, len);
        const size_t room = text->size - text->len;
        va_list args;
        va_start(args, fmt);
        const int n = vsnprintf(text->ptr + text->len, room, fmt, args);
        va_end(args);
        xassert(n >= 0); /* an invalid format */
        len = (size_t)n;
        fits = len < room;
    }
    text->len += len;
}

void
wire_text_encoded(wire_text_t *text, str_t s)
{
    for (size_t i = 0; i < s.len; i++) {
        const unsigned char c = (unsigned char)s.ptr[i];
        if (isalnum(c) || (c != '\0' && strchr("-._~", c) != NULL))
            wire_text_add(text, &s.ptr[i], 1);
        else
            wire_text_printf(text, "%%%02X", c);
    }
}

void
wire_text_field(wire_text_t *text, str_t name, str_t value)
{
    wire_text_str(text, name);
    wire_text_add(text, ": ", 2);
    wire_text_str(text, value);
    wire_text_add(text, "\r\n", 2);
}

const char *
wire_reason(int status)
{
    return http_status_str((enum http_status)status);
}
