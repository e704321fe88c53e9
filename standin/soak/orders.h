/*
 * The roll-outs of a soak: an operator orders software versions for one service, one after the
 * other, some of them bad; backend servers of the version start beside the others. As on the users'
 * platform the others end at once when the store shows "completed", and the new ones are drained
 * some seconds after "rolled_back".
 *
 * Judges what backend servers and the store saw: how many requests a bad version gets, that it gets
 * none some time after its bad responses, and that the recorded state is right.
 */
#pragma once

#include "standin/soak/fleet.h"
#include "standin/soak/operator.h"
#include "standin/soak/requests.h"
#include "standin/store.h"

/* The service that is ordered onto other versions. */
#define ORDERS_SERVICE "left"

typedef enum { ORDER_GOOD, ORDER_FAILING, ORDER_SLOW, ORDER_KINDS } order_kind_t;

typedef struct orders orders_t;

typedef struct {
    standin_store_t *store;
    const fleet_t *fleet;
    const operator_t *ops;
    judge_t *judge;
    uint64_t seed;
    double slack; /* times the bounds in time */
    /* Starts backend servers of a version, ends those of the others, or drains those of one. */
    void (*start)(void *ctx, unsigned version);
    void (*end_others)(void *ctx, unsigned version, uint64_t now_ms);
    void (*drain)(void *ctx, unsigned version, uint64_t now_ms);
    void *ctx;
} orders_conf_t;

orders_t *orders_new(const orders_conf_t *conf);
void orders_tick(orders_t *orders, uint64_t now_ms);
/* A request of the service runs at a backend server of the version. True if it is to be answered
 * with a failure; `work_ms` is made longer for a slow version. */
bool orders_run(orders_t *orders, const soak_request_t *request, unsigned version,
                uint64_t *work_ms, uint64_t now_ms);
/* A line that sums up what became of the orders. */
void orders_print(const orders_t *orders, FILE *out);
