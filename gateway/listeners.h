/*
 * Listeners: the ports of an instance for callers, peers, the platform and operators.
 *
 * Owns the listeners and their limits. Relies on wire/listener.h; the handlers are provided by
 * the instance.
 */
#pragma once

#include "gateway/settings.h"
#include "gateway/state/config.h"
#include "wire/listener.h"

typedef struct {
    wire_handler_t callers;
    wire_handler_t readiness;
    wire_handler_t directory;
    wire_handler_t admin;
    wire_handler_t transit;
    void *ctx; /* argument of all handlers */
} listener_handlers_t;

typedef struct {
    wire_listener_t *callers;
    wire_listener_t *readiness;
    wire_listener_t *directory;
    wire_listener_t *transit; /* for requests of peers (path/transit.h) */
    addr_t transit_addr;
    wire_listener_t *admin;  /* NULL without an admin address in the settings */
    uint64_t slow_reader_ms; /* from the settings */
} listeners_t;

/* Opens all ports. Port 0 in `settings` is replaced by the port assigned by the system. */
bool listeners_open(listeners_t *listeners, uv_loop_t *loop, gateway_settings_t *settings,
                    const listener_handlers_t *handlers, err_t *err);
/* Applies the configured limits to callers. */
void listeners_apply_limits(listeners_t *listeners, const config_limits_t *limits);
