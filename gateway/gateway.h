/*
 * Gateway: one instance of irisstall-gateway.
 *
 * Wires the modules together and runs their regular work; decides nothing itself. Owns all state of
 * the instance. Instances keep nothing on disk: a started one learns everything from the store or
 * from its peers, and answers 503 with a time to come back until it has.
 * Relies on the adapter behind ports.h for the platform.
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

/* NULL with an error if a port cannot be opened. The ports must outlive the gateway, which lives as
 * long as its process. */
gateway_t *gateway_start(uv_loop_t *loop, const gateway_settings_t *settings,
                         const gateway_ports_t *ports, err_t *err);
/* Takes over what may change while running: the seeds. */
void gateway_reload(gateway_t *gateway, const gateway_settings_t *settings);
/* Planned stop (policy/shutdown.h): out of the directory at once, requests that were read are
 * answered, then the loop stops. */
void gateway_stop(gateway_t *gateway);

/* For tests: the settings in use, with the ports that the system chose where they said 0. */
const gateway_settings_t *gateway_settings(const gateway_t *gateway);
/* For tests: true if others are preferred to this backend (policy/health.h). */
bool gateway_avoids(const gateway_t *gateway, str_t backend_id);
/* For tests: the backend as it is known here; NULL if it is not. */
const backend_t *gateway_backend(const gateway_t *gateway, str_t id);
/* For tests: instances heard of lately, this one too. */
unsigned gateway_live_instances(const gateway_t *gateway);
/* For tests: requests under way. */
size_t gateway_active(const gateway_t *gateway);
