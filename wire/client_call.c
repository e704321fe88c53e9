#include <stdlib.h>

#include "wire/client_response.h"
#include "wire/client_call.h"
#include "base/counter.h"
#include "base/loop_time.h"
#include "base/tcp.h"
#include "wire/ack_timeout.h"

enum {
    READ_SIZE = 65536,
    TIMEOUT_READ_GRACE_MS = 20, /* a few loop iterations, to read pending input */
};

static char read_buffer[READ_SIZE];

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    const client_conn_t *conn = handle->data;
    const wire_call_t *call = conn->call;
    const size_t max =
        call != NULL && call->cbs.read_max != NULL ? call->cbs.read_max(call->ctx) : READ_SIZE;
    (void)suggested;
    *buf = uv_buf_init(read_buffer, max < READ_SIZE ? (unsigned)max : READ_SIZE);
}

void
client_call_close_idle_after_silence(client_conn_t *conn)
{
    if (!conn->reused || conn->call->result.stage != WIRE_SENT)
        return;
    while (conn->pool->idle != NULL)
        client_conn_close_idle(conn->pool->idle);
}

/* Decides whether the connection of a call is to be reset if it is closed: if the call ended early
 * and the server has not acknowledged all of the request, which the kernel would go on sending,
 * possibly after an outage of the link. Otherwise a regular close tells the server that its caller
 * is gone; unlike a reset, it is retransmitted. */
static void
reset_if_undelivered(client_conn_t *conn)
{
    const wire_stage_t stage = conn->call->result.stage;
    const bool ended_early = stage == WIRE_SENT || stage == WIRE_HEAD;
    conn->undelivered = ended_early && tcp_has_unacknowledged(&conn->tcp);
    if (!conn->undelivered)
        return;
    counter_add(counter_get("irisstall_calls_reset_total", NULL,
                            "Calls that ended before their request was acknowledged; their "
                            "connections were reset."),
                1);
}

void
client_call_end(client_conn_t *conn, bool reuse)
{
    wire_call_t *call = conn->call;
    wire_pool_t *pool = conn->pool;
    reset_if_undelivered(conn);
    conn->call = NULL;
    pool->busy_count--;
    if (reuse && !pool->freed && !conn->closed) {
        uv_timer_stop(&conn->timer);
        /* The call may have paused reading after the last bytes were received. */
        client_call_start_reading(conn);
        client_conn_release(conn);
    } else {
        client_conn_close(conn);
    }
    if (!call->done) {
        call->done = true;
        pool->holds++; /* the callback may free the pool */
        call->cbs.on_end(call->ctx, &call->result);
        pool->holds--;
    }
    free(call);
    wire_pool_release(pool);
}

void
client_call_fail(client_conn_t *conn, err_code_t code, const char *what)
{
    char text[ADDR_TEXT_MAX];
    wire_call_t *call = conn->call;
    const bool sent = call->result.stage >= WIRE_SENT;
    if (code == ERR_UNAVAILABLE && sent)
        code = ERR_ANSWER_LOST;
    err_set(&call->result.err, code, "%s: %s", addr_format(&conn->pool->addr, text), what);
    client_call_end(conn, false);
}

/* ---- timeouts ---- */

/* libuv runs timers before it polls sockets, so after a long callback the response may be waiting
 * unread. In that case the timeout is deferred once. */
static void
on_call_timeout(uv_timer_t *timer)
{
    client_conn_t *conn = timer->data;
    wire_call_t *call = conn->call;
    if (!call->timeout_deferred && tcp_peek(&conn->tcp) == TCP_INPUT_DATA) {
        call->timeout_deferred = true;
        uv_timer_start(&conn->timer, on_call_timeout, TIMEOUT_READ_GRACE_MS, 0);
        return;
    }
    client_call_close_idle_after_silence(conn);
    client_call_fail(conn, ERR_TIMEOUT, "response timed out");
}

static void
start_timer(client_conn_t *conn)
{
    wire_call_t *call = conn->call;
    call->deadline_ms = loop_now(conn->pool->loop) + call->conf.total_timeout_ms;
    if (call->conf.timeout_ms > 0)
        uv_timer_start(&conn->timer, on_call_timeout, call->conf.timeout_ms, 0);
}

