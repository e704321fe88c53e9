/*
 * TCP sockets on libuv: what every listener and every client does alike.
 *
 * Owns nothing. Relies on libuv.
 */
#pragma once

#include <uv.h>

#include "base/addr.h"
#include "base/error.h"

/* Binds an initialised handle and listens; `*port` is the port in use, also where `addr` says 0. On
 * failure the handle is closed and must stay in memory until the loop has run. */
bool tcp_listen(uv_tcp_t *tcp, const addr_t *addr, int backlog, uv_connection_cb cb, uint16_t *port,
                err_t *err);
/* Breaks the connection when sent bytes are not acknowledged for `ms` milliseconds. */
void tcp_set_user_timeout(uv_tcp_t *tcp, int ms);
/* Closing the socket resets the connection. (uv_tcp_close_reset() refuses where a shutdown waits
 * for unwritten bytes.) */
void tcp_reset_on_close(uv_tcp_t *tcp);
/* Bounds the bytes that the socket holds for the other side; the system may double the figure. */
void tcp_set_send_buffer(uv_tcp_t *tcp, int bytes);
