/*
 * One entry instance: starts it, wires its parts together on one loop, stops it as planned.
 *
 * Puts objects in force that store.c and gossip.c bring, and runs the regular work. Relies on every
 * other file of the entry; none of them relies on it.
 */
#pragma once

#include "entry/node_state.h"

/* False with an error if a port or a file cannot be opened. */
bool node_start(node_t *node, uv_loop_t *loop, const settings_t *settings, err_t *err);
/* Planned stop: look-ups stop naming the instance, what is in flight ends, the loop stops. */
void node_leave(node_t *node);
