/*
 * The callers of a soak: some connections to each instance, with one request at a time on each.
 *
 * They keep a connection until its process is gone or asks them to close it, rest on it for up to
 * four fifths of the limit on idle connections that they know of, and go on using it during a
 * planned stop. Some open a new connection for each request. They learn of a close, and of a new
 * limit, with a delay as over a long link, so their requests cross the closes of the instance.
 *
 * They see the answers, and judge: no whole request is lost, an answer belongs to its request and
 * is whole, what is refused has not run, and which configuration is in force.
 */
#pragma once

#include <uv.h>

#include "standin/soak/fleet.h"
#include "standin/soak/operator.h"
#include "standin/soak/requests.h"

typedef struct callers callers_t;

typedef struct {
    uv_loop_t *loop;
    requests_t *requests;
    const fleet_t *fleet;
    const operator_t *ops;
    accounts_t *accounts;
    judge_t *judge;
    const char *net; /* instance N listens on this network's address N; ends with a dot */
    uint16_t port;
    uint32_t instances;
    uint32_t each; /* callers of an instance */
    uint64_t seed;
    uint64_t config_bound_ms; /* from the acknowledgement until a configuration is in force */
    uint64_t grace_ms;        /* from the request to stop until a process may be killed */
    double slack;             /* times the bounds, for slow builds */
} callers_conf_t;

callers_t *callers_new(const callers_conf_t *conf);
/* Opens connections to processes that have come up; to be called often. */
void callers_tick(callers_t *callers, uint64_t now_ms);
/* Compares how often callers of cut instances were served; once, at the end. */
void callers_judge_cuts(const callers_t *callers);
/* Prints how the requests ended, by status. */
void callers_print(const callers_t *callers, FILE *out);
