/*
 * Gateway: one instance of irisstall-gateway.
 *
 * Connects the modules and runs their periodic work; makes no decisions itself. Owns all state
 * of the instance. Nothing is stored on disk: a starting instance gets its state from the store
 * or from peers, and responds with 503 and a retry time until then.
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

/* Returns NULL with an error if a port cannot be opened. `ports` must outlive the gateway, which
 * lives as long as the process. */
gateway_t *gateway_start(uv_loop_t *loop, const gateway_settings_t *settings,
                         const gateway_ports_t *ports, err_t *err);
/* Applies the settings that can change at runtime: the seeds. */
void gateway_reload(gateway_t *gateway, const gateway_settings_t *settings);
/* Starts a planned stop (policy/shutdown.h): leaves the directory at once, answers the requests
 * that were read, then stops the loop. */
void gateway_stop(gateway_t *gateway);

/* For tests: the settings in use; ports configured as 0 hold the port assigned by the system. */
const gateway_settings_t *gateway_settings(const gateway_t *gateway);
/* For tests: true if other backends are preferred to this one (policy/health.h). */
bool gateway_avoids(const gateway_t *gateway, str_t backend_id);
/* For tests: the state of a backend on this instance; NULL if unknown. */
const backend_t *gateway_backend(const gateway_t *gateway, str_t id);
/* For tests: number of instances known to be alive, including this one. */
unsigned gateway_live_instances(const gateway_t *gateway);
/* For tests: number of requests in progress. */
size_t gateway_active(const gateway_t *gateway);
