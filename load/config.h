/* Configuration of a load run, read from YAML and validated at startup. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"
#include "base/error.h"
#include "base/str.h"

enum { LOAD_CLASSES_MAX = 32, LOAD_ENTRIES_MAX = 64 };

typedef enum { KEYS_NONE, KEYS_MINTED, KEYS_OWN } key_mode_t;

typedef struct {
    name_t name;
    name_t service;
    name_t method;
    char path[64];
    double rate;         /* requests/s, open loop */
    uint32_t service_ms; /* service time requested from the backend server */
    uint32_t bytes;      /* length of the response body */
    uint32_t timeout_ms;
    uint32_t drain_rate; /* bytes/s the client reads; 0: unlimited */
    key_mode_t keys;
    bool repeat_unknown; /* retry with the same key when the outcome is unknown */
} load_class_t;

typedef struct {
    addr_t entries[LOAD_ENTRIES_MAX]; /* entries that are sent lookups */
    size_t entry_count;
    load_class_t classes[LOAD_CLASSES_MAX];
    size_t class_count;
    uint32_t clients;     /* number of simulated client blocks */
    uint32_t concurrency; /* limit of requests in flight; more are counted as missed */
} load_config_t;

bool load_config_read(const char *path, load_config_t *config, err_t *err);
