/*
 * Simulation of a roll-out over a fleet, in simulated time without sockets or a loop.
 *
 * Callers, backend servers, the store and faults are modelled. Counting, exchange between instances
 * and decisions are the gateway's own code (state/rollouts.h, membership/rollout_gossip.h,
 * policy/rollout.h).
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

typedef enum {
    VERSION_GOOD,
    VERSION_FAILING,   /* a share of its responses fails */
    VERSION_SLOW,      /* its responses take four times as long */
    VERSION_LATE,      /* fails from 45% of the ordered time on */
    VERSION_ONE_ROUTE, /* fails on one route of three */
    VERSION_LOADED,    /* fails while a backend server has many requests */
    VERSION_KINDS,
} version_kind_t;

typedef enum {
    ROLLOUT_FAULT_NONE,
    ROLLOUT_FAULT_CUT,         /* a third of the instances is cut off from peers and store */
    ROLLOUT_FAULT_RESTARTS,    /* a third of the instances restarts */
    ROLLOUT_FAULT_STORE_DOWN,  /* the store takes and tells nothing */
    ROLLOUT_FAULT_BAD_SERVERS, /* a tenth of all backend servers fails half of its requests */
    ROLLOUT_FAULTS,
} rollout_fault_t;

typedef struct {
    unsigned instances; /* in three regions */
    version_kind_t kind;
    rollout_fault_t fault;
    uint64_t seed;
} rollout_model_conf_t;

typedef struct {
    unsigned requests;     /* between the order and its deadline */
    unsigned exposed;      /* of these, at the target version, from instances that were not cut */
    unsigned late_exposed; /* at the target later than the bound after its 50th bad response */
    uint64_t completed_ms; /* recorded after the order; 0: not */
    uint64_t rolled_back_ms;
    unsigned at_stopped; /* requests under way at the old version when it was stopped */
} rollout_model_result_t;

enum {
    ROLLOUT_MODEL_DURATION_MS = 12000,
    ROLLOUT_MODEL_BOUND_MS = 5000,
};

/* Share of the service's requests that a bad version may get, and requests beyond it. */
#define ROLLOUT_MODEL_SHARE 0.1
enum { ROLLOUT_MODEL_SLACK = 50 };

rollout_model_result_t rollout_model_run(const rollout_model_conf_t *conf);
