/* Allocation helpers that abort the process when out of memory. */
#pragma once

#include <stddef.h>

void *xmalloc(size_t size) __attribute__((malloc, returns_nonnull));
void *xcalloc(size_t count, size_t size) __attribute__((malloc, returns_nonnull));
void *xrealloc(void *ptr, size_t size) __attribute__((returns_nonnull));

/* Copies `len` bytes and appends a NUL. */
char *xmemdup0(const char *ptr, size_t len) __attribute__((returns_nonnull));

/* Formats into a newly allocated string. */
char *xasprintf(const char *fmt, ...) __attribute__((format(printf, 1, 2), returns_nonnull));

/* Reports a programming error and aborts. */
_Noreturn void bug_at(const char *file, int line, const char *what);

#define BUG(what) bug_at(__FILE__, __LINE__, (what))
#define xassert(cond)                                                                              \
    do {                                                                                           \
        if (!(cond))                                                                               \
            bug_at(__FILE__, __LINE__, #cond);                                                     \
    } while (0)
#define ALEN(array) (sizeof(array) / sizeof((array)[0]))
