/* The settings file of a gateway instance, in YAML. docs/GATEWAY.md lists the keys. */
#pragma once

#include "base/addr.h"
#include "base/error.h"
#include "gateway/membership/topology.h"

enum { SETTINGS_SEEDS = 8 };

typedef struct {
    name_t name;
    name_t hall;
    addr_t callers;
    addr_t readiness;
    addr_t directory;
    addr_t peer;
    addr_t admin;
    bool has_admin;
    addr_t store;
    addr_t seeds[SETTINGS_SEEDS];
    size_t seed_count;
    topology_t topology;
    double directory_ttl_s;
    uint64_t grace_ms; /* from the request to stop until the process is killed */
    double retry_ratio;
    double retry_constant;
    uint64_t retry_window_ms;
} gateway_settings_t;

/* Fails with the key and the value that are wrong. */
bool gateway_settings_load(const char *path, gateway_settings_t *out, err_t *err);
