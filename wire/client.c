#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <http_parser.h>

#include "base/tcp.h"
#include "base/xmalloc.h"
#include "wire/client_conn.h"

enum {
    READ_SIZE = 65536,
    /* Unacknowledged bytes break the connection after this time, so that a backend without power is
     * noticed. Chosen, not measured. */
    USER_TIMEOUT_MS = 1200,
    MS_PER_S = 1000,
};

static char read_buffer[READ_SIZE];

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf);

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    (void)handle;
    (void)suggested;
    *buf = uv_buf_init(read_buffer, sizeof(read_buffer));
}

/* Ends the call of a busy connection, which is closed or goes back to the pool. */
static void
end_call(client_conn_t *conn, bool reuse)
{
    wire_call_t *call = conn->call;
    wire_pool_t *pool = conn->pool;
    conn->call = NULL;
    pool->busy_count--;
    if (reuse && !pool->freed && !conn->dead) {
        uv_timer_stop(&conn->timer);
        /* The call may have paused reading with the answer's last bytes already here. */
        uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
        client_conn_keep(conn);
    } else {
        client_conn_close(conn);
    }
    if (!call->done) {
        call->done = true;
        call->cbs.on_end(call->ctx, &call->end);
    }
    free(call);
    wire_pool_release(pool);
}

static void
fail(client_conn_t *conn, err_code_t code, const char *what)
{
    char text[ADDR_TEXT_MAX];
    wire_call_t *call = conn->call;
    const bool sent = call->end.stage >= WIRE_SENT;
    if (code == ERR_UNAVAILABLE && sent)
        code = ERR_ANSWER_LOST;
    err_set(&call->end.err, code, "%s: %s", addr_format(&conn->pool->addr, text), what);
    end_call(conn, false);
}

static int
on_field(http_parser *parser, const char *ptr, size_t len)
{
    client_conn_t *conn = parser->data;
    wire_head_add_name(&conn->head, ptr, len);
    return 0;
}

static int
on_value(http_parser *parser, const char *ptr, size_t len)
{
    client_conn_t *conn = parser->data;
    wire_head_add_value(&conn->head, ptr, len);
    return 0;
}

/* "timeout=N" of a Keep-Alive field in milliseconds, 0 if absent. */
static uint64_t
keep_alive_ms(const wire_head_t *head)
{
    const str_t value = wire_head_find(head, STR("keep-alive"));
    static const str_t key = {"timeout=", 8};
    for (size_t i = 0; i + key.len < value.len; i++) {
        if (strncasecmp(value.ptr + i, key.ptr, key.len) != 0)
            continue;
        uint64_t seconds = 0;
        for (size_t at = i + key.len; at < value.len; at++) {
            if (value.ptr[at] < '0' || value.ptr[at] > '9')
                break;
            seconds = seconds * 10 + (uint64_t)(value.ptr[at] - '0');
        }
        return seconds * MS_PER_S;
    }
    return 0;
}

static int64_t
body_length(const http_parser *parser, bool head_method)
{
    if (head_method || parser->status_code == HTTP_STATUS_NO_CONTENT ||
        parser->status_code == HTTP_STATUS_NOT_MODIFIED)
        return 0;
    if ((parser->flags & F_CHUNKED) != 0)
        return WIRE_CHUNKED;
    return parser->content_length != UINT64_MAX ? (int64_t)parser->content_length
                                                : WIRE_UNTIL_CLOSE;
}

static int
on_head_done(http_parser *parser)
{
    client_conn_t *conn = parser->data;
    wire_call_t *call = conn->call;
    conn->head.status = parser->status_code;
    if (conn->head.too_large)
        return -1;
    conn->skip = parser->status_code < 200 ||
                 (call->cbs.matches != NULL && !call->cbs.matches(call->ctx, &conn->head));
    if (conn->skip) {
        if (parser->status_code >= 200)
            conn->reusable = false;
        return 0;
    }
    conn->keep_ms = keep_alive_ms(&conn->head);
    call->end.stage = WIRE_HEAD;
    const int64_t length = body_length(parser, call->conf.head_method);
    call->cbs.on_head(call->ctx, &conn->head, length);
    if (conn->call == NULL)
        return -1;
    return call->conf.head_method ? 1 : 0;
}

static int
on_body(http_parser *parser, const char *ptr, size_t len)
{
    client_conn_t *conn = parser->data;
    if (conn->skip)
        return 0;
    conn->call->cbs.on_data(conn->call->ctx, ptr, len);
    return conn->call == NULL ? -1 : 0;
}

