/*
 * Health probes of backend servers.
 *
 * A probe costs a server a part of a slot, so only servers that are out (ejected), quiet or wanted
 * are probed; quiet ones by one instance of the region: the first by rendezvous hash among the
 * live. A wanted server was chosen for a request, but was not heard for too long: it is asked first
 * whether it is leaving. A probe that succeeds ends an ejection early; one that fails never ejects
 * a server whose real answers are good, since health answers may mislead.
 */
#pragma once

#include "entry/node_state.h"

void probe_round(node_t *node);
/* Asks the servers that are wanted. */
void probe_wanted(node_t *node);
