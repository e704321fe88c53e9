#include <string.h>

#include <jansson.h>

#include "base/xmalloc.h"
#include "entry/table/table_json.h"

enum {
    SCHEMA = 1,
    DEADLINE_MAX_MS = 3600 * 1000, /* per class */
    LIMIT_MAX = 1000000,           /* of a row's limit and rate */
    PRIORITY_MAX = 9,              /* per class */
};

static bool
parse_row(json_t *json, table_row_t *row, err_t *err)
{
    const char *place;
    const char *state = "steered";
    json_int_t limit = 0;
    json_int_t rate = 0;
    json_error_t jerr;
    *row = (table_row_t){.cap = TABLE_POINTS};
    if (json_unpack_ex(json, &jerr, JSON_STRICT, "{s:s, s:F, s?F, s?I, s?I, s?F, s?s}", "place",
                       &place, "weight", &row->weight, "from", &row->from, "limit", &limit, "rate",
                       &rate, "cap", &row->cap, "state", &state) != 0) {
        err_set(err, ERR_PARSE, "row: %s", jerr.text);
        return false;
    }
    if (!name_set(&row->place, str_from(place))) {
        err_set(err, ERR_INVALID, "row place=%s: not a valid name", place);
        return false;
    }
    if (limit < 0 || limit > LIMIT_MAX || rate < 0 || rate > LIMIT_MAX) {
        err_set(err, ERR_INVALID, "row %s: limit and rate must be 0 to %d", place, LIMIT_MAX);
        return false;
    }
    if (!row_state_parse(state, &row->state)) {
        err_set(err, ERR_INVALID, "row %s: state=%s, expected steered or draining", place, state);
        return false;
    }
    row->limit = (uint32_t)limit;
    row->rate = (uint32_t)rate;
    return true;
}

static bool
parse_class(json_t *json, table_class_t *cls, err_t *err)
{
    const char *name;
    const char *method;
    const char *path;
    int repeatable;
    int hedge = 0;
    json_int_t deadline;
    json_int_t priority = 0;
    json_error_t jerr;
    *cls = (table_class_t){.weight_latency = 1};
    if (json_unpack_ex(
            json, &jerr, JSON_STRICT, "{s:s, s:s, s:s, s:b, s?b, s:I, s?I, s?F, s?F, s?F}", "name",
            &name, "method", &method, "path", &path, "repeatable", &repeatable, "hedge", &hedge,
            "deadline_ms", &deadline, "priority", &priority, "weight_latency", &cls->weight_latency,
            "weight_headroom", &cls->weight_headroom, "weight_drain", &cls->weight_drain) != 0) {
        err_set(err, ERR_PARSE, "class: %s", jerr.text);
        return false;
    }
    if (!name_set(&cls->name, str_from(name)) || !name_set(&cls->method, str_from(method))) {
        err_set(err, ERR_INVALID, "class name=%s method=%s: not valid names", name, method);
        return false;
    }
    if (path[0] != '/' || strlen(path) >= sizeof(cls->path)) {
        err_set(err, ERR_INVALID, "class %s: path=%s, expected a short absolute prefix", name,
                path);
        return false;
    }
    if (deadline < 1 || deadline > DEADLINE_MAX_MS || priority < 0 || priority > PRIORITY_MAX) {
        err_set(err, ERR_INVALID, "class %s: deadline_ms must be 1 to %d, priority 0 to 9", name,
                DEADLINE_MAX_MS);
        return false;
    }
    memcpy(cls->path, path, strlen(path) + 1);
    cls->repeatable = repeatable;
    cls->hedge = hedge;
    cls->deadline_ms = (uint32_t)deadline;
    cls->priority = (uint32_t)priority;
    return true;
}

static bool
parse_names(json_t *list, name_t *names, size_t *count, err_t *err)
{
    size_t i;
    json_t *item;
    json_array_foreach(list, i, item)
    {
        const char *text = json_string_value(item);
        if (text == NULL || !name_set(&names[(*count)++], str_from(text))) {
            err_set(err, ERR_INVALID, "list entry %zu is not a valid name", i);
            return false;
        }
    }
    return true;
}

