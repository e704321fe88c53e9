#include "base/xmalloc.h"
#include "standin/soak/requests.h"

enum {
    RING = 1 << 17, /* requests; at 1000 a second they are kept for two minutes */
    STRIDE = 7,     /* of the pattern in bodies */
    LETTERS = 26,
};

struct requests {
    soak_request_t items[RING];
    uint64_t next;
};

requests_t *
requests_new(void)
{
    requests_t *requests = xcalloc(1, sizeof(*requests));
    requests->next = 1;
    return requests;
}

soak_request_t *
requests_add(requests_t *requests, request_kind_t kind, uint32_t instance)
{
    const uint64_t number = requests->next++;
    soak_request_t *request = &requests->items[number % RING];
    *request = (soak_request_t){.number = number, .kind = kind, .instance = instance};
    return request;
}

soak_request_t *
requests_find(requests_t *requests, str_t id)
{
    uint64_t number;
    if (!str_to_u64(id, &number) || number == 0)
        return NULL;
    soak_request_t *request = &requests->items[number % RING];
    return request->number == number ? request : NULL;
}

uint64_t
requests_count(const requests_t *requests)
{
    return requests->next - 1;
}

/* The byte of a body at a place. */
static char
byte_at(uint64_t number, size_t at)
{
    return (char)('a' + (number * STRIDE + at) % LETTERS);
}

void
requests_fill(uint64_t number, size_t from, char *out, size_t len)
{
    for (size_t i = 0; i < len; i++)
        out[i] = byte_at(number, from + i);
}

bool
requests_holds(uint64_t number, size_t from, const char *ptr, size_t len)
{
    for (size_t i = 0; i < len; i++) {
        if (ptr[i] != byte_at(number, from + i))
            return false;
    }
    return true;
}
