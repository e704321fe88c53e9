/*
 * Circuit breaker of one backend server.
 *
 * Decides: whether a backend that gave no usable answer is left alone for a while, and when one
 * request probes it.
 * Inputs: the outcomes of this instance's own attempts, and the time in milliseconds.
 * Rule: from the second failure in a row on, the backend is suspended for 300 ms, twice as long
 * after each further failure, at most 4.8 s. After that one request at a time is let through; a
 * usable answer closes the breaker.
 * Reason: a backend that resets or stays silent costs each request an attempt; outlier detection
 * (health.h) needs more outcomes before it reacts.
 * Owns: breaker_t, a part of its backend. Relies on nothing; time is passed in.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

typedef struct {
    unsigned failures;           /* in a row */
    uint64_t suspended_until_ms; /* 0: not suspended since the last usable answer */
    bool probing;                /* the one request after a suspension is under way */
} breaker_t;

/* No answer came, or none of the protocol. */
void breaker_record_failure(breaker_t *breaker, uint64_t now_ms);
/* A usable answer came. */
void breaker_record_answer(breaker_t *breaker);
/* A request is about to be sent; it is the probe if a suspension has ended. */
void breaker_attempt_started(breaker_t *breaker);
/* The last request under way has ended, with whatever result. A probe that the backend refused, or
 * whose caller has left, has no result: the next request may probe again. */
void breaker_attempts_ended(breaker_t *breaker);
bool breaker_is_suspended(const breaker_t *breaker, uint64_t now_ms);
/* True if a request may be sent: neither suspended nor waiting for its probe. */
bool breaker_allows(const breaker_t *breaker, uint64_t now_ms);
