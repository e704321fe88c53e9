/*
 * Load probes: whether a request has a backend server asked for its load before it is sent, which
 * one, and how long the request waits for the answer.
 *
 * Load that this answers: backend servers that share their machines with others and run at less
 * than half of their speed for some hundred milliseconds at a time. An instance sends a given
 * backend server a request every dozen seconds, so that what answers report is outdated whenever it
 * would be of use.
 *
 * In the manner of Prequel's synchronous mode (Wydrowski et al., "Load is not what you should
 * balance: Introducing Prequel", NSDI 2024). Differences: only candidates of the request's own
 * ranking are asked, because the others do not keep its object in memory, and the second one only
 * if the first turns out to be slowed or full.
 *
 *  - Asked are backend servers of the instance's own region. From another region the answer would
 *    arrive after the time that a request may wait, and be too old for the next request.
 *  - Not asked: those that get no requests now, those with a rate limit and cold ones (a probe
 *    counts against what they can take), avoided ones (they are chosen last), and for a while those
 *    that did not answer.
 *  - A report serves requests for as long as backend_slowdown() uses it, and at most
 *    LOAD_PROBE_USES_MAX of them: the requests sent on the strength of it change the load.
 *  - Probes are paced by requests: each adds LOAD_PROBES_PER_REQUEST, up to LOAD_PROBES_SAVED_MAX.
 *    Outstanding ones are limited; the last of these places are for the instance's own data hall.
 *  - A probe without an answer says nothing about health.
 *
 * Stateless except for the budget and the records, which belong to callers; times in milliseconds
 * are passed in.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Probes per request on average. */
#define LOAD_PROBES_PER_REQUEST 1.0

enum {
    LOAD_PROBE_CANDIDATES_MAX = 2, /* of a request's ranking */
    LOAD_PROBES_SAVED_MAX = 16,
    LOAD_PROBES_OUTSTANDING_MAX = 32,
    /* Of these, reserved for backend servers in the instance's own data hall. */
    LOAD_PROBES_OWN_HALL = 8,
    LOAD_PROBE_USES_MAX = 3,
    /* Longest wait of a request: two round trips between data halls of a region, the first to open
     * a connection, with some room for a busy instance. */
    LOAD_PROBE_WAIT_MAX_MS = 25,
    /* After this time a probe has failed. Several round trips between regions. */
    LOAD_PROBE_TIMEOUT_MS = 400,
    /* Pause after a probe without a usable answer: requests must not wait in vain again and again.
     */
    LOAD_PROBE_PAUSE_MS = 1000,
    /* Pause after an answer without the pace of work: the health path may hold a slot there. */
    LOAD_PROBE_NO_PACE_PAUSE_MS = 60000,
};

/* Probes of one backend server; part of its state. */
typedef struct {
    uint64_t sent_ms;        /* of the outstanding probe; 0: none is outstanding */
    uint64_t pause_until_ms; /* no probe before */
    unsigned uses;           /* choices since its last report */
} load_probe_record_t;

/* A backend server that the request may go to. */
typedef struct {
    load_probe_record_t record;
    double slowdown;      /* as reported lately; 0: not known */
    double load_per_slot; /* requests there per slot */
    bool gets_requests;   /* usable, not skipped, and without a rate limit */
    bool cold;
    bool avoided;
    bool in_own_region;
    bool in_own_hall;
} load_probe_candidate_t;

/* Probes that may still be sent. */
typedef struct {
    double saved;
    unsigned outstanding;
} load_probe_budget_t;

typedef enum {
    LOAD_PROBE_NONE, /* choose with what is known */
    LOAD_PROBE_JOIN, /* wait for the outstanding probe of the candidate */
    LOAD_PROBE_SEND, /* send a probe to the candidate, and wait for it */
} load_probe_step_t;

typedef struct {
    load_probe_step_t step;
    size_t candidate; /* index; of no meaning for LOAD_PROBE_NONE */
} load_probe_decision_t;

/* The budget of an instance that has just started: full, so that it learns quickly. */
load_probe_budget_t load_probe_budget_new(void);
/* A new request came for a service whose backend servers report their pace. */
void load_probe_budget_add_request(load_probe_budget_t *budget);
/* Counts a probe as sent. */
void load_probe_budget_take(load_probe_budget_t *budget);

/* True if the last report of the candidate still serves a request. */
bool load_probe_is_known(const load_probe_candidate_t *candidate);
/* Decides the next step for a request. `candidates` in the order of its ranking. */
load_probe_decision_t load_probe_decide(const load_probe_candidate_t *candidates, size_t count,
                                        const load_probe_budget_t *budget, uint64_t now_ms);
/* Time that a request may wait for probes in all: no more than its caller has left beyond the usual
 * run. */
uint32_t load_probe_wait_ms(uint32_t left_ms, double run_ms);
/* Time for which a backend server is not asked again after a probe. `answered`: it answered under
 * its own id; `has_pace`: with the pace of its work. */
uint32_t load_probe_pause_ms(bool answered, bool has_pace);
