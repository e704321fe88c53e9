/* Settings of an entry instance: YAML, checked whole before anything starts. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "entry/backend/backend.h"
#include "base/addr.h"
#include "base/error.h"
#include "base/log.h"
#include "base/str.h"

enum { SETTINGS_SEEDS_MAX = 64 };

typedef struct {
    name_t name;
    name_t region;
    name_t place;
    addr_t listen;
    addr_t peer;
    addr_t admin;
    addr_t platform;
    addr_t seeds[SETTINGS_SEEDS_MAX]; /* peer addresses to ask while the store is away */
    size_t seed_count;
    char log_file[256]; /* empty: standard error */
    log_level_t log_level;
    char history[256];
    char spans[256];
    policy_t policy;
    uint32_t max_body_kb;
    double store_reads_per_s;
    double store_writes_per_s;
} settings_t;

/* On failure `err` names file, line, key, the value and what was expected. */
bool settings_load(const char *path, settings_t *settings, err_t *err);
