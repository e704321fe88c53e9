#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <h2o.h>
#include <http_parser.h>

#define LOG_MODULE "http"
#include "base/log.h"
#include "base/tcp.h"
#include "base/xmalloc.h"
#include "entry/http/server.h"

enum { LISTEN_BACKLOG = 1024 }; /* connections not accepted yet. Chosen, not measured */

struct http_server {
    h2o_globalconf_t config;
    h2o_context_t context;
    h2o_accept_ctx_t accept;
    uv_tcp_t listener;
    http_handler_t handler;
    void *ctx;
    size_t connections;
    size_t max_connections;
    uint16_t port;
    bool draining;
};

typedef struct {
    uv_tcp_t tcp; /* first: the library sees it as a uv_stream_t */
    http_server_t *server;
} connection_t;

typedef struct {
    h2o_handler_t super;
    http_server_t *server;
} handler_t;

static int
on_request(h2o_handler_t *handler, h2o_req_t *req)
{
    http_server_t *server = ((handler_t *)handler)->server;
    if (server->draining)
        req->http1_is_persistent = 0;
    server->handler(server->ctx, req);
    return 0;
}

static void
on_connection_close(uv_handle_t *handle)
{
    connection_t *connection = (connection_t *)handle;
    connection->server->connections--;
    free(connection);
}

static void
on_accept(uv_stream_t *listener, int status)
{
    http_server_t *server = listener->data;
    if (status != 0) {
        LOG_WARN("accept failed: err=%s", uv_strerror(status));
        return;
    }
    connection_t *connection = xcalloc(1, sizeof(*connection));
    connection->server = server;
    server->connections++;
    uv_tcp_init(listener->loop, &connection->tcp);
    const int rc = uv_accept(listener, (uv_stream_t *)&connection->tcp);
    if (rc != 0 || server->connections > server->max_connections) {
        if (rc != 0)
            LOG_WARN("accept failed: err=%s", uv_strerror(rc));
        uv_close((uv_handle_t *)&connection->tcp, on_connection_close);
        return;
    }
    uv_tcp_nodelay(&connection->tcp, 1);
    h2o_socket_t *sock = h2o_uv_socket_create((uv_stream_t *)&connection->tcp, on_connection_close);
    h2o_accept(&server->accept, sock);
}

static bool
listen_on(http_server_t *server, uv_loop_t *loop, const addr_t *addr, err_t *err)
{
    uv_tcp_init(loop, &server->listener);
    server->listener.data = server;
    return tcp_listen(&server->listener, addr, LISTEN_BACKLOG, on_accept, &server->port, err);
}

http_server_t *
http_server_start(uv_loop_t *loop, const http_server_conf_t *conf, http_handler_t handler,
                  void *ctx, err_t *err)
{
    http_server_t *server = xcalloc(1, sizeof(*server));
    server->handler = handler;
    server->ctx = ctx;
    server->max_connections = conf->max_connections;
    if (!listen_on(server, loop, &conf->addr, err))
        return NULL; /* the process exits; the handle lives until then */
    h2o_config_init(&server->config);
    server->config.max_request_entity_size = conf->max_body;
    server->config.http1.req_timeout = conf->head_timeout_ms;
    server->config.http1.upgrade_to_http2 = 0;
    server->config.server_name = h2o_iovec_init(H2O_STRLIT("irisstall"));
    h2o_hostconf_t *host =
        h2o_config_register_host(&server->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    h2o_pathconf_t *path = h2o_config_register_path(host, "/", 0);
    handler_t *on_path = (handler_t *)h2o_create_handler(path, sizeof(*on_path));
    on_path->super.on_req = on_request;
    on_path->server = server;
    h2o_context_init(&server->context, loop, &server->config);
    server->accept.ctx = &server->context;
    server->accept.hosts = server->config.hosts;
    return server;
}

uint16_t
http_server_port(const http_server_t *server)
{
    return server->port;
}

size_t
http_server_connections(const http_server_t *server)
{
    return server->connections;
}

void
http_server_drain(http_server_t *server)
{
    if (server->draining)
        return;
    server->draining = true;
    uv_close((uv_handle_t *)&server->listener, NULL);
    h2o_context_request_shutdown(&server->context);
}

void
http_reply(h2o_req_t *req, int status, const char *content_type, const char *body, size_t len)
{
    static h2o_generator_t generator = {NULL, NULL};
    h2o_iovec_t buf = h2o_strdup(&req->pool, body, len);
    req->res.status = status;
    req->res.reason = http_status_str((enum http_status)status);
    req->res.content_length = len;
    http_add_header(req, "content-type", str_from(content_type));
    h2o_start_response(req, &generator);
    h2o_send(req, &buf, 1, H2O_SEND_STATE_FINAL);
}

void
http_add_header(h2o_req_t *req, const char *name, str_t value)
{
    const h2o_iovec_t key = h2o_strdup(&req->pool, name, strlen(name));
    const h2o_iovec_t copy = h2o_strdup(&req->pool, value.ptr, value.len);
    h2o_add_header_by_str(&req->pool, &req->res.headers, key.base, key.len, 1, NULL, copy.base,
                          copy.len);
}

str_t
http_header(const h2o_req_t *req, str_t name)
{
    for (size_t i = 0; i < req->headers.size; i++) {
        const h2o_header_t *header = &req->headers.entries[i];
        if (str_eq((str_t){header->name->base, header->name->len}, name))
            return (str_t){header->value.base, header->value.len};
    }
    return (str_t){"", 0};
}

str_t
http_path(const h2o_req_t *req)
{
    const size_t len = req->query_at != SIZE_MAX ? req->query_at : req->path.len;
    return (str_t){req->path.base, len};
}

bool
http_query(const h2o_req_t *req, str_t name, str_t *value)
{
    if (req->query_at == SIZE_MAX)
        return false;
    const char *at = req->path.base + req->query_at + 1;
    const char *const end = req->path.base + req->path.len;
    while (at < end) {
        const char *stop = memchr(at, '&', (size_t)(end - at));
        if (stop == NULL)
            stop = end;
        const char *equals = memchr(at, '=', (size_t)(stop - at));
        if (equals != NULL && str_eq((str_t){at, (size_t)(equals - at)}, name)) {
            *value = (str_t){equals + 1, (size_t)(stop - equals - 1)};
            return true;
        }
        at = stop + 1;
    }
    return false;
}

bool
http_caller_gone(const h2o_req_t *req)
{
    if (req->conn->callbacks->get_socket == NULL)
        return false;
    const int fd = h2o_socket_get_fd(req->conn->callbacks->get_socket(req->conn));
    char byte;
    const ssize_t n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}
