/*
 * Time sources.
 *
 * The entry's decisions take their time from an iris_clock_t, so that tests pause and advance it;
 * the gateway's get the loop's time as an argument. The steady time counts suspension
 * (CLOCK_BOOTTIME) and is read afresh at each call: a loop's cached time would make a process that
 * was stopped believe its authority is still current.
 */
#pragma once

#include <stdint.h>

typedef struct iris_clock iris_clock_t;
struct iris_clock {
    uint64_t (*steady_ms)(void *ctx); /* ms since an arbitrary point, never goes back */
    uint64_t (*wall_ms)(void *ctx);   /* ms since 1970-01-01 UTC, shared between instances */
    void *ctx;
};

/* The machine's clocks. */
const iris_clock_t *clock_system(void);

/* A clock that stands still until it is advanced. */
typedef struct {
    uint64_t steady_ms;
    uint64_t wall_ms;
} clock_manual_t;

iris_clock_t clock_manual(clock_manual_t *state);
void clock_manual_advance(clock_manual_t *state, uint64_t ms);

uint64_t clock_steady_ms(const iris_clock_t *clock);
uint64_t clock_wall_ms(const iris_clock_t *clock);
/* Wall time in microseconds, for histories and spans only. */
uint64_t clock_wall_us(void);
