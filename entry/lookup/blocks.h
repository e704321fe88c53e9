/*
 * Client blocks: maps client addresses to areas (region indexes).
 *
 * A set consists of chunks, each a stored object with ascending block starts and one area byte per
 * block (5 bytes per block for IPv4, 9 for IPv6). A new set is collected beside the current one and
 * replaces it once all of its chunks have arrived.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/str.h"

enum {
    BLOCKS_NO_AREA = 255,     /* the largest value of an area byte */
    BLOCKS_CHUNKS_MAX = 1024, /* per set */
};

typedef struct {
    uint32_t family; /* 4 or 6 */
    uint64_t key;    /* address in host byte order; for IPv6 its upper 64 bits */
} client_addr_t;

typedef struct blocks blocks_t;

bool client_addr_parse(str_t text, client_addr_t *out);

blocks_t *blocks_new(void);
void blocks_free(blocks_t *blocks);
/* Adds a chunk in its stored form and activates its set once complete. */
bool blocks_add_chunk(blocks_t *blocks, str_t bytes, err_t *err);
/* Returns the area of an address, or BLOCKS_NO_AREA. */
uint8_t blocks_area(const blocks_t *blocks, const client_addr_t *addr);
size_t blocks_count(const blocks_t *blocks);
/* Counts the blocks of each area, used as the demand of the steering plan. */
void blocks_demand(const blocks_t *blocks, double *per_area, size_t areas);
/* Serializes a chunk to its stored form; free() the result. */
char *blocks_pack_chunk(uint32_t family, uint64_t set, uint32_t index, uint32_t count,
                        const uint64_t *starts, const uint8_t *areas, size_t n, size_t *len);
