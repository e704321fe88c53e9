/*
 * Slow readers: how much of a response is held for a caller that reads it more slowly than its
 * backend server sends it.
 *
 *  - A response may hold an eighth of what is left of the memory for all responses, and 256 kB at
 *    most. Reading from the backend server pauses above that until the caller has taken all.
 *  - 4 kB are always allowed, so that each response makes progress; reads from the backend server
 *    are as small then.
 *
 * Load: hundreds of callers that read large responses slowly at the same time. A fixed allowance
 * either bounds their sum too late or slows down single callers for no reason. With a part of what
 * is left (dynamic thresholds of shared-memory switches, Choudhury and Hahne, 1998) the sum stays
 * below the bound, each gets the same, and there is always some left for those that come.
 *
 * Stateless.
 */
#pragma once

#include <stddef.h>

enum {
    /* Memory for unread parts of all responses: a quarter of the 32 MB of an instance. */
    SLOW_READER_TOTAL_MAX = 8 << 20,
    /* Allowance of one response: a read of the socket and what a usual link has in flight. */
    SLOW_READER_MAX = 256 << 10,
    SLOW_READER_MIN = 4 << 10,
    /* Memory for large request bodies of all callers, which are held until their responses. One
     * that is larger is taken while there is no other. */
    SLOW_READER_BODIES_MAX = 8 << 20,
};

/* Returns the unread bytes that one response may hold while all hold `total`. */
size_t slow_reader_allowance(size_t total);
