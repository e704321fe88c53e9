#include <stdlib.h>
#include <string.h>

#include <http_parser.h>

#define LOG_MODULE "listener"
#include "base/counter.h"
#include "base/log.h"
#include "base/loop_time.h"
#include "base/xmalloc.h"
#include "wire/framing.h"
#include "wire/request_reader.h"

/* A client that sends requests without reading the responses has to read first. */
static bool
may_begin_request(const wire_conn_t *conn)
{
    return conn->in_flight + conn->out.len <= WIRE_PIPELINE_BACKLOG;
}

/* True if input can be parsed now; otherwise it is kept. */
static bool
can_parse(const wire_conn_t *conn)
{
    return conn->state == STATE_READING || (conn->state == STATE_IDLE && may_begin_request(conn));
}

void
request_reader_refuse(wire_conn_t *conn, int status)
{
    LOG_DBG("request rejected: status=%d", status);
    if (conn->over_bodies)
        counter_add(counter_get("irisstall_bodies_refused_total", NULL,
                                "Requests refused because the bodies of all take too much memory."),
                    1);
    conn->keep_alive = false;
    conn->body_expected = 0;
    wire_conn_set_state(conn, STATE_ANSWERING);
    const bool retries = status == HTTP_STATUS_SERVICE_UNAVAILABLE;
    wire_respond(&conn->req, status, retries ? STR("Retry-After: 1\r\n") : STR(""), STR(""));
}

static int
on_begin(http_parser *parser)
{
    wire_conn_t *conn = parser->data;
    conn->req.begun_ms = loop_now(conn->listener->loop);
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
    return conn->req.head.len > conn->listener->limits.max_head;
}

/* True if the large bodies of all connections fit with `bytes` of this one. Small ones and the only
 * large one always do, so that the limit on a single body is the configured one. */
static bool
has_room_for_body(wire_conn_t *conn, size_t bytes)
{
    const size_t max = conn->listener->limits.max_bodies;
    const size_t others = conn->listener->bodies - conn->body_held;
    conn->over_bodies = max > 0 && bytes > WIRE_SMALL_BODY && others > 0 && others + bytes > max;
    return !conn->over_bodies;
}

/* Stops the parser with the status to refuse the request with. */
static int
refuse_head(wire_conn_t *conn, int status)
{
    conn->refusal = status;
    return -1;
}

static void
begin_body(wire_conn_t *conn, int64_t length)
{
    wire_body_begin(&conn->body, length);
    conn->body_expected = length > 0 ? (size_t)length : 0;
    if (wire_head_find(&conn->req.head, STR("expect")).len > 0) {
        wire_text_str(&conn->out, STR("HTTP/1.1 100 Continue\r\n\r\n"));
        wire_conn_flush(conn);
    }
}

/* The parser ends after the head: the body is read by wire/body.h. */
static int
on_headers_complete(http_parser *parser)
{
    enum { SKIP_BODY = 1 };
    wire_conn_t *conn = parser->data;
    int64_t length;
    if (head_too_large(conn))
        return refuse_head(conn, HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE);
    const int refusal = wire_framing_request(&conn->req.head, parser, &length);
    if (refusal != 0)
        return refuse_head(conn, refusal);
    if (length > 0 && (uint64_t)length > conn->listener->limits.max_body)
        return refuse_head(conn, HTTP_STATUS_PAYLOAD_TOO_LARGE);
    if (length > 0 && !has_room_for_body(conn, (size_t)length))
        return refuse_head(conn, HTTP_STATUS_SERVICE_UNAVAILABLE);
    conn->req.head.method = parser->method;
    conn->head_only = parser->method == HTTP_HEAD;
    conn->keep_alive = http_should_keep_alive(parser) != 0;
    begin_body(conn, length);
    return SKIP_BODY;
}

/* Allocation for a body of at least `bytes`: grows by doubling, up to the announced length. */
static size_t
larger_body_size(const wire_conn_t *conn, size_t bytes)
{
    const size_t size = conn->body_size * 2 > bytes ? conn->body_size * 2 : bytes;
    return size > conn->body_expected && bytes <= conn->body_expected ? conn->body_expected : size;
}

/* Returns false if the body does not fit. */
static bool
on_body(void *ctx, const char *ptr, size_t len)
{
    wire_conn_t *conn = ctx;
    wire_request_t *req = &conn->req;
    if (req->body_len + len > conn->listener->limits.max_body) {
        conn->refusal = HTTP_STATUS_PAYLOAD_TOO_LARGE;
        return false;
    }
    if (req->body_len + len > conn->body_size) {
        const size_t size = larger_body_size(conn, req->body_len + len);
        if (!has_room_for_body(conn, size)) {
            conn->refusal = HTTP_STATUS_SERVICE_UNAVAILABLE;
            return false;
        }
        conn->body_size = size;
        req->body = xrealloc(req->body, conn->body_size);
        wire_conn_update_held(conn);
    }
    memcpy(req->body + req->body_len, ptr, len);
    req->body_len += len;
    return true;
}

static int
on_head_end(http_parser *parser)
{
    wire_conn_t *conn = parser->data;
    conn->head_complete = true;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = on_begin,
    .on_url = on_url,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_headers_complete,
    .on_message_complete = on_head_end,
};

