/*
 * The planner of credit allocations: who holds how much at the next epoch.
 *
 * Any instance of a region may plan; the conditional write lets one through. A holder that fell
 * silent becomes a former holder and its credits rest. They are reissued when it can have no
 * authority any more and its last request must be over, see credit.h. Pure.
 */
#pragma once

#include "entry/region/credit.h"

typedef struct {
    name_t instance;
    uint64_t incarnation;
    bool listed;      /* by the platform */
    bool alive;       /* heard from lately, or self */
    bool surrendered; /* it said that it never uses credits again */
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
/* The next allocation to write, or NULL if the present one is right. */
allocation_t *planner_next(planner_t *planner, const credit_t *credit, const plan_input_t *input,
                           uint64_t now_ms);
