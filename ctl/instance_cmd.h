/* Commands sent to a running gateway's admin address. */
#pragma once

/* `argv` holds the command and its arguments; returns the exit status. */
int instance_cmd(const char *instance, int argc, char **argv);
