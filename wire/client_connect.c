#include "base/loop_time.h"
#include "base/tcp.h"
#include "wire/client_call.h"
#include "wire/client_connect.h"

static void
on_connect_timeout(uv_timer_t *timer)
{
    client_conn_t *conn = timer->data;
    conn->call->result.timed_out = true;
    client_call_fail(conn, ERR_UNAVAILABLE, "failed to connect in time");
}

static void
on_connected(uv_connect_t *req, int status)
{
    client_conn_t *conn = req->data;
    if (conn->closed || conn->call == NULL)
        return;
    if (status != 0) {
        client_call_fail(conn, ERR_UNAVAILABLE, uv_strerror(status));
        return;
    }
    uv_timer_stop(&conn->timer);
    conn->connect_ms = loop_now(conn->pool->loop) - conn->opened_ms;
    uv_tcp_nodelay(&conn->tcp, 1);
    /* If this process is killed, the kernel must not go on sending its requests. */
    tcp_set_reset_on_close(&conn->tcp, true);
    const wire_call_t *call = conn->call;
    if (call->cbs.on_connected != NULL && !call->cbs.on_connected(call->ctx))
        return;
    client_call_start_reading(conn);
    client_call_send(conn);
}

void
client_connect(client_conn_t *conn)
{
    const wire_pool_t *pool = conn->pool;
    conn->call->result.over_limit = pool->busy_count + pool->idle_count > pool->max;
    if (conn->call->result.over_limit ||
        uv_tcp_connect(&conn->connect, &conn->tcp, &pool->addr.sa, on_connected) != 0)
        uv_timer_start(&conn->timer, on_connect_timeout, 0, 0);
    else
        uv_timer_start(&conn->timer, on_connect_timeout, conn->call->conf.connect_timeout_ms, 0);
}
