#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/clock.h"
#include "base/xmalloc.h"
#include "ctl/commit.h"
#include "ctl/table_cmd.h"
#include "ctl/table_file.h"
#include "entry/region/limiter.h"
#include "entry/table/ramp.h"
#include "entry/table/table_json.h"

static int
report_error(const session_t *session, int status, const err_t *err)
{
    if (session != NULL && session->json) {
        json_t *root = json_pack("{s:s, s:s}", "error", err_name(err->code), "detail", err->detail);
        json_dumpf(root, stdout, JSON_COMPACT);
        putchar('\n');
        json_decref(root);
    } else {
        fprintf(stderr, "irisctl: %s: %s\n", err_name(err->code), err->detail);
    }
    return status;
}

static int
result_exit_status(commit_result_t result)
{
    switch (result) {
    case COMMIT_APPLIED:
        return CTL_OK;
    case COMMIT_REFUSED:
        return CTL_REFUSED;
    case COMMIT_NOT_APPLIED:
        return CTL_NOT_APPLIED;
    case COMMIT_UNKNOWN:
        return CTL_UNKNOWN;
    }
    BUG("unknown result");
}

static int
error_exit_status(const err_t *err)
{
    return err->code == ERR_NOT_FOUND || err->code == ERR_INVALID || err->code == ERR_PARSE
               ? CTL_REFUSED
               : CTL_NOT_APPLIED;
}

static void
print_table(const table_t *table)
{
    const uint64_t now = clock_wall_ms(clock_system());
    double *shares = xcalloc(table->row_count, sizeof(*shares));
    double *targets = xcalloc(table->row_count, sizeof(*targets));
    ramp_shares(table, now, shares);
    ramp_targets(table, targets);
    printf("%s (version %lu)\n", table->service.ptr, (unsigned long)table->version);
    printf("  %-20s %8s %8s %8s %8s %8s %8s  %s\n", "place", "weight", "share%", "target%", "limit",
           "rate", "cap", "state");
    for (size_t i = 0; i < table->row_count; i++) {
        const table_row_t *row = &table->rows[i];
        printf("  %-20s %8g %8.2f %8.2f %8u %8u %8g  %s\n", row->place.ptr, row->weight, shares[i],
               targets[i], row->limit, row->rate, row->cap, row_state_name(row->state));
    }
    for (size_t i = 0; i < table->draining_count; i++)
        printf("  draining server: %s\n", table->draining[i].ptr);
    const uint64_t end = ramp_end_ms(table);
    if (end == UINT64_MAX)
        printf("  shift held by a cap of 0\n");
    else if (end > now)
        printf("  shift under way, %.0f s left\n", (double)(end - now) / 1000);
    free(shares);
    free(targets);
}

static int
show_one(session_t *session, const char *service)
{
    err_t err = {0};
    table_t *table = commit_read(session, service, &err);
    if (table == NULL)
        return report_error(session, error_exit_status(&err), &err);
    if (session->json) {
        char *text = table_format(table);
        puts(text);
        free(text);
    } else {
        print_table(table);
    }
    table_free(table);
    return CTL_OK;
}

static int
show_all(session_t *session)
{
    const reply_t reply = session_list(session);
    if (reply.err.code != ERR_NONE) {
        free(reply.body);
        return report_error(session, CTL_NOT_APPLIED, &reply.err);
    }
    json_t *root = json_loadb(reply.body, reply.len, 0, NULL);
    free(reply.body);
    size_t i;
    json_t *item;
    int status = CTL_OK;
    json_array_foreach(json_object_get(root, "objects"), i, item)
    {
        const char *kind = json_string_value(json_object_get(item, "kind"));
        const char *name = json_string_value(json_object_get(item, "name"));
        if (kind == NULL || name == NULL || strcmp(kind, "table") != 0)
            continue;
        const int show_status = show_one(session, name);
        status = show_status != CTL_OK ? show_status : status;
    }
    json_decref(root);
    return status;
}

