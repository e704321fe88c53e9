#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"

void
bug_at(const char *file, int line, const char *what)
{
    fprintf(stderr, "%s:%d: BUG: %s\n", file, line, what);
    abort();
}

void *
xmalloc(size_t size)
{
    void *ptr = malloc(size > 0 ? size : 1);
    if (ptr == NULL)
        BUG("out of memory");
    return ptr;
}

void *
xcalloc(size_t count, size_t size)
{
    void *ptr = calloc(count > 0 ? count : 1, size > 0 ? size : 1);
    if (ptr == NULL)
        BUG("out of memory");
    return ptr;
}

void *
xrealloc(void *ptr, size_t size)
{
    void *grown = realloc(ptr, size > 0 ? size : 1);
    if (grown == NULL)
        BUG("out of memory");
    return grown;
}

char *
xmemdup0(const char *ptr, size_t len)
{
    char *copy = xmalloc(len + 1);
    if (len > 0)
        memcpy(copy, ptr, len);
    copy[len] = '\0';
    return copy;
}

char *
xasprintf(const char *fmt, ...)
{
    char *out = NULL;
    va_list args;
    va_start(args, fmt);
    const int len = vasprintf(&out, fmt, args);
    va_end(args);
    if (len < 0 || out == NULL)
        BUG("out of memory");
    return out;
}
