#include "peer/conn.h"

#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "peer"
#include "base/log.h"
#include "base/loop_time.h"
#include "base/tcp.h"
#include "base/xmalloc.h"

enum {
    HEADER_SIZE = 4,
    /* TCP_USER_TIMEOUT: closes the connection to a peer that no longer acknowledges data. Below the
     * 1.8 s after which the peer counts as lost. */
    USER_TIMEOUT_MS = 1500,
    /* Socket send buffer in bytes: above the bandwidth-delay product of 10 Mbit/s and 35 ms, small
     * enough that most unsent data stays in the queue of the connection. */
    SEND_BUFFER = 65536,
    /* Bytes queued beyond the socket buffer above which can_queue() accepts small messages only. */
    SEND_QUEUE_MAX = 32768,
    SMALL_MESSAGE_MAX = 4096, /* bytes; can_queue() always accepts messages up to this size */
};

typedef struct {
    uv_write_t req;
    peer_conn_t *conn;
    char *bytes;
    size_t len;
} write_t;

static void
add_waiting(peer_conn_t *conn, size_t len)
{
    counter_t *gauge = conn->hub->waiting;
    conn->waiting += len;
    counter_set(gauge, counter_value(gauge) + (int64_t)len);
}

static void
remove_waiting(peer_conn_t *conn, size_t len)
{
    counter_t *gauge = conn->hub->waiting;
    conn->waiting -= len;
    counter_set(gauge, counter_value(gauge) - (int64_t)len);
}

static void
on_closed(uv_handle_t *handle)
{
    peer_conn_t *conn = handle->data;
    if (!conn->outgoing)
        conn->hub->incoming_count--;
    remove_waiting(conn, conn->waiting);
    free(conn->in);
    free(conn->out);
    free(conn);
}

peer_conn_t **
peer_bucket(peer_hub_t *hub, const addr_t *to)
{
    return &hub->buckets[addr_hash(to) % PEER_BUCKETS];
}

void
peer_conn_close(peer_conn_t *conn)
{
    if (conn->closing)
        return;
    conn->closing = true;
    peer_conn_t **slot = conn->outgoing ? &conn->hub->outgoing : &conn->hub->incoming;
    while (*slot != conn)
        slot = &(*slot)->next;
    *slot = conn->next;
    if (conn->outgoing) {
        slot = peer_bucket(conn->hub, &conn->to);
        while (*slot != conn)
            slot = &(*slot)->bucket_next;
        *slot = conn->bucket_next;
    }
    tcp_set_reset_on_close(&conn->tcp, conn->stalled);
    uv_close((uv_handle_t *)&conn->tcp, on_closed);
}

static void flush(peer_conn_t *conn);

static void
on_written(uv_write_t *req, int status)
{
    write_t *write = (write_t *)req;
    peer_conn_t *conn = write->conn;
    remove_waiting(conn, write->len);
    free(write->bytes);
    free(write);
    conn->writing = false;
    conn->progress_ms = loop_now(conn->hub->loop);
    if (status != 0)
        peer_conn_close(conn);
    else
        flush(conn);
}

static void
flush(peer_conn_t *conn)
{
    if (conn->closing || !conn->connected || conn->writing || conn->out_len == 0)
        return;
    write_t *write = xmalloc(sizeof(*write));
    write->conn = conn;
    write->bytes = conn->out;
    write->len = conn->out_len;
    uv_buf_t buf = uv_buf_init(conn->out, (unsigned)conn->out_len);
    counter_add(conn->hub->bytes_out, conn->out_len);
    conn->out = NULL;
    conn->out_len = 0;
    conn->writing = true;
    if (uv_write(&write->req, (uv_stream_t *)&conn->tcp, &buf, 1, on_written) != 0) {
        conn->writing = false;
        free(write->bytes);
        free(write);
        peer_conn_close(conn);
    }
}

/* Returns false if the message was dropped. */
static bool
queue_message(peer_conn_t *conn, const Iris__Envelope *message)
{
    const size_t len = iris__envelope__get_packed_size(message);
    if (conn->closing || len > PEER_FRAME_MAX || conn->out_len + len > PEER_BACKLOG_MAX) {
        counter_add(conn->hub->dropped, 1);
        LOG_WARN("message dropped: bytes=%zu waiting=%zu", len, conn->waiting);
        return false;
    }
    if (conn->out_len == 0 && !conn->writing)
        conn->progress_ms = loop_now(conn->hub->loop);
    conn->out = xrealloc(conn->out, conn->out_len + HEADER_SIZE + len);
    uint8_t *at = (uint8_t *)conn->out + conn->out_len;
    at[0] = (uint8_t)(len >> 24);
    at[1] = (uint8_t)(len >> 16);
    at[2] = (uint8_t)(len >> 8);
    at[3] = (uint8_t)len;
    iris__envelope__pack(message, at + HEADER_SIZE);
    conn->out_len += HEADER_SIZE + len;
    add_waiting(conn, HEADER_SIZE + len);
    conn->used_ms = loop_now(conn->hub->loop);
    counter_add(conn->hub->messages, 1);
    flush(conn);
    return true;
}

