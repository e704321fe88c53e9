/*
 * Everything one entry instance holds, and the few questions that all of its files ask.
 *
 * node.c wires the parts together; store.c, gossip.c with its parts, control.c, probe.c and path/
 * work on this state and call each other in one direction only. Relies on the aggregates in the
 * folders below.
 */
#pragma once

#include <uv.h>

#include "entry/backend/backend.h"
#include "base/clock.h"
#include "base/counter.h"
#include "base/history.h"
#include "base/rng.h"
#include "entry/settings.h"
#include "entry/fleet/instance.h"
#include "entry/fleet/loads.h"
#include "entry/fleet/member.h"
#include "entry/fleet/objects.h"
#include "entry/http/call.h"
#include "entry/http/server.h"
#include "entry/lookup/steer.h"
#include "peer/link.h"
#include "entry/object_store/client.h"
#include "entry/region/limiter.h"
#include "entry/region/plan.h"
#include "entry/request/budget.h"
#include "entry/request/key.h"
#include "entry/request/latency.h"

typedef struct exchange exchange_t;
typedef struct store_follower store_follower_t;

typedef struct {
    counter_t *lookups;
    counter_t *lookups_refused;
    counter_t *requests;
    counter_t *refused;
    counter_t *unknown;
    counter_t *spilled;
    counter_t *retries;
    counter_t *hedges;
    counter_t *backend_requests;
    counter_t *bad_requests;
    counter_t *cut_answers;
    counter_t *probes;
    counter_t *epoch;
    counter_t *usable;
    counter_t *in_flight;
    counter_t *authority;
} node_counters_t;

/* Chosen, not measured. */
enum {
    CLASS_STATS_MAX = 128,   /* request classes that are measured */
    REGION_ENTRIES_MAX = 64, /* instances of a region that look-up answers name */
};

/* Entry instances to name in look-up answers, kept for a moment. */
typedef struct {
    uint64_t at_ms;
    addr_t addrs[REGION_ENTRIES_MAX];
    size_t count;
} region_entries_t;

/* What is measured of one request class. */
typedef struct {
    name_t service;
    name_t name;
    histogram_t *latency;
    latency_quantile_t slow; /* estimate used to decide when to hedge */
} class_stats_t;

typedef struct {
    uv_loop_t *loop;
    const iris_clock_t *clock;
    settings_t settings;
    rng_t rng;
    uint64_t incarnation;

    http_client_t *client;
    http_target_t **entry_targets;
    size_t entry_target_count;
    platform_t *platform;
    peer_hub_t *hub;
    http_server_t *server;
    http_server_t *admin;

    objects_t *objects;
    store_follower_t *follower;
    instances_t *instances;
    members_t members;
    region_loads_t loads;

    credit_t *credit;
    planner_t *planner;
    limiter_t gate;
    bool plan_in_flight;

    backends_t backends;
    steer_t *steer;
    region_entries_t region_entries[TOPOLOGY_REGIONS_MAX];
    key_registry_t *keys;
    attempt_budget_t extra;
    uint64_t turn; /* of round robin */

    exchange_t *waiting; /* admitted or not, without a backend server yet; most urgent first */
    size_t waiting_count;
    exchange_t *exchanges; /* all */
    uint64_t gave_up_ms;   /* when a waiting request was last given up */
    bool running_queue;
    bool credits_short;   /* a request found the region full; borrow */
    uint64_t borrowed_ms; /* when a peer was last asked for credits */
    uint64_t minted_ms;   /* when a key was last handed out, 0: never */
    size_t exchange_count;
    uv_timer_t tick;
    uv_timer_t queue_tick;
    uv_timer_cb on_queue_tick; /* set by node.c */
    uint64_t started_ms;
    uint64_t next_round_ms;

    history_t history;
    history_t spans;
    node_counters_t counters;
    class_stats_t class_stats[CLASS_STATS_MAX];
    size_t class_stats_count;

    bool store_synced; /* every object the store listed at start is here */
    bool peer_synced;  /* a peer's list held nothing newer */
    bool woke;         /* slept, and has not compared its objects with others since */
    uint64_t woke_ms;
    uint64_t ticked_ms;
    bool leaving;
    uint64_t leaving_since_ms;
    uint64_t surrendered_ms;
} node_t;

/* The instance's clocks, in milliseconds: steady, and wall time. */
uint64_t node_now(const node_t *node);
uint64_t node_wall(const node_t *node);
/* Looks at the queue every few ms until nothing waits and no credits are short. */
void node_watch_queue(node_t *node);
/* True if the loop stood still, e.g. since the process was stopped: what it holds may be old. */
bool node_has_slept(const node_t *node);
/* Connection pool of a backend server, made on first use. */
http_target_t *node_backend_target(node_t *node, backend_t *backend);
/* The same for another entry. */
http_target_t *node_entry_target(node_t *node, const addr_t *addr);
