/*
 * Settings of a gateway instance, read from a YAML file and checked.
 *
 * docs/GATEWAY.md lists the keys, which keep their names: `place` is a data hall. Relies on
 * base/yaml.h.
 */
#pragma once

#include "base/addr.h"
#include "base/error.h"
#include "gateway/membership/topology.h"

enum { GATEWAY_SEEDS_MAX = 8 }; /* chosen, not measured */

typedef struct {
    name_t name;    /* of this instance */
    name_t hall;    /* its data hall */
    addr_t callers; /* to listen on, like the next four */
    addr_t readiness;
    addr_t directory;
    addr_t peer;
    addr_t admin;
    bool has_admin;
    addr_t store; /* the platform's */
    addr_t seeds[GATEWAY_SEEDS_MAX];
    size_t seed_count;
    topology_t topology;
    double link_bytes_per_s; /* of the machine's link, one direction; 0 if not known */
    double cpu_cores;        /* that the instance may use; 0 if not known */
    double directory_ttl_s;  /* seconds for which callers may keep the directory's answer */
    uint64_t grace_ms;       /* from the request to stop until the process is killed */
    double retry_ratio;      /* see retry_budget.h */
    double retry_constant;
    uint64_t retry_window_ms;
} gateway_settings_t;

/* True if started instances ask this one first. One that is told of no other counts as well: it has
 * nobody to wait for. */
bool settings_is_seed(const gateway_settings_t *settings);
/* Fails with the key and the value that are wrong. */
bool gateway_settings_load(const char *path, gateway_settings_t *out, err_t *err);
