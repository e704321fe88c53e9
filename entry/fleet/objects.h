/*
 * Shared objects as this instance holds them: the newest valid version of each, whichever way it
 * came. An object is taken over only at a greater version, so nothing reverts; one that breaks a
 * rule stays out and the last good one stays in force.
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
    uint64_t version;  /* in force, 0 if none */
    uint64_t rejected; /* greatest version kept out, 0 if none */
    char *body;
    size_t len;
} object_t;

typedef struct {
    /* Checks the object and puts it in force; false keeps it out. */
    bool (*adopt)(void *ctx, const object_t *object, err_t *err);
    /* Told after an object came into force, e.g. to pass it on. */
    void (*adopted)(void *ctx, const object_t *object);
} objects_cbs_t;

typedef enum { OFFER_ADOPTED, OFFER_STALE, OFFER_REJECTED } offer_result_t;

objects_t *objects_new(const objects_cbs_t *cbs, void *ctx);
offer_result_t objects_offer(objects_t *objects, str_t kind, str_t name, uint64_t version,
                             str_t body);
/* True if the version is newer than what is held or was kept out. */
bool objects_wants(const objects_t *objects, str_t kind, str_t name, uint64_t version);
const object_t *objects_find(const objects_t *objects, str_t kind, str_t name);
size_t objects_count(const objects_t *objects);
const object_t *objects_at(const objects_t *objects, size_t index);
/* An object's part of the digest, 0 before a version is in force. */
uint64_t object_hash(const object_t *object);
/* Sum of the hashes of all objects in force, independent of their order. */
uint64_t objects_digest(const objects_t *objects);
