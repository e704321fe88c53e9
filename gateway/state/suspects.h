/*
 * Suspects: the requests during which backend servers have terminated, with the evidence for and
 * against each.
 *
 * The evidence is the set of backend server incarnations that ended during a request, and the time
 * its last run completed. Instances exchange it. Merging is a set union without the ends before the
 * last completed run, so neither order nor repetition nor origin of the messages matters.
 * policy/quarantine.h decides on the evidence.
 *
 * Evidence is kept per request and per family: all requests with the same path and body, from any
 * caller, since a caller may change its address. The ends of a family count only if no single
 * member was involved in all of them and no member has completed a run since. Thus a caller whose
 * request merely resembles another's is not quarantined with it, and clears the family with its
 * first run.
 *
 * An end counts immediately and is retracted if the backend server turns out to be alive
 * (path/end_check.h). Only confirmed ends are sent to other instances.
 *
 * Whether an end was part of a loss of several backend servers is found from all ends known here,
 * and told to the other instances.
 *
 * Owns the table: up to SUSPECTS_MAX entries of about 530 bytes, allocated on demand. A full table
 * evicts the entry with the fewest ends, the oldest of these first. Entries expire ten minutes
 * after the last end or the end of the quarantine term, whichever is later. No dependencies; times
 * are passed in.
 */
#pragma once

#include "gateway/policy/quarantine.h"
#include "gateway/state/recent_ends.h"
#include "gateway/state/suspect.h"

enum {
    /* Requests and families kept: sized for twenty harmful requests, plus the bystanders of 50
     * ends. */
    SUSPECTS_MAX = 512,
};

/* Called when suspects marked `unsent` are to be sent to other instances. */
typedef void (*suspects_cb_t)(void *ctx);

typedef struct {
    suspect_t **items; /* sorted by fingerprint */
    size_t count;
    size_t size;
    recent_ends_t recent_ends;
    suspects_cb_t on_update;
    void *ctx;
} suspects_t;

/* Returns NULL if the request or family is unknown. */
suspect_t *suspects_find(const suspects_t *suspects, uint64_t fingerprint);
quarantine_t suspect_decide(const suspects_t *suspects, const suspect_t *suspect, uint64_t now_ms);

/* Returns the greater of the counted ends of the request and of its family. */
unsigned suspects_ends(const suspects_t *suspects, const fingerprint_t *fingerprint);
/* True if there is evidence against the request or its family. */
bool suspects_has_evidence(const suspects_t *suspects, const fingerprint_t *fingerprint);
/* Returns the stricter decision of the request and its family. */
quarantine_t suspects_decide(const suspects_t *suspects, const fingerprint_t *fingerprint,
                             uint64_t now_ms);

/* Like suspects_decide(), for a backend server of that software version. */
quarantine_t suspects_decide_version(const suspects_t *suspects, const fingerprint_t *fingerprint,
                                     uint64_t version, uint64_t now_ms);

/* A run whose connection broke. */
typedef struct {
    uint64_t incarnation; /* of the backend server */
    uint64_t version;     /* its software version; 0 if unknown */
    bool is_trial;
} suspects_run_t;

/* Records that the connection of a run broke: its backend server may have terminated. */
void suspects_add_end(suspects_t *suspects, const fingerprint_t *fingerprint, str_t text,
                      const suspects_run_t *run, uint64_t now_ms);
/* Confirms the ends of that incarnation. Returns the number of requests affected. */
size_t suspects_confirm(suspects_t *suspects, uint64_t incarnation, uint64_t now_ms);
/* Retracts the unconfirmed ends of that incarnation: the backend server is alive. */
void suspects_retract(suspects_t *suspects, uint64_t incarnation);
/* Records a completed run of the request on that software version. */
void suspects_add_finished_run(suspects_t *suspects, const fingerprint_t *fingerprint,
                               uint64_t version, uint64_t now_ms);
/* Clears a request or family on behalf of an operator. False if there is no evidence against it. */
bool suspects_lift(suspects_t *suspects, uint64_t fingerprint, uint64_t now_ms);
/* Starts a trial of the request. */
void suspects_begin_trial(suspects_t *suspects, const fingerprint_t *fingerprint, uint64_t now_ms);
/* Counts a refusal of the request by this instance. */
void suspects_count_refused(suspects_t *suspects, const fingerprint_t *fingerprint);
/* Merges another instance's evidence, with times in this instance's loop time. */
void suspects_merge(suspects_t *suspects, const suspect_t *theirs, uint64_t now_ms);
/* Removes expired entries. Called regularly. */
void suspects_tick(suspects_t *suspects, uint64_t now_ms);
/* Number of requests and families currently refused. */
size_t suspects_held(const suspects_t *suspects, uint64_t now_ms);
void suspects_free(suspects_t *suspects);
