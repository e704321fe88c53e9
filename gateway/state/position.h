/*
 * Position: a point in the history of the store, as one number.
 *
 * The store counts its changes by revision. When it comes back from an older copy, revisions go
 * back and are given out again; its answers then name a higher era. A position holds both, the era
 * in the upper bits, so that what is written after a return is newer than all before it, whatever
 * its revision. Only the store port and messages between instances hold revisions and eras apart.
 *
 * Eras that the store names sort above those that are counted here because it names none
 * (store_history.h).
 */
#pragma once

#include <stdint.h>

enum {
    POSITION_ERA_BITS = 20,
    POSITION_REVISION_BITS = 64 - POSITION_ERA_BITS,
};

/* Returns the era, as part of positions, that an answer names; 0 if it names none. */
uint64_t position_named_era(uint64_t named);
uint64_t position_make(uint64_t era, uint64_t revision);
uint64_t position_era(uint64_t position);
uint64_t position_revision(uint64_t position);
