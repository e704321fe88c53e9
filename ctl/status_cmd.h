/* Commands that query running entries. Each returns the process's exit status. */
#pragma once

#include "ctl/session.h"

/* Prints each entry's adopted versions, credits and ramps. */
int status_cmd_status(session_t *session);
/* Explains the routing of a client's requests: explain SERVICE CLIENT. */
int status_cmd_explain(session_t *session, int argc, char **argv);
