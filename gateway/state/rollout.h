/*
 * One roll-out on this instance: which versions a request may go to, and the counts of its
 * responses and of what peers report.
 *
 * rollouts.h has the orders and decides. Depends on policy/rollout.h; time is passed in.
 */
#pragma once

#include "gateway/policy/choice.h"
#include "gateway/policy/rollout.h"
#include "gateway/ports.h"

enum {
    ROLLOUT_SUPERSEDED_MAX = 3,   /* unfinished targets of earlier orders that are remembered */
    ROLLOUT_WINDOW_MS = 2000,     /* counts are kept for one to two windows */
    ROLLOUT_REPORT_MAX_MS = 3000, /* age up to which a peer's counts are used */
};

/* Why a version was rolled back. */
typedef enum {
    ROLLOUT_REASON_NONE,
    ROLLOUT_REASON_FAILING,    /* a clear share of its responses failed */
    ROLLOUT_REASON_SLOW,       /* a clear share of its responses was late */
    ROLLOUT_REASON_SUSPECT,    /* suspect on one part of its backend servers after the other */
    ROLLOUT_REASON_NO_BACKEND, /* no backend server of that version until the deadline */
    ROLLOUT_REASON_INVALID,    /* the order could not be read */
    ROLLOUT_REASON_RECORDED,   /* the store says so */
} rollout_reason_t;

/* What a peer reports of an order. */
typedef struct {
    uint64_t source;   /* incarnation of the peer */
    size_t mesh;       /* of the peer, see membership/members.h */
    bool is_sum;       /* of all members of its mesh */
    bool moved;        /* none of its requests is or will be at another version */
    uint64_t heard_ms; /* loop time */
    rollout_counts_t counts;
} rollout_report_t;

typedef struct {
    name_t name;       /* of the object in the store */
    uint64_t id;       /* hash of what was ordered */
    uint64_t revision; /* of the object */
    rollout_order_t order;
    uint64_t started_ms;   /* loop time of the order */
    uint64_t ramp_from_ms; /* loop time at which the ramp began; 0 if it has not */
    rollout_state_t state; /* ROLLOUT_RUNNING, or a verdict */
    uint64_t decided_ms;   /* loop time at which the state was reached here */
    rollout_reason_t reason;
    uint64_t bad_route;  /* key of the route that decided, 0 for all routes */
    unsigned suspicions; /* times that it became suspect, at any instance */
    uint64_t suspect_until_ms;
    bool suspect;        /* may be bad: its share is that of the canary */
    bool judged;         /* the target was good on enough responses */
    bool committed;      /* no request falls back to another version any more */
    bool moved;          /* none of this instance's requests is or will be at another version */
    double share;        /* of the service's requests, for the target */
    uint64_t server_cut; /* backend servers whose hash is not above this get the requests */
    uint32_t target_servers;
    uint64_t superseded[ROLLOUT_SUPERSEDED_MAX]; /* versions; 0: none */
    bool lacks_others;          /* no backend server of a version not named above is listed */
    rollout_counts_t window[2]; /* own counts: current window, the one before */
    uint64_t window_ms;         /* start of the current one */
    uint64_t counted_from_ms;   /* start of the one before */
    rollout_counts_t merged;    /* of all instances, as of the last tick */
    rollout_report_t *reports;
    size_t report_count;
    bool is_counting; /* holds reports */
} rollout_t;

/* Which versions a request may go to, in order of preference; the second is used if no backend
 * server of the first takes the request. */
typedef struct {
    choice_versions_t first;
    choice_versions_t second;
    bool has_second;
} rollout_versions_t;

/* `point`: random in [0, 1). `tried_target`: an attempt at the target version failed. */
rollout_versions_t rollout_versions(const rollout_t *rollout, double point, bool tried_target);
/* True if the backend server counts for the room of its service. */
bool rollout_counts_room(const rollout_t *rollout, const backend_t *backend);

/* The end of an attempt at a backend server of the service. */
typedef struct {
    const backend_t *backend;
    uint64_t route;    /* key */
    bool has_object;   /* backend servers keep its object in memory */
    bool failed;       /* a failure or no usable response */
    bool comparable;   /* neither queued nor at a cold backend server */
    double latency_ms; /* until the head of the response, or so far */
    bool cancelled;    /* without a response: counts only if slow */
} rollout_attempt_t;

void rollout_record(rollout_t *rollout, const rollout_attempt_t *attempt);
/* Counts of this instance within the last windows. */
void rollout_own_counts(const rollout_t *rollout, rollout_counts_t *out);
/* Replaces the report from the same source, or adds it. */
void rollout_add_report(rollout_t *rollout, const rollout_report_t *report);
/* A peer knows the order for `elapsed_ms` and its ramp for `ramp_ms`, 0 if it has not begun. */
void rollout_adopt_times(rollout_t *rollout, uint64_t elapsed_ms, uint64_t ramp_ms,
                         uint64_t now_ms);
/* Starts over with the canary, on other backend servers of the target, without what was counted of
 * it; `suspicions`: the new number of them. */
void rollout_suspect(rollout_t *rollout, unsigned suspicions, uint64_t now_ms);
/* A peer knows of so many suspicions. */
void rollout_adopt_suspicions(rollout_t *rollout, unsigned suspicions, uint64_t now_ms);
/* Ends the order on this instance. */
void rollout_decide(rollout_t *rollout, rollout_state_t state, rollout_reason_t reason,
                    uint64_t now_ms);
/* True if the backend server runs the target version. */
bool rollout_is_target(const rollout_t *rollout, const backend_t *backend);
/* Frees what is only needed while the order runs. */
void rollout_free_counts(rollout_t *rollout);
const char *rollout_state_name(rollout_state_t state);
const char *rollout_reason_name(rollout_reason_t reason);
