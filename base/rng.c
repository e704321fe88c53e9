#include <sys/random.h>
#include <sys/types.h>

#include "base/rng.h"
#include "base/xmalloc.h"

rng_t
rng_system(void)
{
    rng_t rng;
    if (getrandom(&rng.state, sizeof(rng.state), 0) != (ssize_t)sizeof(rng.state))
        BUG("getrandom failed");
    return rng;
}

uint64_t
rng_next(rng_t *rng)
{
    rng->state += 0x9e3779b97f4a7c15u;
    uint64_t z = rng->state;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return z ^ (z >> 31);
}

double
rng_unit(rng_t *rng)
{
    return (double)(rng_next(rng) >> 11) * 0x1.0p-53;
}

uint64_t
rng_below(rng_t *rng, uint64_t bound)
{
    xassert(bound > 0);
    return rng_next(rng) % bound;
}
