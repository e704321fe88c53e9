/*
 * Discovery: finds other instances through the store.
 *
 * Each instance announces its address in the store, unless a peer reports that an earlier process
 * at that address already did. Heartbeats carry the addresses of other instances; an instance that
 * hears of none lists them from the store periodically.
 *
 * Owns these store calls. Depends on the adapter's store port and decoder, and on heartbeat.h,
 * which takes the addresses found.
 */
#pragma once

#include "base/rng.h"
#include "gateway/membership/heartbeat.h"

typedef struct {
    uv_loop_t *loop;
    const store_port_t *store;
    const decoder_port_t *decoder;
    heartbeat_t *heartbeat;
    str_t instance; /* own name */
    str_t hall;     /* own data hall */
    addr_t peer;    /* own address for peers */
} discovery_conf_t;

typedef struct {
    discovery_conf_t conf;
    uint64_t next_at_ms; /* earliest loop time of the next store call */
} discovery_t;

void discovery_init(discovery_t *discovery, const discovery_conf_t *conf);
/* Announces the instance again within some seconds: the store may have lost its entry. */
void discovery_announce_again(discovery_t *discovery, rng_t *rng);
/* Announces or lists if due; `isolated`: no other instance is heard. */
void discovery_tick(discovery_t *discovery, bool isolated);
