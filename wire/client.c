#include <stdlib.h>

#include "base/xmalloc.h"
#include "wire/client_call.h"
#include "wire/client_connect.h"

wire_call_t *
wire_call_start(wire_pool_t *pool, const wire_call_conf_t *conf, const wire_call_cbs_t *cbs,
                void *ctx)
{
    wire_call_t *call = xcalloc(1, sizeof(*call));
    call->cbs = *cbs;
    call->ctx = ctx;
    call->conf = *conf;
    call->conf.request = NULL; /* the connection's */
    client_conn_t *conn = client_conn_acquire(pool, conf->idle_max_ms, conf->probe_before_reuse);
    const bool reused = conn != NULL;
    if (!reused)
        conn = client_conn_open(pool);
    pool->busy_count++;
    conn->reused = reused;
    conn->call = call;
    client_conn_take_request(conn, conf->request, conf->request_len);
    call->result.reused = reused;
    call->conn = conn;
    if (reused)
        client_call_send(conn);
    else
        client_connect(conn);
    return call;
}

void
wire_call_cancel(wire_call_t *call)
{
    call->done = true;
    client_call_end(call->conn, false);
}

void
wire_call_abort_on_timeout(wire_call_t *call)
{
    client_call_close_idle_after_silence(call->conn);
    wire_call_cancel(call);
}

void
wire_call_reject(wire_call_t *call, const char *why)
{
    client_call_fail(call->conn, ERR_PROTOCOL, why);
}

void
wire_call_pause(wire_call_t *call)
{
    uv_read_stop((uv_stream_t *)&call->conn->tcp);
}

void
wire_call_resume(wire_call_t *call)
{
    if (!call->conn->closed)
        client_call_start_reading(call->conn);
}

wire_stage_t
wire_call_stage(const wire_call_t *call)
{
    return call->result.stage;
}