static void
reject(peer_conn_t *conn, const char *reason)
{
    LOG_WARN("invalid frame, closing connection: why=%s", reason);
    counter_add(conn->hub->bad_frames, 1);
    peer_conn_close(conn);
}

static bool
deliver(peer_conn_t *conn, const uint8_t *bytes, size_t len)
{
    Iris__Envelope *message = iris__envelope__unpack(NULL, len, bytes);
    if (message == NULL) {
        reject(conn, "malformed");
        return false;
    }
    const bool known = message->schema <= PEER_SCHEMA;
    if (known)
        conn->hub->cb(conn->hub->ctx, conn, message);
    else
        reject(conn, "newer schema");
    iris__envelope__free_unpacked(message, NULL);
    return known && !conn->closing;
}

/* Delivers the complete frames of the input; returns the number of bytes used, or `size` once the
 * connection is closing. */
static size_t
deliver_frames(peer_conn_t *conn, const char *bytes, size_t size)
{
    size_t at = 0;
    while (size - at >= HEADER_SIZE) {
        const uint8_t *head = (const uint8_t *)bytes + at;
        const size_t len =
            (size_t)head[0] << 24 | (size_t)head[1] << 16 | (size_t)head[2] << 8 | (size_t)head[3];
        if (len > PEER_FRAME_MAX) {
            reject(conn, "too long");
            return size;
        }
        if (size - at - HEADER_SIZE < len)
            break;
        if (!deliver(conn, head + HEADER_SIZE, len))
            return size;
        at += HEADER_SIZE + len;
    }
    return at;
}

/* Keeps the bytes of a frame whose rest has not arrived; they may lie in the buffer itself. */
static void
keep_input(peer_conn_t *conn, const char *bytes, size_t len)
{
    char *kept = len > 0 ? xmemdup0(bytes, len) : NULL;
    free(conn->in);
    conn->in = kept;
    conn->in_len = len;
}

static void
parse_input(peer_conn_t *conn, const char *bytes, size_t len)
{
    if (conn->in_len > 0) {
        conn->in = xrealloc(conn->in, conn->in_len + len);
        memcpy(conn->in + conn->in_len, bytes, len);
        conn->in_len += len;
        const size_t used = deliver_frames(conn, conn->in, conn->in_len);
        if (used > 0)
            keep_input(conn, conn->in + used, conn->in_len - used);
        return;
    }
    const size_t used = deliver_frames(conn, bytes, len);
    keep_input(conn, bytes + used, len - used);
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    (void)suggested;
    peer_conn_t *conn = handle->data;
    *buf = uv_buf_init(conn->hub->chunk, sizeof(conn->hub->chunk));
}

static void
on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
    peer_conn_t *conn = stream->data;
    if (n < 0) {
        peer_conn_close(conn);
        return;
    }
    counter_add(conn->hub->bytes_in, (uint64_t)n);
    conn->received_ms = loop_now(conn->hub->loop);
    parse_input(conn, buf->base, (size_t)n);
}

peer_conn_t *
peer_conn_new(peer_hub_t *hub)
{
    peer_conn_t *conn = xcalloc(1, sizeof(*conn));
    conn->hub = hub;
    uv_tcp_init(hub->loop, &conn->tcp);
    conn->tcp.data = conn;
    conn->used_ms = loop_now(hub->loop);
    conn->opened_ms = conn->used_ms;
    conn->received_ms = conn->used_ms;
    return conn;
}

void
peer_conn_start(peer_conn_t *conn)
{
    conn->connected = true;
    conn->progress_ms = loop_now(conn->hub->loop);
    uv_tcp_nodelay(&conn->tcp, 1);
    tcp_set_send_buffer(&conn->tcp, SEND_BUFFER);
    /* If this process is killed, its state must not arrive behind that of its next life. */
    tcp_set_reset_on_close(&conn->tcp, true);
    if (conn->outgoing)
        tcp_set_user_timeout(&conn->tcp, USER_TIMEOUT_MS);
    uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
    flush(conn);
}

void
peer_reply(peer_conn_t *conn, const Iris__Envelope *message)
{
    queue_message(conn, message);
}

/* Always accepts small messages, so that large ones do not block them. */
static bool
can_queue(const peer_conn_t *conn, const Iris__Envelope *message)
{
    const size_t waiting =
        conn->out_len + uv_stream_get_write_queue_size((const uv_stream_t *)&conn->tcp);
    return waiting <= SEND_QUEUE_MAX ||
           iris__envelope__get_packed_size(message) <= SMALL_MESSAGE_MAX;
}

bool
peer_try_reply(peer_conn_t *conn, const Iris__Envelope *message)
{
    if (!can_queue(conn, message))
        return false;
    return queue_message(conn, message);
}

bool
peer_conn_is_incoming(const peer_conn_t *conn)
{
    return !conn->outgoing;
}