static int
on_complete(http_parser *parser)
{
    client_conn_t *conn = parser->data;
    if (conn->skip) {
        wire_head_reset(&conn->head);
        return 0;
    }
    conn->call->end.stage = WIRE_COMPLETE;
    if (!http_should_keep_alive(parser))
        conn->reusable = false;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_head_done,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

static void
on_answer_bytes(client_conn_t *conn, const char *ptr, size_t len)
{
    const size_t used = http_parser_execute(&conn->parser, &parser_settings, ptr, len);
    if (conn->call == NULL)
        return; /* cancelled in a callback */
    if (conn->call->end.stage == WIRE_COMPLETE) {
        /* Surplus bytes, or an answer before the request was written, spoil the connection. */
        end_call(conn, conn->reusable && used == len && !conn->writing);
        return;
    }
    if (HTTP_PARSER_ERRNO(&conn->parser) != HPE_OK)
        fail(conn, ERR_PROTOCOL, http_errno_description(HTTP_PARSER_ERRNO(&conn->parser)));
}

/* libuv tells a reset as an end when bytes came before it: ask the socket itself. */
static bool
was_reset(const client_conn_t *conn)
{
    uv_os_fd_t fd;
    char byte;
    if (uv_fileno((const uv_handle_t *)&conn->tcp, &fd) != 0)
        return true;
    return recv(fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) != 0;
}

static void
on_eof(client_conn_t *conn)
{
    if (was_reset(conn)) {
        fail(conn, ERR_UNAVAILABLE, "reset before the answer was whole");
        return;
    }
    /* An answer without a length ends with its connection. */
    conn->reusable = false;
    http_parser_execute(&conn->parser, &parser_settings, NULL, 0);
    if (conn->call == NULL)
        return;
    if (conn->call->end.stage == WIRE_COMPLETE) {
        conn->call->end.unframed = true;
        end_call(conn, false);
        return;
    }
    fail(conn, ERR_UNAVAILABLE, "closed before the answer was whole");
}

static void
on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
    client_conn_t *conn = stream->data;
    if (conn->dead || n == 0)
        return;
    if (conn->call == NULL) {
        client_conn_close_idle(conn);
        return;
    }
    if (n == UV_EOF)
        on_eof(conn);
    else if (n < 0)
        fail(conn, ERR_UNAVAILABLE, uv_strerror((int)n));
    else
        on_answer_bytes(conn, buf->base, (size_t)n);
}

static void
on_call_timeout(uv_timer_t *timer)
{
    client_conn_t *conn = timer->data;
    fail(conn, ERR_TIMEOUT, "no whole answer in time");
}

static void
on_written(uv_write_t *req, int status)
{
    client_conn_t *conn = req->data;
    conn->writing = false;
    free(conn->request);
    conn->request = NULL;
    if (status != 0 && !conn->dead && conn->call != NULL)
        fail(conn, ERR_UNAVAILABLE, uv_strerror(status));
}

static void
send_request(client_conn_t *conn)
{
    wire_call_t *call = conn->call;
    http_parser_init(&conn->parser, HTTP_RESPONSE);
    conn->parser.data = conn;
    wire_head_reset(&conn->head);
    conn->reusable = true;
    conn->skip = false;
    call->end.stage = WIRE_SENT;
    if (call->conf.timeout_ms > 0)
        uv_timer_start(&conn->timer, on_call_timeout, call->conf.timeout_ms, 0);
    conn->request = call->conf.request;
    call->conf.request = NULL;
    uv_buf_t buf = uv_buf_init(conn->request, (unsigned)call->conf.request_len);
    const int n = uv_try_write((uv_stream_t *)&conn->tcp, &buf, 1);
    if (n == (int)buf.len) {
        free(conn->request);
        conn->request = NULL;
        return;
    }
    if (n > 0) {
        buf.base += n;
        buf.len -= (size_t)n;
    }
    conn->write.data = conn;
    conn->writing = true;
    if (uv_write(&conn->write, (uv_stream_t *)&conn->tcp, &buf, 1, on_written) != 0) {
        conn->writing = false;
        uv_timer_start(&conn->timer, on_call_timeout, 0, 0);
    }
}

static void
on_connect_timeout(uv_timer_t *timer)
{
    client_conn_t *conn = timer->data;
    fail(conn, ERR_UNAVAILABLE, "not connected in time");
}

static void
on_connected(uv_connect_t *req, int status)
{
    client_conn_t *conn = req->data;
    if (conn->dead || conn->call == NULL)
        return;
    if (status != 0) {
        fail(conn, ERR_UNAVAILABLE, uv_strerror(status));
        return;
    }
    uv_timer_stop(&conn->timer);
    uv_tcp_nodelay(&conn->tcp, 1);
    tcp_set_user_timeout(&conn->tcp, USER_TIMEOUT_MS);
    uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
    send_request(conn);
}

wire_call_t *
wire_call_start(wire_pool_t *pool, const wire_call_conf_t *conf, const wire_call_cbs_t *cbs,
                void *ctx)
{
    wire_call_t *call = xcalloc(1, sizeof(*call));
    call->cbs = *cbs;
    call->ctx = ctx;
    call->conf = *conf;
    client_conn_t *conn = client_conn_take(pool, conf->idle_max_ms);
    const bool kept = conn != NULL;
    if (!kept)
        conn = client_conn_open(pool);
    pool->busy_count++;
    conn->call = call;
    call->conn = conn;
    if (kept) {
        send_request(conn);
        return call;
    }
    const bool full = pool->busy_count + pool->idle_count > pool->max;
    if (full || uv_tcp_connect(&conn->connect, &conn->tcp, &pool->addr.sa, on_connected) != 0)
        uv_timer_start(&conn->timer, on_connect_timeout, 0, 0);
    else
        uv_timer_start(&conn->timer, on_connect_timeout, conf->connect_timeout_ms, 0);
    return call;
}

void
wire_call_cancel(wire_call_t *call)
{
    call->done = true;
    free(call->conf.request);
    call->conf.request = NULL;
    end_call(call->conn, false);
}

void
wire_call_pause(wire_call_t *call)
{
    uv_read_stop((uv_stream_t *)&call->conn->tcp);
}

void
wire_call_resume(wire_call_t *call)
{
    if (!call->conn->dead)
        uv_read_start((uv_stream_t *)&call->conn->tcp, on_alloc, on_read);
}

wire_stage_t
wire_call_stage(const wire_call_t *call)
{
    return call->end.stage;
}
