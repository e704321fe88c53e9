#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

#include "base/addr.h"

bool
addr_parse(str_t text, addr_t *out)
{
    char buf[ADDR_TEXT_MAX];
    if (text.len == 0 || text.len >= sizeof(buf))
        return false;
    memcpy(buf, text.ptr, text.len);
    buf[text.len] = '\0';

    char *colon = strrchr(buf, ':');
    if (colon == NULL)
        return false;
    uint64_t port;
    if (!str_to_u64(str_from(colon + 1), &port) || port > UINT16_MAX)
        return false;
    *colon = '\0';

    memset(out, 0, sizeof(*out));
    const size_t host_len = strlen(buf);
    if (buf[0] == '[' && host_len > 2 && buf[host_len - 1] == ']') {
        buf[host_len - 1] = '\0';
        out->v6.sin6_family = AF_INET6;
        out->v6.sin6_port = htons((uint16_t)port);
        return inet_pton(AF_INET6, buf + 1, &out->v6.sin6_addr) == 1;
    }
    out->v4.sin_family = AF_INET;
    out->v4.sin_port = htons((uint16_t)port);
    return inet_pton(AF_INET, buf, &out->v4.sin_addr) == 1;
}

const char *
addr_format(const addr_t *addr, char buf[ADDR_TEXT_MAX])
{
    char host[INET6_ADDRSTRLEN] = "?";
    if (addr->sa.sa_family == AF_INET6) {
        inet_ntop(AF_INET6, &addr->v6.sin6_addr, host, sizeof(host));
        snprintf(buf, ADDR_TEXT_MAX, "[%s]:%u", host, ntohs(addr->v6.sin6_port));
    } else {
        inet_ntop(AF_INET, &addr->v4.sin_addr, host, sizeof(host));
        snprintf(buf, ADDR_TEXT_MAX, "%s:%u", host, ntohs(addr->v4.sin_port));
    }
    return buf;
}

socklen_t
addr_len(const addr_t *addr)
{
    return addr->sa.sa_family == AF_INET6 ? sizeof(addr->v6) : sizeof(addr->v4);
}

uint16_t
addr_port(const addr_t *addr)
{
    return ntohs(addr->sa.sa_family == AF_INET6 ? addr->v6.sin6_port : addr->v4.sin_port);
}

void
addr_set_port(addr_t *addr, uint16_t port)
{
    if (addr->sa.sa_family == AF_INET6)
        addr->v6.sin6_port = htons(port);
    else
        addr->v4.sin_port = htons(port);
}

uint64_t
addr_hash(const addr_t *addr)
{
    if (addr->sa.sa_family == AF_INET6)
        return str_hash((str_t){(const char *)&addr->v6.sin6_addr, sizeof(addr->v6.sin6_addr)},
                        addr_port(addr));
    return str_hash((str_t){(const char *)&addr->v4.sin_addr, sizeof(addr->v4.sin_addr)},
                    addr_port(addr));
}

bool
addr_eq(const addr_t *a, const addr_t *b)
{
    if (a->sa.sa_family != b->sa.sa_family || addr_port(a) != addr_port(b))
        return false;
    if (a->sa.sa_family == AF_INET6)
        return memcmp(&a->v6.sin6_addr, &b->v6.sin6_addr, sizeof(a->v6.sin6_addr)) == 0;
    return a->v4.sin_addr.s_addr == b->v4.sin_addr.s_addr;
}

int
addr_compare(const addr_t *a, const addr_t *b)
{
    char left[ADDR_TEXT_MAX];
    char right[ADDR_TEXT_MAX];
    if (addr_port(a) != addr_port(b))
        return addr_port(a) < addr_port(b) ? -1 : 1;
    if (a->sa.sa_family == AF_INET && b->sa.sa_family == AF_INET)
        return a->v4.sin_addr.s_addr < b->v4.sin_addr.s_addr   ? -1
               : a->v4.sin_addr.s_addr > b->v4.sin_addr.s_addr ? 1
                                                               : 0;
    return strcmp(addr_format(a, left), addr_format(b, right));
}
