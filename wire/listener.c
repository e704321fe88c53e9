#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>

#include <http_parser.h>

#define LOG_MODULE "listener"
#include "base/counter.h"
#include "base/log.h"
#include "base/loop_time.h"
#include "base/tcp.h"
#include "base/xmalloc.h"
#include "wire/request_reader.h"

enum {
    LISTEN_BACKLOG = 512,
    SWEEP_INTERVAL_MS = 250, /* granularity of the idle and head timeouts */
    CLOSE_LINGER_MS = 1000,  /* wait for the client to close after the last response */
    /* A connection whose output makes no progress for this time is closed, if the limits give no
     * other. */
    WRITE_STALL_TIMEOUT_MS = 5000,
    /* A sweep that runs later than this after its request is deferred once. */
    SWEEP_LATE_MS = 2 * SWEEP_INTERVAL_MS,
};

static char read_buffer[WIRE_PIPELINED_MAX]; /* shared: reads on the loop do not overlap */

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    (void)suggested;
    *buf = uv_buf_init(read_buffer, (unsigned)request_reader_room(handle->data));
}

static void
on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
    wire_conn_t *conn = stream->data;
    if (conn->closed || n == 0)
        return;
    if (n < 0) {
        wire_conn_on_disconnect(conn);
        return;
    }
    request_reader_feed(conn, buf->base, (size_t)n);
}

void
wire_conn_update_reading(wire_conn_t *conn)
{
    const bool stop = request_reader_room(conn) == 0;
    if (conn->closed || stop == conn->reading_stopped)
        return;
    conn->reading_stopped = stop;
    if (stop)
        uv_read_stop((uv_stream_t *)&conn->tcp);
    else
        uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
}

static void
on_accept(uv_stream_t *stream, int status)
{
    wire_listener_t *listener = stream->data;
    if (status != 0) {
        LOG_WARN("failed to accept connection: port=%u err=%s", listener->port,
                 uv_strerror(status));
        return;
    }
    wire_conn_t *conn = xcalloc(1, sizeof(*conn));
    conn->listener = listener;
    uv_tcp_init(listener->loop, &conn->tcp);
    conn->tcp.data = conn;
    conn->next = listener->conns;
    conn->slot = &listener->conns;
    if (conn->next != NULL)
        conn->next->slot = &conn->next;
    listener->conns = conn;
    listener->conn_count++;
    if (uv_accept(stream, (uv_stream_t *)&conn->tcp) != 0 ||
        listener->conn_count > listener->limits.max_connections) {
        wire_conn_close(conn);
        return;
    }
    uv_tcp_nodelay(&conn->tcp, 1);
    int len = sizeof(conn->req.caller);
    uv_tcp_getpeername(&conn->tcp, &conn->req.caller.sa, &len);
    conn->idle_limit_ms = listener->limits.idle_timeout_ms;
    wire_conn_set_state(conn, STATE_IDLE);
    uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
}

/* Idle time and close linger are counted from the last write progress, since a response may take
 * long to be written on a slow link. */
static void
track_output_progress(wire_conn_t *conn)
{
    const size_t left = uv_stream_get_write_queue_size((const uv_stream_t *)&conn->tcp);
    const bool response_ended = conn->state == STATE_IDLE || conn->state == STATE_CLOSING;
    if (conn->passed - left > conn->taken)
        conn->output_progress_ms = loop_now(conn->listener->loop);
    conn->taken = conn->passed - left;
    if (response_ended && left != conn->unwritten)
        conn->last_progress_ms = loop_now(conn->listener->loop);
    conn->unwritten = left;
}

/* The larger of the limit announced with the last response and the current one. */
static uint64_t
effective_idle_limit_ms(const wire_conn_t *conn)
{
    const wire_listener_t *listener = conn->listener;
    const uint64_t limit = listener->limits.idle_timeout_ms;
    const uint64_t allowed = conn->idle_limit_ms > limit ? conn->idle_limit_ms : limit;
    return allowed < listener->max_idle_ms ? allowed : listener->max_idle_ms;
}

/* Closes a connection with unwritten output. A response without a length is reset, since a regular
 * close could make it look complete. */
static void
abort_conn(wire_conn_t *conn)
{
    if (wire_conn_is_unframed(conn))
        wire_conn_reset(conn);
    else
        wire_conn_close(conn);
}

/* True if bytes of a response wait and the client has taken none of them for too long. */
static bool
is_stalled(const wire_conn_t *conn)
{
    const wire_limits_t *limits = &conn->listener->limits;
    const uint64_t limit_ms =
        limits->stall_timeout_ms > 0 ? limits->stall_timeout_ms : WRITE_STALL_TIMEOUT_MS;
    return conn->unwritten > 0 && conn->listener->sweep_ms >= conn->output_progress_ms + limit_ms;
}

/* The handler of a request in progress sees a disconnect and stops its run. */
static void
give_up_response(wire_conn_t *conn)
{
    char caller[ADDR_TEXT_MAX];
    counter_add(counter_get("irisstall_responses_given_up_total", NULL,
                            "Responses given up because their callers did not read them."),
                1);
    LOG_WARN("response given up, caller does not read it: caller=%s unwritten=%zu stalled_ms=%llu",
             addr_format(&conn->req.caller, caller), conn->unwritten,
             (unsigned long long)(conn->listener->sweep_ms - conn->output_progress_ms));
    if (conn->state == STATE_ANSWERING)
        wire_conn_on_disconnect(conn);
    else
        abort_conn(conn);
}

