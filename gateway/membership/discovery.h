/*
 * Discovery: finding the other instances through the store.
 *
 * Each instance announces its address there, unless a peer remembers that it did so in an earlier
 * life at that address. Heartbeats carry the addresses of the others; an instance that hears of
 * none reads them from the store, and looks again from time to time.
 *
 * Owns the calls for it. Relies on the adapter's store port and decoder, on heartbeat.h for what it
 * finds.
 */
#pragma once

#include "gateway/membership/heartbeat.h"

typedef struct {
    uv_loop_t *loop;
    const store_port_t *store;
    const decoder_port_t *decoder;
    heartbeat_t *heartbeat;
    str_t instance; /* name of this instance */
    str_t hall;     /* its data hall */
    addr_t peer;    /* where its peers reach it */
} discovery_conf_t;

typedef struct {
    discovery_conf_t conf;
    uint64_t next_at_ms; /* loop time before which the store is not asked */
} discovery_t;

void discovery_init(discovery_t *discovery, const discovery_conf_t *conf);
/* Regular work; `alone` tells that no other instance is heard. */
void discovery_tick(discovery_t *discovery, bool isolated);
