/*
 * The poison requests of a soak: each comes from one caller, again and again for some seconds, at
 * any instance, with the same path and body, whose framing changes, and ends every backend server
 * that runs it. Every other one comes from a caller that changes its address.
 *
 * Judges that the instances find out: after it has ended three, and the news has had its time, it
 * reaches backend servers in three tries at the most, of instances in touch.
 */
#pragma once

#include <uv.h>

#include "base/rng.h"
#include "standin/soak/fleet.h"
#include "standin/soak/requests.h"

typedef struct poison poison_t;

typedef struct {
    uv_loop_t *loop;
    requests_t *requests;
    const fleet_t *fleet;
    judge_t *judge;
    const char *net; /* instance N listens on this network's address N; ends with a dot */
    uint16_t port;
    uint32_t instances;
    uint64_t seed;
    double slack; /* times the bounds, for slow builds */
} poison_conf_t;

poison_t *poison_new(const poison_conf_t *conf);
/* One more such request begins to come. */
void poison_trouble(poison_t *poison, const trouble_t *trouble, uint64_t now_ms);
/* Sends the tries that are due. */
void poison_tick(poison_t *poison, uint64_t now_ms);
/* A try has reached a backend server. */
void poison_arrived(poison_t *poison, const soak_request_t *request);
/* It has ended a backend server. */
void poison_ended(poison_t *poison, const soak_request_t *request);
void poison_print(const poison_t *poison, FILE *out);
