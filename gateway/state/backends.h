/*
 * The list of backend servers known to this instance, sorted by id.
 *
 * Owns a reference to each backend in it. Relies on backend.h, and on the topology for regions.
 */
#pragma once

#include "gateway/membership/topology.h"
#include "gateway/state/backend.h"

typedef struct uv_loop_s uv_loop_t; /* keeps libuv's header out of gateway/policy */

typedef struct {
    backend_t **items; /* sorted by id */
    size_t count;
    size_t size;
} backends_t;

/* Adds a backend, or updates the one with that id. With `loop` NULL (in tests) no connections are
 * made. The list owns the result. */
backend_t *backends_put(backends_t *backends, const backend_info_t *info,
                        const topology_t *topology, uv_loop_t *loop, uint64_t now_ms);
/* Returns NULL if there is none; the list owns the result. */
backend_t *backends_find(const backends_t *backends, str_t id);
/* Part of the list for periodic work that may be a second late: all of a short list, a fifth of a
 * long one, in turn. */
typedef struct {
    size_t from;
    size_t to; /* past the last one */
} backends_slice_t;

backends_slice_t backends_next_slice(const backends_t *backends, size_t *cursor);
/* Removes the backend with that id, if any. Attempts in progress keep their references. */
void backends_remove(backends_t *backends, str_t id);
/* Removes the backends whose remove_at_ms has passed. Attempts in progress keep their
 * references. */
void backends_remove_due(backends_t *backends, uint64_t now_ms);
/* Forgets all failures: their cause was the link of this instance. */
void backends_forget_failures(backends_t *backends);
void backends_free(backends_t *backends);
