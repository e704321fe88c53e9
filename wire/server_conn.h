/*
 * Server connection: a caller's connection, its output and its end. Inside of the listener.
 *
 * listener.c accepts connections and ends slow ones, request_reader.c reads requests, respond.c
 * writes answers; each relies on this file and on those named after it. Owns socket, buffers and
 * the request under way.
 */
#pragma once

#include <http_parser.h>

#include "wire/listener.h"

/* Buffered answer bytes that are written without being asked. Chosen, not measured. */
enum { WIRE_FLUSH_SIZE = 16384 };

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
    uv_check_t after_poll; /* active while a sweep is due */
    uint64_t sweep_ms;     /* loop time at which it was asked for */
    bool sweep_deferred;   /* it came late and waits for another poll */
    uv_loop_t *loop;
    wire_limits_t limits;
    wire_handler_t handler;
    void *ctx;            /* of the handler */
    uint64_t max_idle_ms; /* whatever the idle limit is */
    /* An answer has ended and the connection goes on. */
    void (*on_response_end)(wire_conn_t *conn);
    wire_conn_t *conns;
    size_t conn_count;
    uint16_t port;
    bool draining;
    bool closing; /* stops accepting at the next sweep */
    bool closed;
};

struct wire_conn {
    wire_request_t req; /* first: wire_request_t and wire_conn_t share their address */
    uv_tcp_t tcp;
    wire_listener_t *listener;
    wire_conn_t *next;  /* of the listener */
    wire_conn_t **slot; /* what points to this one */
    http_parser parser;
    wire_state_t state;
    uint64_t
        last_progress_ms;   /* start of the state, or when its output last moved if that is later */
    uint64_t idle_limit_ms; /* for which it may rest: the limit in force when its answer began */
    size_t unwritten;       /* output left at the last sweep, in bytes */
    size_t body_size;       /* allocated for the request's body */
    char *pipelined;        /* bytes of a next request */
    size_t pipelined_len;
    wire_text_t out;  /* answer bytes not handed to libuv yet */
    size_t in_flight; /* bytes handed to libuv and not written */
    bool keep_alive;  /* the connection goes on after this answer */
    bool head_sent;   /* the answer has begun */
    bool chunked;
    bool until_close;       /* the answer ends with the connection */
    bool head_only;         /* HEAD: no body */
    bool closed;            /* closed; freed once libuv is done with it */
    bool request_complete;  /* the parser has the whole request */
    bool disconnected;      /* the caller has left or the connection broke */
    bool late_input_logged; /* bytes after our close were logged */
};

/* Enters the state now. */
void wire_conn_set_state(wire_conn_t *conn, wire_state_t state);
/* Hands what is buffered to the socket. */
void wire_conn_flush(wire_conn_t *conn);
void wire_conn_close(wire_conn_t *conn);
/* Closes with a reset, so that an answer without a length does not look complete. */
void wire_conn_reset(wire_conn_t *conn);
/* Ends our side after the last answer; the caller's close or a timer ends the connection. */
void wire_conn_finish(wire_conn_t *conn);
/* Counts and logs bytes of the caller that arrive after our end of the connection. */
void wire_conn_log_late_input(wire_conn_t *conn, size_t len);
/* The caller has left or the connection broke: tells the handler of a request under way. */
void wire_conn_on_disconnect(wire_conn_t *conn);
