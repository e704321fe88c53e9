/*
 * Listeners: the ports on which an instance answers callers, the platform and operators.
 *
 * Owns the listeners and their limits. Relies on wire/listener.h; the handlers belong to the
 * instance.
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
    void *ctx; /* of all four */
} listener_handlers_t;

typedef struct {
    wire_listener_t *callers;
    wire_listener_t *readiness;
    wire_listener_t *directory;
    wire_listener_t *admin; /* NULL if the settings give no address */
} listeners_t;

/* Opens all ports; addresses in `settings` with port 0 get the port that the system chose. */
bool listeners_open(listeners_t *listeners, uv_loop_t *loop, gateway_settings_t *settings,
                    const listener_handlers_t *handlers, err_t *err);
/* Applies the operators' limits to callers. */
void listeners_apply_limits(listeners_t *listeners, const config_limits_t *limits);
