/* The story of one request, upstream or configuration version, from the logs of instances. */
#pragma once

/* `argv` holds the id and the files; returns the exit status. */
int trace_cmd(int argc, char **argv);
