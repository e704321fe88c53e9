/*
 * Instance subset: how many instances of a data hall the directory returns to callers.
 *
 * The subset is the smallest one, of at least two instances, whose members carry the hall's traffic
 * in equal parts with at most 0.4 of the link and CPU of the weakest member. Before any traffic is
 * known it holds half of the total link capacity of the hall. If the capacity of an instance is not
 * known, all are returned.
 *
 * An instance learns the load, failures and connections of a backend server from its own requests.
 * Spread over many instances, each knows too little of every backend.
 *
 * See docs/design/gateway/decisions-under-load.md. Stateless; all instances of a hall compute
 * nearly the same subset from their heartbeats.
 */
#pragma once

#include "base/addr.h"

typedef struct {
    addr_t callers;          /* address for callers */
    uint64_t key;            /* hash of the name; breaks ties */
    double link_bytes_per_s; /* link capacity in one direction; 0: not known */
    double cpu_cores;        /* 0: not known */
    double requests_per_s;   /* current request rate */
    double bytes_per_s;      /* current link use in one direction */
} subset_instance_t;

/* Sorts the instances by capacity and returns the size of the subset. */
size_t subset_select(subset_instance_t *instances, size_t count);
