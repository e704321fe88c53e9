/*
 * The list of backend servers that this instance knows, sorted by id.
 *
 * Owns a reference to each backend in it. Relies on backend.h, and on the topology for regions.
 */
#pragma once

#include "gateway/membership/topology.h"
#include "gateway/state/backend.h"

typedef struct uv_loop_s uv_loop_t; /* libuv's; its header would reach the policies */

typedef struct {
    backend_t **items; /* sorted by id */
    size_t count;
    size_t size;
} backends_t;

/* Adds a backend, or updates the one with that id. `loop` NULL, in tests: without connections. The
 * list owns what is returned. */
backend_t *backends_put(backends_t *backends, const backend_info_t *info,
                        const topology_t *topology, uv_loop_t *loop, uint64_t now_ms);
/* NULL if there is none; the list owns what is returned. */
backend_t *backends_find(const backends_t *backends, str_t id);
/* Takes out the backend with that id, if there is one; attempts under way keep it. */
void backends_remove(backends_t *backends, str_t id);
/* Takes out the backends whose remove_at_ms has come; attempts under way keep theirs. */
void backends_remove_due(backends_t *backends, uint64_t now_ms);
void backends_free(backends_t *backends);
