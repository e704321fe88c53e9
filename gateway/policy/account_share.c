#include "gateway/policy/account_share.h"

#include <math.h>

/* Time, in seconds, from a surge until all instances limit the account. */
#define REACTION_S 0.2
/* Levels, as parts of the bucket, below which the account is limited and above which it is
 * released. A surge of 3.7 times the limit's rate takes half of a burst of one second before all
 * instances limit the account. */
#define LIMIT_BELOW 0.3
#define RELEASE_ABOVE 0.5
/* Release level while the demand exceeds the limit by this factor; a higher level avoids
 * alternating between limited and released. Released at half of the bucket, two sides of a cut
 * would admit more than the limit allows. */
#define OVERLOAD_FACTOR 1.25
#define RELEASE_ABOVE_OVERLOADED 0.9
/* Demand, as a part of the limit, below which the account is never limited: a new owner may start
 * with a nearly empty bucket and would refuse accounts far below their limit. */
#define IDLE_FRACTION 0.1
/* Level from which the bucket counts as full. */
#define FULL_FRACTION 0.95
/* Requests by which the level may fall further before the account is limited, so that small
 * accounts may send a few requests at once. */
#define TOLERANCE 4.0
/* Part of the bucket's level that is added to the total share per second. */
#define LEVEL_PER_S 0.5
/* Bounds on the sum of all shares, as parts of the limit's rate. */
#define TOTAL_MIN 0.3
#define TOTAL_MAX 1.5
/* Minimum depth of the bucket, in seconds of the rate and in requests. */
#define DEPTH_MIN_S 0.25
#define DEPTH_MIN 2.0

bool
account_share_is_exceeded(double demand_per_s, double rate_per_s)
{
    return demand_per_s > rate_per_s;
}

double
account_share_depth(double rate_per_s, double burst)
{
    return fmax(burst, fmax(DEPTH_MIN, rate_per_s * DEPTH_MIN_S));
}

/* Level of the bucket above which the account is released. */
static double
release_threshold(const account_share_input_t *input)
{
    const bool overloaded = input->demand_per_s > OVERLOAD_FACTOR * input->rate_per_s;
    return (overloaded ? RELEASE_ABOVE_OVERLOADED : RELEASE_ABOVE) * input->depth;
}

bool
account_share_limits(const account_share_input_t *input)
{
    if (input->demand_known && input->demand_per_s < IDLE_FRACTION * input->rate_per_s)
        return false;
    if (input->limited) {
        const double excess = (input->demand_per_s - input->rate_per_s) * REACTION_S;
        return input->level <
               fmin(fmax(release_threshold(input), excess), FULL_FRACTION * input->depth);
    }
    const double excess = (input->admitted_per_s - input->rate_per_s) * REACTION_S;
    return input->level < fmax(LIMIT_BELOW * input->depth, excess) - TOLERANCE;
}

double
account_share_total(const account_share_input_t *input)
{
    const double total = input->rate_per_s + LEVEL_PER_S * input->level;
    return fmin(fmax(total, TOTAL_MIN * input->rate_per_s), TOTAL_MAX * input->rate_per_s);
}
