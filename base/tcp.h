/*
 * Helpers for libuv TCP sockets.
 */
#pragma once

#include <uv.h>

#include "base/addr.h"
#include "base/error.h"

/* Binds an initialised handle and listens; `*port` receives the bound port. On failure the handle
 * is closed and must stay allocated until the loop has run. */
bool tcp_listen(uv_tcp_t *tcp, const addr_t *addr, int backlog, uv_connection_cb cb, uint16_t *port,
                err_t *err);
/* Unread input of a connection, which the loop has not reported yet. */
typedef enum {
    TCP_INPUT_NONE,
    TCP_INPUT_DATA,
    TCP_INPUT_END,    /* the other side has shut down its output, or closed */
    TCP_INPUT_FAILED, /* reset, or the handle is closed */
} tcp_input_t;

/* Looks at the input without reading it. */
tcp_input_t tcp_peek(const uv_tcp_t *tcp);
/* True if the other side has shut down its output or closed, even if there is input to read before
 * that. */
bool tcp_has_hung_up(const uv_tcp_t *tcp);
/* True if the other side has not acknowledged all that was written, or if that is not known. After
 * a close, the kernel goes on sending it. */
bool tcp_has_unacknowledged(const uv_tcp_t *tcp);
/* Closes the connection if sent data is not acknowledged within `ms` (TCP_USER_TIMEOUT). */
void tcp_set_user_timeout(uv_tcp_t *tcp, int ms);
/* Whether a close of the socket resets the connection (SO_LINGER). This also holds for the close by
 * the kernel when the process is killed. uv_tcp_close_reset() fails while a shutdown is pending. */
void tcp_set_reset_on_close(uv_tcp_t *tcp, bool reset);
/* Sets the socket's send buffer size (SO_SNDBUF); the kernel may double it. */
void tcp_set_send_buffer(uv_tcp_t *tcp, int bytes);
