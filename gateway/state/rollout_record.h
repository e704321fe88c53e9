/*
 * Roll-out record: writes the state of a roll-out to the store, for operators and for instances
 * that start later.
 *
 * Any instance may write; there is no leader. The first instances of each region, by name, take
 * turns: one writes if the store does not yet show what the instance knows, and the next ones later
 * if it still does not. A write holds only for the revision that the writer knows, so of two
 * writers one gets a conflict and reads the outcome from its view. A write without an answer, or
 * during an outage, is repeated. A final state in the store is never replaced.
 *
 * Owns the calls in progress. Depends on rollouts.h, members.h and the store port.
 */
#pragma once

#include <uv.h>

#include "gateway/membership/rollout_gossip.h"

typedef struct {
    uv_loop_t *loop;
    const store_port_t *store;
    const members_t *members;
    rollouts_t *rollouts;
    str_t instance; /* name of this instance */
    size_t region;
} rollout_record_conf_t;

typedef struct {
    uint64_t order;         /* id */
    rollout_state_t wanted; /* state to be recorded, ROLLOUT_NONE if the store shows it */
    uint64_t since_ms;      /* loop time since which it is wanted */
    uint64_t next_ms;       /* loop time of the next try */
} rollout_write_t;

typedef struct {
    rollout_record_conf_t conf;
    name_t instance;
    rollout_write_t writes[ROLLOUTS_MAX];
} rollout_record_t;

void rollout_record_init(rollout_record_t *record, const rollout_record_conf_t *conf);
/* Starts the writes that are due. `all_moved` holds for each order whether all instances have moved
 * to its target. */
void rollout_record_tick(rollout_record_t *record, const bool all_moved[ROLLOUTS_MAX]);
