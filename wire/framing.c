#include "wire/framing.h"

#include <ctype.h>
#include <string.h>

#include "base/xmalloc.h"

static const str_t field_length = {"content-length", 14};
static const str_t field_coding = {"transfer-encoding", 17};
static const str_t field_host = {"host", 4};

/* The fields that describe the body. */
typedef struct {
    size_t lengths; /* number of fields with a length */
    size_t codings;
    str_t length;
    str_t coding;
} framing_fields_t;

/* RFC 9110, 5.6.2 */
static bool
is_token(str_t text)
{
    for (size_t i = 0; i < text.len; i++) {
        const unsigned char c = (unsigned char)text.ptr[i];
        if (c == '\0' || (!isalnum(c) && strchr("!#$%&'*+-.^_`|~", c) == NULL))
            return false;
    }
    return text.len > 0;
}

static bool
has_valid_names(const wire_head_t *head)
{
    for (size_t i = 0; i < head->field_count; i++) {
        if (!is_token(wire_head_name(head, i)))
            return false;
    }
    return !head->folded;
}

static framing_fields_t
find_fields(const wire_head_t *head)
{
    framing_fields_t found = {0};
    for (size_t i = 0; i < head->field_count; i++) {
        if (wire_str_case_eq(wire_head_name(head, i), field_length)) {
            found.lengths++;
            found.length = str_trim(wire_head_value(head, i));
        } else if (wire_str_case_eq(wire_head_name(head, i), field_coding)) {
            found.codings++;
            found.coding = str_trim(wire_head_value(head, i));
        }
    }
    return found;
}

/* False for a number that is invalid or given twice. */
static bool
read_length(const framing_fields_t *fields, int64_t *out)
{
    uint64_t value;
    if (fields->lengths != 1 || !str_to_u64(fields->length, &value) || value > INT64_MAX)
        return false;
    *out = (int64_t)value;
    return true;
}

static bool
is_chunked(const framing_fields_t *fields)
{
    return fields->codings == 1 && wire_str_case_eq(fields->coding, STR("chunked"));
}

/* True if the last coding of the list, and no other, is "chunked". */
static bool
ends_chunked(str_t codings)
{
    static const str_t chunked = {"chunked", 7};
    size_t found = 0;
    str_t last = {0};
    while (codings.len > 0) {
        const char *comma = memchr(codings.ptr, ',', codings.len);
        const size_t len = comma != NULL ? (size_t)(comma - codings.ptr) : codings.len;
        last = str_trim((str_t){codings.ptr, len});
        found += wire_str_case_eq(last, chunked);
        const size_t skip = comma != NULL ? len + 1 : len;
        codings = (str_t){codings.ptr + skip, codings.len - skip};
    }
    return found == 1 && wire_str_case_eq(last, chunked);
}

/* ---- requests ---- */

static bool
is_valid_host(str_t host)
{
    for (size_t i = 0; i < host.len; i++) {
        const unsigned char c = (unsigned char)host.ptr[i];
        if (c <= ' ' || c >= 0x7f || strchr("\"#,/<>?@\\^`{|}", c) != NULL)
            return false;
    }
    return true;
}

/* RFC 9112, 3.2 */
static bool
has_valid_host(const wire_head_t *head, const http_parser *parser)
{
    size_t hosts = 0;
    for (size_t i = 0; i < head->field_count; i++) {
        if (!wire_str_case_eq(wire_head_name(head, i), field_host))
            continue;
        hosts++;
        if (!is_valid_host(str_trim(wire_head_value(head, i))))
            return false;
    }
    return hosts == 1 || (hosts == 0 && parser->http_minor == 0);
}

static bool
has_valid_target(const wire_head_t *head)
{
    const str_t target = wire_head_target(head);
    for (size_t i = 0; i < target.len; i++) {
        const unsigned char c = (unsigned char)target.ptr[i];
        if (c <= ' ' || c == 0x7f)
            return false;
    }
    return target.len > 0;
}

int
wire_framing_request(const wire_head_t *head, const http_parser *parser, int64_t *length)
{
    const framing_fields_t fields = find_fields(head);
    *length = 0;
    if (parser->http_major != 1)
        return HTTP_STATUS_HTTP_VERSION_NOT_SUPPORTED;
    if (!has_valid_names(head) || !has_valid_host(head, parser) || !has_valid_target(head))
        return HTTP_STATUS_BAD_REQUEST;
    if (fields.codings == 0)
        return fields.lengths == 0 || read_length(&fields, length) ? 0 : HTTP_STATUS_BAD_REQUEST;
    if (fields.lengths > 0 || parser->http_minor == 0)
        return HTTP_STATUS_BAD_REQUEST;
    *length = WIRE_CHUNKED;
    if (is_chunked(&fields))
        return 0;
    return fields.codings == 1 && ends_chunked(fields.coding) ? HTTP_STATUS_NOT_IMPLEMENTED
                                                              : HTTP_STATUS_BAD_REQUEST;
}

/* ---- responses ---- */

/* Responses that end with their head (RFC 9112, 6.3). */
static bool
has_no_body(const http_parser *parser, bool head_method)
{
    return head_method || parser->status_code < HTTP_STATUS_OK ||
           parser->status_code == HTTP_STATUS_NO_CONTENT ||
           parser->status_code == HTTP_STATUS_NOT_MODIFIED;
}

bool
wire_framing_response(const wire_head_t *head, const http_parser *parser, bool head_method,
                      int64_t *length, bool *exact)
{
    const framing_fields_t fields = find_fields(head);
    *length = 0;
    *exact = true;
    if (parser->http_major != 1 || parser->status_code == HTTP_STATUS_SWITCHING_PROTOCOLS ||
        !has_valid_names(head))
        return false;
    if (fields.codings > 0 &&
        (fields.lengths > 0 || !is_chunked(&fields) || parser->http_minor == 0))
        return false;
    if (fields.lengths > 0 && !read_length(&fields, length))
        return false;
    if (has_no_body(parser, head_method)) {
        const bool may_announce = head_method || parser->status_code == HTTP_STATUS_NOT_MODIFIED;
        *exact = may_announce || (*length == 0 && fields.codings == 0);
        *length = 0;
        return true;
    }
    if (fields.codings > 0)
        *length = WIRE_CHUNKED;
    else if (fields.lengths == 0)
        *length = WIRE_UNTIL_CLOSE;
    return true;
}
