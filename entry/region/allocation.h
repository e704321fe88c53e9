/*
 * The stored allocation: how many requests in flight each instance of a region may have.
 *
 * Immutable once parsed; owns its lists. See credit.h for holders, former holders and epochs.
 */
#pragma once

#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/str.h"

enum {
    CREDIT_FLOOR = 1,         /* requests allowed to an instance without authority */
    CREDIT_HOLDERS_MAX = 256, /* per region */
};

typedef struct {
    name_t instance;
    uint64_t incarnation;
    uint32_t credits;
    uint32_t quorum_of;  /* smallest holder count of any epoch it may still act under */
    uint32_t long_bound; /* most long requests it may have in flight, earlier epochs included */
} holder_t;

typedef enum {
    FORMER_HOLDER_ACTIVE,     /* may still admit requests; no holder may gain credits */
    FORMER_HOLDER_LONG_ONLY,  /* only its long requests may still be in flight */
    FORMER_HOLDER_FLOOR_ONLY, /* only the floor is reserved, while the platform lists it */
} former_holder_stage_t;

typedef struct {
    name_t instance;
    uint64_t incarnation;
    uint32_t quorum_of;
    uint32_t long_bound;
    uint64_t left_epoch; /* last epoch in which it was a holder */
    former_holder_stage_t stage;
} former_holder_t;

/* Credits reserved for a former holder. */
uint32_t former_holder_reserve(const former_holder_t *former);

typedef struct {
    name_t region;
    uint64_t epoch; /* version of the stored object */
    uint32_t limit;
    holder_t *holders;
    size_t holder_count;
    former_holder_t *formers;
    size_t former_count;
} allocation_t;

/* Returns NULL and sets `err` if the text is invalid; free with allocation_free(). */
allocation_t *allocation_parse(str_t json, uint64_t version, err_t *err);
/* Returns the stored JSON text; free() the result. */
char *allocation_format(const allocation_t *allocation);
void allocation_free(allocation_t *allocation);
