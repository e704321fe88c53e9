/*
 * Choice areas: where a backend server is looked for, one area after the other. Inside of choice.h.
 *
 * Decides: the regions and data halls that a request may go to, in their order.
 * Rule: see choice.h.
 *
 * Pure: no state, no clock.
 */
#pragma once

#include "gateway/policy/choice.h"

/* The data halls of a region in which a backend is looked for. */
typedef enum {
    HALL_SCOPE_ALL,
    HALL_SCOPE_OWN,    /* the instance's own */
    HALL_SCOPE_OTHERS, /* all but that */
} hall_scope_t;

/* Where to look for a backend. */
typedef struct {
    size_t region;
    hall_scope_t halls;
} choice_area_t;

/* Each region once, the own data hall, the own region again, and no region. */
enum { CHOICE_AREAS_MAX = TOPOLOGY_REGIONS_MAX + 3 };

/* A point in [0, 1) for a hash. */
double choice_hash_to_unit(uint64_t hash);
/* True if route and client account allow the region. */
bool choice_allows_region(const choice_input_t *input, size_t region);
/* The areas in the order in which they are tried; returns their number. */
size_t choice_list_areas(const choice_input_t *input, choice_area_t *areas);
bool choice_in_area(const choice_input_t *input, const backend_t *backend,
                    const choice_area_t *area);
