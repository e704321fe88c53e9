#include "gateway/policy/account_limiter.h"

#include <math.h>

/* Burst of the bucket in seconds of the share, one request at the least. The bursts of all
 * instances may exceed the account's limit together. */
#define BURST_S 0.5
/* Requests admitted before the owner has acknowledged them: a minimum that lets small bursts pass,
 * and a multiple of the burst share that bounds the excess after a pause of the process: three
 * instances that resume together admit no more than half of the level too much. */
#define UNACKED_MIN 6.0
#define UNACKED_BURSTS 1.5
/* Minimum share without the owner, as a part of an equal share: the last share may be close to zero
 * if the owner had just taken over, and an account far below its limit would be refused. */
#define EQUAL_SHARE_MIN 0.5
#define MS_PER_S 1000.0

enum {
    /* Bounds on Retry-After: a shorter delay leads to another refusal, since a report and its
     * answer take as long; a longer one makes the caller try another instance. */
    RETRY_MIN_MS = 100,
    RETRY_MAX_MS = 10000,
};

static double
burst_size(double share_per_s)
{
    return fmax(1, share_per_s * BURST_S);
}

static void
activate_bucket(account_limiter_t *limiter, double share_per_s, double tokens, uint64_t now_ms)
{
    bucket_init(&limiter->tokens, share_per_s, burst_size(share_per_s), now_ms);
    limiter->tokens.tokens = tokens;
    limiter->bucket_active = true;
}

void
account_limiter_set_share(account_limiter_t *limiter, bool limited, double share_per_s,
                          uint64_t now_ms)
{
    if (limited && !limiter->bucket_active)
        activate_bucket(limiter, share_per_s, 0, now_ms);
    if (!limited)
        limiter->bucket_active = false;
    limiter->has_share = true;
    limiter->limited = limited;
    limiter->share_per_s = share_per_s;
}

static double
effective_share(const account_limiter_t *limiter, const account_limiter_input_t *input)
{
    if (limiter->limited)
        return limiter->share_per_s;
    return limiter->has_share
               ? fmax(limiter->share_per_s, EQUAL_SHARE_MIN * input->equal_share_per_s)
               : input->equal_share_per_s;
}

static limit_verdict_t
decide(account_limiter_t *limiter, const account_limiter_input_t *input)
{
    if (!limiter->limited && input->owner_reachable) {
        limiter->bucket_active = false;
        const double unacknowledged_max = fmax(UNACKED_MIN, UNACKED_BURSTS * input->burst_share);
        return (double)input->unacknowledged < unacknowledged_max ? LIMIT_ADMITTED
                                                                  : LIMIT_UNACKNOWLEDGED;
    }
    const double share_per_s = effective_share(limiter, input);
    if (!limiter->bucket_active) {
        const double unused = share_per_s * (double)input->unused_ms / MS_PER_S;
        activate_bucket(limiter, share_per_s, fmin(unused, burst_size(share_per_s)), input->now_ms);
    }
    bucket_set_rate(&limiter->tokens, share_per_s, burst_size(share_per_s), input->now_ms);
    if (bucket_take(&limiter->tokens, 1, input->now_ms))
        return LIMIT_ADMITTED;
    return limiter->limited ? LIMIT_SHARE_USED : LIMIT_NO_OWNER;
}

bool
account_limiter_admit(account_limiter_t *limiter, const account_limiter_input_t *input)
{
    limiter->equal_share_per_s = input->equal_share_per_s;
    limiter->verdict = decide(limiter, input);
    return limiter->verdict == LIMIT_ADMITTED;
}

void
account_limiter_refund(account_limiter_t *limiter)
{
    if (limiter->bucket_active)
        limiter->tokens.tokens = fmin(limiter->tokens.tokens + 1, limiter->tokens.burst);
}

/* Milliseconds until a request can be admitted. */
static double
wait_ms_of(const account_limiter_t *limiter)
{
    if (limiter->verdict == LIMIT_UNACKNOWLEDGED)
        return RETRY_MIN_MS;
    const double rate_per_s =
        limiter->tokens.rate > 0 ? limiter->tokens.rate : limiter->equal_share_per_s;
    return rate_per_s > 0 ? (1 - limiter->tokens.tokens) / rate_per_s * MS_PER_S : INFINITY;
}

uint32_t
account_limiter_retry_after_ms(const account_limiter_t *limiter, double point)
{
    const double wait_ms = wait_ms_of(limiter);
    const double spread_ms = fmax(wait_ms, RETRY_MIN_MS) * (1 + point);
    return spread_ms < RETRY_MAX_MS ? (uint32_t)spread_ms : RETRY_MAX_MS;
}

const char *
limit_verdict_name(limit_verdict_t verdict)
{
    static const char *const names[] = {
        [LIMIT_ADMITTED] = "-",
        [LIMIT_SHARE_USED] = "share_used",
        [LIMIT_NO_OWNER] = "no_owner",
        [LIMIT_UNACKNOWLEDGED] = "unacknowledged",
    };
    return names[verdict];
}
