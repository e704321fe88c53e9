/*
 * Search areas of the backend selection: the regions and data halls that a request may go to, in
 * the order in which they are tried. Internal to choice.c.
 *
 * Stateless.
 */
#pragma once

#include "gateway/policy/choice.h"

/* The data halls of a region that are searched. */
typedef enum {
    HALL_SCOPE_ALL,
    HALL_SCOPE_OWN,    /* the instance's own */
    HALL_SCOPE_OTHERS, /* all except the instance's own */
} hall_scope_t;

/* An area that is searched for a backend. */
typedef struct {
    size_t region;
    hall_scope_t halls;
} choice_area_t;

/* Each region once, the own data hall, the own region again, and backends without a region. */
enum { CHOICE_AREAS_MAX = TOPOLOGY_REGIONS_MAX + 3 };

/* Maps a hash to a point in [0, 1). */
double choice_hash_to_unit(uint64_t hash);
/* True if both the route and the client account allow the region. */
bool choice_allows_region(const choice_input_t *input, size_t region);
/* Lists the areas in the order in which they are tried; returns their number. */
size_t choice_list_areas(const choice_input_t *input, choice_area_t *areas);
bool choice_in_area(const choice_input_t *input, const backend_t *backend,
                    const choice_area_t *area);
