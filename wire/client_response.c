#include <strings.h>

#include "base/xmalloc.h"
#include "wire/client_response.h"
#include "wire/framing.h"

enum {
    MS_PER_S = 1000,
    /* Bytes of skipped responses; a late response to an earlier request may be among them. */
    SKIPPED_MAX = 1 << 20,
};

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

/* The parser ends after the head: the body is read by wire/body.h. */
static int
on_headers_complete(http_parser *parser)
{
    enum { SKIP_BODY = 1 };
    client_conn_t *conn = parser->data;
    wire_call_t *call = conn->call;
    int64_t length;
    bool exact;
    conn->head.status = parser->status_code;
    if (!wire_framing_response(&conn->head, parser, call->conf.head_method, &length, &exact)) {
        conn->framing_invalid = true;
        return -1;
    }
    wire_body_begin(&conn->body, length);
    conn->skip_response = parser->status_code < 200 ||
                          (call->cbs.matches != NULL && !call->cbs.matches(call->ctx, &conn->head));
    if (parser->status_code >= 200 && (conn->skip_response || !exact || length == WIRE_UNTIL_CLOSE))
        conn->reusable = false;
    if (conn->skip_response)
        return SKIP_BODY;
    conn->keep_alive_ms = parse_keep_alive_ms(&conn->head);
    call->result.stage = WIRE_HEAD;
    call->cbs.on_head(call->ctx, &conn->head, length);
    return conn->call == NULL ? -1 : SKIP_BODY;
}

static int
on_head_end(http_parser *parser)
{
    client_conn_t *conn = parser->data;
    conn->head_complete = true;
    if (!conn->skip_response && !http_should_keep_alive(parser))
        conn->reusable = false;
    http_parser_pause(parser, 1);
    return 0;
}

/* Returns false if the callback has cancelled the call. */
static bool
on_body(void *ctx, const char *ptr, size_t len)
{
    client_conn_t *conn = ctx;
    if (conn->skip_response)
        return true;
    conn->call->cbs.on_data(conn->call->ctx, ptr, len);
    return conn->call != NULL;
}

static const http_parser_settings parser_settings = {
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_headers_complete,
    .on_message_complete = on_head_end,
};

static void
begin_head(client_conn_t *conn)
{
    http_parser_init(&conn->parser, HTTP_RESPONSE);
    conn->parser.data = conn;
    wire_head_reset(&conn->head);
    conn->head_complete = false;
    conn->skip_response = false;
}

void
client_response_begin(client_conn_t *conn)
{
    begin_head(conn);
    conn->framing_invalid = false;
    conn->skipped = 0;
    conn->reusable = true;
}

static size_t
read_head(client_conn_t *conn, const char *ptr, size_t len)
{
    wire_head_begin_input(&conn->head, ptr);
    const size_t used = http_parser_execute(&conn->parser, &parser_settings, ptr, len);
    wire_head_end_input(&conn->head, ptr + len);
    return used;
}

/* Reads a head and its body, or the rest of them. Returns RESPONSE_COMPLETE also at the end of a
 * response that is skipped. */
static client_response_state_t
read_response(client_conn_t *conn, const char *ptr, size_t len, size_t *used)
{
    size_t body_used;
    *used = 0;
    if (!conn->head_complete) {
        *used = read_head(conn, ptr, len);
        if (conn->call == NULL)
            return RESPONSE_CANCELLED;
        if (!conn->head_complete)
            return HTTP_PARSER_ERRNO(&conn->parser) == HPE_OK ? RESPONSE_INCOMPLETE
                                                              : RESPONSE_INVALID;
    }
    const wire_body_result_t result =
        wire_body_read(&conn->body, ptr + *used, len - *used, &body_used, on_body, conn);
    *used += body_used;
    switch (result) {
    case WIRE_BODY_STOPPED:
        return RESPONSE_CANCELLED;
    case WIRE_BODY_INVALID:
        conn->framing_invalid = true;
        return RESPONSE_INVALID;
    case WIRE_BODY_INCOMPLETE:
        return RESPONSE_INCOMPLETE;
    case WIRE_BODY_COMPLETE:
        return RESPONSE_COMPLETE;
    }
    BUG("result");
}

/* Counts bytes of a response that is skipped; false if there are too many. */
static bool
count_skipped(client_conn_t *conn, size_t len)
{
    conn->skipped += conn->skip_response ? len : 0;
    return conn->skipped <= SKIPPED_MAX;
}

client_response_state_t
client_response_parse(client_conn_t *conn, const char *ptr, size_t len)
{
    size_t at = 0;
    while (at < len) {
        size_t used;
        const client_response_state_t state = read_response(conn, ptr + at, len - at, &used);
        at += used;
        if (!count_skipped(conn, used))
            return RESPONSE_INVALID;
        if (state != RESPONSE_COMPLETE)
            return state;
        if (!conn->skip_response) {
            conn->call->result.stage = WIRE_COMPLETE;
            conn->reusable = conn->reusable && at == len;
            return RESPONSE_COMPLETE;
        }
        begin_head(conn);
    }
    return RESPONSE_INCOMPLETE;
}

client_response_state_t
client_response_end(client_conn_t *conn)
{
    if (!conn->head_complete || conn->skip_response || !wire_body_ends_with_close(&conn->body))
        return RESPONSE_INCOMPLETE;
    conn->call->result.stage = WIRE_COMPLETE;
    return RESPONSE_COMPLETE;
}

const char *
client_response_error(const client_conn_t *conn)
{
    if (conn->skipped > SKIPPED_MAX)
        return "too many bytes before the response";
    return conn->framing_invalid ? "invalid framing"
                                 : http_errno_description(HTTP_PARSER_ERRNO(&conn->parser));
}
