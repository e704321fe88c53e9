#include <stdarg.h>
#include <stdio.h>

#include "check/rules.h"

void
verdict_add_violation(verdict_t *verdict, const char *fmt, ...)
{
    if (verdict->violations++ > 0)
        return;
    va_list args;
    va_start(args, fmt);
    vsnprintf(verdict->first_violation, sizeof(verdict->first_violation), fmt, args);
    va_end(args);
}

size_t
index_find(const index_t *index, const char *text)
{
    const json_t *known = json_object_get(index->map, text);
    return known != NULL ? (size_t)json_integer_value(known) : SIZE_MAX;
}

size_t
index_intern(index_t *index, const char *text)
{
    if (index->map == NULL)
        index->map = json_object();
    const size_t known = index_find(index, text);
    if (known != SIZE_MAX)
        return known;
    json_object_set_new(index->map, text, json_integer((json_int_t)index->count));
    return index->count++;
}

void
index_free(index_t *index)
{
    json_decref(index->map);
}
