/*
 * Commits an edit of a table: reads the table, applies the edit, writes conditionally on the
 * version and retries after a conflict.
 *
 * If the response to a write is lost, the next read tells from the table's list of applied edits
 * whether the write took effect.
 */
#pragma once

#include "ctl/session.h"
#include "entry/table/edit.h"

typedef enum {
    COMMIT_APPLIED,
    COMMIT_REFUSED,     /* the same cell was changed meanwhile, or the result is invalid */
    COMMIT_NOT_APPLIED, /* the store is unreachable; nothing was written */
    COMMIT_UNKNOWN,     /* a write may have taken effect; the store is unreachable */
} commit_result_t;

commit_result_t commit_edit(session_t *session, const char *service, const edit_t *edit,
                            uint64_t *version, err_t *err);
const char *commit_result_name(commit_result_t result);
/* Reads the service's table; on failure returns NULL and sets `err`. */
table_t *commit_read(session_t *session, const char *service, err_t *err);
