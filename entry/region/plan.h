/*
 * Computes the credit allocation of the next epoch.
 *
 * Any instance of a region may plan; the conditional write to the store accepts one. A holder that
 * stops responding becomes a former holder, and its credits are reissued once its authority and its
 * requests must have expired (see credit.h). Performs no I/O.
 */
#pragma once

#include "entry/region/credit.h"

typedef struct {
    name_t instance;
    uint64_t incarnation;
    bool listed;      /* by the platform */
    bool alive;       /* heard from recently, or self */
    bool surrendered; /* has given up its credits permanently */
} plan_member_t;

typedef struct {
    name_t region;
    uint32_t limit;
    const plan_member_t *members;
    size_t member_count;
    uint64_t longest_deadline_ms; /* of any request class of the region */
} plan_input_t;

typedef struct planner planner_t;

planner_t *planner_new(void);
void planner_free(planner_t *planner);
/* Returns the next allocation to write, or NULL if the current one is up to date. */
allocation_t *planner_next(planner_t *planner, const credit_t *credit, const plan_input_t *input,
                           uint64_t now_ms);
