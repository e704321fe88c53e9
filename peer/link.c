#include "peer/link.h"

#include <stdlib.h>

#define LOG_MODULE "peer"
#include "base/counter.h"
#include "base/log.h"
#include "base/loop_time.h"
#include "base/tcp.h"
#include "base/xmalloc.h"
#include "peer/conn.h"

enum {
    LISTEN_BACKLOG = 256, /* connections waiting to be accepted */
    INCOMING_MAX = 4096,  /* above the largest supported deployment (1,400 instances) */
    /* State messages above this size in bytes use the bulk connection, so that heartbeats are not
     * delayed behind them: a message of this size takes 52 ms at 10 Mbit/s. */
    BULK_THRESHOLD = 65536,
    BULK_IDLE_MS = 5000, /* closes a bulk connection that is idle for longer */
};

static void
on_connected(uv_connect_t *req, int status)
{
    peer_conn_t *conn = req->data;
    free(req);
    if (conn->closing)
        return;
    if (status != 0) {
        const peer_hub_t *hub = conn->hub;
        const addr_t to = conn->to;
        peer_conn_close(conn);
        if (status == UV_ECONNREFUSED && hub->refused_cb != NULL)
            hub->refused_cb(hub->ctx, &to);
        return;
    }
    peer_conn_start(conn);
}

static peer_conn_t *
find_outgoing(peer_hub_t *hub, const addr_t *to, bool bulk)
{
    for (peer_conn_t *conn = *peer_bucket(hub, to); conn != NULL; conn = conn->bucket_next) {
        if (conn->bulk == bulk && addr_eq(&conn->to, to))
            return conn;
    }
    return NULL;
}

static peer_conn_t *
get_outgoing(peer_hub_t *hub, const addr_t *to, bool bulk)
{
    peer_conn_t *conn = find_outgoing(hub, to, bulk);
    if (conn != NULL)
        return conn;
    conn = peer_conn_new(hub);
    conn->outgoing = true;
    conn->bulk = bulk;
    conn->to = *to;
    conn->next = hub->outgoing;
    hub->outgoing = conn;
    peer_conn_t **bucket = peer_bucket(hub, to);
    conn->bucket_next = *bucket;
    *bucket = conn;
    uv_connect_t *req = xmalloc(sizeof(*req));
    req->data = conn;
    if (uv_tcp_connect(req, &conn->tcp, &to->sa, on_connected) != 0) {
        free(req);
        peer_conn_close(conn);
        return NULL;
    }
    return conn;
}

static void
on_accept(uv_stream_t *listener, int status)
{
    peer_hub_t *hub = listener->data;
    if (status != 0) {
        LOG_WARN("failed to accept peer connection: port=%u err=%s", hub->port,
                 uv_strerror(status));
        return;
    }
    peer_conn_t *conn = peer_conn_new(hub);
    conn->next = hub->incoming;
    hub->incoming = conn;
    hub->incoming_count++;
    if (uv_accept(listener, (uv_stream_t *)&conn->tcp) != 0 || hub->incoming_count > INCOMING_MAX) {
        peer_conn_close(conn);
        return;
    }
    peer_conn_start(conn);
}

peer_hub_t *
peer_hub_start(uv_loop_t *loop, const addr_t *listen, peer_cb_t cb, void *ctx, err_t *err)
{
    peer_hub_t *hub = xcalloc(1, sizeof(*hub));
    hub->loop = loop;
    hub->cb = cb;
    hub->ctx = ctx;
    hub->bad_frames =
        counter_get("irisstall_peer_bad_frames_total", NULL, "Frames that closed a connection.");
    hub->dropped =
        counter_get("irisstall_peer_dropped_total", NULL, "Messages dropped before sending.");
    hub->bytes_out = counter_get("irisstall_peer_bytes_total", "dir=\"out\"", "Bytes to peers.");
    hub->bytes_in = counter_get("irisstall_peer_bytes_total", "dir=\"in\"", "Bytes from peers.");
    hub->waiting = counter_get("irisstall_peer_waiting_bytes", NULL,
                               "Bytes to peers that the sockets have not taken yet.");
    hub->messages = counter_get("irisstall_peer_messages_total", NULL, "Messages sent to peers.");
    uv_tcp_init(loop, &hub->listener);
    hub->listener.data = hub;
    if (!tcp_listen(&hub->listener, listen, LISTEN_BACKLOG, on_accept, &hub->port, err))
        return NULL; /* not freed: the loop still closes the handle, and the process exits */
    return hub;
}

