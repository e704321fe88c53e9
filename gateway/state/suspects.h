/*
 * Suspects: the requests under which backend servers have ended, with the evidence for and
 * against each.
 *
 * The evidence is the set of lives of backend servers that ended under a request, and when a run
 * of it last finished. Instances put theirs together (membership/suspect_news.h): sets are
 * joined, and ends up to the last finished run do not count, so that it does not matter in which
 * order, how often and by whom news comes. What follows from it is policy/quarantine.h's
 * decision.
 * Evidence is kept for the request itself and for its family, which is all requests with its path
 * and body, whoever sends them: what ends backend servers may come from callers that change their
 * address. The ends of a family count only if no one member was there at all of them, and none of
 * its members has finished a run since; so a caller whose request only looks like another's is
 * not held with it, and clears the family with its first run.
 * An end counts at once, and is taken back if the backend server turns out to live
 * (path/end_check.h); only sure ends are told to others.
 *
 * Owns the table: SUSPECTS_MAX entries of some 530 bytes, 270 kB when full, nothing before the
 * first end. Where it is full, the one with the fewest ends goes, the oldest first. One is
 * forgotten ten minutes after its last end, or after its term and as long. Relies on nothing;
 * time is passed in.
 */
#pragma once

#include "gateway/policy/quarantine.h"
#include "gateway/state/suspect.h"

enum {
    /* Requests and families remembered: twenty that end backend servers, and those that were there
     * with them (5 for each of 50 ends). */
    SUSPECTS_MAX = 512,
};

/* There is news for other instances, in the suspects that are `untold`. */
typedef void (*suspects_cb_t)(void *ctx);

typedef struct {
    suspect_t **items; /* by fingerprint */
    size_t count;
    size_t size;
    suspects_cb_t on_update;
    void *ctx;
} suspects_t;

/* NULL if nothing is known of the request or family. */
suspect_t *suspects_find(const suspects_t *suspects, uint64_t fingerprint);
quarantine_t suspect_decide(const suspects_t *suspects, const suspect_t *suspect, uint64_t now_ms);

/* The most ends that count against the request or its family. */
unsigned suspects_ends(const suspects_t *suspects, const fingerprint_t *fingerprint);
/* True if there is any evidence against the request or its family. */
bool suspects_has_evidence(const suspects_t *suspects, const fingerprint_t *fingerprint);
/* The stricter of what is decided of the request and of its family. */
quarantine_t suspects_decide(const suspects_t *suspects, const fingerprint_t *fingerprint,
                             uint64_t now_ms);

/* The same if it would go to a backend server of that software version. */
quarantine_t suspects_decide_version(const suspects_t *suspects, const fingerprint_t *fingerprint,
                                     uint64_t version, uint64_t now_ms);

/* The connection of a run of the request broke: the backend server of that life and software
 * version may have ended under it. */
void suspects_add_end(suspects_t *suspects, const fingerprint_t *fingerprint, str_t text,
                      uint64_t life, uint64_t version, uint64_t now_ms);
/* The backend server of that life has ended: what it may have ended under counts for sure. Returns
 * the number of requests. */
size_t suspects_confirm(suspects_t *suspects, uint64_t life, uint64_t now_ms);
/* It lives. */
void suspects_retract(suspects_t *suspects, uint64_t life);
/* A run of the request has finished on a backend server of that software version. */
void suspects_add_finished_run(suspects_t *suspects, const fingerprint_t *fingerprint,
                               uint64_t version, uint64_t now_ms);
/* An operator lifts what is held against a request or a family. False if nothing is. */
bool suspects_lift(suspects_t *suspects, uint64_t fingerprint, uint64_t now_ms);
/* A trial of the request goes out now. */
void suspects_begin_trial(suspects_t *suspects, const fingerprint_t *fingerprint, uint64_t now_ms);
/* The request was refused here. */
void suspects_count_refused(suspects_t *suspects, const fingerprint_t *fingerprint);
/* Joins what another instance knows, in this one's loop time. */
void suspects_merge(suspects_t *suspects, const suspect_t *theirs, uint64_t now_ms);
/* Regular work: forgets. */
void suspects_tick(suspects_t *suspects, uint64_t now_ms);
/* Requests and families that are refused now. */
size_t suspects_held(const suspects_t *suspects, uint64_t now_ms);
void suspects_free(suspects_t *suspects);
