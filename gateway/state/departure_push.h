/*
 * Departure push: sends the departing backend servers to other instances, ahead of the change of
 * the backend list (departures.h).
 *
 * Owns nothing. Depends on receivers.h for the receivers and on peer/link.h for the connections.
 */
#pragma once

#include "gateway/state/departures.h"
#include "gateway/state/receivers.h"
#include "peer/link.h"

/* Sends the departures directly to all receivers that accept them. At about 25 bytes each they
 * overtake the change itself, which passes several levels of the tree and waits for the rate limit.
 * `age_ms`: age of the oldest departure. */
void departure_push(peer_hub_t *hub, const receivers_t *receivers, const departures_t *departures,
                    uint32_t age_ms);
