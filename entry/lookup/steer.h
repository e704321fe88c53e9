/*
 * Steering: the active tables with the current shares and plan of each service.
 *
 * Results depend only on the stored objects and wall time, so instances with the same objects reach
 * the same decisions. Performs no I/O.
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

/* Look-ups and requests each get half of a row's cap, so that together they stay within it. */
#define STEER_CAP_FRACTION 0.5

enum {
    /* interval between plans during a shift */
    STEER_REFRESH_MS = 200,
    STEER_SERVICES_MAX = 256, /* services with a table */
};

typedef struct {
    table_t *table;
    double *shares;  /* current points per row */
    double *rises;   /* points each row gained by its ramp in the last minute */
    size_t *regions; /* region index of each row's place, SIZE_MAX if unknown to the topology */
    steer_plan_t *plan;
    spill_t *lookup_spill;    /* look-ups beyond the shares, up to half of each cap */
    spill_t *request_spill;   /* requests beyond the shares, up to the other half */
    uint8_t *skip;            /* rows that cannot serve now, updated by the caller */
    uint64_t skip_updated_ms; /* monotonic time of the last update of `skip`, 0: never */
    uint64_t computed_ms;     /* wall time */
    bool settled;             /* the ramp has ended and the plan is final */
} service_t;

typedef struct {
    service_t *services[STEER_SERVICES_MAX];
    size_t service_count;
    topology_t *topology;
    blocks_t *blocks;
} steer_t;

steer_t *steer_new(void);
/* Takes ownership of `table`; false if there are too many services. */
bool steer_set_table(steer_t *steer, table_t *table);
void steer_set_topology(steer_t *steer, topology_t *topology);
void steer_blocks_changed(steer_t *steer);

service_t *steer_find(const steer_t *steer, str_t service);
/* Updates shares and plan to `wall_ms`; false if no topology is known. */
bool steer_refresh(const steer_t *steer, service_t *service, uint64_t wall_ms);

typedef struct {
    size_t row;  /* SIZE_MAX if no place is available */
    bool moved;  /* another place than its share selects; counts against the cap */
    bool capped; /* a place was available, but its cap is used up */
} steer_choice_t;

/* Spills a request to `row` beyond its share if the row's cap allows it. */
bool steer_take_request_spill(const service_t *service, size_t row, uint64_t now_ms);

/* Selects the place for a client; `skip` marks rows that cannot serve. */
steer_choice_t steer_choose(const steer_t *steer, service_t *service, const client_addr_t *client,
                            const uint8_t *skip, uint64_t now_ms);