/* Closes an idle connection in both directions at once. A request that races with the close is then
 * answered by a reset without being read, so the client knows that it can retry safely. */
static void
sweep_conn(wire_conn_t *conn)
{
    if (conn->closed)
        return;
    track_output_progress(conn);
    /* The loop does not report that while the socket is not read. */
    if (conn->reading_stopped && tcp_has_hung_up(&conn->tcp)) {
        wire_conn_on_disconnect(conn);
        return;
    }
    if (is_stalled(conn)) {
        give_up_response(conn);
        return;
    }
    const uint64_t now = conn->listener->sweep_ms;
    const uint64_t age = now > conn->last_progress_ms ? now - conn->last_progress_ms : 0;
    switch (conn->state) {
    case STATE_IDLE:
        if (conn->unwritten == 0 && age >= effective_idle_limit_ms(conn))
            wire_conn_close(conn);
        break;
    case STATE_READING:
        if (age > conn->listener->limits.head_timeout_ms)
            request_reader_refuse(conn, HTTP_STATUS_REQUEST_TIMEOUT);
        break;
    case STATE_ANSWERING:
        break;
    case STATE_CLOSING:
        if (conn->unwritten == 0 && age > CLOSE_LINGER_MS)
            wire_conn_close(conn);
        break;
    }
}

static void
close_port(wire_listener_t *listener)
{
    if (!listener->closing || listener->closed)
        return;
    listener->closed = true;
    uv_close((uv_handle_t *)&listener->tcp, NULL);
}

static void
on_after_poll(uv_check_t *after_poll)
{
    wire_listener_t *listener = after_poll->data;
    const uint64_t now = loop_now(listener->loop);
    if (now - listener->sweep_ms > SWEEP_LATE_MS && !listener->sweep_deferred) {
        listener->sweep_deferred = true;
        listener->sweep_ms = now;
        return; /* the check handle stays active and runs after the next poll */
    }
    listener->sweep_deferred = false;
    uv_check_stop(after_poll);
    close_port(listener);
    wire_conn_t *next;
    for (wire_conn_t *conn = listener->conns; conn != NULL; conn = next) {
        next = conn->next;
        sweep_conn(conn);
    }
}

/* Schedules a sweep after the next poll, when pending input has been read: timers run before the
 * poll, and many expire at once after the process was stalled. If the process is paused during the
 * poll, input that arrived meanwhile is read only by the following one, so a late sweep is deferred
 * once. Ages are computed as of the time at which the sweep was requested. */
static void
request_sweep(wire_listener_t *listener)
{
    if (!uv_is_active((const uv_handle_t *)&listener->after_poll))
        listener->sweep_ms = loop_now(listener->loop);
    uv_check_start(&listener->after_poll, on_after_poll);
}

static void
on_sweep_timer(uv_timer_t *timer)
{
    request_sweep(timer->data);
}

wire_listener_t *
wire_listener_start(uv_loop_t *loop, const addr_t *addr, const wire_limits_t *limits,
                    wire_handler_t handler, void *ctx, err_t *err)
{
    wire_listener_t *listener = xcalloc(1, sizeof(*listener));
    listener->loop = loop;
    listener->limits = *limits;
    listener->handler = handler;
    listener->ctx = ctx;
    listener->on_response_end = request_reader_next;
    listener->max_idle_ms = UINT64_MAX;
    uv_tcp_init(loop, &listener->tcp);
    listener->tcp.data = listener;
    if (!tcp_listen(&listener->tcp, addr, LISTEN_BACKLOG, on_accept, &listener->port, err))
        return NULL; /* the process exits on this error, so the handle is not closed */
    uv_check_init(loop, &listener->after_poll);
    listener->after_poll.data = listener;
    uv_timer_init(loop, &listener->timer);
    listener->timer.data = listener;
    uv_timer_start(&listener->timer, on_sweep_timer, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS);
    return listener;
}

uint16_t
wire_listener_port(const wire_listener_t *listener)
{
    return listener->port;
}

void
wire_listener_set_limits(wire_listener_t *listener, const wire_limits_t *limits)
{
    listener->limits = *limits;
}

size_t
wire_listener_connections(const wire_listener_t *listener)
{
    return listener->conn_count;
}

size_t
wire_listener_held(const wire_listener_t *listener)
{
    return listener->held;
}

size_t
wire_listener_bodies(const wire_listener_t *listener)
{
    return listener->bodies;
}

void
wire_listener_drain(wire_listener_t *listener)
{
    listener->draining = true;
}

void
wire_listener_stop_accepting(wire_listener_t *listener)
{
    listener->closing = true;
    request_sweep(listener);
}

void
wire_listener_close_idle(wire_listener_t *listener, uint64_t idle_ms)
{
    listener->max_idle_ms = idle_ms;
    request_sweep(listener);
}

bool
wire_listener_is_accepting(const wire_listener_t *listener)
{
    return !listener->closed;
}

void
wire_listener_abort_responses(wire_listener_t *listener)
{
    wire_conn_t *next;
    for (wire_conn_t *conn = listener->conns; conn != NULL; conn = next) {
        next = conn->next;
        if (conn->state == STATE_ANSWERING || conn->state == STATE_CLOSING)
            abort_conn(conn);
    }
}
