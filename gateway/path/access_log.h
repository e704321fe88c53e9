/*
 * Access log: one counter and, for every request with trouble, one log line when a request ends.
 *
 * Owns the metrics irisstall_requests_total and irisstall_late_total. Of the requests that went
 * without trouble every 64th is logged, of those that were only late every 16th, so that the log
 * stays small on a busy instance.
 */
#pragma once

#include "base/str.h"
#include "gateway/path/lateness.h"
#include "gateway/policy/choice.h"
#include "gateway/policy/final_answer.h"
#include "gateway/policy/retry.h"

/* A request that has ended. Names may be NULL where there are none. */
typedef struct {
    str_t id;
    uint64_t fingerprint; /* of the request */
    outcome_t outcome;
    int status; /* as sent to the caller, 0 if it has left */
    const char *service;
    const char *account; /* client account */
    const char *key;     /* what was found of its key */
    const char *backend; /* of the last attempt */
    const char *config_version;
    size_t attempts;
    uint32_t sends;         /* attempts of which bytes may have gone out */
    choice_reason_t choice; /* of the last choice */
    passed_t passed;        /* why another backend was passed over in the last choice */
    retry_verdict_t retry;  /* of the last decision to retry */
    late_cause_t late;      /* why it was answered late, LATE_NONE if it was not */
    uint64_t elapsed_ms;    /* since the request's first byte */
    uint64_t left_ms;       /* until it would have been given up */
} access_record_t;

void access_log(const access_record_t *access);
