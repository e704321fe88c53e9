/*
 * Checks whether a process listens at an address by opening a TCP connection and closing it.
 */
#pragma once

#include <uv.h>

#include "base/addr.h"

typedef enum {
    TCP_PROBE_CONNECTED,
    TCP_PROBE_REFUSED, /* the host is up, but nothing listens on the port */
    TCP_PROBE_UNKNOWN, /* timeout or another error */
} tcp_probe_result_t;

typedef void (*tcp_probe_cb_t)(void *ctx, tcp_probe_result_t outcome);

/* Connects after `delay_ms`, with a timeout of `timeout_ms`. The callback runs exactly once, never
 * before this function has returned. */
void wire_tcp_probe(uv_loop_t *loop, const addr_t *addr, uint64_t delay_ms, uint64_t timeout_ms,
                    tcp_probe_cb_t cb, void *ctx);
