/*
 * Time sources.
 *
 * irisstall-entry reads the time through an iris_clock_t, which tests can replace; in
 * irisstall-gateway the loop time is passed as an argument. The steady time includes suspension
 * (CLOCK_BOOTTIME) and is read on every call: with the loop's cached time, a process that was
 * stopped would not notice that its credits have expired.
 */
#pragma once

#include <stdint.h>

typedef struct iris_clock iris_clock_t;
struct iris_clock {
    uint64_t (*steady_ms)(void *ctx); /* monotonic, ms since an arbitrary point */
    uint64_t (*wall_ms)(void *ctx);   /* ms since the Unix epoch, comparable between instances */
    void *ctx;
};

/* CLOCK_BOOTTIME and CLOCK_REALTIME. */
const iris_clock_t *clock_system(void);

/* A clock for tests that changes only by clock_manual_advance(). */
typedef struct {
    uint64_t steady_ms;
    uint64_t wall_ms;
} clock_manual_t;

iris_clock_t clock_manual(clock_manual_t *state);
void clock_manual_advance(clock_manual_t *state, uint64_t ms);

uint64_t clock_steady_ms(const iris_clock_t *clock);
uint64_t clock_wall_ms(const iris_clock_t *clock);
/* Microseconds since the Unix epoch, for histories and spans only. */
uint64_t clock_wall_us(void);
