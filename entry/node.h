/*
 * One entry instance: everything it holds, wired together on one loop.
 *
 * The parts decide; the files of this folder connect them to sockets and timers:
 *   node.c      start, planned stop, objects put in force
 *   store.c     following the platform's store
 *   gossip.c    messages between entry instances
 *   control.c   the once-a-second round: heartbeats, credit plans, probes
 *   serve.c     requests of callers; lookup answers
 *   exchange.c  one forwarded request, from its start to its last byte
 *   route.c     where it goes: place, server, neighbour, other region, queue
 *   headers.c   what is passed on of heads
 *   attempt.c   one try of it at a backend server or another entry
 *   claims.c    keys of requests that may not be repeated
 *   admin.c     metrics and status
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
#include "entry/region/gate.h"
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

enum { CLASS_STATS_MAX = 128, REGION_ENTRIES_MAX = 64 };

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
    gate_t gate;
    bool plan_in_flight;

    backends_t backends;
    steer_t *steer;
    region_entries_t region_entries[TOPOLOGY_REGIONS_MAX];
    key_book_t *keys;
    extra_budget_t extra;
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

bool node_start(node_t *node, uv_loop_t *loop, const settings_t *settings, err_t *err);
/* Planned stop: look-ups stop naming the instance, what is in flight ends, the loop stops. */
void node_leave(node_t *node);
/* True once objects are known and no older state can be served. */
bool node_ready(const node_t *node);

/* Looks at the queue every few ms until nothing waits and no credits are short. */
void node_watch_queue(node_t *node);

uint64_t node_now(const node_t *node);
uint64_t node_wall(const node_t *node);

/* store.c */
store_follower_t *store_follow(node_t *node);
void store_tick(store_follower_t *follower);
/* Asks the store for the region's allocation, to confirm or replace the epoch held. */
void store_check_allocation(node_t *node);
/* Reads the full list again at once, after this process stood still. */
void store_resync(store_follower_t *follower);
bool store_failing(const store_follower_t *follower);

/* gossip.c */
void gossip_message(void *ctx, peer_conn_t *conn, const Iris__Envelope *message);
void gossip_round(node_t *node);
/* Passes a newly adopted object on to this instance's children in the hall's relay tree. */
void gossip_relay(node_t *node, const object_t *object, bool from_store);
void gossip_borrow(node_t *node);
void gossip_sync_seeds(node_t *node);

/* control.c */
void control_tick(node_t *node);

/* probe.c */
void probe_round(node_t *node);

/* serve.c */
void serve_request(void *ctx, h2o_req_t *req);
/* admin.c */
void admin_request(void *ctx, h2o_req_t *req);

/* Connection pool of a backend server, made on first use. */
http_target_t *node_backend_target(node_t *node, backend_t *backend);
/* The same for another entry. */
http_target_t *node_entry_target(node_t *node, const addr_t *addr);
