/*
 * Suspect: a request, or a family of requests, during which backend servers have terminated, with
 * the evidence for and against it. Internal to suspects.h, which owns the suspects.
 *
 * Merging evidence is commutative and idempotent: any order and number of merges yields the same
 * ends, without those before the last clearing. Times are passed in.
 */
#pragma once

#include "base/str.h"
#include "gateway/policy/quarantine.h"

enum {
    SUSPECT_ENDS_MAX = 8, /* kept per suspect; the longest quarantine term needs fewer */
    SUSPECT_TEXT_MAX = 128,
};

/* Why a request is no longer quarantined. */
typedef enum {
    CLEARED_NOT,
    CLEARED_FINISHED, /* a run of it completed */
    CLEARED_LIFTED,   /* by an operator */
} cleared_t;

/* Identifies a request across retries; computed by path/fingerprint.h. */
typedef struct {
    uint64_t request; /* hash of caller, method, host, target and body */
    uint64_t family;  /* hash of path and body */
} fingerprint_t;

typedef struct {
    uint64_t incarnation; /* identifies the process of the backend server, from
                             backend_incarnation_key() */
    uint64_t version;     /* software version; 0 if unknown, which matches any */
    uint64_t member;      /* in a family: fingerprint of the request involved; else 0 */
    uint64_t at_ms;       /* loop time */
    quarantine_run_t run; /* the run that was under way */
    bool confirmed;       /* the termination is verified; otherwise the check is pending */
} suspect_end_t;

typedef struct {
    uint64_t fingerprint; /* of a request or a family */
    bool is_family;
    char text[SUSPECT_TEXT_MAX]; /* caller, method, host and path for operators; may be empty */
    suspect_end_t ends[SUSPECT_ENDS_MAX];
    size_t end_count;
    cleared_t cleared;       /* reason of the last clearing */
    uint64_t cleared_ms;     /* loop time of the last clearing; earlier ends do not count */
    uint64_t good_version;   /* version that completed a run while others terminated; 0 if none */
    uint64_t good_ms;        /* loop time of that run; earlier ends of the version do not count */
    uint64_t trial_until_ms; /* loop time; 0 if no trial is running */
    uint64_t refused;        /* tries refused by this instance */
    unsigned logged_ends;    /* number of ends in the last verdict logged */
    bool unsent;             /* has changes that other instances have not received */
    bool sent;               /* other instances know of it */
    bool sent_to_all;        /* not only the instances responsible within a region */
} suspect_t;

/* Sets the text if none is set. Truncates it, and replaces non-printable bytes. */
void suspect_set_text(suspect_t *suspect, str_t text);
/* Adds an end unless it is known or cleared. Replaces the oldest one if the suspect is full. */
void suspect_add_end(suspect_t *suspect, const suspect_end_t *end);
/* Marks the ends of that incarnation as confirmed; true if any was not. */
bool suspect_confirm(suspect_t *suspect, uint64_t incarnation);
/* Removes the unconfirmed ends of that incarnation. */
void suspect_retract(suspect_t *suspect, uint64_t incarnation);
/* Discards all ends up to `at_ms`. */
void suspect_clear(suspect_t *suspect, cleared_t why, uint64_t at_ms);
/* Records a completed run on a software version: its earlier ends are discarded, those of other
 * versions remain. True if the suspect is fully cleared. */
bool suspect_add_finished_run(suspect_t *suspect, uint64_t version, uint64_t at_ms);
/* Merges another instance's evidence. */
void suspect_merge(suspect_t *suspect, const suspect_t *theirs);

/* Counts the distinct incarnations that ended, confirmed or not. 0 for a family if a single member
 * was involved in all of them. */
unsigned suspect_ends(const suspect_t *suspect);
/* Counts the distinct incarnations that ended, without the exception for families. */
unsigned suspect_incarnations(const suspect_t *suspect);
/* Like suspect_ends(), without ends that leave the quarantine's term as it is. */
unsigned suspect_counted_ends(const suspect_t *suspect);
/* Like suspect_counted_ends(), but counts confirmed ends only. */
unsigned suspect_confirmed_ends(const suspect_t *suspect);
/* True if a backend server of that software version, or of an unknown one, has or may have
 * terminated. */
bool suspect_ended_version(const suspect_t *suspect, uint64_t version);
/* Time of the last end, or of the last clearing if there are none. */
uint64_t suspect_last_ms(const suspect_t *suspect);
/* True if the other suspect explains the end of that incarnation better. */
bool suspect_is_explained_by(const suspect_t *suspect, const suspect_t *other,
                             uint64_t incarnation);
/* True if an earlier entry than the one at `index` has the same incarnation. */
bool suspect_is_repeated_incarnation(const suspect_t *suspect, size_t index);
