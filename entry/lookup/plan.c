#include <math.h>
#include <stdlib.h>

#include "base/xmalloc.h"
#include "entry/lookup/plan.h"

/* The initial weight of a place falls by a factor of e for each such step of delay. */
#define DELAY_SCALE_MS 10.0
/* Added to each weight; sums up to this value count as zero. */
#define EPSILON 1e-12

enum { FITTING_ITERATIONS = 40 }; /* rows and columns are scaled once in each */

static void
scale_columns(steer_plan_t *plan, const double *shares)
{
    for (size_t r = 0; r < plan->rows; r++) {
        double sum = 0;
        for (size_t a = 0; a < plan->areas; a++)
            sum += plan->fraction[a * plan->rows + r];
        const double factor = sum > EPSILON ? shares[r] / 100.0 / sum : 0;
        for (size_t a = 0; a < plan->areas; a++)
            plan->fraction[a * plan->rows + r] *= factor;
    }
}

static void
scale_areas(steer_plan_t *plan, const double *demand, double total)
{
    for (size_t a = 0; a < plan->areas; a++) {
        double sum = 0;
        for (size_t r = 0; r < plan->rows; r++)
            sum += plan->fraction[a * plan->rows + r];
        const double wanted = demand[a] / total;
        const double factor = sum > EPSILON ? wanted / sum : 0;
        for (size_t r = 0; r < plan->rows; r++)
            plan->fraction[a * plan->rows + r] *= factor;
    }
}

/* Converts fractions of all clients to fractions of the clients of each area. */
static void
normalize(steer_plan_t *plan, const double *shares)
{
    for (size_t a = 0; a < plan->areas; a++) {
        double sum = 0;
        for (size_t r = 0; r < plan->rows; r++)
            sum += plan->fraction[a * plan->rows + r];
        for (size_t r = 0; r < plan->rows; r++) {
            double *fraction = &plan->fraction[a * plan->rows + r];
            *fraction = sum > EPSILON ? *fraction / sum : shares[r] / 100.0;
        }
    }
}

steer_plan_t *
steer_plan_new(const table_t *table, const double *shares, const topology_t *topology,
               const double *demand)
{
    steer_plan_t *plan = xcalloc(1, sizeof(*plan));
    plan->areas = topology->region_count;
    plan->rows = table->row_count;
    plan->fraction = xcalloc(plan->areas * plan->rows, sizeof(*plan->fraction));
    double total = 0;
    for (size_t a = 0; a < plan->areas; a++)
        total += demand[a];
    for (size_t r = 0; r < plan->rows; r++) {
        const size_t place = topology_place(topology, name_str(&table->rows[r].place));
        if (place == SIZE_MAX || shares[r] <= 0)
            continue;
        const size_t region = topology->places[place].region;
        for (size_t a = 0; a < plan->areas; a++)
            plan->fraction[a * plan->rows + r] =
                exp(-(double)topology->delay_ms[a][region] / DELAY_SCALE_MS) + EPSILON;
    }
    for (size_t i = 0; total > 0 && i < FITTING_ITERATIONS; i++) {
        scale_areas(plan, demand, total);
        scale_columns(plan, shares);
    }
    normalize(plan, shares);
    return plan;
}

void
steer_plan_free(steer_plan_t *plan)
{
    if (plan == NULL)
        return;
    free(plan->fraction);
    free(plan);
}

size_t
steer_plan_pick(const steer_plan_t *plan, const table_t *table, size_t area, uint64_t key,
                const uint8_t *skip)
{
    size_t best = SIZE_MAX;
    double best_score = 0;
    for (size_t r = 0; r < plan->rows; r++) {
        const double fraction = plan->fraction[area * plan->rows + r];
        if (fraction <= 0 || (skip != NULL && skip[r]))
            continue;
        const uint64_t hash = str_hash(name_str(&table->rows[r].place), key);
        const double unit = ((double)(hash >> 11) + 0.5) * 0x1.0p-53;
        const double score = -log(unit) / fraction;
        if (best == SIZE_MAX || score < best_score) {
            best = r;
            best_score = score;
        }
    }
    return best;
}
