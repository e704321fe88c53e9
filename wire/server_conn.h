/*
 * Server connection: socket, buffers and current request; internal to the listener.
 *
 * listener.c accepts connections and enforces timeouts, request_reader.c parses requests and
 * respond.c writes responses.
 */
#pragma once

#include <http_parser.h>

#include "wire/body.h"
#include "wire/listener.h"

/* Buffered response bytes above which they are written without an explicit flush. */
enum { WIRE_FLUSH_SIZE = 16384 };

/* Request bodies up to this size do not count towards the limit over all connections. */
enum { WIRE_SMALL_BODY = 65536 };

/* Unwritten response bytes above which the next request of a connection is not begun. */
enum { WIRE_PIPELINE_BACKLOG = 65536 };

/* Input that is kept while it cannot be parsed; beyond that, the socket is not read. */
enum { WIRE_PIPELINED_MAX = 65536 };

typedef struct wire_conn wire_conn_t;

typedef enum {
    STATE_IDLE,      /* between requests */
    STATE_READING,   /* reading a request */
    STATE_ANSWERING, /* the handler is processing the request */
    STATE_CLOSING,   /* output shut down, waiting for the client to close */
} wire_state_t;

struct wire_listener {
    uv_tcp_t tcp;
    uv_timer_t timer;
    uv_check_t after_poll; /* active while a sweep is pending */
    uint64_t sweep_ms;     /* loop time at which the sweep was requested */
    bool sweep_deferred;   /* was late and waits for another poll */
    uv_loop_t *loop;
    wire_limits_t limits;
    wire_handler_t handler;
    void *ctx;            /* passed to the handler */
    uint64_t max_idle_ms; /* upper bound of every idle timeout */
    /* Called when a response has ended on a keep-alive connection. */
    void (*on_response_end)(wire_conn_t *conn);
    wire_conn_t *conns;
    size_t conn_count;
    size_t held;   /* unwritten response bytes of all connections */
    size_t bodies; /* bytes held or announced for request bodies of all connections */
    uint16_t port;
    bool draining;
    bool closing; /* closes the listening socket at the next sweep */
    bool closed;
};

struct wire_conn {
    wire_request_t req; /* must be first: wire_request_t pointers are cast to wire_conn_t */
    uv_tcp_t tcp;
    wire_listener_t *listener;
    wire_conn_t *next;  /* in the listener's list */
    wire_conn_t **slot; /* the list's pointer to this connection */
    http_parser parser;
    wire_state_t state;
    uint64_t last_progress_ms; /* last state change or write progress */
    uint64_t idle_limit_ms;    /* idle timeout in force when the last response began */
    size_t unwritten;          /* bytes of output left at the last sweep */
    size_t body_size;          /* allocated size of the request's body */
    size_t body_expected;      /* its announced length; 0 if not known */
    char *pipelined;           /* input received after the current request */
    size_t pipelined_at;       /* start of the part that is not parsed yet */
    size_t pipelined_len;      /* its length */
    bool parsing_pipelined;    /* the kept input is being parsed */
    bool reading_stopped;      /* no more input fits */
    wire_text_t out;           /* response bytes not passed to libuv yet */
    size_t in_flight;          /* bytes passed to libuv and not written yet */
    size_t held;               /* this connection's part of the listener's sums */
    size_t body_held;
    uint64_t passed;             /* bytes of responses passed to libuv */
    uint64_t taken;              /* of these, written to the socket at the last sweep */
    uint64_t output_progress_ms; /* when that last grew, or no bytes waited */
    bool over_bodies;            /* the body exceeded the limit over all connections */
    bool keep_alive;             /* stays open after the current response */
    bool head_sent;              /* the response has begun */
    bool chunked;
    bool until_close;       /* the response is delimited by the close */
    bool head_only;         /* the method is HEAD: the response has no body */
    bool closed;            /* freed by the close callback */
    wire_body_t body;       /* of the request that is being read */
    int refusal;            /* status to refuse its invalid input with, 0 if it is valid */
    bool head_complete;     /* its head is parsed */
    bool request_complete;  /* the request is fully parsed */
    bool disconnected;      /* closed by the client, or failed */
    bool late_input_logged; /* at most one log line per connection */
};

void wire_conn_set_state(wire_conn_t *conn, wire_state_t state);
/* Updates the sums of the listener after a change of the output or the request's body. */
void wire_conn_update_held(wire_conn_t *conn);
/* Frees the body of the request, whose response has ended. */
void wire_conn_free_body(wire_conn_t *conn);
/* True if the length of the current response is not known from its head. */
bool wire_conn_is_unframed(const wire_conn_t *conn);
/* Stops or resumes reading from the socket, depending on what fits. */
void wire_conn_update_reading(wire_conn_t *conn);
/* Writes buffered bytes to the socket. */
void wire_conn_flush(wire_conn_t *conn);
void wire_conn_close(wire_conn_t *conn);
/* Closes with a reset, so that a truncated response without a length does not look complete. */
void wire_conn_reset(wire_conn_t *conn);
/* Shuts down output after the last response; the client or a timeout closes the connection. */
void wire_conn_finish(wire_conn_t *conn);
/* Counts and logs input received after the output was shut down. */
void wire_conn_log_late_input(wire_conn_t *conn, size_t len);
/* Closes after a disconnect or an error, and calls on_disconnect of an active request. */
void wire_conn_on_disconnect(wire_conn_t *conn);
