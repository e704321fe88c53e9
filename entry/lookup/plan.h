/*
 * The steering plan of a service: which places the clients of each area use.
 *
 * The matrix exp(-delay / scale) is balanced by iterative proportional fitting, so that its row
 * sums match the demand of the areas and its column sums the current shares, while nearer places
 * are preferred. The plan changes continuously with the shares, so a small ramp step moves few
 * blocks. Within an area, weighted rendezvous hashing assigns blocks to places. Performs no I/O.
 */
#pragma once

#include <stddef.h>
#include <stdint.h>

#include "entry/lookup/topology.h"
#include "entry/table/table.h"

typedef struct {
    size_t areas;
    size_t rows;
    double *fraction; /* areas x rows: fraction of an area's clients that use the row, 0..1 */
} steer_plan_t;

/* `shares` in points per row of `table`; `demand` per region of `topology`, in any unit. */
steer_plan_t *steer_plan_new(const table_t *table, const double *shares, const topology_t *topology,
                             const double *demand);
void steer_plan_free(steer_plan_t *plan);
/*
 * Selects the row for a block of `area` by weighted rendezvous hashing of `key`. Rows with a
 * nonzero byte in `skip` are ignored; `skip` may be NULL. Returns SIZE_MAX if no row is left.
 */
size_t steer_plan_pick(const steer_plan_t *plan, const table_t *table, size_t area, uint64_t key,
                       const uint8_t *skip);
