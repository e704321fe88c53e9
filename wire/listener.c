#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <http_parser.h>

#define LOG_MODULE "listener"
#include "base/log.h"
#include "base/xmalloc.h"
#include "wire/listener_conn.h"

enum {
    LISTEN_BACKLOG = 512,
    READ_SIZE = 65536,
    EARLY_MAX = 65536,      /* bytes of a next request kept while one is answered */
    CHECK_EVERY_MS = 250,   /* granularity of the idle and head timeouts */
    CLOSE_LINGER_MS = 1000, /* wait for the caller's close after the last answer */
};

static char read_buffer[READ_SIZE];

static void feed(wire_conn_t *conn, const char *ptr, size_t len);

void
wire_conn_next(wire_conn_t *conn)
{
    wire_head_reset(&conn->req.head);
    free(conn->req.body);
    conn->req.body = NULL;
    conn->req.body_len = 0;
    conn->body_size = 0;
    conn->req.on_gone = NULL;
    conn->req.on_drain = NULL;
    conn->head_bytes = 0;
    conn->whole = false;
    conn->started = false;
    wire_conn_set_state(conn, STATE_IDLE);
    if (conn->early_len == 0)
        return;
    char *early = conn->early;
    const size_t len = conn->early_len;
    conn->early = NULL;
    conn->early_len = 0;
    feed(conn, early, len);
    free(early);
}

/* A request that is not one: answered, and the connection ends. */
static void
refuse_input(wire_conn_t *conn, int status)
{
    LOG_DBG("request refused: status=%d", status);
    conn->keep = false;
    wire_conn_set_state(conn, STATE_ANSWERING);
    wire_respond(&conn->req, status, STR(""), STR(""));
}

static int
on_begin(http_parser *parser)
{
    wire_conn_t *conn = parser->data;
    conn->req.begun_ms = uv_now(conn->listener->loop);
    wire_conn_set_state(conn, STATE_READING);
    return 0;
}

static int
on_url(http_parser *parser, const char *ptr, size_t len)
{
    wire_conn_t *conn = parser->data;
    wire_head_add_target(&conn->req.head, ptr, len);
    return 0;
}

static int
on_field(http_parser *parser, const char *ptr, size_t len)
{
    wire_conn_t *conn = parser->data;
    wire_head_add_name(&conn->req.head, ptr, len);
    return 0;
}

static int
on_value(http_parser *parser, const char *ptr, size_t len)
{
    wire_conn_t *conn = parser->data;
    wire_head_add_value(&conn->req.head, ptr, len);
    return 0;
}

static bool
head_too_large(const wire_conn_t *conn)
{
    return conn->req.head.too_large || conn->req.head.len > conn->listener->limits.max_head;
}

static int
on_head_done(http_parser *parser)
{
    wire_conn_t *conn = parser->data;
    if (head_too_large(conn))
        return -1;
    const uint64_t length = parser->content_length;
    if (length != UINT64_MAX && length > conn->listener->limits.max_body)
        return -1;
    conn->req.head.method = parser->method;
    conn->head_only = parser->method == HTTP_HEAD;
    conn->keep = http_should_keep_alive(parser) != 0;
    if (wire_head_find(&conn->req.head, STR("expect")).len > 0) {
        wire_text_str(&conn->out, STR("HTTP/1.1 100 Continue\r\n\r\n"));
        wire_conn_flush(conn);
    }
    return 0;
}

static int
on_body(http_parser *parser, const char *ptr, size_t len)
{
    wire_conn_t *conn = parser->data;
    wire_request_t *req = &conn->req;
    if (req->body_len + len > conn->listener->limits.max_body)
        return -1;
    if (req->body_len + len > conn->body_size) {
        conn->body_size =
            conn->body_size * 2 > req->body_len + len ? conn->body_size * 2 : req->body_len + len;
        req->body = xrealloc(req->body, conn->body_size);
    }
    memcpy(req->body + req->body_len, ptr, len);
    req->body_len += len;
    return 0;
}

