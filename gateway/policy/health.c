#include <math.h>

#include "gateway/policy/health.h"

/* A backend is avoided once its failure rate exceeds the first limit, until it has fallen below the
 * second. Lower limits avoid backends that still serve most requests. */
#define AVOID_RATE 0.6
#define RECOVER_RATE 0.25
/* Outcomes are averaged over this time in milliseconds, or over this number of outcomes if they are
 * rarer: a few outcomes in a row say little about a backend with many requests. */
#define AVERAGE_TIME_MS 2000.0
#define AVERAGE_OUTCOMES_MIN 3.5
/* Half-life of the failure rate in milliseconds: long while the backend is in use, so that rare
 * requests count, and short while it is avoided and gets few requests. */
#define ACTIVE_HALF_LIFE_MS 20000.0
#define AVOIDED_HALF_LIFE_MS 3000.0
/* Failure rate above which successes are sent to the other instances as well, so that all stop
 * avoiding the backend at the same time. */
#define SUSPECT_RATE 0.1

static double
age_ms(const health_t *health, uint64_t now_ms)
{
    return now_ms > health->updated_ms ? (double)(now_ms - health->updated_ms) : 0;
}

static double
rate_at(const health_t *health, uint64_t now_ms)
{
    const double half_life = health->avoided ? AVOIDED_HALF_LIFE_MS : ACTIVE_HALF_LIFE_MS;
    return health->failure_rate * exp2(-age_ms(health, now_ms) / half_life);
}

/* Returns the number of outcomes that the average stands for at present. */
static double
weight_at(const health_t *health, uint64_t now_ms)
{
    if (health->weight <= AVERAGE_OUTCOMES_MIN)
        return AVERAGE_OUTCOMES_MIN;
    const double decayed = health->weight * exp(-age_ms(health, now_ms) / AVERAGE_TIME_MS);
    return fmax(decayed, AVERAGE_OUTCOMES_MIN);
}

void
health_add_report(health_t *health, uint32_t good, uint32_t bad, uint64_t now_ms)
{
    const double count = (double)good + bad;
    if (count == 0)
        return;
    const double rate = rate_at(health, now_ms);
    const double weight = weight_at(health, now_ms);
    health->weight = weight + count;
    health->failure_rate = (rate * weight + bad) / health->weight;
    health->updated_ms = now_ms;
    health->avoided = health->failure_rate > AVOID_RATE ||
                      (health->avoided && health->failure_rate > RECOVER_RATE);
}

void
health_record(health_t *health, bool failed, uint64_t now_ms)
{
    health->unsent_successes += !failed;
    health->unsent_failures += failed;
    health_add_report(health, !failed, failed, now_ms);
}

bool
health_has_unsent(const health_t *health, uint64_t now_ms)
{
    if (health->unsent_failures > 0)
        return true;
    return health->unsent_successes > 0 && rate_at(health, now_ms) > SUSPECT_RATE;
}

void
health_mark_sent(health_t *health)
{
    health->unsent_successes = 0;
    health->unsent_failures = 0;
}

bool
health_is_avoided(const health_t *health, uint64_t now_ms)
{
    return health->avoided && rate_at(health, now_ms) > RECOVER_RATE;
}
