/*
 * The backend servers of a soak: they work on requests in slots, refuse what is too much, tell
 * that they leave, leave without a word, die, and are replaced, at their old address or a new one.
 *
 * They see what was run, and judge: what was refused must not run, what may not be repeated runs
 * once, a leaving one gets nothing new after the bound, and bodies arrive as they were sent.
 */
#pragma once

#include <uv.h>

#include "standin/soak/poison.h"
#include "standin/soak/says.h"
#include "standin/soak/fleet.h"
#include "standin/soak/extra_sends.h"
#include "standin/soak/operator.h"
#include "standin/soak/orders.h"
#include "standin/soak/requests.h"

typedef struct servers servers_t;

typedef struct {
    uv_loop_t *loop;
    standin_store_t *store;
    requests_t *requests;
    const fleet_t *fleet;
    poison_t *poison;
    accounts_t *accounts;
    const operator_t *ops;
    judge_t *judge;
    extra_sends_t *extra_sends;
    const char *host; /* address to listen on */
    uint32_t count;
    uint32_t instances;
    bool interference;         /* they are slowed at times, and report the pace of their work */
    double slack;              /* times the bounds in time, for slow builds */
    uint64_t leaving_bound_ms; /* from the entry until nothing new arrives any more */
} servers_conf_t;

/* Backend servers of one service that a roll-out starts: as many as there are at first. */
enum { SERVERS_ROLLOUTS_MAX = 16 };

servers_t *servers_new(const servers_conf_t *conf);
/* Carries out a trouble that strikes a backend server. */
void servers_trouble(servers_t *servers, const trouble_t *trouble, uint64_t now_ms);
/* The store has come back from an older copy: each writes its entry again with its next heartbeat.
 */
void servers_write_again(servers_t *servers, uint64_t now_ms);
void servers_tick(servers_t *servers, uint64_t now_ms);
/* From now on the runs of ORDERS_SERVICE are told to the roll-outs. */
void servers_set_orders(servers_t *servers, orders_t *orders);
/* Callbacks of orders_conf_t; `ctx` is the servers. */
void servers_start_version(void *ctx, unsigned version);
void servers_end_others(void *ctx, unsigned version, uint64_t now_ms);
void servers_drain_version(void *ctx, unsigned version, uint64_t now_ms);
/* A line that sums up what the limits offered and what was used of it. */
void servers_print(const servers_t *servers, FILE *out);
/* Requests that were run. */
uint64_t servers_runs(const servers_t *servers);
