/*
 * Account share: how the owner of a client account keeps the account within its limit.
 *
 * The owner takes each admitted request from a token bucket that fills at the limit's rate, and
 * decides whether all instances are limited to their shares.
 *
 *  - The account is limited once the bucket is below three tenths less four requests, or would be
 *    empty within 0.2 s at the present rate. That is the time until all instances know: a report to
 *    the owner, an exchange with the other regions, and the network delays. It is not limited while
 *    the demand is known to be below a tenth of the limit: the bucket of a new owner may be low for
 *    other reasons.
 *  - While limited, the instances share the limit's rate plus half of the bucket's level per
 *    second, or minus half of its deficit.
 *  - It is released when the level is above half of the bucket, or nine tenths while the demand
 *    exceeds the limit by a quarter, and would last for 0.2 s. Unused shares refill the bucket, so
 *    that the account gets its whole limit.
 *
 * Below its limit an account is not refused anything, wherever its callers are. Above the limit the
 * excess is bounded by the requests that arrive within 0.2 s.
 *
 * See docs/design/gateway/client-accounts.md. Stateless.
 */
#pragma once

#include <stdbool.h>

typedef struct {
    double rate_per_s;     /* limit of the account */
    double depth;          /* depth of the bucket, from account_share_depth() */
    double level;          /* level of the bucket; negative if overdrawn */
    double admitted_per_s; /* rate of admitted requests */
    double demand_per_s;   /* rate of all requests, including refused ones */
    bool demand_known;     /* demand_per_s is reliable, or the bucket was nearly full before */
    bool limited;          /* the account is limited at present */
} account_share_input_t;

/* True if the demand of all regions exceeds the limit: instances are limited, or will be again
 * shortly. */
bool account_share_is_exceeded(double demand_per_s, double rate_per_s);
/* Returns the depth of the bucket for a limit. */
double account_share_depth(double rate_per_s, double burst);
/* True if the account is to be limited from now on. */
bool account_share_limits(const account_share_input_t *input);
/* Returns the sum of all shares, in requests per second, while the account is limited. */
double account_share_total(const account_share_input_t *input);
