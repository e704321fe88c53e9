#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <http_parser.h>

#define LOG_MODULE "listener"
#include "base/log.h"
#include "base/xmalloc.h"
#include "wire/listener.h"

enum {
    LISTEN_BACKLOG = 512,
    READ_SIZE = 65536,
    FLUSH_SIZE = 16384,     /* buffered answer bytes that are written without being asked */
    EARLY_MAX = 65536,      /* bytes of a next request kept while one is answered */
    CHECK_EVERY_MS = 250,   /* granularity of the idle and head timeouts */
    CLOSE_LINGER_MS = 1000, /* wait for the caller's close after the last answer */
};

typedef struct conn conn_t;

typedef enum {
    STATE_IDLE,      /* between requests */
    STATE_READING,   /* a request has begun */
    STATE_ANSWERING, /* the handler has it */
    STATE_CLOSING,   /* the answer has ended, the caller closes, or we after a while */
} state_t;

struct wire_listener {
    uv_tcp_t tcp;
    uv_timer_t timer;
    uv_loop_t *loop;
    wire_limits_t limits;
    wire_handler_t handler;
    void *ctx;
    conn_t *conns;
    size_t conn_count;
    uint16_t port;
    bool draining;
    bool closed;
};

struct conn {
    wire_request_t req; /* first: wire_request_t and conn_t share their address */
    uv_tcp_t tcp;
    wire_listener_t *listener;
    conn_t *next;
    conn_t **slot;
    http_parser parser;
    state_t state;
    uint64_t since_ms; /* start of the state */
    size_t head_bytes;
    size_t body_size;
    char *early; /* bytes of a next request */
    size_t early_len;
    wire_text_t out;
    size_t in_flight; /* bytes handed to libuv and not written */
    bool keep;        /* the connection goes on after this answer */
    bool started;
    bool chunked;
    bool until_close; /* the answer ends with the connection */
    bool head_only;   /* HEAD: no body */
    bool dead;
    bool whole; /* the parser has the whole request */
};

typedef struct {
    uv_write_t req;
    conn_t *conn;
    char *bytes;
    size_t len;
} write_t;

static char read_buffer[READ_SIZE];

static void feed(conn_t *conn, const char *ptr, size_t len);

static void
on_conn_closed(uv_handle_t *handle)
{
    conn_t *conn = handle->data;
    wire_head_free(&conn->req.head);
    free(conn->req.body);
    free(conn->early);
    free(conn->out.ptr);
    free(conn);
}

static void
forget_conn(conn_t *conn)
{
    conn->dead = true;
    *conn->slot = conn->next;
    if (conn->next != NULL)
        conn->next->slot = conn->slot;
    conn->listener->conn_count--;
}

static void
close_conn(conn_t *conn)
{
    if (conn->dead)
        return;
    forget_conn(conn);
    uv_close((uv_handle_t *)&conn->tcp, on_conn_closed);
}

static void
reset_conn(conn_t *conn)
{
    if (conn->dead)
        return;
    forget_conn(conn);
    if (uv_tcp_close_reset(&conn->tcp, on_conn_closed) != 0)
        uv_close((uv_handle_t *)&conn->tcp, on_conn_closed);
}

/* The caller has left or the connection broke. */
static void
lose_conn(conn_t *conn)
{
    if (conn->dead)
        return;
    void (*on_gone)(void *) = conn->state == STATE_ANSWERING ? conn->req.on_gone : NULL;
    void *ctx = conn->req.ctx;
    conn->req.on_gone = NULL;
    close_conn(conn);
    if (on_gone != NULL)
        on_gone(ctx);
}

static void
set_state(conn_t *conn, state_t state)
{
    conn->state = state;
    conn->since_ms = uv_now(conn->listener->loop);
}

static void
on_written(uv_write_t *req, int status)
{
    write_t *write = (write_t *)req;
    conn_t *conn = write->conn;
    conn->in_flight -= write->len;
    free(write->bytes);
    free(write);
    if (conn->dead)
        return;
    if (status != 0) {
        lose_conn(conn);
        return;
    }
    if (conn->in_flight == 0 && conn->state == STATE_ANSWERING && conn->req.on_drain != NULL)
        conn->req.on_drain(conn->req.ctx);
}

