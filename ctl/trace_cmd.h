/* Merges the log lines about one request, backend server or configuration version by time. */
#pragma once

/* `argv` holds the id and the files; returns the exit status. */
int trace_cmd(int argc, char **argv);
