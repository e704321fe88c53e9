/*
 * A gateway instance: wires the listeners, the request path, membership and the views together.
 *
 * Instances keep nothing: a started one learns everything from the store or from its peers, and
 * answers "come back later" until it has.
 */
#pragma once

#include <uv.h>

#include "gateway/ports.h"
#include "gateway/settings.h"

typedef struct {
    const store_port_t *store;
    const decoder_port_t *decoder;
    const dialect_port_t *dialect;
    const directory_port_t *directory;
} gateway_ports_t;

typedef struct gateway gateway_t;

/* The ports must outlive the gateway. */
gateway_t *gateway_start(uv_loop_t *loop, const gateway_settings_t *settings,
                         const gateway_ports_t *ports, err_t *err);
/* Takes over what may change while running: the seeds. */
void gateway_reload(gateway_t *gateway, const gateway_settings_t *settings);
/* Planned stop: out of the directory at once, what was read is answered, then the loop stops. */
void gateway_stop(gateway_t *gateway);
/* The settings in use, with the ports that the system chose where they said 0. */
const gateway_settings_t *gateway_settings(const gateway_t *gateway);
/* True if it prefers others to this upstream, for what it or other instances saw of it. */
bool gateway_avoids(const gateway_t *gateway, str_t backend_id);
/* Instances heard of lately, this one too. */
unsigned gateway_living(const gateway_t *gateway);
/* Requests under way. */
size_t gateway_active(const gateway_t *gateway);
