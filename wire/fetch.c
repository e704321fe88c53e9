#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "wire/fetch.h"

/* To the store, which answers within milliseconds. Chosen, not measured. */
enum { CONNECT_TIMEOUT_MS = 1000, IDLE_MAX_MS = 8000 };

typedef struct {
    wire_fetch_cb_t cb;
    void *ctx;
    wire_text_t body;
    int status;
    size_t max_body;
    bool too_large;
} fetch_t;

static void
on_head(void *ctx, const wire_head_t *head, int64_t content_length)
{
    (void)content_length;
    fetch_t *fetch = ctx;
    fetch->status = head->status;
}

static void
on_data(void *ctx, const char *ptr, size_t len)
{
    fetch_t *fetch = ctx;
    if (fetch->body.len + len > fetch->max_body)
        fetch->too_large = true;
    else
        wire_text_add(&fetch->body, ptr, len);
}

static void
on_end(void *ctx, const wire_end_t *end)
{
    fetch_t *fetch = ctx;
    wire_answer_t answer = {
        .err = end->err,
        .status = fetch->status,
        .body = {fetch->body.ptr != NULL ? fetch->body.ptr : "", fetch->body.len},
    };
    if (fetch->too_large && answer.err.code == ERR_NONE)
        err_set(&answer.err, ERR_TOO_LARGE, "answer above %zu bytes", fetch->max_body);
    fetch->cb(fetch->ctx, &answer);
    free(fetch->body.ptr);
    free(fetch);
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
    const wire_call_conf_t call = {
        .request = text.ptr,
        .request_len = text.len,
        .connect_timeout_ms = CONNECT_TIMEOUT_MS,
        .timeout_ms = conf->timeout_ms,
        .stall_ms = conf->stall_ms,
        .whole_ms = conf->whole_ms,
        .idle_max_ms = IDLE_MAX_MS,
    };
    wire_call_start(pool, &call, &cbs, fetch);
}
