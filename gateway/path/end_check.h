/*
 * End check: tests whether a backend server process ended when a connection to it broke.
 *
 * A connection can be closed or reset while the backend keeps running (idle timeout, network
 * fault, aborted response). A new connection attempt distinguishes the cases: refused means that
 * the process is gone; a timeout is inconclusive because the link may be down, and so is a refusal
 * while this instance is cut from all backend servers (reach_monitor.h). At most one check per
 * backend runs at a time and serves all requests whose connections broke.
 *
 * Holds a reference to the backend during the check. Relies on wire/tcp_probe.h for the connection;
 * state/suspects.h receives the outcome.
 */
#pragma once

#include "gateway/path/reach_monitor.h"
#include "gateway/state/suspects.h"

/* Starts a check after a connection to the backend was closed or reset before the response was
 * complete. Announced ends (backend leaving or not listed) are ignored. `text` describes the
 * request to operators. */
void end_check_begin(reach_monitor_t *reach, suspects_t *suspects, backend_t *backend,
                     const fingerprint_t *fingerprint, str_t text, bool is_trial);
