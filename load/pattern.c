#include <string.h>

#include "load/pattern.h"

enum { PERIOD = 256 };

const char *
pattern_bytes(str_t id, uint64_t at)
{
    static char bytes[PATTERN_CHUNK + PERIOD];
    static bool ready;
    if (!ready) {
        for (size_t i = 0; i < sizeof(bytes); i++)
            bytes[i] = (char)(i % PERIOD);
        ready = true;
    }
    return bytes + (str_hash(id, 0) + at) % PERIOD;
}

bool
pattern_matches(str_t id, uint64_t at, const char *ptr, size_t len)
{
    while (len > 0) {
        const size_t part = len < PATTERN_CHUNK ? len : PATTERN_CHUNK;
        if (memcmp(pattern_bytes(id, at), ptr, part) != 0)
            return false;
        ptr += part;
        at += part;
        len -= part;
    }
    return true;
}