int
table_cmd_show(session_t *session, int argc, char **argv)
{
    return argc > 0 ? show_one(session, argv[0]) : show_all(session);
}

static edit_t *
start_edit(session_t *session)
{
    name_t id;
    char text[NAME_MAX_LEN + 1];
    snprintf(text, sizeof(text), "e%016lx%016lx", (unsigned long)rng_next(&session->rng),
             (unsigned long)rng_next(&session->rng));
    if (!name_set(&id, str_from(text)))
        BUG("edit id is not a name");
    return edit_new(&id);
}

static int
finish_edit(session_t *session, const char *service, edit_t *edit)
{
    err_t err = {0};
    uint64_t version = 0;
    const commit_result_t result = commit_edit(session, service, edit, &version, &err);
    history_write(&session->history, "edit", "\"id\":\"%s\",\"service\":\"%s\",\"result\":\"%s\"",
                  edit->id.ptr, service, commit_result_name(result));
    edit_free(edit);
    if (result != COMMIT_APPLIED) {
        if (err.code == ERR_NONE)
            err_set(&err, ERR_UNAVAILABLE, "the store cannot be reached");
        report_error(session, CTL_OK, &err);
    }
    if (session->json)
        printf("{\"result\":\"%s\",\"version\":%lu}\n", commit_result_name(result),
               (unsigned long)version);
    else
        printf("%s%s\n", commit_result_name(result),
               result == COMMIT_UNKNOWN ? ": read the table before trying again" : "");
    return result_exit_status(result);
}

int
table_cmd_set(session_t *session, int argc, char **argv)
{
    char *slash = argc >= 2 ? strchr(argv[0], '/') : NULL;
    if (slash == NULL) {
        fputs("Usage: irisctl set SERVICE/PLACE COLUMN=VALUE...\n", stderr);
        return CTL_USAGE;
    }
    *slash = '\0';
    err_t err = {0};
    table_t *table = commit_read(session, argv[0], &err);
    if (table == NULL)
        return report_error(session, error_exit_status(&err), &err);
    edit_t *edit = start_edit(session);
    bool ok = true;
    for (int i = 1; ok && i < argc; i++)
        ok = edit_add_cell(edit, table, str_from(slash + 1), str_from(argv[i]), &err);
    table_free(table);
    if (!ok) {
        edit_free(edit);
        return report_error(session, CTL_USAGE, &err);
    }
    return finish_edit(session, argv[0], edit);
}

int
table_cmd_export(session_t *session, int argc, char **argv)
{
    if (argc != 1) {
        fputs("Usage: irisctl export SERVICE > FILE\n", stderr);
        return CTL_USAGE;
    }
    err_t err = {0};
    table_t *table = commit_read(session, argv[0], &err);
    if (table == NULL)
        return report_error(session, error_exit_status(&err), &err);
    table_file_print(table);
    table_free(table);
    return CTL_OK;
}

int
table_cmd_import(session_t *session, int argc, char **argv)
{
    if (argc != 2) {
        fputs("Usage: irisctl import SERVICE FILE\n", stderr);
        return CTL_USAGE;
    }
    err_t err = {0};
    table_file_t *file = table_file_read(argv[1], &err);
    if (file == NULL)
        return report_error(session, CTL_USAGE, &err);
    table_t *table = commit_read(session, argv[0], &err);
    edit_t *edit = start_edit(session);
    const bool readable = table != NULL;
    const bool ok = readable && table_file_add_changes(file, table, edit, &err);
    table_free(table);
    table_file_free(file);
    if (!ok) {
        edit_free(edit);
        return report_error(session, readable ? CTL_USAGE : error_exit_status(&err), &err);
    }
    return finish_edit(session, argv[0], edit);
}

