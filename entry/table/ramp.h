/*
 * Ramps between shares. The current shares depend only on the table and wall time, so all instances
 * compute the same values without coordination.
 *
 * Shares move linearly from `from` to the targets, at the rate that the tightest cap allows. Cached
 * look-up answers remain in use for up to RAMP_ANSWER_TTL_MS, so the traffic of a rolling minute
 * reflects the decisions of a window that much longer; the rate is reduced accordingly.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "entry/table/table.h"

enum {
    RAMP_ANSWER_TTL_MS = 5000, /* lifetime of a look-up answer */
    RAMP_LEAD_MS = 5000,       /* delay from an accepted edit to the start of its ramp */
    RAMP_WINDOW_MS = 60000,    /* the cap applies to any window of this length */
};

/* Writes the current share of each row, in points; they add up to 100. */
void ramp_shares(const table_t *table, uint64_t wall_ms, double *shares);
/* Writes the target share of each row, in points. */
void ramp_targets(const table_t *table, double *shares);
/* Wall time in ms at which the ramp ends; UINT64_MAX if a cap of 0 prevents it. */
uint64_t ramp_end_ms(const table_t *table);
/* Starts a new ramp from the shares at `wall_ms`; call before changing weights, caps or states. */
void ramp_rebase(table_t *table, uint64_t wall_ms);
