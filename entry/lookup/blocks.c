#include <arpa/inet.h>
#include <endian.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "entry/lookup/blocks.h"
#include "peer/peer.pb-c.h"

typedef struct {
    uint64_t first;
    size_t count;
    uint32_t *starts4;
    uint64_t *starts6;
    uint8_t *areas;
} chunk_t;

typedef struct {
    uint64_t id;
    uint32_t family;
    uint32_t chunk_count;
    uint32_t present;
    chunk_t *chunks;
    uint64_t *first_starts;
    size_t block_count;
    size_t per_area[BLOCKS_NO_AREA + 1];
} set_t;

enum { FAMILIES = 2 };

struct blocks {
    set_t *current[FAMILIES];
    set_t *pending[FAMILIES];
};

static size_t
family_index(uint32_t family)
{
    return family == 6 ? 1 : 0;
}

bool
client_addr_parse(str_t text, client_addr_t *out)
{
    char buf[INET6_ADDRSTRLEN];
    if (text.len == 0 || text.len >= sizeof(buf))
        return false;
    memcpy(buf, text.ptr, text.len);
    buf[text.len] = '\0';
    struct in_addr v4;
    if (inet_pton(AF_INET, buf, &v4) == 1) {
        *out = (client_addr_t){.family = 4, .key = ntohl(v4.s_addr)};
        return true;
    }
    struct in6_addr v6;
    if (inet_pton(AF_INET6, buf, &v6) != 1)
        return false;
    uint64_t high;
    memcpy(&high, &v6, sizeof(high));
    *out = (client_addr_t){.family = 6, .key = be64toh(high)};
    return true;
}

blocks_t *
blocks_new(void)
{
    return xcalloc(1, sizeof(blocks_t));
}

static void
free_set(set_t *set)
{
    if (set == NULL)
        return;
    for (size_t i = 0; i < set->chunk_count; i++) {
        free(set->chunks[i].starts4);
        free(set->chunks[i].starts6);
        free(set->chunks[i].areas);
    }
    free(set->chunks);
    free(set->first_starts);
    free(set);
}

void
blocks_free(blocks_t *blocks)
{
    if (blocks == NULL)
        return;
    for (size_t i = 0; i < FAMILIES; i++) {
        free_set(blocks->current[i]);
        free_set(blocks->pending[i]);
    }
    free(blocks);
}

static uint64_t
start_at(const chunk_t *chunk, size_t i)
{
    return chunk->starts4 != NULL ? chunk->starts4[i] : chunk->starts6[i];
}

static bool
check_chunk(const Iris__BlockChunk *message, err_t *err)
{
    const size_t width = message->family == 6 ? sizeof(uint64_t) : sizeof(uint32_t);
    if ((message->family != 4 && message->family != 6) || message->count == 0 ||
        message->count > BLOCKS_CHUNKS_MAX || message->index >= message->count ||
        message->areas.len == 0 || message->starts.len != message->areas.len * width) {
        err_set(err, ERR_INVALID, "block chunk: family=%u index=%u of %u, %zu areas, %zu bytes",
                message->family, message->index, message->count, message->areas.len,
                message->starts.len);
        return false;
    }
    return true;
}

static bool
fill_chunk(chunk_t *chunk, const Iris__BlockChunk *message, err_t *err)
{
    chunk->count = message->areas.len;
    chunk->areas = xmalloc(message->areas.len);
    memcpy(chunk->areas, message->areas.data, message->areas.len);
    void *starts = xmalloc(message->starts.len);
    memcpy(starts, message->starts.data, message->starts.len);
    if (message->family == 4)
        chunk->starts4 = starts;
    else
        chunk->starts6 = starts;
    for (size_t i = 0; i < chunk->count; i++) {
        if (chunk->starts4 != NULL)
            chunk->starts4[i] = le32toh(chunk->starts4[i]);
        else
            chunk->starts6[i] = le64toh(chunk->starts6[i]);
        if (i > 0 && start_at(chunk, i) <= start_at(chunk, i - 1)) {
            err_set(err, ERR_INVALID, "block chunk: start %zu is not in ascending order", i);
            return false;
        }
    }
    chunk->first = start_at(chunk, 0);
    return true;
}

static bool
chunks_ascend(const set_t *set)
{
    for (size_t i = 1; i < set->chunk_count; i++) {
        const chunk_t *previous = &set->chunks[i - 1];
        if (start_at(previous, previous->count - 1) >= set->chunks[i].first)
            return false;
    }
    return true;
}

static set_t *
pending_set(blocks_t *blocks, const Iris__BlockChunk *message)
{
    set_t **slot = &blocks->pending[family_index(message->family)];
    if (*slot != NULL && ((*slot)->id != message->set || (*slot)->chunk_count != message->count)) {
        if ((*slot)->id > message->set)
            return NULL;
        free_set(*slot);
        *slot = NULL;
    }
    if (*slot == NULL) {
        set_t *set = xcalloc(1, sizeof(*set));
        set->id = message->set;
        set->family = message->family;
        set->chunk_count = message->count;
        set->chunks = xcalloc(message->count, sizeof(*set->chunks));
        set->first_starts = xcalloc(message->count, sizeof(*set->first_starts));
        *slot = set;
    }
    return *slot;
}

