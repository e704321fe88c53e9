/* The rounds of an entry instance: heartbeats, credit plans, probes, sweeps. */
#pragma once

#include "entry/node_state.h"

void control_tick(node_t *node);
