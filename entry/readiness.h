/* Whether an instance may answer: it knows its objects and none of them can be old. */
#pragma once

#include "entry/node_state.h"

bool node_ready(const node_t *node);
