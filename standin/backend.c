#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/xmalloc.h"
#include "standin/backend.h"

enum { BACKLOG = 64, INPUT_SIZE = 65536, HEAD_END_LEN = 4 };

struct standin_conn {
    uv_tcp_t tcp;
    standin_backend_t *backend;
    char input[INPUT_SIZE];
    size_t len;
    bool closing;
    uv_write_t endless;
    str_t repeated;
    standin_conn_t *next;
};

struct standin_backend {
    uv_loop_t *loop;
    uv_tcp_t listener;
    addr_t addr;
    standin_script_t script;
    void *ctx;
    standin_conn_t *conns;
    size_t ended;
};

static void
on_conn_closed(uv_handle_t *handle)
{
    free(handle->data);
}

static void
forget(standin_conn_t *conn)
{
    conn->closing = true;
    standin_conn_t **slot = &conn->backend->conns;
    while (*slot != conn)
        slot = &(*slot)->next;
    *slot = conn->next;
}

void
standin_close(standin_conn_t *conn)
{
    if (conn->closing)
        return;
    forget(conn);
    uv_close((uv_handle_t *)&conn->tcp, on_conn_closed);
}

void
standin_reset(standin_conn_t *conn)
{
    if (conn->closing)
        return;
    forget(conn);
    uv_tcp_close_reset(&conn->tcp, on_conn_closed);
}

void
standin_send(standin_conn_t *conn, str_t bytes)
{
    uv_buf_t buf = uv_buf_init((char *)(uintptr_t)bytes.ptr, (unsigned)bytes.len);
    while (buf.len > 0) {
        const int n = uv_try_write((uv_stream_t *)&conn->tcp, &buf, 1);
        if (n < 0 && n != UV_EAGAIN)
            return;
        if (n > 0) {
            buf.base += n;
            buf.len -= (size_t)n;
        }
    }
}

static void
on_repeated(uv_write_t *req, int status)
{
    standin_conn_t *conn = req->data;
    if (status == 0 && !conn->closing)
        standin_send_endlessly(conn, conn->repeated);
}

void
standin_send_endlessly(standin_conn_t *conn, str_t bytes)
{
    uv_buf_t buf = uv_buf_init((char *)(uintptr_t)bytes.ptr, (unsigned)bytes.len);
    conn->repeated = bytes;
    conn->endless.data = conn;
    uv_write(&conn->endless, (uv_stream_t *)&conn->tcp, &buf, 1, on_repeated);
}

str_t
standin_field(str_t text, const char *name)
{
    const size_t name_len = strlen(name);
    const char *at = text.ptr;
    const char *const end = text.ptr + text.len;
    while (at < end) {
        const char *stop = memmem(at, (size_t)(end - at), "\r\n", 2);
        if (stop == NULL || stop == at)
            break;
        if ((size_t)(stop - at) > name_len + 1 && strncasecmp(at, name, name_len) == 0 &&
            at[name_len] == ':') {
            const char *value = at + name_len + 1;
            while (value < stop && *value == ' ')
                value++;
            return (str_t){value, (size_t)(stop - value)};
        }
        at = stop + 2;
    }
    return STR("");
}

/* Length of the first whole request in the input, 0 if there is none yet. */
static size_t
whole_request(const standin_conn_t *conn)
{
    const char *end = memmem(conn->input, conn->len, "\r\n\r\n", HEAD_END_LEN);
    if (end == NULL)
        return 0;
    const size_t head = (size_t)(end - conn->input) + HEAD_END_LEN;
    uint64_t body = 0;
    str_to_u64(standin_field((str_t){conn->input, head}, "Content-Length"), &body);
    return conn->len >= head + body ? head + body : 0;
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    (void)suggested;
    standin_conn_t *conn = handle->data;
    *buf = uv_buf_init(conn->input + conn->len, (unsigned)(INPUT_SIZE - conn->len));
}

static void
on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
    (void)buf;
    standin_conn_t *conn = stream->data;
    if (n < 0) {
        conn->backend->ended++;
        standin_close(conn);
        return;
    }
    conn->len += (size_t)n;
    size_t used;
    while (!conn->closing && (used = whole_request(conn)) > 0) {
        char *text = xmemdup0(conn->input, used);
        memmove(conn->input, conn->input + used, conn->len - used);
        conn->len -= used;
        conn->backend->script(conn->backend->ctx, conn, (str_t){text, used});
        free(text);
    }
}

static void
on_accept(uv_stream_t *listener, int status)
{
    standin_backend_t *backend = listener->data;
    if (status != 0)
        return;
    standin_conn_t *conn = xcalloc(1, sizeof(*conn));
    conn->backend = backend;
    uv_tcp_init(backend->loop, &conn->tcp);
    conn->tcp.data = conn;
    conn->next = backend->conns;
    backend->conns = conn;
    uv_accept(listener, (uv_stream_t *)&conn->tcp);
    uv_tcp_nodelay(&conn->tcp, 1);
    uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
}

standin_backend_t *
standin_backend_start(uv_loop_t *loop, const addr_t *addr, standin_script_t script, void *ctx)
{
    standin_backend_t *backend = xcalloc(1, sizeof(*backend));
    backend->loop = loop;
    backend->script = script;
    backend->ctx = ctx;
    uv_tcp_init(loop, &backend->listener);
    backend->listener.data = backend;
    int rc = uv_tcp_bind(&backend->listener, &addr->sa, 0);
    if (rc == 0)
        rc = uv_listen((uv_stream_t *)&backend->listener, BACKLOG, on_accept);
    xassert(rc == 0);
    int len = sizeof(backend->addr);
    uv_tcp_getsockname(&backend->listener, &backend->addr.sa, &len);
    return backend;
}

void
standin_backend_end(standin_backend_t *backend)
{
    uv_close((uv_handle_t *)&backend->listener, NULL); /* its memory stays */
    while (backend->conns != NULL)
        standin_close(backend->conns);
}

addr_t
standin_backend_addr(const standin_backend_t *backend)
{
    return backend->addr;
}

size_t
standin_backend_ended(const standin_backend_t *backend)
{
    return backend->ended;
}
