#include <stdlib.h>

#include "base/mutate.h"
#include "base/xmalloc.h"
#include "entry/table/ramp.h"

#define EPSILON_POINTS 1e-9 /* smaller rises are rounding errors */

void
ramp_targets(const table_t *table, double *shares)
{
    double sum = 0;
    for (size_t i = 0; i < table->row_count; i++) {
        const table_row_t *row = &table->rows[i];
        shares[i] = row->state == ROW_STEERED ? row->weight : 0;
        sum += shares[i];
    }
    for (size_t i = 0; i < table->row_count; i++)
        shares[i] = sum > 0 ? shares[i] * TABLE_POINTS / sum : 0;
}

static double
from_sum(const table_t *table)
{
    double sum = 0;
    for (size_t i = 0; i < table->row_count; i++)
        sum += table->rows[i].from;
    return sum;
}

/* Duration of the ramp in ms; negative if it never ends. */
static double
duration_ms(const table_t *table, const double *targets, double sum)
{
    double longest = 0;
    for (size_t i = 0; i < table->row_count; i++) {
        const table_row_t *row = &table->rows[i];
        const double rise = targets[i] - row->from * TABLE_POINTS / sum;
        if (rise <= EPSILON_POINTS)
            continue;
        if (row->cap <= 0)
            return -1;
        const double window = RAMP_WINDOW_MS + RAMP_ANSWER_TTL_MS;
        const double needed = rise / row->cap * window;
        if (needed > longest)
            longest = needed;
    }
    return longest;
}

uint64_t
ramp_end_ms(const table_t *table)
{
    const double sum = from_sum(table);
    if (sum <= 0)
        return table->ramp_start_ms;
    double *targets = xcalloc(table->row_count, sizeof(*targets));
    ramp_targets(table, targets);
    const double duration = duration_ms(table, targets, sum);
    free(targets);
    return duration < 0 ? UINT64_MAX : table->ramp_start_ms + (uint64_t)duration;
}

void
ramp_shares(const table_t *table, uint64_t wall_ms, double *shares)
{
    ramp_targets(table, shares);
    const double sum = from_sum(table);
    if (sum <= 0 || mutate_is(MUTATE_NO_CAP))
        return;
    const double duration = duration_ms(table, shares, sum);
    const double elapsed =
        wall_ms > table->ramp_start_ms ? (double)(wall_ms - table->ramp_start_ms) : 0;
    if (duration >= 0 && elapsed >= duration && wall_ms >= table->ramp_start_ms)
        return;
    const double progress = duration > 0 ? elapsed / duration : 0;
    for (size_t i = 0; i < table->row_count; i++) {
        const double from = table->rows[i].from * TABLE_POINTS / sum;
        shares[i] = from + (shares[i] - from) * progress;
    }
}

void
ramp_rebase(table_t *table, uint64_t wall_ms)
{
    double *shares = xcalloc(table->row_count, sizeof(*shares));
    ramp_shares(table, wall_ms, shares);
    for (size_t i = 0; i < table->row_count; i++)
        table->rows[i].from = shares[i];
    table->ramp_start_ms = wall_ms + RAMP_LEAD_MS;
    free(shares);
}
