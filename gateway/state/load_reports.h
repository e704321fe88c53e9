/*
 * Load reports: which backend servers with a queue other instances are told of.
 *
 * An instance of a large fleet meets a given backend server once in many seconds, and its queue
 * drains within fewer. Of what backend servers reported to this instance, the newest reports of
 * queues are passed on, once each; a report from another instance counts as one of its age unless
 * the own one is newer. A backend server that leaves attempts overdue reports nothing; a queue is
 * assumed then and passed on, as long as it is silent. Only of services whose work is counted.
 *
 * Keeps its marks in the backends. Time is passed in.
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

/* Sets the load of backends that leave attempts overdue. Stores up to LOAD_REPORTS_MAX reports that
 * were not passed on yet, the newest ones, and returns their number. What is left out is not passed
 * on later. */
size_t load_reports_take(const backends_t *backends, uint64_t now_ms, load_report_t *out);
/* Applies reports from another instance; backends that are not known here are skipped. */
void load_reports_apply(const backends_t *backends, const load_report_t *reports, size_t count,
                        uint64_t now_ms);
