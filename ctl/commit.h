/*
 * Committing an edit of a table: read, apply, write if unchanged, and again after a conflict.
 *
 * The outcome told to the operator is the true one: an answer lost after the write is settled by
 * reading whether the stored table remembers the edit.
 */
#pragma once

#include "ctl/session.h"
#include "entry/table/edit.h"

typedef enum {
    COMMIT_APPLIED,
    COMMIT_REFUSED,     /* somebody changed the same cell, or the result breaks a rule */
    COMMIT_NOT_APPLIED, /* the store could not be reached; nothing was written */
    COMMIT_UNKNOWN,     /* a write may have taken effect and the store cannot be asked */
} commit_result_t;

commit_result_t commit_edit(session_t *session, const char *service, const edit_t *edit,
                            uint64_t *version, err_t *err);
const char *commit_result_name(commit_result_t result);
/* Reads the service's table; NULL with `err` set. */
table_t *commit_read(session_t *session, const char *service, err_t *err);
