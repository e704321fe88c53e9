#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cyaml/cyaml.h>

#include "base/xmalloc.h"
#include "load/config.h"

enum { TEXT_MAX = 255 };

typedef struct {
    char *name;
    char *service;
    char *method;
    char *path;
    double rate;
    uint32_t service_ms;
    uint32_t bytes;
    uint32_t timeout_ms;
    uint32_t drain_rate;
    char *keys;
    bool repeat_unknown;
} raw_class_t;

typedef struct {
    char **entries;
    unsigned entries_count;
    raw_class_t *classes;
    unsigned classes_count;
    uint32_t clients;
    uint32_t concurrency;
} raw_t;

#define TEXT(key, flags)                                                                           \
    CYAML_FIELD_STRING_PTR(#key, CYAML_FLAG_POINTER | (flags), raw_class_t, key, 0, TEXT_MAX)

static const cyaml_schema_field_t class_fields[] = {
    TEXT(name, 0),
    TEXT(service, 0),
    TEXT(method, 0),
    TEXT(path, 0),
    CYAML_FIELD_FLOAT("rate", CYAML_FLAG_DEFAULT, raw_class_t, rate),
    CYAML_FIELD_UINT("service_ms", CYAML_FLAG_OPTIONAL, raw_class_t, service_ms),
    CYAML_FIELD_UINT("bytes", CYAML_FLAG_OPTIONAL, raw_class_t, bytes),
    CYAML_FIELD_UINT("timeout_ms", CYAML_FLAG_DEFAULT, raw_class_t, timeout_ms),
    CYAML_FIELD_UINT("drain_rate", CYAML_FLAG_OPTIONAL, raw_class_t, drain_rate),
    TEXT(keys, CYAML_FLAG_OPTIONAL),
    CYAML_FIELD_BOOL("repeat_unknown", CYAML_FLAG_OPTIONAL, raw_class_t, repeat_unknown),
    CYAML_FIELD_END};

static const cyaml_schema_value_t class_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, raw_class_t, class_fields)};
static const cyaml_schema_value_t entry_schema = {
    CYAML_VALUE_STRING(CYAML_FLAG_POINTER, char, 0, TEXT_MAX)};

static const cyaml_schema_field_t fields[] = {
    CYAML_FIELD_SEQUENCE("entries", CYAML_FLAG_POINTER, raw_t, entries, &entry_schema, 1,
                         LOAD_ENTRIES_MAX),
    CYAML_FIELD_SEQUENCE("classes", CYAML_FLAG_POINTER, raw_t, classes, &class_schema, 1,
                         LOAD_CLASSES_MAX),
    CYAML_FIELD_UINT("clients", CYAML_FLAG_DEFAULT, raw_t, clients),
    CYAML_FIELD_UINT("concurrency", CYAML_FLAG_DEFAULT, raw_t, concurrency), CYAML_FIELD_END};

static const cyaml_schema_value_t schema = {CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, raw_t, fields)};

static bool
read_keys(const char *text, key_mode_t *out)
{
    static const char *const names[] = {"none", "minted", "own"};
    for (size_t i = 0; i < ALEN(names); i++) {
        if (strcmp(text != NULL ? text : "none", names[i]) == 0) {
            *out = (key_mode_t)i;
            return true;
        }
    }
    return false;
}

static bool
read_class(const raw_class_t *raw, load_class_t *out, err_t *err)
{
    *out = (load_class_t){.rate = raw->rate,
                          .service_ms = raw->service_ms,
                          .bytes = raw->bytes,
                          .timeout_ms = raw->timeout_ms,
                          .drain_rate = raw->drain_rate,
                          .repeat_unknown = raw->repeat_unknown};
    if (!name_set(&out->name, str_from(raw->name)) ||
        !name_set(&out->service, str_from(raw->service)) ||
        !name_set(&out->method, str_from(raw->method)) || raw->path[0] != '/' ||
        strlen(raw->path) >= sizeof(out->path)) {
        err_set(err, ERR_INVALID, "class %s: invalid name, service, method or path", raw->name);
        return false;
    }
    memcpy(out->path, raw->path, strlen(raw->path) + 1);
    if (raw->rate < 0 || raw->timeout_ms == 0 || !read_keys(raw->keys, &out->keys)) {
        err_set(err, ERR_INVALID,
                "class %s: rate must be at least 0, timeout_ms above 0, keys none, minted or own",
                raw->name);
        return false;
    }
    return true;
}

static bool
read_raw(const raw_t *raw, load_config_t *config, err_t *err)
{
    config->clients = raw->clients;
    config->concurrency = raw->concurrency;
    config->entry_count = raw->entries_count;
    config->class_count = raw->classes_count;
    if (raw->clients == 0 || raw->concurrency == 0) {
        err_set(err, ERR_INVALID, "clients and concurrency must be above 0");
        return false;
    }
    for (unsigned i = 0; i < raw->entries_count; i++) {
        if (!addr_parse(str_from(raw->entries[i]), &config->entries[i])) {
            err_set(err, ERR_INVALID, "entries: '%s': expected IP:PORT", raw->entries[i]);
            return false;
        }
    }
    for (unsigned i = 0; i < raw->classes_count; i++) {
        if (!read_class(&raw->classes[i], &config->classes[i], err))
            return false;
    }
    return true;
}

static void
print_message(cyaml_log_t level, void *ctx, const char *fmt, va_list args)
{
    (void)ctx;
    if (level >= CYAML_LOG_ERROR)
        vfprintf(stderr, fmt, args);
}

bool
load_config_read(const char *path, load_config_t *config, err_t *err)
{
    const cyaml_config_t yaml = {
        .log_fn = print_message, .mem_fn = cyaml_mem, .log_level = CYAML_LOG_ERROR};
    raw_t *raw = NULL;
    const cyaml_err_t rc = cyaml_load_file(path, &yaml, &schema, (cyaml_data_t **)&raw, NULL);
    if (rc != CYAML_OK) {
        err_set(err, ERR_PARSE, "%s: %s", path, cyaml_strerror(rc));
        return false;
    }
    const bool ok = read_raw(raw, config, err);
    cyaml_free(&yaml, &schema, raw, 0);
    return ok;
}
