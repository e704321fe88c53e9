/*
 * Reachability: whether a process listens at an address, by a connection that carries nothing.
 *
 * Owns the connection until its outcome. Relies on libuv.
 */
#pragma once

#include <uv.h>

#include "base/addr.h"

typedef enum {
    TCP_PROBE_CONNECTED,
    TCP_PROBE_REFUSED, /* the machine answers, nobody listens there */
    TCP_PROBE_UNKNOWN, /* not connected in time, or another error: nothing is known */
} tcp_probe_result_t;

typedef void (*tcp_probe_cb_t)(void *ctx, tcp_probe_result_t outcome);

/* Tries `delay_ms` from now, for up to `timeout_ms`. The callback comes once, never before the call
 * has returned. */
void wire_tcp_probe(uv_loop_t *loop, const addr_t *addr, uint64_t delay_ms, uint64_t timeout_ms,
                    tcp_probe_cb_t cb, void *ctx);
