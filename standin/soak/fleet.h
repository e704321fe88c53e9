/*
 * The instances of a soak: which of their processes run, what was done to them, and when.
 *
 * Starts nothing: it writes orders to standard output, a line each, and reads what became of them
 * from standard input. scripts/soak.sh carries them out.
 *
 *   orders:  start N | signal N NAME | settings N VARIANT | cut N STATE (cut_link.c)
 *   reports: started N PID | ended N STATUS
 */
#pragma once

#include <sys/types.h>
#include <uv.h>

#include "standin/soak/judge.h"
#include "standin/soak/schedule.h"

/* One process of an instance, from its start to its end. Never freed: requests refer to it. */
typedef struct life life_t;

struct life {
    life_t *earlier; /* the process started before it, of any instance */
    uint32_t instance;
    pid_t pid;
    uint64_t started_ms;
    uint64_t asked_ms; /* to stop; 0 if not yet */
    bool killed;       /* or will be, in a moment */
    bool ended;
    bool paused_in_stop;
    uint64_t paused_ms;    /* when its last pause was last known to last; 0 if none */
    uint64_t seen_version; /* of the configuration, proven by answers to have been in force */
    uint64_t seen_ms;
};

typedef struct fleet fleet_t;

typedef struct {
    judge_t *judge;
    uint32_t instances;
    uint64_t grace_ms; /* from the request to stop until the process may be killed */
    double slack;      /* times the bounds, for slow builds */
} fleet_conf_t;

fleet_t *fleet_new(const fleet_conf_t *conf);
/* Orders the start of all instances. */
void fleet_start(fleet_t *fleet);
/* Carries out a trouble that strikes an instance. */
void fleet_trouble(fleet_t *fleet, const trouble_t *trouble, uint64_t now_ms);
/* Takes over a line of the reports. */
void fleet_report(fleet_t *fleet, const char *line, uint64_t now_ms);
/* Orders what has become due. */
void fleet_tick(fleet_t *fleet, uint64_t now_ms);
/* The machine held up the soak itself: no instance counts as undisturbed. */
void fleet_stalled(fleet_t *fleet, uint64_t now_ms);
/* True if that happened at that time or later. */
bool fleet_stalled_since(const fleet_t *fleet, uint64_t since_ms);
/* A planned stop of all, without new starts; true from fleet_is_over() once none runs. */
void fleet_finish(fleet_t *fleet, uint64_t now_ms);
bool fleet_is_over(const fleet_t *fleet);

/* Processes that were started so far. */
uint64_t fleet_lives(const fleet_t *fleet);
/* The process that runs, NULL if none does. */
life_t *fleet_life(const fleet_t *fleet, uint32_t instance);
/* Running, long enough since its start, with no trouble for some seconds. */
bool fleet_in_touch(const fleet_t *fleet, uint32_t instance, uint64_t now_ms);
/* True if the instance has been paused from that time on. */
bool fleet_stands_still_since(const fleet_t *fleet, uint32_t instance, uint64_t since_ms);
/* Milliseconds for which the instance has been cut from all backend servers; 0 if it is not. */
uint64_t fleet_cut_ms(const fleet_t *fleet, uint32_t instance, uint64_t now_ms);
/* True if requests of the instance may reach backend servers by way of another one. */
bool fleet_uses_peers(const fleet_t *fleet, uint32_t instance, uint64_t now_ms);
/* True if an instance that is in touch is not cut. */
bool fleet_reaches_servers(const fleet_t *fleet, uint64_t now_ms);
/* True if the process is on its way out or gone, as the kernel sees it now. */
bool fleet_is_gone(const life_t *life);
