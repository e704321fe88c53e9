/* Health probes of backend servers that would not be asked otherwise. */
#pragma once

#include "entry/node_state.h"

void probe_round(node_t *node);
