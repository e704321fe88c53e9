/* Seedable random number generator (splitmix64), for reproducible tests. */
#pragma once

#include <stdint.h>

typedef struct {
    uint64_t state;
} rng_t;

/* Returns a generator seeded by the operating system. */
rng_t rng_system(void);
uint64_t rng_next(rng_t *rng);
/* Uniform in [0, 1). */
double rng_unit(rng_t *rng);
/* Uniform in [0, bound); `bound` must not be 0. */
uint64_t rng_below(rng_t *rng, uint64_t bound);
