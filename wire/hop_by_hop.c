#include "wire/hop_by_hop.h"

#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"

enum { NAMES_START = 8 };

/* FNV-1a, 64 bits, of the name in lower case. */
static uint64_t
name_hash(str_t name)
{
    static const uint64_t basis = UINT64_C(14695981039346656037);
    static const uint64_t prime = UINT64_C(1099511628211);
    uint64_t hash = basis;
    for (size_t i = 0; i < name.len; i++) {
        const char c = name.ptr[i];
        hash = (hash ^ (unsigned char)(c >= 'A' && c <= 'Z' ? c - 'A' + 'a' : c)) * prime;
    }
    return hash;
}

static int
compare_hashes(const void *left, const void *right)
{
    const uint64_t a = *(const uint64_t *)left;
    const uint64_t b = *(const uint64_t *)right;
    return (a > b) - (a < b);
}

/* Host is part of every request, whatever Connection says; "close" and "keep-alive" name no field
 * that is passed on. */
static bool
names_field(str_t option)
{
    return option.len > 0 && !wire_str_case_eq(option, STR("close")) &&
           !wire_str_case_eq(option, STR("keep-alive")) && !wire_str_case_eq(option, STR("host"));
}

static void
add(wire_hop_by_hop_t *fields, size_t *size, str_t option)
{
    if (!names_field(option))
        return;
    if (fields->count == *size) {
        *size = *size > 0 ? *size * 2 : NAMES_START;
        fields->names = xrealloc(fields->names, *size * sizeof(*fields->names));
    }
    fields->names[fields->count++] = name_hash(option);
}

/* Adds the names of a list that is separated by commas. */
static void
add_list(wire_hop_by_hop_t *fields, size_t *size, str_t list)
{
    while (list.len > 0) {
        const char *comma = memchr(list.ptr, ',', list.len);
        const size_t len = comma != NULL ? (size_t)(comma - list.ptr) : list.len;
        const size_t skip = comma != NULL ? len + 1 : len;
        add(fields, size, str_trim((str_t){list.ptr, len}));
        list = (str_t){list.ptr + skip, list.len - skip};
    }
}

wire_hop_by_hop_t
wire_hop_by_hop_find(const wire_head_t *head)
{
    wire_hop_by_hop_t fields = {0};
    size_t size = 0;
    for (size_t i = 0; i < head->field_count; i++) {
        if (wire_str_case_eq(wire_head_name(head, i), STR("connection")))
            add_list(&fields, &size, wire_head_value(head, i));
    }
    if (fields.count > 1)
        qsort(fields.names, fields.count, sizeof(*fields.names), compare_hashes);
    return fields;
}

bool
wire_is_hop_by_hop(const wire_hop_by_hop_t *fields, str_t name)
{
    static const str_t hop[] = {
        {"connection", 10}, {"keep-alive", 10}, {"proxy-connection", 16},
        {"te", 2},          {"trailer", 7},     {"transfer-encoding", 17},
        {"upgrade", 7},     {"expect", 6},      {"content-length", 14},
    };
    for (size_t i = 0; i < ALEN(hop); i++) {
        if (wire_str_case_eq(name, hop[i]))
            return true;
    }
    if (fields->count == 0)
        return false;
    const uint64_t hash = name_hash(name);
    return bsearch(&hash, fields->names, fields->count, sizeof(hash), compare_hashes) != NULL;
}

void
wire_hop_by_hop_free(wire_hop_by_hop_t *fields)
{
    free(fields->names);
    *fields = (wire_hop_by_hop_t){0};
}
