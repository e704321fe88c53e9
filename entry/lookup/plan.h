/*
 * Which places the clients of each area use, for one service.
 *
 * Row sums are the areas' demands, column sums the shares in force, and nearer places are
 * preferred: the matrix exp(-delay / scale) is balanced to those sums (iterative proportional
 * fitting). The plan changes continuously with the shares, so a small step of a ramp moves few
 * blocks. Within an area, a block's place is a weighted rendezvous hash. Pure.
 */
#pragma once

#include <stddef.h>
#include <stdint.h>

#include "entry/lookup/topology.h"
#include "entry/table/table.h"

typedef struct {
    size_t areas;
    size_t rows;
    double *fraction; /* areas x rows: share of the area's clients that go to the row, 0..1 */
} steer_plan_t;

/* `shares` per row of `table` in points; `demand` per region of `topology`, any scale. */
steer_plan_t *steer_plan_new(const table_t *table, const double *shares, const topology_t *topology,
                             const double *demand);
void steer_plan_free(steer_plan_t *plan);
/*
 * The row for a block of `area`, by weighted rendezvous over `key`; rows whose bit in `skip` is
 * set are passed over. SIZE_MAX if none is left.
 */
size_t steer_plan_pick(const steer_plan_t *plan, const table_t *table, size_t area, uint64_t key,
                       const uint8_t *skip);
