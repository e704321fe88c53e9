/*
 * Reach monitor: finds out whether this instance reaches the backend servers, and probes them when
 * in doubt.
 *
 * Owns the state of policy/reachability.h and the probes under way. Relies on wire/tcp_probe.h; the
 * ends of attempts are reported to it.
 */
#pragma once

#include "base/rng.h"
#include "gateway/membership/members.h"
#include "gateway/path/attempt.h"
#include "gateway/policy/reachability.h"
#include "gateway/state/backends.h"

/* Called when the backend servers are lost or reached again. */
typedef void (*reach_cb_t)(void *ctx, bool lost);

/* Called once a doubt about the link is settled. */
typedef struct reach_wait {
    void (*cb)(void *ctx);
    void *ctx;
    struct reach_wait *next;
} reach_wait_t;

typedef struct {
    uv_loop_t *loop;
    const members_t *members;
    const backends_t *backends;
    rng_t *rng;
    reach_cb_t on_change;
    void *ctx;
} reach_monitor_conf_t;

typedef struct {
    reach_monitor_conf_t conf;
    reachability_t state;
    unsigned probes; /* under way */
    reach_wait_t *waits;
} reach_monitor_t;

void reach_monitor_init(reach_monitor_t *monitor, const reach_monitor_conf_t *conf);
/* Counts a request sent to a backend server. */
void reach_monitor_add_send(reach_monitor_t *monitor);
/* A backend server responded. */
void reach_monitor_add_response(reach_monitor_t *monitor);
/* Records what the end of an attempt says about the link. */
void reach_monitor_add_attempt(reach_monitor_t *monitor, const backend_t *backend,
                               const attempt_t *attempt);
/* The backend server refused a connection. */
void reach_monitor_add_refusal(reach_monitor_t *monitor, const backend_t *backend);
/* Calls back once it is known whether failures are due to the link of this instance; returns false
 * if that is known now. */
bool reach_monitor_await(reach_monitor_t *monitor, reach_wait_t *wait);
/* True if this instance is cut from backend servers that peers reach. Without a peer that hears
 * them they may have ended. */
bool reach_monitor_is_cut(const reach_monitor_t *monitor);
/* Probes a backend server if that is due; called on every tick. */
void reach_monitor_tick(reach_monitor_t *monitor);
