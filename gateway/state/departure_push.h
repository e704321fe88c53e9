/*
 * Departure push: tells other instances which backend servers leave, ahead of the change of the
 * list that says so (departures.h).
 *
 * Owns nothing. Relies on receivers.h for the instances, on peer/link.h for the connections.
 */
#pragma once

#include "gateway/state/departures.h"
#include "gateway/state/receivers.h"
#include "peer/link.h"

/* Sends them straight to all receivers that take them: 25 bytes each, so that 160 at once are 4 kB,
 * 0.16 s of a link of 20 Mbit/s to 97 instances. The change that they are part of takes some 60 ms
 * at each of four or five steps of the tree, and waits for the pause after the one before.
 * `age_ms`: of the oldest of them. */
void departure_push(peer_hub_t *hub, const receivers_t *receivers, const departures_t *departures,
                    uint32_t age_ms);
