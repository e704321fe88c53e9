/*
 * Rest: for how long an instance leaves a backend server alone that turned a request away and asked
 * for it.
 *
 * Decides: whether the instance may send it a request.
 * Inputs: the times that it asked for, when requests were sent there and what became of them, in
 * milliseconds.
 * Rule:
 *  - Nothing is sent until the time is over, counted from the answer; the longer of two wishes
 *    holds, and none for more than a minute.
 *  - Then one request at a time finds out. An answer to one that was sent since ends the rest; one
 *    with another wish begins the next, and one that was lost or turned away without a wish leaves
 *    it to the next request.
 *  - It binds the instance that was asked, and no other: the backend server may want nothing of one
 *    that sends much, and go on with the rest.
 * Reason: what is turned away costs its caller time and the service a repeat, and the backend
 * server the work that it wants to be rid of. All callers at once at the end would bring it back to
 * where it was.
 *
 * Pure: a plain value, zero at first; time is passed in.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

typedef struct {
    uint64_t until_ms; /* 0: never asked for, or over and proven so */
    bool probing;      /* the one request after it is under way */
} backoff_t;

/* The backend server asks for so long a rest. */
void backoff_request(backoff_t *backoff, uint64_t delay_ms, uint64_t now_ms);
/* True if a request may be sent. */
bool backoff_allows(const backoff_t *backoff, uint64_t now_ms);
/* True if the time asked for is not over. */
bool backoff_is_active(const backoff_t *backoff, uint64_t now_ms);
/* A request is about to be sent. */
void backoff_attempt_started(backoff_t *backoff);
/* A request has ended that was sent at that time; `answered`: with an answer of a run. */
void backoff_attempt_ended(backoff_t *backoff, uint64_t sent_ms, bool answered);
