#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "wire/fetch.h"

enum { CONNECT_TIMEOUT_MS = 1000, IDLE_MAX_MS = 8000 };

typedef struct {
    wire_fetch_cb_t cb;
    void *ctx;
    wire_call_t *call;
    wire_text_t body;
    int status;
    size_t max_body;
    str_t tag_field;
    uint64_t tag;
} fetch_t;

static void
finish(fetch_t *fetch, const err_t *err)
{
    const wire_response_t response = {
        .err = *err,
        .status = fetch->status,
        .tag = fetch->tag,
        .body = {fetch->body.ptr != NULL ? fetch->body.ptr : "", fetch->body.len},
    };
    fetch->cb(fetch->ctx, &response);
    free(fetch->body.ptr);
    free(fetch);
}

/* Cancels the call instead of draining the response, which would waste bandwidth. */
static void
reject_response(fetch_t *fetch)
{
    err_t err = {0};
    err_set(&err, ERR_TOO_LARGE, "response larger than %zu bytes", fetch->max_body);
    wire_call_cancel(fetch->call);
    finish(fetch, &err);
}

static void
on_head(void *ctx, const wire_head_t *head, int64_t content_length)
{
    fetch_t *fetch = ctx;
    fetch->status = head->status;
    if (fetch->tag_field.len == 0 ||
        !str_to_u64(wire_head_find(head, fetch->tag_field), &fetch->tag))
        fetch->tag = 0;
    if (content_length > 0 && (uint64_t)content_length > fetch->max_body)
        reject_response(fetch);
}

static void
on_data(void *ctx, const char *ptr, size_t len)
{
    fetch_t *fetch = ctx;
    if (fetch->body.len + len > fetch->max_body)
        reject_response(fetch);
    else
        wire_text_add(&fetch->body, ptr, len);
}

static void
on_end(void *ctx, const wire_call_result_t *result)
{
    finish(ctx, &result->err);
}

void
wire_fetch(wire_pool_t *pool, const wire_fetch_conf_t *conf, wire_fetch_cb_t cb, void *ctx)
{
    static const wire_call_cbs_t cbs = {.on_head = on_head, .on_data = on_data, .on_end = on_end};
    char host[ADDR_TEXT_MAX];
    wire_text_t text = {0};
    wire_text_str(&text, str_from(conf->method));
    wire_text_str(&text, STR(" "));
    wire_text_str(&text, str_from(conf->target));
    wire_text_printf(&text, " HTTP/1.1\r\nHost: %s\r\n", addr_format(wire_pool_addr(pool), host));
    if (conf->body.len > 0)
        wire_text_printf(&text, "Content-Type: application/json\r\nContent-Length: %zu\r\n",
                         conf->body.len);
    wire_text_str(&text, STR("\r\n"));
    wire_text_str(&text, conf->body);

    fetch_t *fetch = xcalloc(1, sizeof(*fetch));
    fetch->cb = cb;
    fetch->ctx = ctx;
    fetch->max_body = conf->max_body;
    fetch->tag_field = conf->tag_field;
    const wire_call_conf_t call = {
        .request = text.ptr,
        .request_len = text.len,
        .connect_timeout_ms = CONNECT_TIMEOUT_MS,
        .timeout_ms = conf->timeout_ms,
        .read_timeout_ms = conf->read_timeout_ms,
        .total_timeout_ms = conf->total_timeout_ms,
        .idle_max_ms = IDLE_MAX_MS,
    };
    fetch->call = wire_call_start(pool, &call, &cbs, fetch);
}
