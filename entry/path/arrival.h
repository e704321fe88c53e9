/*
 * A request arrives: finds its service and class, sets its deadline, and sends it on its way.
 *
 * Relies on every other file of this folder but serve.c.
 */
#pragma once

#include "entry/path/exchange.h"

/* Starts a request; answers it in every case. */
void arrival_start(node_t *node, h2o_req_t *req);
