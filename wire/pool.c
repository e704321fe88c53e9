#include <stdlib.h>

#include "base/loop_time.h"
#include "base/tcp.h"
#include "base/xmalloc.h"
#include "wire/client_conn.h"

/* Safety margin subtracted from the server's Keep-Alive timeout. */
enum { KEEP_ALIVE_MARGIN_MS = 800 };

static size_t request_bytes; /* of all pools */

void
client_conn_take_request(client_conn_t *conn, char *request, size_t len)
{
    xassert(conn->request == NULL);
    conn->request = request;
    conn->request_len = len;
    request_bytes += len;
}

void
client_conn_free_request(client_conn_t *conn)
{
    if (conn->request == NULL)
        return;
    request_bytes -= conn->request_len;
    free(conn->request);
    conn->request = NULL;
}

size_t
wire_client_request_bytes(void)
{
    return request_bytes;
}

void
wire_pool_release(wire_pool_t *pool)
{
    if (pool->freed && pool->holds == 0 && pool->busy_count == 0 && pool->idle_count == 0)
        free(pool);
}

static void
on_handle_closed(uv_handle_t *handle)
{
    client_conn_t *conn = handle->data;
    if (--conn->open_handles > 0)
        return;
    wire_head_free(&conn->head);
    client_conn_free_request(conn);
    free(conn);
}

void
client_conn_close(client_conn_t *conn)
{
    if (conn->closed)
        return;
    conn->closed = true;
    /* Before the call's end is reported: the caller may start another one at once. */
    if (uv_stream_get_write_queue_size((const uv_stream_t *)&conn->tcp) == 0)
        client_conn_free_request(conn);
    tcp_set_reset_on_close(&conn->tcp, conn->undelivered);
    uv_close((uv_handle_t *)&conn->tcp, on_handle_closed);
    uv_close((uv_handle_t *)&conn->timer, on_handle_closed);
}

static void
remove_idle(client_conn_t *conn)
{
    client_conn_t **slot = &conn->pool->idle;
    while (*slot != conn)
        slot = &(*slot)->next;
    *slot = conn->next;
    conn->next = NULL;
    conn->pool->idle_count--;
}

void
client_conn_close_idle(client_conn_t *conn)
{
    wire_pool_t *pool = conn->pool;
    remove_idle(conn);
    client_conn_close(conn);
    wire_pool_release(pool);
}

/* Idle time up to which a connection may be reused. */
static uint64_t
max_reuse_idle_ms(const client_conn_t *conn, uint64_t idle_max_ms)
{
    if (conn->keep_alive_ms == 0)
        return idle_max_ms;
    const uint64_t announced =
        conn->keep_alive_ms > KEEP_ALIVE_MARGIN_MS ? conn->keep_alive_ms - KEEP_ALIVE_MARGIN_MS : 0;
    return announced < idle_max_ms ? announced : idle_max_ms;
}

client_conn_t *
client_conn_acquire(wire_pool_t *pool, uint64_t idle_max_ms, bool probe_before_reuse)
{
    const uint64_t now = loop_now(pool->loop);
    client_conn_t *next;
    for (client_conn_t *conn = pool->idle; conn != NULL; conn = next) {
        next = conn->next;
        const uint64_t idle_ms = now - conn->idle_since_ms;
        const bool expired = conn->keep_alive_ms > 0 && idle_ms > conn->keep_alive_ms;
        const bool usable = idle_ms <= max_reuse_idle_ms(conn, idle_max_ms);
        /* The server has closed the connection or sent unsolicited bytes. */
        const bool closed = usable && probe_before_reuse && tcp_peek(&conn->tcp) != TCP_INPUT_NONE;
        if (usable && !closed) {
            remove_idle(conn);
            return conn;
        }
        if (expired || closed)
            client_conn_close_idle(conn);
    }
    return NULL;
}

void
client_conn_release(client_conn_t *conn)
{
    wire_pool_t *pool = conn->pool;
    xassert(conn->request == NULL);
    conn->idle_since_ms = loop_now(pool->loop);
    conn->next = pool->idle;
    pool->idle = conn;
    pool->idle_count++;
}

client_conn_t *
client_conn_open(wire_pool_t *pool)
{
    client_conn_t *conn = xcalloc(1, sizeof(*conn));
    conn->pool = pool;
    conn->opened_ms = loop_now(pool->loop);
    uv_tcp_init(pool->loop, &conn->tcp);
    uv_timer_init(pool->loop, &conn->timer);
    conn->open_handles = 2;
    conn->tcp.data = conn;
    conn->timer.data = conn;
    conn->connect.data = conn;
    return conn;
}

wire_pool_t *
wire_pool_new(uv_loop_t *loop, const addr_t *addr, size_t max_connections)
{
    wire_pool_t *pool = xcalloc(1, sizeof(*pool));
    pool->loop = loop;
    pool->addr = *addr;
    pool->max = max_connections;
    return pool;
}

void
wire_pool_free(wire_pool_t *pool)
{
    pool->freed = true;
    pool->holds++;
    while (pool->idle != NULL)
        client_conn_close_idle(pool->idle);
    pool->holds--;
    wire_pool_release(pool);
}

bool
wire_pool_is_empty(const wire_pool_t *pool)
{
    return pool->busy_count == 0 && pool->idle_count == 0;
}

void
wire_pool_set_max(wire_pool_t *pool, size_t max_connections)
{
    pool->max = max_connections;
}

const addr_t *
wire_pool_addr(const wire_pool_t *pool)
{
    return &pool->addr;
}

void
wire_pool_close_idle(wire_pool_t *pool, uint64_t idle_ms)
{
    const uint64_t now = loop_now(pool->loop);
    client_conn_t *next;
    for (client_conn_t *conn = pool->idle; conn != NULL; conn = next) {
        next = conn->next;
        if (now - conn->idle_since_ms > idle_ms)
            client_conn_close_idle(conn);
    }
}