static void
flush(conn_t *conn)
{
    if (conn->dead || conn->out.len == 0)
        return;
    uv_buf_t buf = uv_buf_init(conn->out.ptr, (unsigned)conn->out.len);
    size_t done = 0;
    if (conn->in_flight == 0) {
        const int n = uv_try_write((uv_stream_t *)&conn->tcp, &buf, 1);
        if (n > 0)
            done = (size_t)n;
    }
    const size_t rest = conn->out.len - done;
    if (rest > 0) {
        write_t *write = xmalloc(sizeof(*write));
        write->conn = conn;
        write->len = rest;
        write->bytes = xmemdup0(conn->out.ptr + done, rest);
        buf = uv_buf_init(write->bytes, (unsigned)rest);
        conn->in_flight += rest;
        if (uv_write(&write->req, (uv_stream_t *)&conn->tcp, &buf, 1, on_written) != 0) {
            conn->in_flight -= rest;
            free(write->bytes);
            free(write);
            conn->keep = false;
        }
    }
    conn->out.len = 0;
    if (conn->out.size > FLUSH_SIZE) {
        free(conn->out.ptr);
        conn->out = (wire_text_t){0};
    }
}

static void
on_shutdown(uv_shutdown_t *req, int status)
{
    (void)status;
    free(req);
}

/* Ends our side after the last answer; the caller's close or a timer ends the connection. */
static void
finish_conn(conn_t *conn)
{
    set_state(conn, STATE_CLOSING);
    uv_shutdown_t *req = xmalloc(sizeof(*req));
    if (uv_shutdown(req, (uv_stream_t *)&conn->tcp, on_shutdown) != 0) {
        free(req);
        close_conn(conn);
    }
}

static void
next_request(conn_t *conn)
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
    set_state(conn, STATE_IDLE);
    if (conn->early_len == 0)
        return;
    char *early = conn->early;
    const size_t len = conn->early_len;
    conn->early = NULL;
    conn->early_len = 0;
    feed(conn, early, len);
    free(early);
}

bool
wire_respond_started(const wire_request_t *req)
{
    return ((const conn_t *)req)->started;
}

void
wire_respond_head(wire_request_t *req, int status, str_t fields, int64_t length)
{
    conn_t *conn = (conn_t *)req;
    xassert(conn->state == STATE_ANSWERING && !conn->started);
    conn->started = true;
    conn->chunked = length == WIRE_CHUNKED && conn->parser.http_minor >= 1;
    conn->until_close = length < 0 && !conn->chunked;
    if (conn->listener->draining || conn->until_close)
        conn->keep = false;
    wire_text_printf(&conn->out, "HTTP/1.1 %d %s\r\n", status, wire_reason(status));
    wire_text_str(&conn->out, fields);
    if (length >= 0)
        wire_text_printf(&conn->out, "Content-Length: %lld\r\n", (long long)length);
    else if (conn->chunked)
        wire_text_str(&conn->out, STR("Transfer-Encoding: chunked\r\n"));
    wire_text_str(&conn->out, conn->keep ? STR("\r\n") : STR("Connection: close\r\n\r\n"));
}

void
wire_respond_data(wire_request_t *req, const char *ptr, size_t len)
{
    conn_t *conn = (conn_t *)req;
    if (conn->head_only || len == 0)
        return;
    if (conn->chunked)
        wire_text_printf(&conn->out, "%zx\r\n", len);
    wire_text_add(&conn->out, ptr, len);
    if (conn->chunked)
        wire_text_add(&conn->out, "\r\n", 2);
    if (conn->out.len >= FLUSH_SIZE)
        flush(conn);
}

void
wire_respond_flush(wire_request_t *req)
{
    flush((conn_t *)req);
}

