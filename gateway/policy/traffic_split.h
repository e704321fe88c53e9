/*
 * Traffic split: which service a route's request goes to.
 *
 * Decides: one of the route's targets, by their weights.
 * Input: the route, and a random point in [0, 1).
 * Rule: a target's share of the requests is its weight over the sum of the weights.
 *
 * Pure: no state; the caller draws the point.
 */
#pragma once

#include "gateway/state/config.h"

/* The name of the service; it lives as long as the route. */
str_t traffic_split_pick(const config_route_t *route, double point);
