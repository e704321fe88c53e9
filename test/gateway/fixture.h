/* Helpers shared by the gateway's unit tests. */
#pragma once

#include "gateway/membership/topology.h"
#include "gateway/state/config.h"

/* Region a with data halls a1 and a2, b with b1, c with c1. */
topology_t three_regions(void);
/* A route to the service "svc". */
void fill_route(config_route_t *route, const char *host, const char *prefix);
