/*
 * Settings of a gateway instance, read and validated from a YAML file.
 *
 * docs/GATEWAY.md documents the keys; `place` is a data hall. Relies on base/yaml.h.
 */
#pragma once

#include "base/addr.h"
#include "base/error.h"
#include "gateway/membership/topology.h"

enum { GATEWAY_SEEDS_MAX = 8 };

typedef struct {
    name_t name;    /* name of this instance */
    name_t hall;    /* data hall of this instance */
    addr_t callers; /* listening address, like the next four */
    addr_t readiness;
    addr_t directory;
    addr_t peer;
    addr_t admin;
    bool has_admin;
    uint16_t transit_port; /* at the IP of `peer`, for requests in transit; 0: any */
    addr_t store;          /* address of the platform's store */
    addr_t seeds[GATEWAY_SEEDS_MAX];
    size_t seed_count;
    topology_t topology;
    double link_bytes_per_s; /* bandwidth of the machine's link in one direction; 0 if unknown */
    double cpu_cores;        /* CPU cores available to the instance; 0 if unknown */
    double directory_ttl_s;  /* seconds for which callers may cache a directory response */
    uint64_t grace_ms;       /* from the stop request until the process is killed */
    double retry_ratio;      /* see retry_budget.h */
    double retry_constant;
    uint64_t retry_window_ms;
    /* Share of a service's requests that a bad version may get during a roll-out; 0: orders of
     * roll-outs are not read. */
    double expose_share;
    double expose_slack; /* requests that it may get beyond that */
    /* Time after which a response is given up of which its caller reads nothing. */
    uint64_t slow_reader_ms;
    /* Under a shortage of slots, urgency decides what is refused (policy/shortage.h). */
    bool orders_shortage;
} gateway_settings_t;

/* Returns true if this instance is a seed. An instance without seeds counts as one, since it has no
 * peer to wait for. */
bool settings_is_seed(const gateway_settings_t *settings);
/* Returns false with an error that names the invalid key and value. */
bool gateway_settings_load(const char *path, gateway_settings_t *out, err_t *err);
