#include "gateway/policy/account_share.h"

#include <math.h>

/* Time, in seconds, from a surge until all instances are held; see the rule. */
#define REACTION_S 0.2
/* Room at which instances are held and let go, as parts of the bucket: a surge of 3.7 times the
 * limit's rate takes half a burst of one second within the reaction time. Chosen with the model of
 * test_account_model.c. */
#define LIMIT_BELOW 0.3
#define RELEASE_ABOVE 0.5
/* And while callers ask for this many times the limit's rate: let go at half of the bucket, an
 * account of 40 requests a second was held and let go each second at 67 instances, and two sides of
 * a cut came to 81 requests too many where 44 are borne (model, seed 4). */
#define OVERLOAD_FACTOR 1.25
#define RELEASE_ABOVE_OVERLOADED 0.9
/* Part of the limit's rate below which callers are far from it. Without this an owner that took
 * over with one instance, and so with next to no room, held accounts at a hundredth of their limit:
 * 3 of 6,084 requests of a soak of 16 instances. */
#define IDLE_FRACTION 0.1
/* A bucket counts as full from here. */
#define FULL_FRACTION 0.95
/* Requests by which the room may fall further before instances are held: an account of a few
 * requests a second would be held for three that came together. A fifth of the 20 that operators
 * bear. */
#define TOLERANCE 4.0
/* Part of the room that is shared out in a second. Chosen with the same model. */
#define ROOM_PER_S 0.5
/* Bounds on the shares together, as parts of the limit's rate. */
#define TOTAL_MIN 0.3
#define TOTAL_MAX 1.5
/* The least depth of a bucket, in seconds of the rate and in requests: without a burst requests
 * still come in pairs. */
#define DEPTH_MIN_S 0.25
#define DEPTH_MIN 2.0

double
account_share_depth(double rate_per_s, double burst)
{
    return fmax(burst, fmax(DEPTH_MIN, rate_per_s * DEPTH_MIN_S));
}

/* Room from which instances are let go. */
static double
release_threshold(const account_share_input_t *input)
{
    const bool overloaded = input->asked_per_s > OVERLOAD_FACTOR * input->rate_per_s;
    return (overloaded ? RELEASE_ABOVE_OVERLOADED : RELEASE_ABOVE) * input->depth;
}

bool
account_share_limits(const account_share_input_t *input)
{
    if (input->asked_known && input->asked_per_s < IDLE_FRACTION * input->rate_per_s)
        return false;
    if (input->limited) {
        const double excess = (input->asked_per_s - input->rate_per_s) * REACTION_S;
        return input->room <
               fmin(fmax(release_threshold(input), excess), FULL_FRACTION * input->depth);
    }
    const double excess = (input->used_per_s - input->rate_per_s) * REACTION_S;
    return input->room < fmax(LIMIT_BELOW * input->depth, excess) - TOLERANCE;
}

double
account_share_total(const account_share_input_t *input)
{
    const double total = input->rate_per_s + ROOM_PER_S * input->room;
    return fmin(fmax(total, TOTAL_MIN * input->rate_per_s), TOTAL_MAX * input->rate_per_s);
}
