/*
 * Access log: counts every finished request and logs those that need attention.
 *
 * Owns the metrics irisstall_requests_total and irisstall_late_total. Successful, late and held
 * requests are sampled to limit the log volume on a busy instance.
 */
#pragma once

#include "base/str.h"
#include "gateway/path/lateness.h"
#include "gateway/policy/choice.h"
#include "gateway/policy/final_response.h"
#include "gateway/policy/retry.h"

/* A finished request. Names are NULL where unknown. */
typedef struct {
    str_t id;
    uint64_t fingerprint; /* of the request */
    outcome_t outcome;
    int status; /* as sent to the caller, 0 if it disconnected */
    const char *service;
    const char *account; /* client account */
    const char *key;     /* result of the key check */
    const char *backend; /* backend of the last attempt */
    const char *config_version;
    size_t attempts;
    uint32_t sends;            /* attempts that may have sent bytes */
    choice_reason_t choice;    /* reason of the last choice */
    skip_reason_t skip_reason; /* why a preferred backend was skipped in the last choice */
    retry_verdict_t retry;     /* result of the last retry decision */
    late_cause_t late;         /* why the response was late, LATE_NONE if it was not */
    uint64_t elapsed_ms;       /* since the first byte of the request */
    uint64_t left_ms;          /* until the deadline */
    uint32_t retry_after_ms;   /* Retry-After of the gateway's own response; 0: none */
    const char *limit;         /* why the account's limit refused the request */
    double limit_share_per_s;  /* share of the account's limit that this instance holds */
    uint64_t unacknowledged;   /* requests of the account that its owner has not acknowledged */
} access_record_t;

void access_log(const access_record_t *access);