static bool
complete_set(blocks_t *blocks, set_t *set, err_t *err)
{
    const size_t index = family_index(set->family);
    blocks->pending[index] = NULL;
    if (!chunks_ascend(set)) {
        err_set(err, ERR_INVALID, "block set %lu: chunks overlap", (unsigned long)set->id);
        free_set(set);
        return false;
    }
    free_set(blocks->current[index]);
    blocks->current[index] = set;
    return true;
}

bool
blocks_add_chunk(blocks_t *blocks, str_t bytes, err_t *err)
{
    Iris__BlockChunk *message =
        iris__block_chunk__unpack(NULL, bytes.len, (const uint8_t *)bytes.ptr);
    if (message == NULL) {
        err_set(err, ERR_PARSE, "block chunk: invalid encoding");
        return false;
    }
    bool ok = check_chunk(message, err);
    const set_t *current = ok ? blocks->current[family_index(message->family)] : NULL;
    const bool old = current != NULL && current->id >= message->set;
    set_t *set = ok && !old ? pending_set(blocks, message) : NULL;
    chunk_t *chunk = set != NULL ? &set->chunks[message->index] : NULL;
    if (chunk != NULL && chunk->count == 0) {
        ok = fill_chunk(chunk, message, err);
        if (ok) {
            set->present++;
            set->first_starts[message->index] = chunk->first;
            set->block_count += chunk->count;
            for (size_t i = 0; i < chunk->count; i++)
                set->per_area[chunk->areas[i]]++;
        } else {
            free(chunk->starts4);
            free(chunk->starts6);
            free(chunk->areas);
            *chunk = (chunk_t){0};
        }
        if (ok && set->present == set->chunk_count)
            ok = complete_set(blocks, set, err);
    }
    iris__block_chunk__free_unpacked(message, NULL);
    return ok;
}

/* Index of the last of `n` ascending values that is at most `key`; 0 if there is none. */
static size_t
floor_index32(const uint32_t *values, size_t n, uint32_t key)
{
    size_t base = 0;
    while (n > 1) {
        const size_t half = n / 2;
        base += values[base + half] <= key ? half : 0;
        n -= half;
    }
    return base;
}

static size_t
floor_index64(const uint64_t *values, size_t n, uint64_t key)
{
    size_t base = 0;
    while (n > 1) {
        const size_t half = n / 2;
        base += values[base + half] <= key ? half : 0;
        n -= half;
    }
    return base;
}

uint8_t
blocks_area(const blocks_t *blocks, const client_addr_t *addr)
{
    const set_t *set = blocks->current[family_index(addr->family)];
    if (set == NULL || addr->key < set->first_starts[0])
        return BLOCKS_NO_AREA;
    const chunk_t *chunk =
        &set->chunks[floor_index64(set->first_starts, set->chunk_count, addr->key)];
    if (chunk->starts4 != NULL)
        return chunk->areas[floor_index32(chunk->starts4, chunk->count, (uint32_t)addr->key)];
    return chunk->areas[floor_index64(chunk->starts6, chunk->count, addr->key)];
}

size_t
blocks_count(const blocks_t *blocks)
{
    size_t count = 0;
    for (size_t i = 0; i < FAMILIES; i++)
        count += blocks->current[i] != NULL ? blocks->current[i]->block_count : 0;
    return count;
}

void
blocks_demand(const blocks_t *blocks, double *per_area, size_t areas)
{
    for (size_t a = 0; a < areas; a++) {
        per_area[a] = 0;
        for (size_t i = 0; i < FAMILIES; i++)
            per_area[a] += blocks->current[i] != NULL ? (double)blocks->current[i]->per_area[a] : 0;
    }
}

char *
blocks_pack_chunk(uint32_t family, uint64_t set, uint32_t index, uint32_t count,
                  const uint64_t *starts, const uint8_t *areas, size_t n, size_t *len)
{
    const size_t width = family == 6 ? sizeof(uint64_t) : sizeof(uint32_t);
    uint8_t *packed = xmalloc(n * width);
    for (size_t i = 0; i < n; i++) {
        const uint64_t wide = htole64(starts[i]);
        const uint32_t narrow = htole32((uint32_t)starts[i]);
        memcpy(packed + i * width, family == 6 ? (const void *)&wide : (const void *)&narrow,
               width);
    }
    Iris__BlockChunk message = IRIS__BLOCK_CHUNK__INIT;
    message.family = family;
    message.set = set;
    message.index = index;
    message.count = count;
    message.starts = (ProtobufCBinaryData){.len = n * width, .data = packed};
    message.areas = (ProtobufCBinaryData){.len = n, .data = (uint8_t *)areas};
    *len = iris__block_chunk__get_packed_size(&message);
    char *out = xmalloc(*len);
    iris__block_chunk__pack(&message, (uint8_t *)out);
    free(packed);
    return out;
}