/* Restarts the read timeout after input, capped by the timeout of the whole call. */
static void
restart_timer(client_conn_t *conn)
{
    const wire_call_t *call = conn->call;
    const uint64_t now_ms = loop_now(conn->pool->loop);
    if (call->conf.read_timeout_ms == 0)
        return;
    const uint64_t left_ms = call->deadline_ms > now_ms ? call->deadline_ms - now_ms : 0;
    const uint64_t wait_ms =
        left_ms < call->conf.read_timeout_ms ? left_ms : call->conf.read_timeout_ms;
    uv_timer_start(&conn->timer, on_call_timeout, wait_ms, 0);
}

/* ---- reading ---- */

static void
on_response_data(client_conn_t *conn, const char *ptr, size_t len)
{
    restart_timer(conn);
    switch (client_response_parse(conn, ptr, len)) {
    case RESPONSE_COMPLETE:
        /* Not reusable if the response completed before the request was written. */
        client_call_end(conn, conn->reusable && conn->request == NULL);
        return;
    case RESPONSE_INVALID:
        client_call_fail(conn, ERR_PROTOCOL, client_response_error(conn));
        return;
    case RESPONSE_INCOMPLETE:
        if (conn->call->cbs.on_read_end != NULL)
            conn->call->cbs.on_read_end(conn->call->ctx);
        return;
    case RESPONSE_CANCELLED:
        return;
    }
}

static void
on_eof(client_conn_t *conn)
{
    conn->call->result.closed = true;
    /* libuv may report a reset that follows data as EOF. */
    if (tcp_peek(&conn->tcp) != TCP_INPUT_END) {
        client_call_fail(conn, ERR_UNAVAILABLE,
                         "connection reset before the response was complete");
        return;
    }
    /* A response without a length ends when the connection closes. */
    switch (client_response_end(conn)) {
    case RESPONSE_COMPLETE:
        conn->call->result.close_delimited = true;
        conn->call->result.closed = false;
        client_call_end(conn, false);
        return;
    case RESPONSE_INCOMPLETE:
    case RESPONSE_INVALID:
        client_call_fail(conn, ERR_UNAVAILABLE,
                         "connection closed before the response was complete");
        return;
    case RESPONSE_CANCELLED:
        return;
    }
}

static void
on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
    client_conn_t *conn = stream->data;
    if (conn->closed || n == 0)
        return;
    if (conn->call == NULL) {
        client_conn_close_idle(conn);
        return;
    }
    if (n == UV_ETIMEDOUT)
        client_call_close_idle_after_silence(conn);
    conn->call->result.closed = n == UV_ECONNRESET;
    conn->call->result.timed_out = n == UV_ETIMEDOUT;
    if (n == UV_EOF)
        on_eof(conn);
    else if (n < 0)
        client_call_fail(conn, ERR_UNAVAILABLE, uv_strerror((int)n));
    else
        on_response_data(conn, buf->base, (size_t)n);
}

void
client_call_start_reading(client_conn_t *conn)
{
    uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
}

/* ---- sending ---- */

static void
on_written(uv_write_t *req, int status)
{
    client_conn_t *conn = req->data;
    client_conn_free_request(conn);
    if (status == 0 || conn->closed || conn->call == NULL)
        return;
    conn->call->result.closed = status == UV_ECONNRESET || status == UV_EPIPE;
    client_call_fail(conn, ERR_UNAVAILABLE, uv_strerror(status));
}

static void
set_ack_timeout(client_conn_t *conn)
{
    const uint64_t timeout_ms = ack_timeout_ms(conn->connect_ms, conn->request_len);
    if (timeout_ms == conn->ack_timeout_ms)
        return;
    conn->ack_timeout_ms = timeout_ms;
    tcp_set_user_timeout(&conn->tcp, (int)timeout_ms);
}

void
client_call_send(client_conn_t *conn)
{
    wire_call_t *call = conn->call;
    set_ack_timeout(conn);
    client_response_begin(conn);
    call->result.stage = WIRE_SENT;
    start_timer(conn);
    uv_buf_t buf = uv_buf_init(conn->request, (unsigned)conn->request_len);
    const int n = uv_try_write((uv_stream_t *)&conn->tcp, &buf, 1);
    if (n == (int)buf.len) {
        client_conn_free_request(conn);
        return;
    }
    if (n > 0) {
        buf.base += n;
        buf.len -= (size_t)n;
    }
    conn->write.data = conn;
    if (uv_write(&conn->write, (uv_stream_t *)&conn->tcp, &buf, 1, on_written) != 0)
        uv_timer_start(&conn->timer, on_call_timeout, 0, 0);
}
