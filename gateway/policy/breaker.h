/*
 * Circuit breaker of one backend server.
 *
 * From the second consecutive failure on, the backend is suspended for 300 ms, doubled with each
 * further failure up to 4.8 s. After the suspension one request at a time is let through as a
 * probe; a valid response closes the breaker.
 *
 * A backend that resets connections or does not respond costs each request an attempt; outlier
 * detection (health.h) needs more outcomes before it reacts.
 *
 * breaker_t is part of the backend; the time is passed in.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

typedef struct {
    unsigned failures;           /* consecutive failures */
    uint64_t suspended_until_ms; /* 0: not suspended since the last valid response */
    bool probing;                /* the probe after a suspension is in progress */
} breaker_t;

/* Records an attempt without a response, or with a malformed one. */
void breaker_record_failure(breaker_t *breaker, uint64_t now_ms);
/* Records a valid response. */
void breaker_record_answer(breaker_t *breaker);
/* Called before a request is sent; it is the probe if a suspension has ended. */
void breaker_attempt_started(breaker_t *breaker);
/* Called when the last request in progress has ended, with any result. A probe that was refused by
 * the backend or abandoned by its caller has no result: the next request may probe again. */
void breaker_attempts_ended(breaker_t *breaker);
bool breaker_is_suspended(const breaker_t *breaker, uint64_t now_ms);
/* True if a request may be sent: the backend is neither suspended nor being probed. */
bool breaker_allows(const breaker_t *breaker, uint64_t now_ms);
