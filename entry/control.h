/* The once-a-second round of an entry: heartbeats, credit plans, probes. */
#pragma once

#include "entry/node_state.h"

void control_tick(node_t *node);
