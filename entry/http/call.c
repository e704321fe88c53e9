#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "call"
#include "base/log.h"
#include "base/xmalloc.h"
#include "entry/http/call.h"

enum { LIBRARY_IO_TIMEOUT_MS = 24 * 3600 * 1000 }; /* calls carry a timer of their own */

struct http_client {
    h2o_timeout_t io_timeout;
    h2o_http1client_ctx_t ctx;
};

struct http_target {
    uv_timer_t last; /* closed first, so that its callback runs after the pool's handles ended */
    http_client_t *client;
    addr_t addr;
    char host[INET6_ADDRSTRLEN];
    h2o_socketpool_t pool;
    size_t calls;
    bool closing;
};

struct http_call {
    uv_timer_t timer;
    http_target_t *target;
    h2o_http1client_t *client;
    http_call_cbs_t cbs;
    void *ctx;
    h2o_iovec_t request;
    h2o_iovec_t *request_list;
    http_result_t result;
    h2o_socket_cb paused_read;
    bool head_method;
    bool paused;
    bool starting; /* http_call_start() has not returned: on_end must wait for the loop */
    bool ended;
};

http_client_t *
http_client_new(uv_loop_t *loop)
{
    http_client_t *client = xcalloc(1, sizeof(*client));
    h2o_timeout_init(loop, &client->io_timeout, LIBRARY_IO_TIMEOUT_MS);
    client->ctx.loop = loop;
    client->ctx.io_timeout = &client->io_timeout;
    return client;
}

http_target_t *
http_target_new(http_client_t *client, const addr_t *addr, size_t capacity, uint64_t idle_ms)
{
    http_target_t *target = xcalloc(1, sizeof(*target));
    target->client = client;
    target->addr = *addr;
    uv_timer_init(client->ctx.loop, &target->last);
    target->last.data = target;
    char text[ADDR_TEXT_MAX];
    addr_format(addr, text);
    char *host = text[0] == '[' ? text + 1 : text;
    host[strcspn(host, text[0] == '[' ? "]" : ":")] = '\0';
    memcpy(target->host, host, strlen(host) + 1);
    h2o_socketpool_init_by_address(&target->pool, &target->addr.sa, addr_len(addr), 0, capacity);
    h2o_socketpool_set_timeout(&target->pool, client->ctx.loop, idle_ms);
    return target;
}

static void
on_target_closed(uv_handle_t *handle)
{
    free(handle->data);
}

/* The pool's own handles are closed by the loop later, so its memory has to outlive them: the
 * loop ends closing handles last in, first out. */
static void
release_target(http_target_t *target)
{
    if (!target->closing || target->calls > 0)
        return;
    uv_close((uv_handle_t *)&target->last, on_target_closed);
    h2o_socketpool_dispose(&target->pool);
}

void
http_target_free(http_target_t *target)
{
    target->closing = true;
    release_target(target);
}

const addr_t *
http_target_addr(const http_target_t *target)
{
    return &target->addr;
}

static void
on_timer_closed(uv_handle_t *handle)
{
    http_call_t *call = handle->data;
    http_target_t *target = call->target;
    free(call->request.base);
    free(call);
    target->calls--;
    release_target(target);
}

static void
release_call(http_call_t *call)
{
    uv_timer_stop(&call->timer);
    uv_close((uv_handle_t *)&call->timer, on_timer_closed);
}

static void
end_call(http_call_t *call)
{
    xassert(!call->ended);
    call->ended = true;
    call->client = NULL;
    call->cbs.on_end(call->ctx, &call->result);
    release_call(call);
}

static void
on_deferred_failure(uv_timer_t *timer)
{
    end_call(timer->data);
}

static void
fail(http_call_t *call, const char *what)
{
    const bool sent = call->result.stage >= HTTP_STAGE_SENT;
    err_set(&call->result.err, sent ? ERR_ANSWER_LOST : ERR_UNAVAILABLE, "%s:%u: %s",
            call->target->host, addr_port(&call->target->addr), what);
    if (call->starting) {
        call->client = NULL;
        uv_timer_start(&call->timer, on_deferred_failure, 0, 0);
        return;
    }
    end_call(call);
}

