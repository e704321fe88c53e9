#include <math.h>

#include "gateway/state/object_rates.h"

/* Time constant of the decay, in seconds. */
#define DECAY_S 5.0
/* Counts below this are too small to estimate a rate from. */
#define COUNT_MIN 8.0F
#define MS_PER_S 1000.0

static unsigned
column_of(uint64_t object, unsigned row)
{
    return (unsigned)(object >> (row * 32U)) % OBJECT_RATES_COLUMNS;
}

void
object_rates_count(object_rates_t *rates, uint64_t object)
{
    for (unsigned row = 0; row < OBJECT_RATES_ROWS; row++)
        rates->counts[row][column_of(object, row)] += 1;
}

static float
count_of(const object_rates_t *rates, uint64_t object)
{
    float min = rates->counts[0][column_of(object, 0)];
    for (unsigned row = 1; row < OBJECT_RATES_ROWS; row++)
        min = fminf(min, rates->counts[row][column_of(object, row)]);
    return min;
}

double
object_rates_per_s(const object_rates_t *rates, uint64_t object)
{
    const float count = count_of(rates, object);
    return count >= COUNT_MIN ? count / DECAY_S : 0;
}

double
object_rates_before_per_s(const object_rates_t *rates, uint64_t object)
{
    return fmaxf(count_of(rates, object) - 1, 0) / DECAY_S;
}

void
object_rates_decay(object_rates_t *rates, uint64_t now_ms)
{
    const double passed_s = (double)(now_ms - rates->decayed_ms) / MS_PER_S;
    const float keep = (float)exp(-passed_s / DECAY_S);
    for (unsigned row = 0; row < OBJECT_RATES_ROWS; row++) {
        for (unsigned column = 0; column < OBJECT_RATES_COLUMNS; column++)
            rates->counts[row][column] *= keep;
    }
    rates->decayed_ms = now_ms;
}
