/*
 * Quarantine: what becomes of a request under which backend servers have ended (a query of
 * death).
 *
 * Decides: whether a request is sent, is sent as a trial, or is refused and until when; whether
 * it is sent again after a backend server has ended under it.
 * Inputs: how many backend servers have ended under it, at any instance, since a run of it last
 * finished, and how many of these ends no other request explains better; the time since the last
 * of them; for how long another instance's trial goes on; the software versions that ended.
 * Rule: one end shared is chance, and the request is sent again at once, to the backend server
 * with the least load. From the second on it is refused for a term that grows with each end: 3 s,
 * 30 s, 2 min, 8 min, a day. After its term one try is let through, alone in the fleet for up to
 * 5 s, or before if it goes to a software version under which none has ended; if a run finishes,
 * nothing is held against the request any more. A request all of whose ends are explained is not
 * refused: each was shared with another under which more have ended, or as many and some of them
 * without it.
 * Reason: each end takes the requests with it that were there, three to five on the users' small
 * sites, and the memory of the backend server: those that come back are cold. The request itself
 * ends whatever runs it, so a single finished run clears it, while another that was only there
 * finishes the next of its runs but for a chance p, the share of runs that meet an end: it is
 * held with a chance of p^2 (1 in 10,000 at p = 0.01) if nothing explains these ends, and for
 * more than 3 s with p^3. While a dozen of 24 end within a run's time, p is 0.5.
 * Load: callers that repeat such a request three times a second, twenty of them at once.
 *
 * Pure: no state, no clock.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Time for which a trial keeps others out: above the longest usual run on the users' sites (2.9 s);
 * a trial that was lost with its instance delays the next by no more. */
enum { QUARANTINE_TRIAL_MS = 5000 };

typedef enum {
    QUARANTINE_FREE,  /* sent like any other */
    QUARANTINE_TRIAL, /* sent to learn whether it still ends what runs it */
    QUARANTINE_HELD,  /* refused */
} quarantine_verdict_t;

typedef struct {
    unsigned ends;             /* since a run last finished */
    unsigned unexplained_ends; /* of these, not explained by another request */
    uint64_t since_end_ms;     /* since the last of them */
    uint64_t trial_left_ms;    /* of a trial under way, 0: none is */
    bool new_version;          /* it would go to a software version under which none has ended */
} quarantine_input_t;

typedef struct {
    quarantine_verdict_t verdict;
    uint64_t held_ms; /* until the next try may be let through; 0 unless held */
} quarantine_t;

quarantine_t quarantine_decide(const quarantine_input_t *input);
/* Where a request goes for which `any` is decided whatever the version, and `of_versions` for each
 * of the software versions that are there: the index of the one that it must go to, or `count` if
 * it is sent to any, or to none. One that has finished a run comes first; one under which none has
 * ended is tried while the request is held otherwise. */
size_t quarantine_pick_version(const quarantine_t *any, const quarantine_t *of_versions,
                               size_t count);
/* Time after the last of that many ends for which the request is refused. */
uint64_t quarantine_term_ms(unsigned ends);
/* True if a request under which so many have ended may be sent again by the same try. */
bool quarantine_may_resend(unsigned ends);
