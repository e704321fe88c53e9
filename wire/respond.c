#include "base/tcp.h"
#include "base/xmalloc.h"
#include "wire/server_conn.h"

/* The announced Keep-Alive timeout is shorter than the actual one by this margin, which covers the
 * transit time of a request on a congested link. */
enum { CLOSE_RACE_MARGIN_MS = 1000, MS_PER_S = 1000 };

bool
wire_request_is_abandoned(const wire_request_t *req)
{
    const wire_conn_t *conn = (const wire_conn_t *)req;
    const tcp_input_t input = tcp_peek(&conn->tcp);
    return input == TCP_INPUT_END || input == TCP_INPUT_FAILED ||
           (conn->reading_stopped && tcp_has_hung_up(&conn->tcp));
}

void
wire_request_abandon(wire_request_t *req)
{
    wire_conn_on_disconnect((wire_conn_t *)req);
}

/* Adds the Keep-Alive field, unless the announced timeout would be below one second, and ends the
 * head. */
static void
write_keep_alive(wire_conn_t *conn)
{
    const uint64_t limit = conn->idle_limit_ms;
    if (limit >= CLOSE_RACE_MARGIN_MS + MS_PER_S)
        wire_text_printf(&conn->out, "Keep-Alive: timeout=%llu\r\n",
                         (unsigned long long)((limit - CLOSE_RACE_MARGIN_MS) / MS_PER_S));
    wire_text_str(&conn->out, STR("\r\n"));
}

void
wire_respond_head(wire_request_t *req, int status, str_t fields, int64_t length)
{
    wire_conn_t *conn = (wire_conn_t *)req;
    xassert(conn->state == STATE_ANSWERING && !conn->head_sent);
    conn->head_sent = true;
    conn->idle_limit_ms = conn->listener->limits.idle_timeout_ms;
    conn->chunked = length < 0 && conn->parser.http_minor >= 1;
    conn->until_close = length < 0 && !conn->chunked;
    if (conn->listener->draining || length == WIRE_UNTIL_CLOSE)
        conn->keep_alive = false;
    wire_text_printf(&conn->out, "HTTP/1.1 %d %s\r\n", status, wire_reason(status));
    wire_text_str(&conn->out, fields);
    if (length >= 0)
        wire_text_printf(&conn->out, "Content-Length: %lld\r\n", (long long)length);
    else if (conn->chunked)
        wire_text_str(&conn->out, STR("Transfer-Encoding: chunked\r\n"));
    if (conn->keep_alive)
        write_keep_alive(conn);
    else
        wire_text_str(&conn->out, STR("Connection: close\r\n\r\n"));
}

void
wire_respond_data(wire_request_t *req, const char *ptr, size_t len)
{
    wire_conn_t *conn = (wire_conn_t *)req;
    if (conn->head_only || len == 0)
        return;
    if (conn->chunked)
        wire_text_printf(&conn->out, "%zx\r\n", len);
    wire_text_add(&conn->out, ptr, len);
    if (conn->chunked)
        wire_text_add(&conn->out, "\r\n", 2);
    if (conn->out.len >= WIRE_FLUSH_SIZE)
        wire_conn_flush(conn);
    else
        wire_conn_update_held(conn);
}

void
wire_respond_flush(wire_request_t *req)
{
    wire_conn_flush((wire_conn_t *)req);
}

void
wire_respond_end(wire_request_t *req)
{
    wire_conn_t *conn = (wire_conn_t *)req;
    if (conn->chunked && !conn->head_only)
        wire_text_str(&conn->out, STR("0\r\n\r\n"));
    conn->req.on_disconnect = NULL;
    wire_conn_flush(conn);
    if (conn->closed)
        return;
    if (conn->keep_alive)
        conn->listener->on_response_end(conn);
    else
        wire_conn_finish(conn);
}

void
wire_respond_abort(wire_request_t *req)
{
    wire_conn_t *conn = (wire_conn_t *)req;
    conn->req.on_disconnect = NULL;
    wire_conn_flush(conn);
    if (wire_conn_is_unframed(conn))
        wire_conn_reset(conn); /* a regular close could make the response look complete */
    else
        wire_conn_close(conn);
}

void
wire_respond(wire_request_t *req, int status, str_t fields, str_t body)
{
    wire_respond_head(req, status, fields, (int64_t)body.len);
    wire_respond_data(req, body.ptr, body.len);
    wire_respond_end(req);
}

size_t
wire_respond_total_backlog(const wire_request_t *req)
{
    return ((const wire_conn_t *)req)->listener->held;
}

size_t
wire_respond_backlog(const wire_request_t *req)
{
    const wire_conn_t *conn = (const wire_conn_t *)req;
    return conn->in_flight + conn->out.len;
}
