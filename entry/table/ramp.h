/*
 * Shifts: the shares in force are one pure function of (table, wall time), so every instance
 * computes the same ones without talking to any other.
 *
 * Shares move on a straight line from `from` to the targets, at the pace of the place whose cap
 * is the tightest. Cached look-up answers live up to RAMP_ANSWER_TTL_MS beyond a decision, so
 * traffic in a rolling minute reflects decisions from a window that much longer; the pace is
 * lowered accordingly.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "entry/table/table.h"

/* Chosen, not measured; the minute is the cap's (docs/TABLE.md). */
enum {
    RAMP_ANSWER_TTL_MS = 5000, /* life of a look-up answer */
    RAMP_LEAD_MS = 5000,       /* from an accepted edit to the start of its ramp */
    RAMP_WINDOW_MS = 60000,    /* the cap counts over any window of this length */
};

/* Writes one share per row, in points; they add up to 100. */
void ramp_shares(const table_t *table, uint64_t wall_ms, double *shares);
/* Target shares of the rows, in points. */
void ramp_targets(const table_t *table, double *shares);
/* When the ramp reaches its targets, wall ms; UINT64_MAX if a cap of 0 holds it for ever. */
uint64_t ramp_end_ms(const table_t *table);
/* To be called before weights, caps or states are changed: makes the shares in force at
 * `wall_ms` the start of a new ramp. */
void ramp_rebase(table_t *table, uint64_t wall_ms);
