/* Objects of tests for the leak detector. */
#pragma once

#ifdef __SANITIZE_ADDRESS__
#include <sanitizer/lsan_interface.h>
#endif

/* The object, and all that is reachable from it, lives as long as the process, which runs one test.
 * Must be on the heap. */
static inline void
leak_ignore(const void *object)
{
#ifdef __SANITIZE_ADDRESS__
    __lsan_ignore_object(object);
#else
    (void)object;
#endif
}
