/* Inside of the listener: a connection of a caller. Used by listener.c and respond.c only. */
#pragma once

#include <http_parser.h>

#include "wire/listener.h"

typedef struct wire_conn wire_conn_t;

typedef enum {
    STATE_IDLE,      /* between requests */
    STATE_READING,   /* a request has begun */
    STATE_ANSWERING, /* the handler has it */
    STATE_CLOSING,   /* the answer has ended, the caller closes, or we after a while */
} wire_state_t;

struct wire_listener {
    uv_tcp_t tcp;
    uv_timer_t timer;
    uv_loop_t *loop;
    wire_limits_t limits;
    wire_handler_t handler;
    void *ctx;
    wire_conn_t *conns;
    size_t conn_count;
    uint16_t port;
    bool draining;
    bool closed;
};

struct wire_conn {
    wire_request_t req; /* first: wire_request_t and wire_conn_t share their address */
    uv_tcp_t tcp;
    wire_listener_t *listener;
    wire_conn_t *next;
    wire_conn_t **slot;
    http_parser parser;
    wire_state_t state;
    uint64_t since_ms; /* start of the state */
    size_t head_bytes;
    size_t body_size;
    char *early; /* bytes of a next request */
    size_t early_len;
    wire_text_t out;
    size_t in_flight; /* bytes handed to libuv and not written */
    bool keep;        /* the connection goes on after this answer */
    bool started;
    bool chunked;
    bool until_close; /* the answer ends with the connection */
    bool head_only;   /* HEAD: no body */
    bool dead;
    bool whole; /* the parser has the whole request */
};

void wire_conn_set_state(wire_conn_t *conn, wire_state_t state);
/* Hands what is buffered to the socket. */
void wire_conn_flush(wire_conn_t *conn);
void wire_conn_close(wire_conn_t *conn);
/* Ends our side after the last answer; the caller's close or a timer ends the connection. */
void wire_conn_finish(wire_conn_t *conn);
/* The caller has left or the connection broke. */
void wire_conn_lose(wire_conn_t *conn);
/* Makes the connection ready for its next request, part of which may be here already. */
void wire_conn_next(wire_conn_t *conn);
