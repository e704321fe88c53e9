/*
 * Backend servers of a region as one entry instance sees them, and the choice among them.
 *
 * Signals are late and may mislead, so what this instance knows itself counts first: its own
 * requests in flight and the outcome of its own attempts. What a server last said of its load is
 * used with a weight that decays. A server stops getting work as soon as any source says that it
 * is leaving: a mark in the table, the list, or its own word. A server says so only when it
 * answers, so one that was not heard for a while is asked before it gets new work. Pure.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/rng.h"
#include "entry/fleet/instance.h"

/* Chosen with the choice as a whole (docs/design/entry/choice.md); none was measured alone. */
enum {
    BACKEND_LOAD_DECAY_MS = 400, /* half-life-like scale of a reported load */
    BACKEND_EJECT_FAILURES = 3,  /* failures in a row that take a server out */
    BACKEND_EJECT_MIN_MS = 1000,
    BACKEND_EJECT_MAX_MS = 15000,
    BACKEND_LATENCY_DECAY_MS = 3000, /* an old latency estimate fades towards the median */
    BACKEND_LEAVING_TTL_MS = 30000,  /* how long a server's own word that it leaves is kept */
    /* A server's word is used for new work so long: below the 5 s within which a leaving server
     * stops getting any. */
    BACKEND_STATUS_TTL_MS = 4000,
};

typedef struct {
    name_t name;
    name_t service;
    name_t place;
    addr_t addr;
    uint32_t slots;
    bool listed;
    bool leaving_listed;
    bool leaving_marked;          /* by the table */
    uint64_t leaving_reported_ms; /* steady; 0: never */
    uint64_t status_ms;           /* when what it last answered was sent to it; 0: never */
    bool probe_requested;         /* chosen, but not heard for too long: to be asked */
    bool probe_pending;           /* a probe is under way */
    uint32_t outstanding;         /* our own */
    uint32_t others_load;         /* load it reported beyond ours */
    uint64_t others_load_at_ms;
    double latency_ms; /* smoothed, per request; 0: unknown */
    uint64_t latency_at_ms;
    uint32_t failures; /* in a row */
    uint64_t ejected_until_ms;
    uint64_t eject_ms; /* length of the last ejection */
    void *user;        /* the adapter's connection pool */
} backend_t;

typedef struct {
    backend_t **items; /* stable addresses: attempts keep pointers */
    size_t count;
} backends_t;

typedef enum { POLICY_IRIS, POLICY_ROUND_ROBIN, POLICY_LEAST, POLICY_TWO_CHOICES } policy_t;

bool policy_parse(str_t text, policy_t *out);

backend_t *backends_find(const backends_t *backends, str_t name);
void backends_update(backends_t *backends, const instances_t *list, str_t region);

bool backend_is_leaving(const backend_t *backend, uint64_t now_ms);
bool backend_is_ejected(const backend_t *backend, uint64_t now_ms);
/* Requests thought to be at the server, ours and others'. */
double backend_load(const backend_t *backend, uint64_t now_ms);

void backend_started(backend_t *backend);
void backend_ended(backend_t *backend);
/* True if its word is too old for new work. */
bool backend_status_is_stale(const backend_t *backend, uint64_t now_ms);
/* It said whether it is leaving, or nothing although it was asked. What it says is as new as the
 * question: this process may have stood still before it read the answer. */
void backend_status_received(backend_t *backend, bool leaving, uint64_t asked_ms, uint64_t now_ms);
/* An answer came; `load` is what the server says it holds, ours included. */
void backend_answered(backend_t *backend, double latency_ms, uint32_t load, uint64_t now_ms);
void backend_shed(backend_t *backend, uint32_t load, uint64_t now_ms);
void backend_failed(backend_t *backend, uint64_t now_ms);

typedef struct {
    str_t service;
    str_t place;             /* empty: any */
    const backend_t *except; /* tried before; may be NULL */
    policy_t policy;
} choice_t;

/* Expected time to an answer from the choice's best server, ms; HUGE_VAL if there is none. */
double backend_best_ms(const backends_t *backends, const choice_t *choice, uint64_t now_ms);
/* The server for one request, or NULL if none may take it now. Notes the one it would rather have
 * as wanted, if that has to be asked first. `turn` is for round robin. */
backend_t *backend_choose(const backends_t *backends, const choice_t *choice, uint64_t now_ms,
                          rng_t *rng, uint64_t *turn);
