/* Metrics and status of an entry, on its admin address. */
#pragma once

#include "entry/node_state.h"

/* Answers a request; `ctx` is the node. */
void admin_request(void *ctx, h2o_req_t *req);
