#include <strings.h>

#include "wire/client_response.h"

enum { MS_PER_S = 1000 };

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

/* Returns "timeout=N" of the Keep-Alive field in milliseconds, 0 if absent. */
static uint64_t
parse_keep_alive_ms(const wire_head_t *head)
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
on_headers_complete(http_parser *parser)
{
    client_conn_t *conn = parser->data;
    wire_call_t *call = conn->call;
    conn->head.status = parser->status_code;
    conn->skip_response = parser->status_code < 200 ||
                          (call->cbs.matches != NULL && !call->cbs.matches(call->ctx, &conn->head));
    if (conn->skip_response) {
        if (parser->status_code >= 200)
            conn->reusable = false;
        return 0;
    }
    conn->keep_alive_ms = parse_keep_alive_ms(&conn->head);
    call->result.stage = WIRE_HEAD;
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
    if (conn->skip_response)
        return 0;
    conn->call->cbs.on_data(conn->call->ctx, ptr, len);
    return conn->call == NULL ? -1 : 0;
}

static int
on_complete(http_parser *parser)
{
    client_conn_t *conn = parser->data;
    if (conn->skip_response) {
        wire_head_reset(&conn->head);
        return 0;
    }
    conn->call->result.stage = WIRE_COMPLETE;
    if (!http_should_keep_alive(parser))
        conn->reusable = false;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

void
client_response_begin(client_conn_t *conn)
{
    http_parser_init(&conn->parser, HTTP_RESPONSE);
    conn->parser.data = conn;
    wire_head_reset(&conn->head);
    conn->reusable = true;
    conn->skip_response = false;
}

client_response_state_t
client_response_parse(client_conn_t *conn, const char *ptr, size_t len)
{
    const size_t used = http_parser_execute(&conn->parser, &parser_settings, ptr, len);
    if (conn->call == NULL)
        return RESPONSE_CANCELLED;
    if (conn->call->result.stage == WIRE_COMPLETE) {
        conn->reusable = conn->reusable && used == len;
        return RESPONSE_COMPLETE;
    }
    return HTTP_PARSER_ERRNO(&conn->parser) == HPE_OK ? RESPONSE_INCOMPLETE : RESPONSE_INVALID;
}

const char *
client_response_error(const client_conn_t *conn)
{
    return http_errno_description(HTTP_PARSER_ERRNO(&conn->parser));
}
