/*
 * One suspect: a request or a family of requests under which backend servers have ended, with the
 * evidence for and against it. Inside of suspects.h, which keeps them.
 *
 * The evidence joins like sets do: whatever the order and however often, the same ends remain, and
 * none up to the last clearing. Relies on nothing; time is passed in.
 */
#pragma once

#include "base/str.h"

enum {
    SUSPECT_ENDS_MAX = 8, /* kept for each; the last term begins with fewer */
    SUSPECT_TEXT_MAX = 128,
};

/* Why nothing is held against a request any more. */
typedef enum {
    CLEARED_NOT,
    CLEARED_FINISHED, /* a run of it finished */
    CLEARED_LIFTED,   /* by an operator */
} cleared_t;

/* What is the same for each try of a request, from path/fingerprint.h. */
typedef struct {
    uint64_t request; /* its caller, method, host, target and body */
    uint64_t family;  /* its path and body */
} fingerprint_t;

typedef struct {
    uint64_t life;    /* of the backend server, from backend_incarnation_key() */
    uint64_t version; /* of its software; 0: not known, it counts as any */
    uint64_t under;   /* in a family: the member that was there; else 0 */
    uint64_t at_ms;   /* loop time */
    bool sure;        /* it has ended; else that is being looked at */
} suspect_end_t;

typedef struct {
    uint64_t fingerprint; /* of a request or a family */
    bool is_family;
    char text[SUSPECT_TEXT_MAX]; /* caller, method, host and path, for operators; may be empty */
    suspect_end_t ends[SUSPECT_ENDS_MAX];
    size_t end_count;
    cleared_t cleared;   /* the last time */
    uint64_t cleared_ms; /* loop time; ends up to it do not count */
    uint64_t
        good_version; /* software version that finished a run, while others have ended; 0: none */
    uint64_t good_ms; /* loop time of that run; ends of the version up to it do not count */
    uint64_t trial_until_ms; /* loop time; 0: no trial */
    uint64_t refused;        /* tries, by this instance */
    unsigned logged_ends;    /* the log says that it is held after so many */
    bool untold;             /* there is news of it for other instances */
    bool told;               /* others have heard of it */
    bool told_to_all;        /* not only those that keep it for a region */
} suspect_t;

/* Keeps the first text that is told, as far as there is room; bytes that are not printable are
 * replaced. */
void suspect_set_text(suspect_t *suspect, str_t text);
/* Adds an end that is not known and not cleared; the oldest goes if there are too many. */
void suspect_add_end(suspect_t *suspect, const suspect_end_t *end);
/* Makes the ends with that life sure; true if one was not. */
bool suspect_confirm(suspect_t *suspect, uint64_t life);
/* Forgets the ends with that life that are not sure. */
void suspect_take_back(suspect_t *suspect, uint64_t life);
/* What ended up to that time does not count from now on. */
void suspect_clear(suspect_t *suspect, cleared_t why, uint64_t at_ms);
/* A run of it has finished on that software version: its ends do not count from now on, and those
 * of other versions still do. True if nothing is left. */
bool suspect_finish(suspect_t *suspect, uint64_t version, uint64_t at_ms);
/* Adds another instance's evidence. */
void suspect_join(suspect_t *suspect, const suspect_t *theirs);

/* Lives that ended under it and count, sure or not; none for a family one member of which was there
 * at all of them. */
unsigned suspect_ends(const suspect_t *suspect);
/* Lives that ended under it, whether they count or not. */
unsigned suspect_lives(const suspect_t *suspect);
/* Those that count and are sure. */
unsigned suspect_sure_ends(const suspect_t *suspect);
/* True if a backend server of that software version has ended under it, or may have. */
bool suspect_ended_version(const suspect_t *suspect, uint64_t version);
/* Time of the last end, or of the clearing if there is none since. */
uint64_t suspect_last_ms(const suspect_t *suspect);
/* True if the end of that life under the suspect is rather the other one's. */
bool suspect_is_explained_by(const suspect_t *suspect, const suspect_t *other, uint64_t life);
/* True if an entry before the one at this index has the same life. */
bool suspect_repeats(const suspect_t *suspect, size_t index);
