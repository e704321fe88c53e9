#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "entry/http/fetch.h"

struct fetch {
    http_call_t *call;
    fetch_cb_t cb;
    void (*on_head)(void *ctx, const http_head_t *head);
    void *ctx;
    uint64_t etag;
    char *body;
    size_t len;
    size_t max_body;
    bool too_large;
};

static void
on_head(void *ctx, const http_head_t *head)
{
    fetch_t *fetch = ctx;
    const str_t etag = http_head_find(head, STR("etag"));
    if (!str_to_u64(etag, &fetch->etag))
        fetch->etag = 0;
    if (fetch->on_head != NULL)
        fetch->on_head(fetch->ctx, head);
}

static void
on_data(void *ctx, const char *ptr, size_t len)
{
    fetch_t *fetch = ctx;
    if (fetch->too_large || fetch->len + len > fetch->max_body) {
        fetch->too_large = true;
        return;
    }
    fetch->body = xrealloc(fetch->body, fetch->len + len + 1);
    memcpy(fetch->body + fetch->len, ptr, len);
    fetch->len += len;
    fetch->body[fetch->len] = '\0';
}

static void
on_end(void *ctx, const http_result_t *result)
{
    fetch_t *fetch = ctx;
    http_result_t final = *result;
    if (fetch->too_large && final.err.code == ERR_NONE)
        err_set(&final.err, ERR_TOO_LARGE, "answer above %zu bytes", fetch->max_body);
    const fetch_answer_t answer = {
        .result = &final,
        .etag = fetch->etag,
        .body = {fetch->body != NULL ? fetch->body : "", fetch->len},
    };
    fetch->cb(fetch->ctx, &answer);
    free(fetch->body);
    free(fetch);
}

fetch_t *
fetch_start(const fetch_conf_t *conf, fetch_cb_t cb, void *ctx)
{
    static const http_call_cbs_t cbs = {.on_head = on_head, .on_data = on_data, .on_end = on_end};
    char host[ADDR_TEXT_MAX];
    addr_format(http_target_addr(conf->target), host);
    char *head =
        xasprintf("%s %s HTTP/1.1\r\nhost: %s\r\ncontent-length: %zu\r\n%s\r\n", conf->method,
                  conf->path, host, conf->body.len, conf->headers != NULL ? conf->headers : "");
    const size_t head_len = strlen(head);
    head = xrealloc(head, head_len + conf->body.len + 1);
    if (conf->body.len > 0)
        memcpy(head + head_len, conf->body.ptr, conf->body.len);

    fetch_t *fetch = xcalloc(1, sizeof(*fetch));
    fetch->cb = cb;
    fetch->on_head = conf->on_head;
    fetch->ctx = ctx;
    fetch->max_body = conf->max_body;
    const http_call_conf_t call = {
        .target = conf->target,
        .timeout_ms = conf->timeout_ms,
        .request = head,
        .request_len = head_len + conf->body.len,
    };
    fetch->call = http_call_start(&call, &cbs, fetch);
    return fetch;
}
