#include "gateway/path/fingerprint.h"

/* arbitrary, but must be the same on every instance */
enum { FINGERPRINT_SEED = 97 };

/* Returns the bytes of the address without its port. */
static str_t
address_bytes(const addr_t *addr)
{
    if (addr->sa.sa_family == AF_INET6)
        return (str_t){(const char *)&addr->v6.sin6_addr, sizeof(addr->v6.sin6_addr)};
    return (str_t){(const char *)&addr->v4.sin_addr, sizeof(addr->v4.sin_addr)};
}

fingerprint_t
fingerprint(const wire_request_t *req)
{
    const unsigned method = req->head.method;
    const str_t body = {req->body, req->body_len};
    const uint64_t family = str_hash(body, str_hash(wire_head_path(&req->head), FINGERPRINT_SEED));
    uint64_t hash = str_hash(address_bytes(&req->caller), family);
    hash = str_hash((str_t){(const char *)&method, sizeof(method)}, hash);
    hash = str_hash(wire_head_find(&req->head, STR("host")), hash);
    return (fingerprint_t){str_hash(wire_head_target(&req->head), hash), family};
}
