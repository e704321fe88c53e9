/*
 * Token bucket: a rate with a bounded burst.
 *
 * A plain value; relies on nothing, time is passed in.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

typedef struct {
    double rate;  /* tokens a second */
    double burst; /* most tokens kept */
    double tokens;
    uint64_t refilled_ms;
} bucket_t;

/* Starts full. */
void bucket_init(bucket_t *bucket, double rate, double burst, uint64_t now_ms);
/* Changes the rate without granting tokens. */
void bucket_set_rate(bucket_t *bucket, double rate, double burst, uint64_t now_ms);
bool bucket_take(bucket_t *bucket, double tokens, uint64_t now_ms);
/* Takes even what is not there, so the balance may go below zero. */
void bucket_charge(bucket_t *bucket, double tokens, uint64_t now_ms);
/* The balance now. */
double bucket_tokens(bucket_t *bucket, uint64_t now_ms);
