#include "wire/tcp_probe.h"

#include <stdlib.h>

#include "base/xmalloc.h"

enum { HANDLE_COUNT = 2 };

typedef struct {
    uv_tcp_t tcp;
    uv_timer_t timer;
    uv_connect_t connect;
    addr_t addr;
    uint64_t timeout_ms;
    tcp_probe_cb_t cb;
    void *ctx;
    int open_handles;
    bool done;
} probe_t;

static void
on_closed(uv_handle_t *handle)
{
    probe_t *probe = handle->data;
    if (--probe->open_handles == 0)
        free(probe);
}

static void
finish(probe_t *probe, tcp_probe_result_t outcome)
{
    if (probe->done)
        return;
    probe->done = true;
    uv_close((uv_handle_t *)&probe->tcp, on_closed);
    uv_close((uv_handle_t *)&probe->timer, on_closed);
    probe->cb(probe->ctx, outcome);
}

static void
on_connected(uv_connect_t *connect, int status)
{
    probe_t *probe = connect->data;
    if (status == 0)
        finish(probe, TCP_PROBE_CONNECTED);
    else
        finish(probe, status == UV_ECONNREFUSED ? TCP_PROBE_REFUSED : TCP_PROBE_UNKNOWN);
}

static void
on_timeout(uv_timer_t *timer)
{
    finish(timer->data, TCP_PROBE_UNKNOWN);
}

static void
on_begin(uv_timer_t *timer)
{
    probe_t *probe = timer->data;
    uv_timer_start(&probe->timer, on_timeout, probe->timeout_ms, 0);
    if (uv_tcp_connect(&probe->connect, &probe->tcp, &probe->addr.sa, on_connected) != 0)
        finish(probe, TCP_PROBE_UNKNOWN);
}

void
wire_tcp_probe(uv_loop_t *loop, const addr_t *addr, uint64_t delay_ms, uint64_t timeout_ms,
               tcp_probe_cb_t cb, void *ctx)
{
    probe_t *probe = xcalloc(1, sizeof(*probe));
    probe->addr = *addr;
    probe->timeout_ms = timeout_ms;
    probe->cb = cb;
    probe->ctx = ctx;
    probe->open_handles = HANDLE_COUNT;
    uv_tcp_init(loop, &probe->tcp);
    uv_timer_init(loop, &probe->timer);
    probe->tcp.data = probe;
    probe->timer.data = probe;
    probe->connect.data = probe;
    uv_timer_start(&probe->timer, on_begin, delay_ms, 0);
}
