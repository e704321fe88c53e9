/*
 * Traffic split: picks one of a route's target services, in proportion to their weights.
 *
 * Stateless; `point` is random in [0, 1).
 */
#pragma once

#include "gateway/state/config.h"

/* Returns the name of the service, which is valid as long as the route. */
str_t traffic_split_pick(const config_route_t *route, double point);
