/*
 * Load gossip: passes reports of backend servers with a queue on to other instances, with
 * heartbeats.
 *
 * Reports in a lost heartbeat are not sent again; the next one carries newer ones. Instances of
 * earlier versions ignore them. Relies on state/load_reports.h for the selection.
 */
#pragma once

#include "gateway/state/load_reports.h"
#include "peer/peer.pb-c.h"

/* Reports of a heartbeat and the list that points to them. */
typedef struct {
    Iris__BackendLoad items[LOAD_REPORTS_MAX];
    Iris__BackendLoad *list[LOAD_REPORTS_MAX];
} load_message_t;

/* Takes the reports to be passed on; returns their number. */
size_t load_gossip_fill(load_message_t *out, const backends_t *backends, uint64_t now_ms);
/* Applies the reports of a heartbeat. */
void load_gossip_merge(const backends_t *backends, Iris__BackendLoad *const *items, size_t count,
                       uint64_t now_ms);
