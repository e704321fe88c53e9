/*
 * Finding the other instances by the store: each announces itself there and reads of the others,
 * until that has worked once. An instance that is alone looks again from time to time.
 */
#pragma once

#include "gateway/membership/heartbeat.h"

typedef struct {
    uv_loop_t *loop;
    const store_port_t *store;
    const decoder_port_t *decoder;
    heartbeat_t *heartbeat;
    bool known;        /* the list was read once */
    uint64_t again_ms; /* loop time before which nothing is asked */
} discovery_t;

/* Regular work. */
void discovery_tick(discovery_t *discovery);
