#include "base/json_split.h"

#include <string.h>

/* Returns the index past the JSON string that starts at `at`, or the end of the text. */
static size_t
skip_string(str_t text, size_t at)
{
    for (at++; at < text.len && text.ptr[at] != '"'; at++) {
        if (text.ptr[at] == '\\')
            at++;
    }
    return at < text.len ? at + 1 : text.len;
}

size_t
json_skip_value(str_t text, size_t at)
{
    size_t depth = 0;
    while (at < text.len) {
        const char c = text.ptr[at];
        if (c == '"') {
            at = skip_string(text, at);
            continue;
        }
        if (depth == 0 && (c == ',' || c == ']' || c == '}'))
            return at;
        if (c == '{' || c == '[')
            depth++;
        if (c == '}' || c == ']')
            depth--;
        at++;
    }
    return at;
}

size_t
json_skip_whitespace(str_t text, size_t at)
{
    while (at < text.len && strchr(" \t\r\n", text.ptr[at]) != NULL)
        at++;
    return at;
}

bool
json_next_member(str_t text, size_t *at, str_t *name)
{
    size_t from = json_skip_whitespace(text, *at);
    if (from < text.len && (text.ptr[from] == '{' || text.ptr[from] == ','))
        from = json_skip_whitespace(text, from + 1);
    if (from >= text.len || text.ptr[from] != '"')
        return false;
    const size_t end = skip_string(text, from);
    if (end < from + 2)
        return false;
    *name = (str_t){text.ptr + from + 1, end - from - 2};
    const size_t colon = json_skip_whitespace(text, end);
    if (colon >= text.len || text.ptr[colon] != ':')
        return false;
    *at = json_skip_whitespace(text, colon + 1);
    return true;
}