static int
on_complete(http_parser *parser)
{
    wire_conn_t *conn = parser->data;
    conn->whole = true;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = on_begin,
    .on_url = on_url,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_head_done,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

static void
keep_early(wire_conn_t *conn, const char *ptr, size_t len)
{
    if (len == 0)
        return;
    if (conn->early_len + len > EARLY_MAX) {
        conn->keep = false;
        return;
    }
    conn->early = xrealloc(conn->early, conn->early_len + len);
    memcpy(conn->early + conn->early_len, ptr, len);
    conn->early_len += len;
}

static int
input_error_status(const wire_conn_t *conn)
{
    if (head_too_large(conn) || HTTP_PARSER_ERRNO(&conn->parser) == HPE_HEADER_OVERFLOW)
        return HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE;
    const uint64_t length = conn->parser.content_length;
    if (conn->req.body_len > 0 ||
        (length != UINT64_MAX && length > conn->listener->limits.max_body))
        return HTTP_STATUS_PAYLOAD_TOO_LARGE;
    return HTTP_STATUS_BAD_REQUEST;
}

static void
feed(wire_conn_t *conn, const char *ptr, size_t len)
{
    if (conn->state == STATE_CLOSING)
        return;
    if (conn->state == STATE_ANSWERING) {
        keep_early(conn, ptr, len);
        return;
    }
    if (conn->state == STATE_IDLE) {
        http_parser_init(&conn->parser, HTTP_REQUEST);
        conn->parser.data = conn;
    }
    const size_t used = http_parser_execute(&conn->parser, &parser_settings, ptr, len);
    if (conn->whole) {
        http_parser_pause(&conn->parser, 0);
        keep_early(conn, ptr + used, len - used);
        wire_conn_set_state(conn, STATE_ANSWERING);
        conn->listener->handler(conn->listener->ctx, &conn->req);
        return;
    }
    if (HTTP_PARSER_ERRNO(&conn->parser) != HPE_OK || conn->parser.upgrade != 0 ||
        head_too_large(conn))
        refuse_input(conn, input_error_status(conn));
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    (void)handle;
    (void)suggested;
    *buf = uv_buf_init(read_buffer, sizeof(read_buffer));
}

static void
on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
    wire_conn_t *conn = stream->data;
    if (conn->dead || n == 0)
        return;
    if (n < 0) {
        wire_conn_lose(conn);
        return;
    }
    feed(conn, buf->base, (size_t)n);
}

static void
on_accept(uv_stream_t *stream, int status)
{
    wire_listener_t *listener = stream->data;
    if (status != 0)
        return;
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
    wire_conn_set_state(conn, STATE_IDLE);
    uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
}

static void
on_check(uv_timer_t *timer)
{
    wire_listener_t *listener = timer->data;
    const uint64_t now = uv_now(listener->loop);
    wire_conn_t *next;
    for (wire_conn_t *conn = listener->conns; conn != NULL; conn = next) {
        next = conn->next;
        const uint64_t age = now - conn->since_ms;
        if (conn->state == STATE_IDLE && age > listener->limits.idle_timeout_ms)
            wire_conn_finish(conn);
        else if (conn->state == STATE_READING && age > listener->limits.head_timeout_ms)
            refuse_input(conn, HTTP_STATUS_REQUEST_TIMEOUT);
        else if (conn->state == STATE_CLOSING && age > CLOSE_LINGER_MS)
            wire_conn_close(conn);
    }
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
    uv_tcp_init(loop, &listener->tcp);
    listener->tcp.data = listener;
    int rc = uv_tcp_bind(&listener->tcp, &addr->sa, 0);
    if (rc == 0)
        rc = uv_listen((uv_stream_t *)&listener->tcp, LISTEN_BACKLOG, on_accept);
    if (rc != 0) {
        char text[ADDR_TEXT_MAX];
        err_set(err, ERR_SYSTEM, "cannot listen on %s: %s", addr_format(addr, text),
                uv_strerror(rc));
        uv_close((uv_handle_t *)&listener->tcp, NULL);
        return NULL; /* the process exits; the handle lives until then */
    }
    addr_t bound;
    int len = sizeof(bound);
    uv_tcp_getsockname(&listener->tcp, &bound.sa, &len);
    listener->port = addr_port(&bound);
    uv_timer_init(loop, &listener->timer);
    listener->timer.data = listener;
    uv_timer_start(&listener->timer, on_check, CHECK_EVERY_MS, CHECK_EVERY_MS);
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

void
wire_listener_drain(wire_listener_t *listener)
{
    listener->draining = true;
}

void
wire_listener_close(wire_listener_t *listener)
{
    if (listener->closed)
        return;
    listener->closed = true;
    uv_close((uv_handle_t *)&listener->tcp, NULL);
}

void
wire_listener_close_idle(wire_listener_t *listener)
{
    wire_conn_t *next;
    for (wire_conn_t *conn = listener->conns; conn != NULL; conn = next) {
        next = conn->next;
        if (conn->state == STATE_IDLE)
            wire_conn_finish(conn);
    }
}
