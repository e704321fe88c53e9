/*
 * Account limiter: whether an instance takes a request of a client account now, by the account's
 * limit over all instances.
 *
 * Decides: admitted, or refused with the time after which the caller may come back.
 * Inputs: what the account's owner told last (account_share.h): whether all instances are held to
 * their shares, and the own share in requests a second; whether the owner answers; the share of an
 * instance that was told nothing; the time in milliseconds.
 * Rule:
 *  - In touch and not held: admitted. The use is told to the owner, which holds all instances to
 *    their shares before the account's room is spent. But no more at once than one and a half times
 *    the part of the room that goes with the own share, six at the least, before the owner knows:
 *    an instance that stood still takes all that came meanwhile in one turn.
 *  - Held: one for each token of a bucket that fills at the own share, and is empty when the
 *    holding begins.
 *  - Out of touch: the same, with the part of the room that goes with the share in the bucket at
 *    first, one request at the most: the next owner begins with the rest. The share was lent
 * before, and is half of an even part of the limit at the least, or an even part if none was told;
 * the owner takes what it lent for spent.
 *  - A refused caller comes back when the share has one more token, and up to as much later again,
 *    drawn at random, so that callers refused together do not return together.
 * Reason: a mean account has less than one request in flight for each instance, so no tokens can be
 * handed out ahead of need; the whole room is taken where the callers happen to be.
 * Load: a surge to some times the usual rate, at any instances, and cuts between these.
 *
 * Pure: a plain value, zero at first; time is passed in.
 */
#pragma once

#include "base/bucket.h"

typedef struct {
    bool has_share; /* the owner told a share */
    bool limited;   /* all instances are held to their shares */
    double share_per_s;
    bool bucket_active; /* the bucket is in force */
    bucket_t tokens;
} account_limiter_t;

typedef struct {
    bool owner_reachable;     /* the owner answers, or has nothing to answer */
    double equal_share_per_s; /* requests a second of an instance that was told nothing */
    double burst_share;       /* requests: the part of the room that goes with the own share */
    uint64_t unacknowledged;  /* requests admitted that the owner has not answered yet */
    uint64_t now_ms;
} account_limiter_input_t;

/* The owner tells the own share, and whether it is in force. */
void account_limiter_set_share(account_limiter_t *limiter, bool limited, double share_per_s,
                               uint64_t now_ms);
bool account_limiter_admit(account_limiter_t *limiter, const account_limiter_input_t *input);
/* The admitted request was never sent: its token is there again. */
void account_limiter_refund(account_limiter_t *limiter);
/* Milliseconds until a refused caller may come back; `point` is random in [0, 1). */
uint32_t account_limiter_retry_after_ms(const account_limiter_t *limiter, double point);
