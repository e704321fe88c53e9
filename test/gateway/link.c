#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <uv.h>

#include "base/xmalloc.h"
#include "platform/objects.h"
#include "test/gateway/link.h"

enum { LINKS_MAX = 16, BACKLOG = 64, FILLERS = 2, READ_SIZE = 65536 };

typedef struct forward forward_t;

/* One direction of a forwarded connection. */
typedef struct {
    uv_tcp_t tcp;
    uv_connect_t connect;
    forward_t *forward;
} side_t;

struct forward {
    side_t sides[2]; /* of the gateway and of the backend server */
    forward_t *next;
    int open_handles;
    bool closing;
};

typedef struct {
    addr_t backend;
    addr_t addr;
    uv_tcp_t *listener;   /* NULL while closed */
    int full;             /* socket whose accept queue is full, -1: none */
    int fillers[FILLERS]; /* connections in that queue */
    forward_t *forwards;
} link_t;

static uv_loop_t *loop;
static link_mode_t mode;
static link_t links[LINKS_MAX];
static size_t link_count;
static decoder_port_t decoder;

static void
on_side_closed(uv_handle_t *handle)
{
    forward_t *forward = ((side_t *)handle->data)->forward;
    if (--forward->open_handles == 0)
        free(forward);
}

static void
close_forward(forward_t *forward, bool reset)
{
    if (forward->closing)
        return;
    forward->closing = true;
    for (size_t i = 0; i < link_count; i++) {
        for (forward_t **at = &links[i].forwards; *at != NULL; at = &(*at)->next) {
            if (*at == forward) {
                *at = forward->next;
                break;
            }
        }
    }
    for (size_t i = 0; i < ALEN(forward->sides); i++) {
        if (reset)
            uv_tcp_close_reset(&forward->sides[i].tcp, on_side_closed);
        else
            uv_close((uv_handle_t *)&forward->sides[i].tcp, on_side_closed);
    }
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    static char bytes[READ_SIZE];
    (void)handle;
    (void)suggested;
    *buf = uv_buf_init(bytes, sizeof(bytes));
}

static void
on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
    const side_t *side = stream->data;
    forward_t *forward = side->forward;
    side_t *other = &forward->sides[side == &forward->sides[0]];
    uv_buf_t out = uv_buf_init(buf->base, n > 0 ? (unsigned)n : 0);
    if (n < 0) {
        close_forward(forward, n == UV_ECONNRESET);
        return;
    }
    while (out.len > 0 && !forward->closing) {
        const int sent = uv_try_write((uv_stream_t *)&other->tcp, &out, 1);
        if (sent < 0 && sent != UV_EAGAIN)
            close_forward(forward, true);
        if (sent > 0)
            out = uv_buf_init(out.base + sent, out.len - (unsigned)sent);
    }
}

static void
read_sides(forward_t *forward)
{
    for (size_t i = 0; i < ALEN(forward->sides); i++)
        uv_read_start((uv_stream_t *)&forward->sides[i].tcp, on_alloc, on_read);
}

static void
on_connected(uv_connect_t *connect, int status)
{
    side_t *side = connect->data;
    if (side->forward->closing)
        return;
    if (status != 0)
        close_forward(side->forward, true);
    else if (mode != LINK_HANGS)
        read_sides(side->forward);
}

static void
on_accept(uv_stream_t *listener, int status)
{
    link_t *link = listener->data;
    if (status != 0)
        return;
    forward_t *forward = xcalloc(1, sizeof(*forward));
    for (size_t i = 0; i < ALEN(forward->sides); i++) {
        side_t *side = &forward->sides[i];
        side->forward = forward;
        uv_tcp_init(loop, &side->tcp);
        side->tcp.data = side;
        side->connect.data = side;
        forward->open_handles++;
    }
    forward->next = link->forwards;
    link->forwards = forward;
    uv_accept(listener, (uv_stream_t *)&forward->sides[0].tcp);
    uv_tcp_connect(&forward->sides[1].connect, &forward->sides[1].tcp, &link->backend.sa,
                   on_connected);
}

static void
open_listener(link_t *link)
{
    int len = sizeof(link->addr);
    link->listener = xcalloc(1, sizeof(*link->listener));
    uv_tcp_init(loop, link->listener);
    link->listener->data = link;
    int rc = uv_tcp_bind(link->listener, &link->addr.sa, 0);
    if (rc == 0)
        rc = uv_listen((uv_stream_t *)link->listener, BACKLOG, on_accept);
    xassert(rc == 0);
    uv_tcp_getsockname(link->listener, &link->addr.sa, &len);
}

static void
close_listener(link_t *link)
{
    if (link->listener != NULL)
        uv_close((uv_handle_t *)link->listener, (uv_close_cb)free);
    link->listener = NULL;
}

/* Listens with a full accept queue, so that the kernel drops further connection attempts. */
static void
fill_queue(link_t *link)
{
    const int on = 1;
    link->full = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(link->full, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    xassert(bind(link->full, &link->addr.sa, sizeof(link->addr.v4)) == 0);
    xassert(listen(link->full, 0) == 0);
    for (size_t i = 0; i < FILLERS; i++) {
        link->fillers[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        (void)connect(link->fillers[i], &link->addr.sa, sizeof(link->addr.v4));
    }
}

static void
empty_queue(link_t *link)
{
    if (link->full < 0)
        return;
    for (size_t i = 0; i < FILLERS; i++)
        close(link->fillers[i]);
    close(link->full);
    link->full = -1;
}

static void
cut_open_connections(link_t *link)
{
    forward_t *next;
    for (forward_t *forward = link->forwards; forward != NULL; forward = next) {
        next = forward->next;
        if (mode == LINK_RESETS)
            close_forward(forward, true);
        for (size_t i = 0; mode == LINK_HANGS && i < ALEN(forward->sides); i++)
            uv_read_stop((uv_stream_t *)&forward->sides[i].tcp);
    }
}

void
link_set_mode(link_mode_t to)
{
    mode = to;
    for (size_t i = 0; i < link_count; i++) {
        link_t *link = &links[i];
        empty_queue(link);
        if (mode != LINK_OPEN)
            close_listener(link);
        else if (link->listener == NULL)
            open_listener(link);
        cut_open_connections(link);
        for (forward_t *forward = link->forwards; mode == LINK_OPEN && forward != NULL;
             forward = forward->next)
            read_sides(forward);
    }
    /* Closed listening sockets release their ports with the loop's next iteration. */
    uv_run(loop, UV_RUN_NOWAIT);
    for (size_t i = 0; mode == LINK_HANGS && i < link_count; i++)
        fill_queue(&links[i]);
}

static const link_t *
link_to(const addr_t *backend)
{
    for (size_t i = 0; i < link_count; i++) {
        if (addr_eq(&links[i].backend, backend))
            return &links[i];
    }
    xassert(link_count < LINKS_MAX);
    link_t *link = &links[link_count++];
    link->backend = *backend;
    link->full = -1;
    xassert(addr_parse(STR("127.0.0.1:0"), &link->addr));
    open_listener(link);
    return link;
}

static bool
decode_backend(str_t name, str_t body, backend_info_t *out, err_t *err)
{
    if (!platform_decoder.backend(name, body, out, err))
        return false;
    out->addr = link_to(&out->addr)->addr;
    return true;
}

const decoder_port_t *
link_decoder(uv_loop_t *to)
{
    loop = to;
    decoder = platform_decoder;
    decoder.backend = decode_backend;
    return &decoder;
}
