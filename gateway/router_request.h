/*
 * What the router knows of a request, for its own files. Internal to the router.
 *
 * router.c picks a backend for a request and records what became of it; router_tick.c updates the
 * state periodically; router_returns.c decides when a refused caller is to come back.
 */
#pragma once

#include "gateway/router.h"

/* Expected time in milliseconds that a request keeps a slot busy. */
double router_expected_work_ms(const router_t *router, const config_route_t *route,
                               const service_t *service);
/* Level of urgency: by the priority of its client account, or of its route if it has none. */
unsigned router_request_urgency(const router_request_t *request);
/* Returns the input of a choice for the request. */
choice_input_t router_request_input(const router_t *router, const router_request_t *request);
