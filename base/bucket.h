/*
 * Token bucket with a rate and a maximum burst. The caller passes the time.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

typedef struct {
    double rate;  /* tokens per second */
    double burst; /* maximum number of tokens */
    double tokens;
    uint64_t refilled_ms;
} bucket_t;

/* The bucket starts full. */
void bucket_init(bucket_t *bucket, double rate, double burst, uint64_t now_ms);
/* Changes rate and burst without adding tokens. */
void bucket_set_rate(bucket_t *bucket, double rate, double burst, uint64_t now_ms);
bool bucket_take(bucket_t *bucket, double tokens, uint64_t now_ms);
/* Takes tokens unconditionally; the balance may become negative. */
void bucket_charge(bucket_t *bucket, double tokens, uint64_t now_ms);
/* Returns the current balance. */
double bucket_tokens(bucket_t *bucket, uint64_t now_ms);
