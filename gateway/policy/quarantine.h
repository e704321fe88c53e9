/*
 * Quarantine: handles a request that makes the backend servers which run it end ("query of death").
 *
 * The verdict depends on the number of backend servers that have ended under the request, at any
 * instance, since a run of it last finished.
 *
 *  - After one end, which may be a coincidence, the request is retried at once at the least loaded
 *    backend.
 *  - From the second end on it is refused for a term of 3 s. Each further end that may be that of a
 *    trial makes it longer: 30 s, 2 min, 8 min, a day. After the term a single trial is let through
 *    in the whole fleet, for up to 5 s. A trial is let through earlier if it goes to a software
 *    version under which no backend has ended. A run that finishes clears the request.
 *  - Ends that follow each other sooner than trials can leave the term as it is, but for the first
 *    under a software version. Their runs were under way before the verdict: a data hall that is
 *    lost ends all of its backend servers at once, and if no other is left, no run can finish.
 *  - So do ends that are part of a loss of several backend servers, which may come again while the
 *    request is sent or tried: the end under a usual run if another backend server ended within
 *    1.5 s of it, that under a trial if three others did. Backend servers that ended under a trial
 *    do not count as others, so that trials of crashing requests do not excuse each other. Ends
 *    before the verdict do: where many requests crash at once, some get a further trial.
 *  - A request is not refused if all its ends are explained by other requests: each end was shared
 *    with a request under which more backends have ended, or as many and some of them without it.
 *
 * Each end also loses the other requests on the backend and its objects in memory. A request that
 * only happened to be there is cleared by its next finished run: with p the share of runs that meet
 * an end, it is refused with probability p^2, and for more than 3 s with p^3.
 *
 * Stateless.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    /* Time for which a trial excludes others; longer than usual runs. A trial lost with its
     * instance delays the next one by no more. */
    QUARANTINE_TRIAL_MS = 5000,
    /* Time between two ends of one loss. Half of the first term, so that the ends before a verdict
     * are no part of a loss during the trial. */
    QUARANTINE_LOSS_SPAN_MS = 1500,
};

typedef enum {
    QUARANTINE_FREE,  /* sent normally */
    QUARANTINE_TRIAL, /* sent as a trial */
    QUARANTINE_HELD,  /* refused */
} quarantine_verdict_t;

/* What the run was during which a backend server ended. Instances that saw different runs keep the
 * greatest value. */
typedef enum {
    QUARANTINE_RUN_UNKNOWN, /* reported by an instance that does not tell */
    QUARANTINE_RUN_USUAL,
    QUARANTINE_RUN_USUAL_LOST, /* part of the loss of several backend servers */
    QUARANTINE_RUN_TRIAL,
    QUARANTINE_RUN_TRIAL_LOST,
} quarantine_run_t;

/* The end of a backend server under a request. */
typedef struct {
    uint64_t at_ms;
    uint64_t version; /* its software version; 0 if unknown, which matches any */
    quarantine_run_t run;
} quarantine_end_t;

typedef struct {
    unsigned ends;             /* ends since a run last finished, from quarantine_count_ends() */
    unsigned unexplained_ends; /* of these, ends not explained by another request */
    uint64_t since_end_ms;     /* time since the last end */
    uint64_t trial_left_ms;    /* remaining time of a trial in progress; 0: none */
    bool new_version;          /* the target version is one under which no backend has ended */
} quarantine_input_t;

typedef struct {
    quarantine_verdict_t verdict;
    uint64_t held_ms; /* until the next trial; 0 unless held */
} quarantine_t;

quarantine_t quarantine_decide(const quarantine_input_t *input);
/* Picks the software version for a request, given the verdict for any version and for each of the
 * present versions. Returns the index of the required version, or `count` if there is no constraint
 * or no suitable version. A version that has finished a run is preferred; one without an end is
 * tried while the request is held otherwise. */
size_t quarantine_pick_version(const quarantine_t *any, const quarantine_t *of_versions,
                               size_t count);
/* Returns the number of ends that the term depends on, of the ends of different backend servers in
 * ascending order. */
unsigned quarantine_count_ends(const quarantine_end_t *ends, size_t count);
/* Returns the run as lost if its backend server was lost with others. `others`: backend servers
 * that ended within QUARANTINE_LOSS_SPAN_MS and ran no trial. */
quarantine_run_t quarantine_judge_loss(quarantine_run_t run, unsigned others);
/* Returns the time for which a request is refused after that number of counted ends. */
uint64_t quarantine_term_ms(unsigned ends);
/* True if a request may be retried after that number of ends. */
bool quarantine_may_resend(unsigned ends);
