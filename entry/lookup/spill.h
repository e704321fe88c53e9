/*
 * Traffic sent to a place beyond its share: because another place is full, lost or has no
 * servers. It counts against the place's shift cap together with what the ramp moves there.
 *
 * The part of the traffic that goes to a row this way may be at most the least such part of the
 * last minute plus the cap, so a failover moves at once what the cap allows and goes on from
 * there a minute later. Each instance keeps to this for the traffic it decides on, so all of
 * them together do. Pure.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    SPILL_WINDOW_S = 65, /* the cap's minute and the life of look-up answers */
    SPILL_RECENT_S = 5,  /* the present part is measured over this time */
    SPILL_SLOTS = SPILL_WINDOW_S + SPILL_RECENT_S,
};

typedef struct spill spill_t;

spill_t *spill_new(size_t rows);
void spill_free(spill_t *spill);
/* One decision about the service's traffic was made. */
void spill_record_decision(spill_t *spill, uint64_t now_ms);
/* Moves one request to `row` if the cap allows; `cap` and `ramp_rise` are points a minute. */
bool spill_take(spill_t *spill, size_t row, double cap, double ramp_rise, uint64_t now_ms);