int
table_cmd_drain(session_t *session, int argc, char **argv, bool drain)
{
    if (argc != 2) {
        fputs("Usage: irisctl drain|undrain SERVICE SERVER\n", stderr);
        return CTL_USAGE;
    }
    name_t backend;
    err_t err = {0};
    if (!name_set(&backend, str_from(argv[1]))) {
        err_set(&err, ERR_INVALID, "%s: not a valid name", argv[1]);
        return report_error(session, CTL_USAGE, &err);
    }
    edit_t *edit = start_edit(session);
    edit_add_drain(edit, drain ? CHANGE_DRAIN : CHANGE_UNDRAIN, &backend);
    return finish_edit(session, argv[0], edit);
}

static char *
read_file(const char *path, size_t *len, err_t *err)
{
    FILE *file = fopen(path, "re");
    if (file == NULL) {
        err_set(err, ERR_SYSTEM, "%s: %s", path, strerror(errno));
        return NULL;
    }
    char *text = xmalloc(PLATFORM_VALUE_MAX + 1);
    *len = fread(text, 1, PLATFORM_VALUE_MAX + 1, file);
    fclose(file);
    if (*len <= PLATFORM_VALUE_MAX) {
        text[*len] = '\0';
        return text;
    }
    free(text);
    err_set(err, ERR_TOO_LARGE, "%s: above %d bytes", path, PLATFORM_VALUE_MAX);
    return NULL;
}

static bool
check_object(const char *kind, str_t body, err_t *err)
{
    if (strcmp(kind, "table") == 0) {
        table_t *table = table_parse(body, err);
        const bool ok = table != NULL;
        table_free(table);
        return ok;
    }
    if (strcmp(kind, "region") == 0) {
        region_limits_t limits;
        return region_limits_parse(body, 0, &limits, err);
    }
    return true;
}

int
table_cmd_put(session_t *session, int argc, char **argv)
{
    if (argc != 3) {
        fputs("Usage: irisctl put KIND NAME FILE\n", stderr);
        return CTL_USAGE;
    }
    err_t err = {0};
    size_t len;
    char *body = read_file(argv[2], &len, &err);
    if (body == NULL || !check_object(argv[0], (str_t){body, len}, &err)) {
        free(body);
        return report_error(session, CTL_USAGE, &err);
    }
    const reply_t stored = session_get(session, argv[0], argv[1]);
    free(stored.body);
    if (stored.err.code != ERR_NONE && stored.err.code != ERR_NOT_FOUND) {
        free(body);
        return report_error(session, CTL_NOT_APPLIED, &stored.err);
    }
    const uint64_t expected = stored.err.code == ERR_NONE ? stored.version : 0;
    const reply_t reply = session_put(session, argv[0], argv[1], expected, (str_t){body, len});
    free(body);
    free(reply.body);
    if (reply.err.code == ERR_NONE) {
        printf("applied version %lu\n", (unsigned long)reply.version);
        return CTL_OK;
    }
    const bool answer_lost = reply.err.code == ERR_ANSWER_LOST || reply.err.code == ERR_TIMEOUT;
    const int status = reply.err.code == ERR_CONFLICT ? CTL_REFUSED
                       : answer_lost                  ? CTL_UNKNOWN
                                                      : CTL_NOT_APPLIED;
    return report_error(session, status, &reply.err);
}

int
table_cmd_check(int argc, char **argv)
{
    int status = CTL_OK;
    if (argc == 0) {
        fputs("Usage: irisctl check FILE...\n", stderr);
        return CTL_USAGE;
    }
    for (int i = 0; i < argc; i++) {
        err_t err = {0};
        err_t region_err = {0};
        size_t len = 0;
        char *body = read_file(argv[i], &len, &err);
        const bool ok = body != NULL && (check_object("table", (str_t){body, len}, &err) ||
                                         check_object("region", (str_t){body, len}, &region_err));
        printf("%s: %s\n", argv[i], ok ? "good" : err.detail);
        status = ok ? status : CTL_REFUSED;
        free(body);
    }
    return status;
}
