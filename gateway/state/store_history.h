/*
 * Store history: which era of the store answers, messages of peers and views belong to, and when
 * the store has come back from an older copy.
 *
 * An answer names its era. Where the store names none, a list that is older than what was known
 * when it was asked for shows a return, since lists are linearizable; the era is then counted here.
 * A peer of an earlier version names none either: what it sends belongs to the own era, unless the
 * store has come back within the life of this process. Then it may be of before and counts as that.
 *
 * Plain state, owned by views_t. See docs/design/gateway/store-return.md.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

typedef struct {
    uint64_t era;  /* newest known, as part of positions; 0: none */
    bool returned; /* the store came back from a copy within the life of this process */
} store_history_t;

/* Learns of an era. Returns true if it shows that the store came back from a copy. */
bool store_history_learn(store_history_t *history, uint64_t era);
/* Returns the era of a list that is complete up to `revision`. `named`: what it names, 0 if
 * nothing; `known`: position of the view when it was asked for, 0 if there was none. */
uint64_t store_history_list_era(const store_history_t *history, uint64_t named, uint64_t known,
                                uint64_t revision);
/* Returns the era of a peer's message; `stated`: what it says, 0 if nothing. */
uint64_t store_history_peer_era(const store_history_t *history, uint64_t stated);
