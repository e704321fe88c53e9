/*
 * Steering: the tables in force and, for each service, the shares and the plan of this moment.
 *
 * Everything is computed from (objects, wall time) alone, so instances that hold the same objects
 * decide alike. Pure.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "entry/lookup/blocks.h"
#include "entry/lookup/plan.h"
#include "entry/lookup/spill.h"
#include "entry/lookup/topology.h"
#include "entry/table/table.h"

/* Half of a row's cap is for look-ups, half for requests, so that both keep it together. */
#define STEER_CAP_FRACTION 0.5

enum {
    /* Between plans while a shift runs; docs/CAPACITY.md has their cost. Chosen, not measured. */
    STEER_REFRESH_MS = 200,
    STEER_SERVICES_MAX = 256, /* services with a table. Chosen, not measured */
};

typedef struct {
    table_t *table;
    double *shares;  /* points per row, now */
    double *rises;   /* points each row gained by the ramp in the last minute */
    size_t *regions; /* region of each row's place, SIZE_MAX if the topology lacks it */
    steer_plan_t *plan;
    spill_t *lookup_spill;    /* look-ups answered beyond the shares; half of each cap */
    spill_t *request_spill;   /* requests sent on beyond the shares; the other half */
    uint8_t *skip;            /* rows that cannot serve now, kept by the entry */
    uint64_t skip_updated_ms; /* steady time of `skip`, 0: never */
    uint64_t computed_ms;     /* wall */
    bool settled;             /* the ramp is over and the plan is final */
} service_t;

typedef struct {
    service_t *services[STEER_SERVICES_MAX];
    size_t service_count;
    topology_t *topology;
    blocks_t *blocks;
} steer_t;

steer_t *steer_new(void);
/* Takes ownership of what is passed. */
bool steer_set_table(steer_t *steer, table_t *table);
void steer_set_topology(steer_t *steer, topology_t *topology);
void steer_blocks_changed(steer_t *steer);

service_t *steer_find(const steer_t *steer, str_t service);
/* Brings shares and plan up to `wall_ms`; false if no topology is known yet. */
bool steer_refresh(const steer_t *steer, service_t *service, uint64_t wall_ms);

typedef struct {
    size_t row;  /* SIZE_MAX if no place may be used */
    bool moved;  /* not the place of its share: counted against the cap */
    bool capped; /* a place was there, but its cap is used up */
} steer_choice_t;

/* True if a request may go to that row beyond its share, which then counts against the row's cap.
 */
bool steer_take_request_spill(const service_t *service, size_t row, uint64_t now_ms);

/* The place for a client; `skip` marks rows that cannot serve. */
steer_choice_t steer_choose(const steer_t *steer, service_t *service, const client_addr_t *client,
                            const uint8_t *skip, uint64_t now_ms);
