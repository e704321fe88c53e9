/*
 * End check: whether a backend server ended when the connection of a request to it broke.
 *
 * A connection may be closed or reset while its backend server goes on (an idle time that ran out,
 * a fault on the way, an answer broken off). A new connection tells the two apart: where it is
 * refused, the process has gone. One that is not answered tells nothing: a link may be cut.
 * One check a backend server at a time, for all requests that broke there.
 *
 * Keeps a reference to the backend meanwhile. Relies on wire/tcp_probe.h for the connection; the
 * outcome goes to state/suspects.h.
 */
#pragma once

#include <uv.h>

#include "gateway/state/backend.h"
#include "gateway/state/suspects.h"

/* The connection of a request to the backend was closed or reset before its answer was whole. An
 * end that was told ahead (the backend leaves, or is not in the list) is not looked at. `text` is
 * for operators. */
void end_check_begin(uv_loop_t *loop, suspects_t *suspects, backend_t *backend,
                     const fingerprint_t *fingerprint, str_t text);