static int
on_body(h2o_http1client_t *client, const char *errstr)
{
    http_call_t *call = client->data;
    const bool whole = errstr == h2o_http1client_error_is_eos;
    h2o_buffer_t **input = &client->sock->input;
    if (errstr != NULL && !whole) {
        fail(call, errstr);
        return -1;
    }
    if ((*input)->size > 0) {
        call->cbs.on_data(call->ctx, (*input)->bytes, (*input)->size);
        h2o_buffer_consume(input, (*input)->size);
    }
    if (whole) {
        call->result.stage = HTTP_STAGE_DONE;
        end_call(call);
    }
    return 0;
}

static h2o_http1client_body_cb
on_head(h2o_http1client_t *client, const char *errstr, int minor_version, int status,
        h2o_iovec_t msg, h2o_header_t *headers, size_t num_headers, int rlen)
{
    (void)minor_version;
    (void)msg;
    (void)rlen;
    http_call_t *call = client->data;
    const bool whole = errstr == h2o_http1client_error_is_eos;
    if (errstr != NULL && !whole) {
        fail(call, errstr);
        return NULL;
    }
    call->result.stage = HTTP_STAGE_HEAD;
    call->result.status = status;
    const http_head_t head = {.status = status, .headers = headers, .header_count = num_headers};
    call->cbs.on_head(call->ctx, &head);
    if (whole) {
        call->result.stage = HTTP_STAGE_DONE;
        end_call(call);
        return NULL;
    }
    return on_body;
}

static h2o_http1client_head_cb
on_connect(h2o_http1client_t *client, const char *errstr, h2o_iovec_t **reqbufs, size_t *reqbufcnt,
           int *method_is_head)
{
    http_call_t *call = client->data;
    if (errstr != NULL) {
        fail(call, errstr);
        return NULL;
    }
    if (call->cbs.on_send != NULL && !call->cbs.on_send(call->ctx)) {
        fail(call, "given up before sending");
        return NULL;
    }
    call->result.stage = HTTP_STAGE_SENT;
    *reqbufs = &call->request;
    *reqbufcnt = 1;
    *method_is_head = call->head_method;
    return on_head;
}

static void
on_timeout(uv_timer_t *timer)
{
    http_call_t *call = timer->data;
    if (call->client != NULL)
        h2o_http1client_cancel(call->client);
    err_set(&call->result.err, ERR_TIMEOUT, "%s:%u: no whole answer in time", call->target->host,
            addr_port(&call->target->addr));
    end_call(call);
}

http_call_t *
http_call_start(const http_call_conf_t *conf, const http_call_cbs_t *cbs, void *ctx)
{
    http_target_t *target = conf->target;
    http_call_t *call = xcalloc(1, sizeof(*call));
    call->target = target;
    call->cbs = *cbs;
    call->ctx = ctx;
    call->request = h2o_iovec_init(conf->request, conf->request_len);
    call->head_method = conf->head_method;
    target->calls++;
    uv_timer_init(target->client->ctx.loop, &call->timer);
    call->timer.data = call;
    uv_update_time(target->client->ctx.loop);
    uv_timer_start(&call->timer, on_timeout, conf->timeout_ms, 0);
    call->starting = true;
    if (conf->fresh) {
        h2o_http1client_connect(&call->client, call, &target->client->ctx,
                                h2o_iovec_init(target->host, strlen(target->host)),
                                addr_port(&target->addr), 0, on_connect);
    } else {
        h2o_http1client_connect_with_pool(&call->client, call, &target->client->ctx, &target->pool,
                                          on_connect);
    }
    call->starting = false;
    return call;
}

void
http_call_cancel(http_call_t *call)
{
    xassert(!call->ended);
    call->ended = true;
    if (call->client != NULL)
        h2o_http1client_cancel(call->client);
    call->client = NULL;
    release_call(call);
}

void
http_call_pause(http_call_t *call)
{
    if (call->paused || call->client == NULL || call->client->sock == NULL)
        return;
    call->paused = true;
    call->paused_read = call->client->sock->_cb.read;
    h2o_socket_read_stop(call->client->sock);
}

void
http_call_resume(http_call_t *call)
{
    if (!call->paused)
        return;
    call->paused = false;
    h2o_socket_read_start(call->client->sock, call->paused_read);
}

http_stage_t
http_call_stage(const http_call_t *call)
{
    return call->result.stage;
}

str_t
http_head_find(const http_head_t *head, str_t name)
{
    for (size_t i = 0; i < head->header_count; i++) {
        const h2o_header_t *header = &head->headers[i];
        if (str_eq((str_t){header->name->base, header->name->len}, name))
            return (str_t){header->value.base, header->value.len};
    }
    return (str_t){"", 0};
}