/* The caller reads no more than fits (request_reader_room()). */
static void
keep_pipelined(wire_conn_t *conn, const char *ptr, size_t len)
{
    if (len == 0)
        return;
    if (conn->pipelined_at > 0)
        memmove(conn->pipelined, conn->pipelined + conn->pipelined_at, conn->pipelined_len);
    conn->pipelined = xrealloc(conn->pipelined, conn->pipelined_len + len);
    memcpy(conn->pipelined + conn->pipelined_len, ptr, len);
    conn->pipelined_at = 0;
    conn->pipelined_len += len;
}

/* Parses the head and returns the number of bytes used; sets `refusal` if it is invalid. */
static size_t
read_head(wire_conn_t *conn, const char *ptr, size_t len)
{
    http_parser *parser = &conn->parser;
    wire_head_begin_input(&conn->req.head, ptr);
    const size_t used = http_parser_execute(parser, &parser_settings, ptr, len);
    wire_head_end_input(&conn->req.head, ptr + len);
    if (conn->head_complete || conn->refusal != 0)
        return used;
    if (head_too_large(conn) || HTTP_PARSER_ERRNO(parser) == HPE_HEADER_OVERFLOW)
        conn->refusal = HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE;
    else if (HTTP_PARSER_ERRNO(parser) != HPE_OK)
        conn->refusal = HTTP_STATUS_BAD_REQUEST;
    return used;
}

/* Reads the body and returns the number of bytes used; sets `refusal` if it is invalid. */
static size_t
read_body(wire_conn_t *conn, const char *ptr, size_t len)
{
    size_t used;
    const wire_body_result_t result = wire_body_read(&conn->body, ptr, len, &used, on_body, conn);
    if (result == WIRE_BODY_INVALID)
        conn->refusal = HTTP_STATUS_BAD_REQUEST;
    conn->request_complete = result == WIRE_BODY_COMPLETE;
    return used;
}

static void
begin_request(wire_conn_t *conn)
{
    http_parser_init(&conn->parser, HTTP_REQUEST);
    conn->parser.data = conn;
    conn->head_complete = false;
    conn->head_only = false;
    conn->refusal = 0;
}

/* Parses input up to the end of a request and returns the number of bytes used. */
static size_t
parse(wire_conn_t *conn, const char *ptr, size_t len)
{
    size_t used = 0;
    if (conn->state == STATE_IDLE)
        begin_request(conn);
    if (!conn->head_complete)
        used = read_head(conn, ptr, len);
    if (conn->head_complete && conn->refusal == 0)
        used += read_body(conn, ptr + used, len - used);
    return used;
}

/* Acts on what was parsed. */
static void
handle_parsed(wire_conn_t *conn)
{
    if (conn->refusal != 0) {
        request_reader_refuse(conn, conn->refusal);
    } else if (conn->request_complete) {
        wire_conn_set_state(conn, STATE_ANSWERING);
        conn->listener->handler(conn->listener->ctx, &conn->req);
    }
}

/* Parses the kept input as far as that is possible now. Requests that are answered at once come
 * back here through request_reader_next(); the loop goes on with the next one. */
static void
parse_pipelined(wire_conn_t *conn)
{
    if (conn->parsing_pipelined)
        return;
    conn->parsing_pipelined = true;
    while (!conn->closed && conn->pipelined_len > 0 && can_parse(conn)) {
        const size_t used = parse(conn, conn->pipelined + conn->pipelined_at, conn->pipelined_len);
        conn->pipelined_at += used;
        conn->pipelined_len -= used;
        handle_parsed(conn);
    }
    conn->parsing_pipelined = false;
    if (conn->pipelined_len == 0) {
        free(conn->pipelined);
        conn->pipelined = NULL;
        conn->pipelined_at = 0;
    }
    wire_conn_update_reading(conn);
}

void
request_reader_next(wire_conn_t *conn)
{
    wire_head_reset(&conn->req.head);
    wire_conn_free_body(conn);
    conn->req.on_disconnect = NULL;
    conn->req.on_drain = NULL;
    conn->request_complete = false;
    conn->head_complete = false;
    conn->head_sent = false;
    wire_conn_set_state(conn, STATE_IDLE);
    parse_pipelined(conn);
}

size_t
request_reader_room(const wire_conn_t *conn)
{
    if (conn->state == STATE_CLOSING || can_parse(conn))
        return WIRE_PIPELINED_MAX;
    return WIRE_PIPELINED_MAX - conn->pipelined_len;
}

void
request_reader_feed(wire_conn_t *conn, const char *ptr, size_t len)
{
    if (conn->state == STATE_CLOSING) {
        wire_conn_log_late_input(conn, len);
        return;
    }
    if (conn->pipelined_len == 0 && can_parse(conn)) {
        const size_t used = parse(conn, ptr, len);
        keep_pipelined(conn, ptr + used, len - used);
        handle_parsed(conn);
    } else {
        keep_pipelined(conn, ptr, len);
        parse_pipelined(conn);
    }
    wire_conn_update_reading(conn);
}
