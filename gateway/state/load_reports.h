/*
 * Load reports: the reports of queues at backend servers that are passed on to other instances.
 *
 * An instance of a large fleet meets a given backend server once in many seconds, and its queue
 * drains within fewer. Of what backend servers reported to this instance, the newest reports of
 * queues are passed on, once each; a report from another instance counts as one of its age unless
 * the own one is newer. For a backend server with overdue attempts a queue is assumed and passed on
 * until it reports again. Only for services whose work is counted.
 *
 * The state is part of the backends. Time is passed in.
 */
#pragma once

#include "gateway/state/backends.h"

enum {
    /* Reports passed on at once: 4 of 17 bytes with each heartbeat are 3.6 kB/s for an instance
     * that hears 63 others every 1.2 s. */
    LOAD_REPORTS_MAX = 4,
    /* Age up to which a report is passed on; twice the largest interval of heartbeats. */
    LOAD_REPORT_AGE_MAX_MS = 2400,
};

typedef struct {
    uint64_t incarnation_key; /* backend_t.incarnation_key */
    uint32_t requests;        /* running and queued */
    uint32_t age_ms;
} load_report_t;

/* Assumes the load of backends with overdue attempts. Stores up to LOAD_REPORTS_MAX reports that
 * were not passed on yet, the newest ones, and returns their number; the others are never passed
 * on. */
size_t load_reports_take(const backends_t *backends, uint64_t now_ms, load_report_t *out);
/* Applies reports from another instance; backends that are not known here are skipped. */
void load_reports_apply(const backends_t *backends, const load_report_t *reports, size_t count,
                        uint64_t now_ms);
