/*
 * State of an instance, and the interface between the gateway's files. Internal to the gateway.
 *
 * gateway.c initialises the modules and handles incoming requests; gateway_events.c applies
 * updates from the store and from peers; gateway_tick.c runs the periodic work, the planned stop
 * and the recovery after a suspension.
 */
#pragma once

#include "gateway/deferred.h"
#include "gateway/gateway.h"
#include "gateway/listeners.h"
#include "gateway/membership/account_sync.h"
#include "gateway/membership/discovery.h"
#include "gateway/membership/notice_gossip.h"
#include "gateway/membership/permit_exchange.h"
#include "gateway/path/exchange.h"
#include "gateway/resume.h"
#include "gateway/state/rollout_record.h"

struct gateway {
    uv_loop_t *loop;
    gateway_settings_t settings; /* ports configured as 0 hold the port assigned by the system */
    const gateway_ports_t *ports;
    router_t router;
    exchanges_t exchanges;
    reach_monitor_t reach;
    transit_t transit;
    members_t members;
    views_t views;
    store_watch_t store_watch;
    view_push_t view_push;
    view_relay_t view_relay;
    heartbeat_t heartbeat;
    discovery_t discovery;
    suspects_t suspects;
    suspect_gossip_t suspect_news;
    notice_gossip_t notice_news;
    permit_exchange_t permit_exchange;
    rollout_record_t rollout_record;
    account_uses_t account_uses;
    account_sync_t account_news;
    peer_hub_t *hub;
    listeners_t listeners;
    resume_t resume;
    deferred_t config_update; /* decodes a new configuration */
    uv_timer_t tick;
    uv_check_t late_tick;       /* runs a tick that is late after the sockets have been polled */
    uint64_t ticked_ms;         /* loop time of the last tick, 0 if none */
    uint64_t loop_delay_max_ms; /* longest delay of a tick since the start */
    size_t idle_closed_to;      /* index of the backend up to which idle connections were closed */
    bool views_announced;       /* peers know that this instance has all views */
    bool stopping;
    uint64_t stop_ms;
};

/* ---- gateway_events.c ---- */

/* Updates whether a newer configuration is known: held by a live peer, or received but not decoded
 * yet. */
void gateway_compare_config(gateway_t *gateway);
/* Callbacks; `ctx` is the gateway. gateway_apply_config() decodes a received configuration. */
void gateway_apply_config(void *ctx);
void gateway_on_view_change(void *ctx, view_kind_t kind);
void gateway_on_delta(void *ctx, const view_delta_t *delta);
/* A roll-out was decided here: the next tick tells the peers. */
void gateway_on_rollout_verdict(void *ctx);
/* The store has come back from an older copy. */
void gateway_on_store_return(void *ctx);
/* The backend servers are lost or reached again. */
void gateway_on_reach_change(void *ctx, bool lost);
void gateway_on_peer_refused(void *ctx, const addr_t *to);
void gateway_on_peer_message(void *ctx, peer_conn_t *conn, const Iris__Envelope *message);

/* ---- gateway_tick.c ---- */

/* Interval of the periodic work in milliseconds: half of the shortest heartbeat interval. */
enum { GATEWAY_TICK_MS = 200 };

void gateway_on_tick(uv_timer_t *timer);
/* Callback after the process was suspended for `still_ms`. */
void gateway_on_resumed(void *ctx, uint64_t still_ms);
