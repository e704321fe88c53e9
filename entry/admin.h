/* The admin address of an entry: metrics, status for irisctl, and explanations of decisions. */
#pragma once

#include "entry/node_state.h"

/* Answers a request; `ctx` is the node. */
void admin_request(void *ctx, h2o_req_t *req);