void
peer_hub_on_refused(peer_hub_t *hub, peer_refused_cb_t cb)
{
    hub->refused_cb = cb;
}

uint16_t
peer_hub_port(const peer_hub_t *hub)
{
    return hub->port;
}

void
peer_send(peer_hub_t *hub, const addr_t *to, const Iris__Envelope *message)
{
    peer_conn_t *conn = get_outgoing(hub, to, false);
    if (conn != NULL)
        peer_reply(conn, message);
}

bool
peer_try_send(peer_hub_t *hub, const addr_t *to, const Iris__Envelope *message)
{
    const bool bulk = iris__envelope__get_packed_size(message) > BULK_THRESHOLD;
    peer_conn_t *conn = get_outgoing(hub, to, bulk);
    return conn != NULL && peer_try_reply(conn, message);
}

void
peer_hub_sweep_idle(peer_hub_t *hub, uint64_t idle_ms)
{
    const uint64_t now = loop_now(hub->loop);
    peer_conn_t *conn = hub->outgoing;
    while (conn != NULL) {
        peer_conn_t *next = conn->next;
        if (now - conn->used_ms > idle_ms)
            peer_conn_close(conn);
        conn = next;
    }
}

void
peer_hub_sweep_silent(peer_hub_t *hub, uint64_t silent_ms)
{
    const uint64_t now = loop_now(hub->loop);
    peer_conn_t *conn = hub->incoming;
    while (conn != NULL) {
        peer_conn_t *next = conn->next;
        if (now - conn->received_ms > silent_ms) {
            LOG_INFO("silent peer connection, closing: received=%zu silent_ms=%llu", conn->in_len,
                     (unsigned long long)(now - conn->received_ms));
            peer_conn_close(conn);
        }
        conn = next;
    }
}

/* A partial write counts as progress: a large message takes seconds on a slow link. */
static void
update_progress(peer_conn_t *conn, uint64_t now_ms)
{
    const size_t queue_size = uv_stream_get_write_queue_size((const uv_stream_t *)&conn->tcp);
    if (queue_size < conn->last_queue_size)
        conn->progress_ms = now_ms;
    conn->last_queue_size = queue_size;
}

void
peer_hub_sweep_unconnected(peer_hub_t *hub, uint64_t age_ms)
{
    const uint64_t now = loop_now(hub->loop);
    peer_conn_t *conn = hub->outgoing;
    while (conn != NULL) {
        peer_conn_t *next = conn->next;
        if (!conn->connected && now - conn->opened_ms > age_ms)
            peer_conn_close(conn);
        conn = next;
    }
}

void
peer_hub_close_connections(peer_hub_t *hub)
{
    while (hub->outgoing != NULL)
        peer_conn_close(hub->outgoing);
    while (hub->incoming != NULL)
        peer_conn_close(hub->incoming);
}

void
peer_hub_sweep_stalled(peer_hub_t *hub, uint64_t stalled_ms)
{
    const uint64_t now = loop_now(hub->loop);
    peer_conn_t *conn = hub->outgoing;
    while (conn != NULL) {
        peer_conn_t *next = conn->next;
        update_progress(conn, now);
        const bool waiting = conn->out_len > 0 || conn->writing || !conn->connected;
        if (waiting && now - conn->progress_ms > stalled_ms) {
            LOG_INFO("peer connection stalled, closing: waiting=%zu stalled_ms=%llu", conn->waiting,
                     (unsigned long long)(now - conn->progress_ms));
            conn->stalled = true;
            peer_conn_close(conn);
        } else if (conn->bulk && !waiting && now - conn->used_ms > BULK_IDLE_MS) {
            peer_conn_close(conn);
        }
        conn = next;
    }
}
