/* Commands on tables. Each returns the process's exit status. */
#pragma once

#include "ctl/session.h"

enum {
    CTL_OK = 0,
    CTL_REFUSED = 1,
    CTL_USAGE = 2,
    CTL_NOT_APPLIED = 3, /* the store is unreachable; nothing was changed */
    CTL_UNKNOWN = 4,     /* a write may have taken effect */
};

int table_cmd_show(session_t *session, int argc, char **argv);
int table_cmd_set(session_t *session, int argc, char **argv);
int table_cmd_export(session_t *session, int argc, char **argv);
int table_cmd_import(session_t *session, int argc, char **argv);
int table_cmd_drain(session_t *session, int argc, char **argv, bool drain);
/* Writes an object from a file: put KIND NAME FILE. Tables and regions are validated first. */
int table_cmd_put(session_t *session, int argc, char **argv);
/* Validates files with tables or regions, without the store. */
int table_cmd_check(int argc, char **argv);
