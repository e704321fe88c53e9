/*
 * An HTTP/1.1 listener on libuv, served by libh2o.
 *
 * The handler is called on the loop for each whole request; it answers with http_reply() or
 * starts a response of its own. Request bodies above `max_body` are refused by the library (413).
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <h2o.h>

#include "base/addr.h"
#include "base/error.h"
#include "base/str.h"

typedef struct http_server http_server_t;

typedef struct {
    addr_t addr; /* port 0 lets the system choose */
    size_t max_body;
    uint64_t head_timeout_ms; /* time allowed from a connection's first byte to its request */
    size_t max_connections;   /* further ones are closed at once */
} http_server_conf_t;

typedef void (*http_handler_t)(void *ctx, h2o_req_t *req);

http_server_t *http_server_start(uv_loop_t *loop, const http_server_conf_t *conf,
                                 http_handler_t handler, void *ctx, err_t *err);
uint16_t http_server_port(const http_server_t *server);
size_t http_server_connections(const http_server_t *server);
/* Closes the listening socket and idle connections; requests in flight go on. */
void http_server_drain(http_server_t *server);

/* Sends a whole answer; `body` is copied. */
void http_reply(h2o_req_t *req, int status, const char *content_type, const char *body, size_t len);
/* Adds an answer header; both strings are copied. */
void http_add_header(h2o_req_t *req, const char *name, str_t value);
/* Empty if the request has no such header; `name` is in lower case. */
str_t http_header(const h2o_req_t *req, str_t name);
/* The path without its query. */
str_t http_path(const h2o_req_t *req);
/* The raw value of a query parameter; false if absent. */
bool http_query(const h2o_req_t *req, str_t name, str_t *value);
/* True if the caller has closed its side; looks at the socket without reading from it. */
bool http_caller_gone(const h2o_req_t *req);
