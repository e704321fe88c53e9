#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "entry/lookup/spill.h"

#define POINTS 100.0

enum { MS_PER_S = 1000 };

struct spill {
    uint64_t second; /* the newest slot, in seconds */
    size_t rows;
    uint32_t total[SPILL_SLOTS];
    uint32_t *spilled; /* rows x SPILL_SLOTS */
    float *percent;    /* rows x SPILL_SLOTS: share over SPILL_RECENT_S up to each second */
};

spill_t *
spill_new(size_t rows)
{
    spill_t *spill = xcalloc(1, sizeof(*spill));
    spill->rows = rows;
    spill->spilled = xcalloc(rows * SPILL_SLOTS, sizeof(*spill->spilled));
    spill->percent = xcalloc(rows * SPILL_SLOTS, sizeof(*spill->percent));
    return spill;
}

void
spill_free(spill_t *spill)
{
    if (spill == NULL)
        return;
    free(spill->spilled);
    free(spill->percent);
    free(spill);
}

static size_t
slot_of(uint64_t second)
{
    return (size_t)(second % SPILL_SLOTS);
}

static uint64_t
recent_total(const spill_t *spill)
{
    uint64_t sum = 0;
    for (uint64_t i = 0; i < SPILL_RECENT_S && i <= spill->second; i++)
        sum += spill->total[slot_of(spill->second - i)];
    return sum;
}

static uint64_t
recent_spilled(const spill_t *spill, size_t row)
{
    const uint32_t *spilled = &spill->spilled[row * SPILL_SLOTS];
    uint64_t sum = 0;
    for (uint64_t i = 0; i < SPILL_RECENT_S && i <= spill->second; i++)
        sum += spilled[slot_of(spill->second - i)];
    return sum;
}

/* Stores the percentage of each row for the current second and clears the next slot. */
static void
advance_one_second(spill_t *spill)
{
    const uint64_t total = recent_total(spill);
    const size_t closing = slot_of(spill->second);
    const size_t opening = slot_of(spill->second + 1);
    for (size_t r = 0; r < spill->rows; r++) {
        const double spilled = (double)recent_spilled(spill, r);
        spill->percent[r * SPILL_SLOTS + closing] =
            total > 0 ? (float)(spilled * POINTS / (double)total) : 0;
        spill->spilled[r * SPILL_SLOTS + opening] = 0;
    }
    spill->total[opening] = 0;
    spill->second++;
}

static void
advance(spill_t *spill, uint64_t now_ms)
{
    const uint64_t second = now_ms / MS_PER_S;
    if (second > spill->second + SPILL_SLOTS) {
        memset(spill->total, 0, sizeof(spill->total));
        memset(spill->spilled, 0, spill->rows * SPILL_SLOTS * sizeof(*spill->spilled));
        memset(spill->percent, 0, spill->rows * SPILL_SLOTS * sizeof(*spill->percent));
        spill->second = second;
    }
    while (spill->second < second)
        advance_one_second(spill);
}

void
spill_record_decision(spill_t *spill, uint64_t now_ms)
{
    advance(spill, now_ms);
    spill->total[slot_of(spill->second)]++;
}

static double
min_percent(const spill_t *spill, size_t row)
{
    const float *percent = &spill->percent[row * SPILL_SLOTS];
    float min = (float)POINTS;
    for (uint64_t i = 1; i <= SPILL_WINDOW_S; i++) {
        const float value = i <= spill->second ? percent[slot_of(spill->second - i)] : 0;
        if (value < min)
            min = value;
    }
    return min;
}

bool
spill_take(spill_t *spill, size_t row, double cap, double ramp_rise, uint64_t now_ms)
{
    xassert(row < spill->rows);
    advance(spill, now_ms);
    const double allowed = min_percent(spill, row) + cap - ramp_rise;
    const double after = (double)(recent_spilled(spill, row) + 1) * POINTS;
    if (allowed <= 0 || after > allowed * (double)recent_total(spill))
        return false;
    /* Spread the spill within the second: apply the same percentage to this slot alone. */
    const size_t slot = slot_of(spill->second);
    uint32_t *spilled = &spill->spilled[row * SPILL_SLOTS + slot];
    if (*spilled * POINTS > allowed * spill->total[slot])
        return false;
    (*spilled)++;
    return true;
}
