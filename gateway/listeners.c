#include "gateway/listeners.h"

#include "base/xmalloc.h"
#include "gateway/policy/slow_reader.h"

enum {
    /* readiness, directory and admin ports, whose requests have a few hundred bytes */
    SMALL_HEAD_MAX = 8192,
    SMALL_CONNECTIONS_MAX = 512,
    /* stays below the 4,100 file descriptors of an instance */
    CALLER_CONNECTIONS_MAX = 3000,
    /* limits for callers until a configuration is known */
    DEFAULT_HEAD_MAX = 16384,
    DEFAULT_BODY_MAX = 1 << 20,
    HEAD_TIMEOUT_MS = 3000,
    /* header fields that instances add to requests in transit */
    TRANSIT_FIELDS_MAX = 1024,
    TRANSIT_CONNECTIONS_MAX = 512,
    IDLE_TIMEOUT_MS = 15000,
};

static const wire_limits_t small_limits = {
    .max_head = SMALL_HEAD_MAX,
    .max_body = SMALL_HEAD_MAX,
    .head_timeout_ms = HEAD_TIMEOUT_MS,
    .idle_timeout_ms = IDLE_TIMEOUT_MS,
    .max_connections = SMALL_CONNECTIONS_MAX,
};

static const config_limits_t default_limits = {
    .max_head_bytes = DEFAULT_HEAD_MAX,
    .max_body_bytes = DEFAULT_BODY_MAX,
    .head_timeout_ms = HEAD_TIMEOUT_MS,
    .idle_timeout_ms = IDLE_TIMEOUT_MS,
};

static wire_limits_t
caller_limits(const listeners_t *listeners, const config_limits_t *limits)
{
    return (wire_limits_t){
        .max_head = limits->max_head_bytes,
        .max_body = limits->max_body_bytes,
        .head_timeout_ms = limits->head_timeout_ms,
        .idle_timeout_ms = limits->idle_timeout_ms,
        .max_connections = CALLER_CONNECTIONS_MAX,
        .max_bodies = SLOW_READER_BODIES_MAX,
        .stall_timeout_ms = listeners->slow_reader_ms,
    };
}

/* Limits for requests that a peer has read within the limits for callers. */
static wire_limits_t
transit_limits(const listeners_t *listeners, const config_limits_t *limits)
{
    wire_limits_t transit = caller_limits(listeners, limits);
    transit.max_head += TRANSIT_FIELDS_MAX;
    transit.idle_timeout_ms = IDLE_TIMEOUT_MS;
    transit.max_connections = TRANSIT_CONNECTIONS_MAX;
    return transit;
}

typedef struct {
    wire_listener_t **listener;
    addr_t *addr;
    wire_handler_t handler;
    const wire_limits_t *limits;
} port_t;

static bool
open_port(const port_t *port, uv_loop_t *loop, void *ctx, err_t *err)
{
    *port->listener = wire_listener_start(loop, port->addr, port->limits, port->handler, ctx, err);
    if (*port->listener == NULL)
        return false;
    addr_set_port(port->addr, wire_listener_port(*port->listener));
    return true;
}

bool
listeners_open(listeners_t *listeners, uv_loop_t *loop, gateway_settings_t *settings,
               const listener_handlers_t *handlers, err_t *err)
{
    listeners->slow_reader_ms = settings->slow_reader_ms;
    const wire_limits_t limits = caller_limits(listeners, &default_limits);
    const wire_limits_t transit = transit_limits(listeners, &default_limits);
    listeners->transit_addr = settings->peer;
    addr_set_port(&listeners->transit_addr, settings->transit_port);
    const port_t ports[] = {
        {&listeners->callers, &settings->callers, handlers->callers, &limits},
        {&listeners->readiness, &settings->readiness, handlers->readiness, &small_limits},
        {&listeners->directory, &settings->directory, handlers->directory, &small_limits},
        {&listeners->transit, &listeners->transit_addr, handlers->transit, &transit},
        {&listeners->admin, &settings->admin, handlers->admin, &small_limits},
    };
    const size_t count = settings->has_admin ? ALEN(ports) : ALEN(ports) - 1;
    for (size_t i = 0; i < count; i++) {
        if (!open_port(&ports[i], loop, handlers->ctx, err))
            return false;
    }
    return true;
}

void
listeners_apply_limits(listeners_t *listeners, const config_limits_t *limits)
{
    const wire_limits_t applied = caller_limits(listeners, limits);
    const wire_limits_t transit = transit_limits(listeners, limits);
    wire_listener_set_limits(listeners->callers, &applied);
    wire_listener_set_limits(listeners->transit, &transit);
}
