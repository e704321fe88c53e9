/* Requests of callers: tells look-ups, keys and readiness from requests to forward. */
#pragma once

#include "entry/node_state.h"

/* Answers a request; `ctx` is the node. */
void serve_request(void *ctx, h2o_req_t *req);