static bool
parse_lists(table_t *table, json_t *rows, json_t *classes, json_t *draining, json_t *edits,
            err_t *err)
{
    size_t i;
    json_t *item;
    if (json_array_size(rows) > TABLE_ROWS_MAX || json_array_size(classes) > TABLE_CLASSES_MAX ||
        json_array_size(draining) > TABLE_DRAINING_MAX ||
        json_array_size(edits) > TABLE_EDITS_MAX) {
        err_set(err, ERR_TOO_LARGE, "too many rows, classes, draining backend servers or edit ids");
        return false;
    }
    table->rows = xcalloc(json_array_size(rows), sizeof(*table->rows));
    table->classes = xcalloc(json_array_size(classes), sizeof(*table->classes));
    table->draining = xcalloc(json_array_size(draining), sizeof(*table->draining));
    json_array_foreach(rows, i, item)
    {
        if (!parse_row(item, &table->rows[table->row_count++], err))
            return false;
    }
    json_array_foreach(classes, i, item)
    {
        if (!parse_class(item, &table->classes[table->class_count++], err))
            return false;
    }
    return parse_names(draining, table->draining, &table->draining_count, err) &&
           parse_names(edits, table->edits, &table->edit_count, err);
}

table_t *
table_parse(str_t json, err_t *err)
{
    json_error_t jerr;
    table_t *table = xcalloc(1, sizeof(*table));
    json_t *root = json_loadb(json.ptr, json.len, JSON_REJECT_DUPLICATES, &jerr);
    if (root == NULL) {
        err_set(err, ERR_PARSE, "line %d: %s", jerr.line, jerr.text);
        goto err;
    }
    const char *service;
    int schema;
    json_int_t start = 0;
    json_t *rows;
    json_t *classes;
    json_t *draining = NULL;
    json_t *edits = NULL;
    if (json_unpack_ex(root, &jerr, JSON_STRICT, "{s:i, s:s, s?I, s:o, s:o, s?o, s?o}", "schema",
                       &schema, "service", &service, "ramp_start_ms", &start, "rows", &rows,
                       "classes", &classes, "draining", &draining, "edits", &edits) != 0) {
        err_set(err, ERR_PARSE, "table: %s", jerr.text);
        goto err;
    }
    if (schema != SCHEMA) {
        err_set(err, ERR_INVALID, "schema=%d, expected %d", schema, SCHEMA);
        goto err;
    }
    if (!name_set(&table->service, str_from(service)) || start < 0) {
        err_set(err, ERR_INVALID, "service=%s or ramp_start_ms is not valid", service);
        goto err;
    }
    table->ramp_start_ms = (uint64_t)start;
    if (!parse_lists(table, rows, classes, draining, edits, err) || !table_check(table, err))
        goto err;
    json_decref(root);
    return table;

err:
    json_decref(root);
    table_free(table);
    return NULL;
}

static json_t *
format_row(const table_row_t *row)
{
    return json_pack("{s:s, s:f, s:f, s:I, s:I, s:f, s:s}", "place", row->place.ptr, "weight",
                     row->weight, "from", row->from, "limit", (json_int_t)row->limit, "rate",
                     (json_int_t)row->rate, "cap", row->cap, "state", row_state_name(row->state));
}

static json_t *
format_class(const table_class_t *cls)
{
    return json_pack("{s:s, s:s, s:s, s:b, s:b, s:I, s:I, s:f, s:f, s:f}", "name", cls->name.ptr,
                     "method", cls->method.ptr, "path", cls->path, "repeatable", cls->repeatable,
                     "hedge", cls->hedge, "deadline_ms", (json_int_t)cls->deadline_ms, "priority",
                     (json_int_t)cls->priority, "weight_latency", cls->weight_latency,
                     "weight_headroom", cls->weight_headroom, "weight_drain", cls->weight_drain);
}

static json_t *
format_names(const name_t *names, size_t count)
{
    json_t *list = json_array();
    for (size_t i = 0; i < count; i++)
        json_array_append_new(list, json_string(names[i].ptr));
    return list;
}

char *
table_format(const table_t *table)
{
    json_t *rows = json_array();
    json_t *classes = json_array();
    for (size_t i = 0; i < table->row_count; i++)
        json_array_append_new(rows, format_row(&table->rows[i]));
    for (size_t i = 0; i < table->class_count; i++)
        json_array_append_new(classes, format_class(&table->classes[i]));
    json_t *root = json_pack("{s:i, s:s, s:I, s:o, s:o, s:o, s:o}", "schema", SCHEMA, "service",
                             table->service.ptr, "ramp_start_ms", (json_int_t)table->ramp_start_ms,
                             "rows", rows, "classes", classes, "draining",
                             format_names(table->draining, table->draining_count), "edits",
                             format_names(table->edits, table->edit_count));
    char *text = json_dumps(root, JSON_INDENT(1) | JSON_REAL_PRECISION(12));
    json_decref(root);
    if (text == NULL)
        BUG("table cannot be serialized");
    return text;
}
