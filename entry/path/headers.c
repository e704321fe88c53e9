#include <ctype.h>
#include <stdio.h>
#include <strings.h>

#include "base/xmalloc.h"
#include "entry/path/headers.h"

static bool
is_hop_by_hop(str_t name)
{
    static const char *const names[] = {"connection", "keep-alive",         "proxy-connection",
                                        "te",         "transfer-encoding",  "trailer",
                                        "upgrade",    "proxy-authenticate", "proxy-authorization"};
    for (size_t i = 0; i < ALEN(names); i++) {
        if (str_eq(name, str_from(names[i])))
            return true;
    }
    return false;
}

/* True if the Connection header lists `name`. */
static bool
is_listed_in(str_t connection, str_t name)
{
    size_t at = 0;
    while (at < connection.len) {
        size_t end = at;
        while (end < connection.len && connection.ptr[end] != ',')
            end++;
        size_t first = at;
        size_t last = end;
        while (first < last && isspace((unsigned char)connection.ptr[first]))
            first++;
        while (last > first && isspace((unsigned char)connection.ptr[last - 1]))
            last--;
        if (last - first == name.len &&
            strncasecmp(connection.ptr + first, name.ptr, name.len) == 0)
            return true;
        at = end + 1;
    }
    return false;
}

static bool
is_internal_answer_header(str_t name)
{
    return str_eq(name, STR("x-irisstall-load")) || str_eq(name, STR("x-irisstall-draining")) ||
           str_eq(name, STR("server")) || str_eq(name, STR("date"));
}

void
headers_copy_answer(h2o_req_t *req, const http_head_t *head, str_t entry)
{
    const str_t connection = http_head_find(head, STR("connection"));
    req->res.status = head->status;
    req->res.reason = head->status < 400 ? "OK" : "Error";
    for (size_t i = 0; i < head->header_count; i++) {
        const str_t name = {head->headers[i].name->base, head->headers[i].name->len};
        const str_t value = {head->headers[i].value.base, head->headers[i].value.len};
        uint64_t length;
        if (str_eq(name, STR("content-length")) && str_to_u64(value, &length))
            req->res.content_length = length;
        else if (!is_hop_by_hop(name) && !is_listed_in(connection, name) &&
                 !is_internal_answer_header(name))
            http_add_header(req, h2o_strdup(&req->pool, name.ptr, name.len).base, value);
    }
    if (http_head_find(head, STR("x-irisstall-outcome")).len == 0)
        http_add_header(req, "x-irisstall-outcome", STR("ran"));
    http_add_header(req, "x-irisstall-entry", entry);
}

static bool
is_passed_on(str_t name, str_t connection)
{
    static const char *const replaced[] = {"host", "content-length", "x-request-id", "traceparent",
                                           "expect"};
    for (size_t i = 0; i < ALEN(replaced); i++) {
        if (str_eq(name, str_from(replaced[i])))
            return false;
    }
    return !str_starts_with(name, STR("x-irisstall-")) && !is_hop_by_hop(name) &&
           !is_listed_in(connection, name);
}

char *
headers_copy_request(const h2o_req_t *req)
{
    const str_t connection = http_header(req, STR("connection"));
    char *text = NULL;
    size_t len = 0;
    FILE *out = open_memstream(&text, &len);
    if (out == NULL)
        BUG("out of memory");
    for (size_t i = 0; i < req->headers.size; i++) {
        const h2o_header_t *header = &req->headers.entries[i];
        const str_t name = {header->name->base, header->name->len};
        if (is_passed_on(name, connection))
            fprintf(out, "%.*s: %.*s\r\n", STR_ARG(name), (int)header->value.len,
                    header->value.base);
    }
    fclose(out);
    return text;
}
