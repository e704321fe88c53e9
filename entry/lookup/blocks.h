/*
 * Client blocks: which area (region index) an address belongs to.
 *
 * A set is made of chunks, each the stored object itself: ascending starts and one area byte a
 * block, 5 bytes a block for IPv4 and 9 for IPv6. A new set is gathered beside the one in use
 * and replaces it by one pointer when its last chunk is there.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/str.h"

enum {
    BLOCKS_NO_AREA = 255,     /* an area is one byte */
    BLOCKS_CHUNKS_MAX = 1024, /* of a set. Chosen, not measured */
};

typedef struct {
    uint32_t family; /* 4 or 6 */
    uint64_t key;    /* the address in host order; for IPv6 its upper half */
} client_addr_t;

typedef struct blocks blocks_t;

bool client_addr_parse(str_t text, client_addr_t *out);

blocks_t *blocks_new(void);
void blocks_free(blocks_t *blocks);
/* Adds a chunk in its stored form; puts its set in use once complete. */
bool blocks_add_chunk(blocks_t *blocks, str_t bytes, err_t *err);
/* The area of an address, or BLOCKS_NO_AREA. */
uint8_t blocks_area(const blocks_t *blocks, const client_addr_t *addr);
size_t blocks_count(const blocks_t *blocks);
/* Blocks of each area, for the demand of the steering plan. */
void blocks_demand(const blocks_t *blocks, double *per_area, size_t areas);
/* Packs a chunk into its stored form; free() the result. */
char *blocks_pack_chunk(uint32_t family, uint64_t set, uint32_t index, uint32_t count,
                        const uint64_t *starts, const uint8_t *areas, size_t n, size_t *len);
