#include "base/bucket.h"

#define MS_PER_S 1000.0

static void
refill(bucket_t *bucket, uint64_t now_ms)
{
    if (now_ms <= bucket->refilled_ms)
        return;
    bucket->tokens += (double)(now_ms - bucket->refilled_ms) * bucket->rate / MS_PER_S;
    if (bucket->tokens > bucket->burst)
        bucket->tokens = bucket->burst;
    bucket->refilled_ms = now_ms;
}

void
bucket_init(bucket_t *bucket, double rate, double burst, uint64_t now_ms)
{
    *bucket = (bucket_t){.rate = rate, .burst = burst, .tokens = burst, .refilled_ms = now_ms};
}

void
bucket_set_rate(bucket_t *bucket, double rate, double burst, uint64_t now_ms)
{
    refill(bucket, now_ms);
    bucket->rate = rate;
    bucket->burst = burst;
    if (bucket->tokens > burst)
        bucket->tokens = burst;
}

bool
bucket_take(bucket_t *bucket, double tokens, uint64_t now_ms)
{
    refill(bucket, now_ms);
    if (bucket->tokens < tokens)
        return false;
    bucket->tokens -= tokens;
    return true;
}

void
bucket_charge(bucket_t *bucket, double tokens, uint64_t now_ms)
{
    refill(bucket, now_ms);
    bucket->tokens -= tokens;
}

double
bucket_tokens(bucket_t *bucket, uint64_t now_ms)
{
    refill(bucket, now_ms);
    return bucket->tokens;
}
