#include <math.h>

#include "gateway/policy/health.h"

/* Some failures in a row, or well over half of the attempts over a while, make an upstream
 * impaired; it stays so until little of that is left, since moving its objects to and fro costs
 * more. */
#define FAILURE_LIMIT 0.6
#define FAILURE_FORGIVEN 0.25
/* Outcomes are averaged over this time; where they are rare, over the last few, however old. */
#define AVERAGE_TIME_MS 2000.0
#define AVERAGE_LEAST 3.5
/* How fast that is forgotten: slowly while in use, so that rare requests can tell as well, and fast
 * while others are preferred. */
#define FAILURE_HALF_LIFE_MS 20000.0
#define IMPAIRED_HALF_LIFE_MS 3000.0
/* Above this rate successes are told to the others as well, so that they forgive alike. */
#define SUSPECT_RATE 0.1

static double
rate_at(const health_t *health, uint64_t now_ms)
{
    const double age = now_ms > health->at_ms ? (double)(now_ms - health->at_ms) : 0;
    const double half_life = health->impaired ? IMPAIRED_HALF_LIFE_MS : FAILURE_HALF_LIFE_MS;
    return health->failure_rate * exp2(-age / half_life);
}

/* How many outcomes the average stands for. */
static double
weight_at(const health_t *health, uint64_t now_ms)
{
    if (health->weight <= AVERAGE_LEAST)
        return AVERAGE_LEAST;
    const double age = now_ms > health->at_ms ? (double)(now_ms - health->at_ms) : 0;
    return fmax(health->weight * exp(-age / AVERAGE_TIME_MS), AVERAGE_LEAST);
}

void
health_take_report(health_t *health, uint32_t good, uint32_t bad, uint64_t now_ms)
{
    const double count = (double)good + bad;
    if (count == 0)
        return;
    const double rate = rate_at(health, now_ms);
    const double weight = weight_at(health, now_ms);
    health->weight = weight + count;
    health->failure_rate = (rate * weight + bad) / health->weight;
    health->at_ms = now_ms;
    health->impaired = health->failure_rate > FAILURE_LIMIT ||
                       (health->impaired && health->failure_rate > FAILURE_FORGIVEN);
}

void
health_record(health_t *health, bool failed, uint64_t now_ms)
{
    health->good += !failed;
    health->bad += failed;
    health_take_report(health, !failed, failed, now_ms);
}

bool
health_has_news(const health_t *health, uint64_t now_ms)
{
    return health->bad > 0 || (health->good > 0 && rate_at(health, now_ms) > SUSPECT_RATE);
}

void
health_told(health_t *health)
{
    health->good = 0;
    health->bad = 0;
}

bool
health_is_impaired(const health_t *health, uint64_t now_ms)
{
    return health->impaired && rate_at(health, now_ms) > FAILURE_FORGIVEN;
}
