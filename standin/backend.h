/*
 * A scripted backend server: reads requests and answers with whatever bytes its script chooses, so
 * that tests can make every kind of wrong answer. For the gateway's tests and fake-site;
 * fake-backend speaks the entry's protocol on libh2o and keeps a history for the fault campaign.
 */
#pragma once

#include <uv.h>

#include "base/addr.h"
#include "base/str.h"

typedef struct standin_backend standin_backend_t;
typedef struct standin_conn standin_conn_t;

/* A whole request has arrived; `text` is its head and body. */
typedef void (*standin_script_t)(void *ctx, standin_conn_t *conn, str_t text);

standin_backend_t *standin_backend_start(uv_loop_t *loop, const addr_t *addr,
                                         standin_script_t script, void *ctx);
addr_t standin_backend_addr(const standin_backend_t *backend);
/* The process is gone: its connections close, and new ones are refused. */
void standin_backend_end(standin_backend_t *backend);
/* Connections that the other side has closed. */
size_t standin_backend_ended(const standin_backend_t *backend);

void standin_send(standin_conn_t *conn, str_t bytes);
/* Sends the bytes again and again until the connection closes; they must stay valid. */
void standin_send_endlessly(standin_conn_t *conn, str_t bytes);
/* Closes the connection after what was sent. */
void standin_close(standin_conn_t *conn);
void standin_reset(standin_conn_t *conn);
/* The value of a header of a request's text, empty if absent. */
str_t standin_field(str_t text, const char *name);
