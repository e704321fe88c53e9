#include <stdlib.h>

#include "base/clock.h"
#include "ctl/commit.h"
#include "entry/table/table_json.h"

enum { COMMIT_TIMEOUT_MS = 10000, RETRY_MS = 200 };

const char *
commit_result_name(commit_result_t result)
{
    static const char *const names[] = {
        [COMMIT_APPLIED] = "applied",
        [COMMIT_REFUSED] = "refused",
        [COMMIT_NOT_APPLIED] = "not_applied",
        [COMMIT_UNKNOWN] = "unknown",
    };
    return names[result];
}

table_t *
commit_read(session_t *session, const char *service, err_t *err)
{
    const reply_t reply = session_get(session, "table", service);
    table_t *table = NULL;
    if (reply.err.code == ERR_NONE)
        table = table_parse((str_t){reply.body, reply.len}, err);
    else
        *err = reply.err;
    if (table != NULL)
        table->version = reply.version;
    free(reply.body);
    return table;
}

typedef struct {
    session_t *session;
    const char *service;
    const edit_t *edit;
    bool may_have_written;
} commit_t;

static bool
was_not_written(err_code_t code)
{
    return code == ERR_CONFLICT || code == ERR_UNAVAILABLE || code == ERR_RATE_LIMITED ||
           code == ERR_NOT_FOUND;
}

/* Makes one attempt; returns true if `result` is final. */
static bool
try_commit(commit_t *commit, commit_result_t *result, uint64_t *version, err_t *err)
{
    table_t *table = commit_read(commit->session, commit->service, err);
    if (table == NULL) {
        *result = err->code == ERR_NOT_FOUND || err->code == ERR_PARSE || err->code == ERR_INVALID
                      ? COMMIT_REFUSED
                      : COMMIT_NOT_APPLIED;
        return *result == COMMIT_REFUSED;
    }
    const uint64_t read_version = table->version;
    const edit_result_t applied =
        edit_apply(commit->edit, table, clock_wall_ms(clock_system()), err);
    if (applied != EDIT_APPLIED) {
        table_free(table);
        *version = read_version;
        *result = applied == EDIT_ALREADY_APPLIED ? COMMIT_APPLIED : COMMIT_REFUSED;
        return true;
    }
    char *text = table_format(table);
    table_free(table);
    const reply_t reply =
        session_put(commit->session, "table", commit->service, read_version, str_from(text));
    free(text);
    free(reply.body);
    if (reply.err.code == ERR_NONE) {
        *version = reply.version;
        *result = COMMIT_APPLIED;
        return true;
    }
    *err = reply.err;
    if (!was_not_written(reply.err.code))
        commit->may_have_written = true;
    return false;
}

commit_result_t
commit_edit(session_t *session, const char *service, const edit_t *edit, uint64_t *version,
            err_t *err)
{
    const iris_clock_t *clock = clock_system();
    const uint64_t deadline_ms = clock_steady_ms(clock) + COMMIT_TIMEOUT_MS;
    commit_t commit = {.session = session, .service = service, .edit = edit};
    commit_result_t result = COMMIT_NOT_APPLIED;
    while (clock_steady_ms(clock) < deadline_ms) {
        if (try_commit(&commit, &result, version, err))
            return result;
        session_sleep(session, rng_below(&session->rng, RETRY_MS) + 1);
    }
    return commit.may_have_written ? COMMIT_UNKNOWN : COMMIT_NOT_APPLIED;
}