void
wire_respond_end(wire_request_t *req)
{
    conn_t *conn = (conn_t *)req;
    if (conn->chunked && !conn->head_only)
        wire_text_str(&conn->out, STR("0\r\n\r\n"));
    conn->req.on_gone = NULL;
    flush(conn);
    if (conn->dead)
        return;
    if (conn->keep)
        next_request(conn);
    else
        finish_conn(conn);
}

void
wire_respond_abort(wire_request_t *req)
{
    conn_t *conn = (conn_t *)req;
    conn->req.on_gone = NULL;
    flush(conn);
    if (conn->until_close)
        reset_conn(conn); /* an ordinary close would make the answer look whole */
    else
        close_conn(conn);
}

void
wire_respond(wire_request_t *req, int status, str_t fields, str_t body)
{
    wire_respond_head(req, status, fields, (int64_t)body.len);
    wire_respond_data(req, body.ptr, body.len);
    wire_respond_end(req);
}

size_t
wire_respond_backlog(const wire_request_t *req)
{
    const conn_t *conn = (const conn_t *)req;
    return conn->in_flight + conn->out.len;
}

/* A request that is not one: answered, and the connection ends. */
static void
refuse_input(conn_t *conn, int status)
{
    LOG_DBG("request refused: status=%d", status);
    conn->keep = false;
    set_state(conn, STATE_ANSWERING);
    wire_respond(&conn->req, status, STR(""), STR(""));
}

static int
on_begin(http_parser *parser)
{
    conn_t *conn = parser->data;
    conn->req.begun_ms = uv_now(conn->listener->loop);
    set_state(conn, STATE_READING);
    return 0;
}

static int
on_url(http_parser *parser, const char *ptr, size_t len)
{
    conn_t *conn = parser->data;
    wire_head_add_target(&conn->req.head, ptr, len);
    return 0;
}

static int
on_field(http_parser *parser, const char *ptr, size_t len)
{
    conn_t *conn = parser->data;
    wire_head_add_name(&conn->req.head, ptr, len);
    return 0;
}

static int
on_value(http_parser *parser, const char *ptr, size_t len)
{
    conn_t *conn = parser->data;
    wire_head_add_value(&conn->req.head, ptr, len);
    return 0;
}

static bool
head_too_large(const conn_t *conn)
{
    return conn->req.head.too_large || conn->req.head.len > conn->listener->limits.max_head;
}

static int
on_head_done(http_parser *parser)
{
    conn_t *conn = parser->data;
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
        flush(conn);
    }
    return 0;
}

static int
on_body(http_parser *parser, const char *ptr, size_t len)
{
    conn_t *conn = parser->data;
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
    conn_t *conn = parser->data;
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
keep_early(conn_t *conn, const char *ptr, size_t len)
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
input_error_status(const conn_t *conn)
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
feed(conn_t *conn, const char *ptr, size_t len)
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
        set_state(conn, STATE_ANSWERING);
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
    conn_t *conn = stream->data;
    if (conn->dead || n == 0)
        return;
    if (n < 0) {
        lose_conn(conn);
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
    conn_t *conn = xcalloc(1, sizeof(*conn));
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
        close_conn(conn);
        return;
    }
    uv_tcp_nodelay(&conn->tcp, 1);
    set_state(conn, STATE_IDLE);
    uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
}

static void
on_check(uv_timer_t *timer)
{
    wire_listener_t *listener = timer->data;
    const uint64_t now = uv_now(listener->loop);
    conn_t *next;
    for (conn_t *conn = listener->conns; conn != NULL; conn = next) {
        next = conn->next;
        const uint64_t age = now - conn->since_ms;
        if (conn->state == STATE_IDLE && age > listener->limits.idle_timeout_ms)
            finish_conn(conn);
        else if (conn->state == STATE_READING && age > listener->limits.head_timeout_ms)
            refuse_input(conn, HTTP_STATUS_REQUEST_TIMEOUT);
        else if (conn->state == STATE_CLOSING && age > CLOSE_LINGER_MS)
            close_conn(conn);
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
    conn_t *next;
    for (conn_t *conn = listener->conns; conn != NULL; conn = next) {
        next = conn->next;
        if (conn->state == STATE_IDLE)
            finish_conn(conn);
    }
}
