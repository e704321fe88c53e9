/* The platform's list of instances: entries and backend servers. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"
#include "base/error.h"
#include "base/rng.h"
#include "base/str.h"

typedef enum { ROLE_ENTRY, ROLE_BACKEND } role_t;

typedef struct {
    name_t name;
    role_t role;
    name_t service; /* backend servers only */
    name_t region;
    name_t place;
    addr_t addr;  /* serves requests */
    addr_t peer;  /* entries only: serves other entries */
    addr_t admin; /* entries only */
    uint32_t slots;
    bool leaving;
} instance_t;

typedef struct {
    uint64_t revision;
    instance_t *items;
    size_t count;
} instances_t;

/* Parses the JSON list; returns NULL if any of its records is invalid. */
instances_t *instances_parse(str_t json, uint64_t revision, err_t *err);
void instances_free(instances_t *instances);
/* Selects a random entry that is not leaving, inside or outside the region; NULL if none. */
const instance_t *instances_random_entry(const instances_t *instances, str_t region, bool inside,
                                         rng_t *rng);
const instance_t *instances_find(const instances_t *instances, str_t name);
