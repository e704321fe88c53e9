#include <stdlib.h>

#define LOG_MODULE "listener"
#include "base/counter.h"
#include "base/log.h"
#include "base/loop_time.h"
#include "base/tcp.h"
#include "base/xmalloc.h"
#include "wire/server_conn.h"

typedef struct {
    uv_write_t req;
    wire_conn_t *conn;
    char *bytes;
    size_t len;
} write_t;

static void
on_conn_closed(uv_handle_t *handle)
{
    wire_conn_t *conn = handle->data;
    wire_head_free(&conn->req.head);
    free(conn->req.body);
    free(conn->pipelined);
    free(conn->out.ptr);
    free(conn);
}

/* ---- data lost by a close ---- */

static uint64_t
state_age_ms(const wire_conn_t *conn)
{
    return loop_now(conn->listener->loop) - conn->last_progress_ms;
}

void
wire_conn_log_late_input(wire_conn_t *conn, size_t len)
{
    if (conn->late_input_logged)
        return;
    conn->late_input_logged = true;
    counter_add(counter_get("irisstall_late_input_total", NULL,
                            "Caller connections with bytes after our end of them."),
                1);
    LOG_WARN("input after output shutdown: port=%u bytes=%zu after_ms=%llu", conn->listener->port,
             len, (unsigned long long)state_age_ms(conn));
}

/* Counts and logs output that a local close discards. */
static void
log_unwritten(const wire_conn_t *conn)
{
    const size_t left = uv_stream_get_write_queue_size((const uv_stream_t *)&conn->tcp);
    if (left == 0)
        return;
    counter_add(counter_get("irisstall_answers_cut_by_close_total", NULL,
                            "Caller connections closed with unwritten answer bytes."),
                1);
    LOG_WARN("response truncated by close: port=%u unwritten=%zu state=%d after_ms=%llu",
             conn->listener->port, left, (int)conn->state, (unsigned long long)state_age_ms(conn));
}

/* ---- sums over all connections ---- */

static void
update_sum(size_t *sum, size_t *part, size_t value)
{
    *sum = *sum - *part + value;
    *part = value;
}

void
wire_conn_update_held(wire_conn_t *conn)
{
    wire_listener_t *listener = conn->listener;
    const size_t held = conn->closed ? 0 : conn->in_flight + conn->out.len;
    const size_t body = conn->body_size > WIRE_SMALL_BODY ? conn->body_size : 0;
    if (held == 0)
        conn->output_progress_ms = loop_now(listener->loop);
    update_sum(&listener->held, &conn->held, held);
    update_sum(&listener->bodies, &conn->body_held, conn->closed ? 0 : body);
}

void
wire_conn_free_body(wire_conn_t *conn)
{
    free(conn->req.body);
    conn->req.body = NULL;
    conn->req.body_len = 0;
    conn->body_size = 0;
    conn->body_expected = 0;
    wire_conn_update_held(conn);
}

/* ---- closing ---- */

static void
unlink_conn(wire_conn_t *conn)
{
    conn->closed = true;
    *conn->slot = conn->next;
    if (conn->next != NULL)
        conn->next->slot = conn->slot;
    conn->listener->conn_count--;
    wire_conn_update_held(conn);
}

void
wire_conn_close(wire_conn_t *conn)
{
    if (conn->closed)
        return;
    if (!conn->disconnected)
        log_unwritten(conn);
    unlink_conn(conn);
    uv_close((uv_handle_t *)&conn->tcp, on_conn_closed);
}

void
wire_conn_reset(wire_conn_t *conn)
{
    if (conn->closed)
        return;
    unlink_conn(conn);
    tcp_set_reset_on_close(&conn->tcp, true);
    uv_close((uv_handle_t *)&conn->tcp, on_conn_closed);
}

bool
wire_conn_is_unframed(const wire_conn_t *conn)
{
    return conn->until_close || conn->chunked;
}

/* True if a regular close could make a truncated response look complete: it does where the response
 * ends with the close, and there are callers that do not look for the last chunk. */
static bool
close_hides_truncation(const wire_conn_t *conn)
{
    const size_t left = uv_stream_get_write_queue_size((const uv_stream_t *)&conn->tcp);
    return wire_conn_is_unframed(conn) && (conn->state == STATE_ANSWERING || left > 0);
}

/* A client that has shut down its output may still read, hence the reset. */
void
wire_conn_on_disconnect(wire_conn_t *conn)
{
    if (conn->closed)
        return;
    conn->disconnected = true;
    void (*on_disconnect)(void *) = conn->state == STATE_ANSWERING ? conn->req.on_disconnect : NULL;
    void *ctx = conn->req.ctx;
    conn->req.on_disconnect = NULL;
    if (close_hides_truncation(conn))
        wire_conn_reset(conn);
    else
        wire_conn_close(conn);
    if (on_disconnect != NULL)
        on_disconnect(ctx);
}

void
wire_conn_set_state(wire_conn_t *conn, wire_state_t state)
{
    conn->state = state;
    conn->last_progress_ms = loop_now(conn->listener->loop);
}

static void
on_written(uv_write_t *req, int status)
{
    write_t *write = (write_t *)req;
    wire_conn_t *conn = write->conn;
    conn->in_flight -= write->len;
    free(write->bytes);
    free(write);
    if (conn->closed)
        return;
    wire_conn_update_held(conn);
    if (status != 0) {
        wire_conn_on_disconnect(conn);
        return;
    }
    if (conn->in_flight == 0 && conn->state == STATE_ANSWERING && conn->req.on_drain != NULL)
        conn->req.on_drain(conn->req.ctx);
    else if (conn->state == STATE_IDLE && conn->pipelined_len > 0)
        conn->listener->on_response_end(conn); /* the next request waited for this */
}

void
wire_conn_flush(wire_conn_t *conn)
{
    if (conn->closed || conn->out.len == 0)
        return;
    uv_buf_t buf = uv_buf_init(conn->out.ptr, (unsigned)conn->out.len);
    size_t written = 0;
    if (conn->in_flight == 0) {
        const int n = uv_try_write((uv_stream_t *)&conn->tcp, &buf, 1);
        if (n > 0)
            written = (size_t)n;
    }
    const size_t left = conn->out.len - written;
    conn->passed += conn->out.len;
    if (left > 0) {
        write_t *write = xmalloc(sizeof(*write));
        write->conn = conn;
        write->len = left;
        write->bytes = xmemdup0(conn->out.ptr + written, left);
        buf = uv_buf_init(write->bytes, (unsigned)left);
        conn->in_flight += left;
        if (uv_write(&write->req, (uv_stream_t *)&conn->tcp, &buf, 1, on_written) != 0) {
            conn->in_flight -= left;
            conn->passed -= left;
            free(write->bytes);
            free(write);
            conn->keep_alive = false;
        }
    }
    conn->out.len = 0;
    if (conn->out.size > WIRE_FLUSH_SIZE) {
        free(conn->out.ptr);
        conn->out = (wire_text_t){0};
    }
    wire_conn_update_held(conn);
}

static void
on_shutdown(uv_shutdown_t *req, int status)
{
    (void)status;
    free(req);
}

void
wire_conn_finish(wire_conn_t *conn)
{
    wire_conn_set_state(conn, STATE_CLOSING);
    wire_conn_free_body(conn);
    wire_conn_update_reading(conn); /* a close with unread input would be a reset */
    uv_shutdown_t *req = xmalloc(sizeof(*req));
    if (uv_shutdown(req, (uv_stream_t *)&conn->tcp, on_shutdown) != 0) {
        free(req);
        wire_conn_close(conn);
    }
}
