/*
 * Naming: how many instances of a data hall its callers are named.
 *
 * Decides: which of the instances that could be named are, strongest first.
 * Inputs: for each instance the link and the processor it was given, and the traffic it carries.
 * Rule: the fewest, but at least two, that carry the hall's traffic in equal parts with at most 0.4
 * of the link and of the processor of the weakest among them. Before any traffic was seen, as many
 * as hold half of what the hall's links can carry in equal parts. All, if an instance does not say
 * what it was given.
 * Reason: an instance learns a backend server's load, failures and connections from its own
 * answers. Spread over many instances, each knows next to nothing of each backend: with 65 of them
 * backends rejected a third of what they were sent.
 * Measured: docs/design/gateway/decisions-under-load.md, round 3.
 *
 * Pure: no state, no clock. All instances of a hall decide nearly alike from their heartbeats.
 */
#pragma once

#include "base/addr.h"

typedef struct {
    addr_t callers;          /* where its callers reach it */
    uint64_t key;            /* hash of its name: orders instances of equal strength */
    double link_bytes_per_s; /* of its link, one direction; 0 if not known */
    double cpu_cores;        /* 0 if not known */
    double requests_per_s;   /* that it carries now */
    double bytes_per_s;      /* that they move over its link, one direction */
} subset_instance_t;

/* Sorts the instances, strongest first, and returns how many of them are named. */
size_t subset_select(subset_instance_t *instances, size_t count);
