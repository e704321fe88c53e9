#include <ctype.h>
#include <string.h>

#include <xxhash.h>

#include "base/str.h"

str_t
str_from(const char *cstr)
{
    return (str_t){.ptr = cstr != NULL ? cstr : "", .len = cstr != NULL ? strlen(cstr) : 0};
}

bool
str_eq(str_t a, str_t b)
{
    return a.len == b.len && (a.len == 0 || memcmp(a.ptr, b.ptr, a.len) == 0);
}

bool
str_eq_constant_time(str_t a, str_t b)
{
    unsigned char differs = 0;
    if (a.len != b.len)
        return false;
    for (size_t i = 0; i < a.len; i++)
        differs |= (unsigned char)(a.ptr[i] ^ b.ptr[i]);
    return differs == 0;
}

int
str_compare(str_t a, str_t b)
{
    const int order = memcmp(a.ptr, b.ptr, a.len < b.len ? a.len : b.len);
    return order != 0 ? order : (a.len > b.len) - (a.len < b.len);
}

bool
str_starts_with(str_t s, str_t prefix)
{
    return s.len >= prefix.len && (prefix.len == 0 || memcmp(s.ptr, prefix.ptr, prefix.len) == 0);
}

str_t
str_trim(str_t s)
{
    while (s.len > 0 && isspace((unsigned char)s.ptr[0])) {
        s.ptr++;
        s.len--;
    }
    while (s.len > 0 && isspace((unsigned char)s.ptr[s.len - 1]))
        s.len--;
    return s;
}

bool
str_to_u64(str_t s, uint64_t *out)
{
    if (s.len == 0)
        return false;
    uint64_t value = 0;
    for (size_t i = 0; i < s.len; i++) {
        if (s.ptr[i] < '0' || s.ptr[i] > '9')
            return false;
        const uint64_t digit = (uint64_t)(s.ptr[i] - '0');
        if (value > (UINT64_MAX - digit) / 10)
            return false;
        value = value * 10 + digit;
    }
    *out = value;
    return true;
}

uint64_t
str_hash(str_t s, uint64_t seed)
{
    return XXH64(s.ptr, s.len, seed);
}

bool
name_set(name_t *name, str_t s)
{
    if (s.len == 0 || s.len > NAME_MAX_LEN)
        return false;
    for (size_t i = 0; i < s.len; i++) {
        const unsigned char c = (unsigned char)s.ptr[i];
        if (!isalnum(c) && c != '-' && c != '_' && c != '.')
            return false;
    }
    memcpy(name->ptr, s.ptr, s.len);
    name->ptr[s.len] = '\0';
    name->len = (uint8_t)s.len;
    return true;
}

str_t
name_str(const name_t *name)
{
    return (str_t){.ptr = name->ptr, .len = name->len};
}

bool
name_eq(const name_t *name, str_t s)
{
    return str_eq(name_str(name), s);
}
