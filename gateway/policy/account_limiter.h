/*
 * Account limiter: whether an instance admits a request of a client account, given the account's
 * limit over all instances.
 *
 *  - The owner of the account (account_share.h) is reachable and does not limit the account: the
 *    request is admitted and reported to the owner. The number of requests that the owner has not
 *    acknowledged yet is bounded by one and a half times the burst share, at least six, so that an
 *    instance which was paused does not admit a whole backlog at once.
 *  - The account is limited: requests are admitted from a token bucket that fills at this
 *    instance's share and starts empty.
 *  - The owner is not reachable: the same bucket, starting with what the share has added since the
 *    last admitted request. The rate is the last share, at least half of an equal share, or an
 *    equal share if none was received. The owner counts granted shares as used.
 *  - Retry-After of a refused request is the time until the next token plus a random delay of up to
 *    the same length, so that refused callers do not retry at the same time. An instance that holds
 *    no share gets one with its next report: the time until the next token of an equal share. A
 *    request beyond the bound on unacknowledged ones is admitted once the owner answers.
 *
 * An account at average load has less than one request in flight per instance, so tokens can't be
 * distributed in advance; the limit is enforced only once it is needed.
 *
 * Stateless apart from account_limiter_t, which starts zeroed; the time is passed in.
 */
#pragma once

#include "base/bucket.h"

/* Whether a request was admitted, else why not. */
typedef enum {
    LIMIT_ADMITTED,
    LIMIT_SHARE_USED,     /* the account is limited and the instance's share is used up */
    LIMIT_NO_OWNER,       /* the owner is not reachable and the last share is used up */
    LIMIT_UNACKNOWLEDGED, /* too many requests that the owner has not acknowledged */
} limit_verdict_t;

typedef struct {
    bool has_share; /* a share was received from the owner */
    bool limited;   /* the account is limited on all instances */
    double share_per_s;
    bool bucket_active; /* requests take tokens from the bucket */
    bucket_t tokens;
    limit_verdict_t verdict;  /* on the last request */
    double equal_share_per_s; /* as of the last request */
} account_limiter_t;

typedef struct {
    bool owner_reachable;     /* the owner responds, or has nothing pending */
    double equal_share_per_s; /* share of an instance that has received none */
    double burst_share;       /* requests; this instance's part of the account's burst */
    uint64_t unacknowledged;  /* admitted requests that the owner has not acknowledged */
    uint64_t unused_ms;       /* time since the last request that was admitted; 0: never */
    uint64_t now_ms;
} account_limiter_input_t;

/* Sets the share received from the owner, and whether the account is limited. */
void account_limiter_set_share(account_limiter_t *limiter, bool limited, double share_per_s,
                               uint64_t now_ms);
bool account_limiter_admit(account_limiter_t *limiter, const account_limiter_input_t *input);
/* Returns the token of an admitted request that was not sent. */
void account_limiter_refund(account_limiter_t *limiter);
/* Milliseconds until a refused caller may retry; `point` is random in [0, 1). */
uint32_t account_limiter_retry_after_ms(const account_limiter_t *limiter, double point);
/* Name for logs; "-" if admitted. */
const char *limit_verdict_name(limit_verdict_t verdict);
