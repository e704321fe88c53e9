/*
 * Shared objects held by this instance: the newest valid version of each, from any source. Only a
 * greater version replaces the current one, so nothing reverts; an invalid version is rejected and
 * the current one stays active.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/str.h"

typedef struct objects objects_t;

typedef struct {
    name_t kind;
    name_t name;
    uint64_t version;  /* active version, 0 if none */
    uint64_t rejected; /* greatest rejected version, 0 if none */
    char *body;
    size_t len;
} object_t;

typedef struct {
    /* Validates and activates the object; returns false to reject it. */
    bool (*adopt)(void *ctx, const object_t *object, err_t *err);
    /* Called after an object was activated, e.g. to propagate it; may be NULL. */
    void (*adopted)(void *ctx, const object_t *object);
} objects_cbs_t;

typedef enum { OFFER_ADOPTED, OFFER_STALE, OFFER_REJECTED } offer_result_t;

objects_t *objects_new(const objects_cbs_t *cbs, void *ctx);
offer_result_t objects_offer(objects_t *objects, str_t kind, str_t name, uint64_t version,
                             str_t body);
/* True if the version is newer than the active one and any rejected one. */
bool objects_wants(const objects_t *objects, str_t kind, str_t name, uint64_t version);
const object_t *objects_find(const objects_t *objects, str_t kind, str_t name);
size_t objects_count(const objects_t *objects);
const object_t *objects_at(const objects_t *objects, size_t index);
/* Contribution of an object to the digest; 0 if no version is active. */
uint64_t object_hash(const object_t *object);
/* Sum of the hashes of all active objects, independent of their order. */
uint64_t objects_digest(const objects_t *objects);
