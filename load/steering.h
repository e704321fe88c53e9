/* Client-side steering: lookups, cached for their lifetime, and idempotency keys. */
#pragma once

#include "base/rng.h"
#include "entry/http/call.h"
#include "load/config.h"

typedef struct steering steering_t;

enum { STEERING_ENTRIES = 3, STEERING_KEY_SIZE = 128 };

typedef struct {
    addr_t entries[STEERING_ENTRIES];
    size_t count;
} route_t;

/* `route` is NULL if no lookup returned an entry. */
typedef void (*route_cb_t)(void *ctx, const route_t *route);
/* `key` is NULL if no key was obtained. */
typedef void (*key_cb_t)(void *ctx, const char *key);

steering_t *steering_new(uv_loop_t *loop, http_client_t *client, const load_config_t *config,
                         rng_t *rng);
/* Looks up entries for a client block's requests; calls back immediately on a cache hit. */
void steering_route(steering_t *steering, size_t class_index, uint32_t client, route_cb_t cb,
                    void *ctx);
/* Obtains an idempotency key from the entry at `addr`. */
void steering_key(steering_t *steering, const addr_t *addr, key_cb_t cb, void *ctx);
/* Returns the entry's connection pool, created on first use. */
http_target_t *steering_target(steering_t *steering, const addr_t *addr);
uint64_t steering_lookups(const steering_t *steering);
