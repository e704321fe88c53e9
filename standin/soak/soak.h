/*
 * A soak: instances on loopback under troubles drawn from a seed, with the users' platform, its
 * callers and its backend servers in this process, and a verdict at the end.
 *
 * scripts/soak.sh starts the instances and carries out the orders, see fleet.h.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

typedef struct {
    uint64_t seed;
    uint64_t length_ms; /* of the troubles; the planned stop of all comes after it */
    uint32_t instances;
    const char *net;   /* the loopback network to use, as "127.1.2." */
    double slack;      /* times the bounds in time, for slow builds */
    bool rollouts;     /* roll-outs besides */
    bool interference; /* backend servers are slowed at times, and say so */
    bool earlier;      /* no troubles that earlier versions can't bear */
    bool says;         /* no other troubles than what backend servers say of themselves */
    uint32_t poison; /* no other troubles, and so many requests that end backend servers at once */
} soak_conf_t;

/* Two processes an instance, a shell's and its own: with more the machine decides the verdict. */
enum { SOAK_INSTANCES_MAX = 120 };

/* Runs to the end; the exit status of the program. */
int soak_run(const soak_conf_t *conf);
