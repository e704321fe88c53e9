/*
 * Limits spill: traffic sent to a place beyond its share because another place is full, lost or has
 * no servers. Spill counts against the place's cap together with the rise of its ramp.
 *
 * The percentage of traffic that spills to a row may exceed its minimum over the last minute by at
 * most the cap, so a failover moves traffic up to the cap at once and continues a minute later.
 * Each instance applies the limit to its own decisions, so it also holds for all of them together.
 * Performs no I/O.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    SPILL_WINDOW_S = 65, /* the minute of the cap plus the lifetime of look-up answers */
    SPILL_RECENT_S = 5,  /* the current percentage is measured over this time */
    SPILL_SLOTS = SPILL_WINDOW_S + SPILL_RECENT_S,
};

typedef struct spill spill_t;

spill_t *spill_new(size_t rows);
void spill_free(spill_t *spill);
/* Counts one steering decision of the service. */
void spill_record_decision(spill_t *spill, uint64_t now_ms);
/* Spills one request to `row` if allowed; `cap` and `ramp_rise` are in points per minute. */
bool spill_take(spill_t *spill, size_t row, double cap, double ramp_rise, uint64_t now_ms);
