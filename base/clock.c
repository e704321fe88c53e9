#include <time.h>

#include "base/clock.h"

enum { MS_PER_S = 1000, NS_PER_MS = 1000000, US_PER_S = 1000000, NS_PER_US = 1000 };

static uint64_t
read_ms(clockid_t id)
{
    struct timespec ts;
    clock_gettime(id, &ts);
    return (uint64_t)ts.tv_sec * MS_PER_S + (uint64_t)ts.tv_nsec / NS_PER_MS;
}

static uint64_t
system_steady(void *ctx)
{
    (void)ctx;
    return read_ms(CLOCK_BOOTTIME);
}

static uint64_t
system_wall(void *ctx)
{
    (void)ctx;
    return read_ms(CLOCK_REALTIME);
}

const iris_clock_t *
clock_system(void)
{
    static const iris_clock_t clock = {.steady_ms = system_steady, .wall_ms = system_wall};
    return &clock;
}

static uint64_t
manual_steady(void *ctx)
{
    return ((const clock_manual_t *)ctx)->steady_ms;
}

static uint64_t
manual_wall(void *ctx)
{
    return ((const clock_manual_t *)ctx)->wall_ms;
}

iris_clock_t
clock_manual(clock_manual_t *state)
{
    return (iris_clock_t){.steady_ms = manual_steady, .wall_ms = manual_wall, .ctx = state};
}

void
clock_manual_advance(clock_manual_t *state, uint64_t ms)
{
    state->steady_ms += ms;
    state->wall_ms += ms;
}

uint64_t
clock_steady_ms(const iris_clock_t *clock)
{
    return clock->steady_ms(clock->ctx);
}

uint64_t
clock_wall_ms(const iris_clock_t *clock)
{
    return clock->wall_ms(clock->ctx);
}

uint64_t
clock_wall_us(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_REALTIME, &ts);
    return (uint64_t)ts.tv_sec * US_PER_S + (uint64_t)ts.tv_nsec / NS_PER_US;
}
