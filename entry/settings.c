#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cyaml/cyaml.h>

#include "base/xmalloc.h"
#include "base/yaml.h"
#include "entry/settings.h"

/* What a settings file may ask for. */
enum {
    TEXT_MAX = 255,              /* bytes of a text. Chosen, not measured */
    MAX_BODY_KB_LIMIT = 1 << 16, /* chosen, not measured */
    RATE_LIMIT = 2000, /* calls a second; the store takes as many reads (docs/CAPACITY.md) */
};

/* The file as libcyaml reads it; texts are checked afterwards. */
typedef struct {
    char *file;
    char *level;
} raw_log_t;

typedef struct {
    char *name;
    char *region;
    char *place;
    char *listen;
    char *peer;
    char *admin;
    char *platform;
    char **seeds;
    unsigned seeds_count;
    raw_log_t *log;
    char *history;
    char *spans;
    char *policy;
    uint32_t *max_body_kb;
    uint32_t *store_reads_per_s;
    uint32_t *store_writes_per_s;
} raw_t;

#define TEXT(key, flags)                                                                           \
    CYAML_FIELD_STRING_PTR(#key, CYAML_FLAG_POINTER | (flags), raw_t, key, 0, TEXT_MAX)

static const cyaml_schema_value_t seed_schema = {
    CYAML_VALUE_STRING(CYAML_FLAG_POINTER, char, 0, TEXT_MAX)};

static const cyaml_schema_field_t log_fields[] = {
    CYAML_FIELD_STRING_PTR("file", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL, raw_log_t, file, 0,
                           TEXT_MAX),
    CYAML_FIELD_STRING_PTR("level", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL, raw_log_t, level, 0,
                           TEXT_MAX),
    CYAML_FIELD_END};

static const cyaml_schema_field_t fields[] = {
    TEXT(name, 0),
    TEXT(region, 0),
    TEXT(place, 0),
    TEXT(listen, 0),
    TEXT(peer, 0),
    TEXT(admin, 0),
    TEXT(platform, 0),
    CYAML_FIELD_SEQUENCE("seeds", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL, raw_t, seeds,
                         &seed_schema, 0, SETTINGS_SEEDS_MAX),
    CYAML_FIELD_MAPPING_PTR("log", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL, raw_t, log,
                            log_fields),
    TEXT(history, CYAML_FLAG_OPTIONAL),
    TEXT(spans, CYAML_FLAG_OPTIONAL),
    TEXT(policy, CYAML_FLAG_OPTIONAL),
    CYAML_FIELD_UINT_PTR("max_body_kb", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL, raw_t,
                         max_body_kb),
    CYAML_FIELD_UINT_PTR("store_reads_per_s", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL, raw_t,
                         store_reads_per_s),
    CYAML_FIELD_UINT_PTR("store_writes_per_s", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL, raw_t,
                         store_writes_per_s),
    CYAML_FIELD_END};

static const cyaml_schema_value_t schema = {CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, raw_t, fields)};

typedef struct {
    const char *path;
    err_t *err;
} reader_t;

static bool
bad_value(const reader_t *reader, const char *key, const char *value, const char *expected)
{
    err_set(reader->err, ERR_INVALID, "%s:%zu: %s: '%s': expected %s", reader->path,
            yaml_line_of(reader->path, key), key, value, expected);
    return false;
}

static bool
read_name(const reader_t *reader, const char *key, const char *text, name_t *out)
{
    if (name_set(out, str_from(text)))
        return true;
    return bad_value(reader, key, text, "1 to 47 letters, digits, '-', '_' or '.'");
}

static bool
read_addr(const reader_t *reader, const char *key, const char *text, addr_t *out)
{
    if (addr_parse(str_from(text), out))
        return true;
    return bad_value(reader, key, text, "IP:PORT, port 0 to 65535");
}

static bool
read_text(const reader_t *reader, const char *key, const char *text, char out[TEXT_MAX + 1])
{
    snprintf(out, TEXT_MAX + 1, "%s", text != NULL ? text : "");
    if (text == NULL || strlen(text) <= TEXT_MAX)
        return true;
    return bad_value(reader, key, text, "at most 255 bytes");
}

static bool
read_number(const reader_t *reader, const char *key, const uint32_t *given, uint32_t fallback,
            uint32_t most, uint32_t *out)
{
    *out = given != NULL ? *given : fallback;
    if (*out >= 1 && *out <= most)
        return true;
    char value[16];
    char expected[48];
    snprintf(value, sizeof(value), "%u", *out);
    snprintf(expected, sizeof(expected), "a whole number from 1 to %u", most);
    return bad_value(reader, key, value, expected);
}

static bool
read_seeds(const reader_t *reader, const raw_t *raw, settings_t *out)
{
    for (unsigned i = 0; i < raw->seeds_count; i++) {
        if (!read_addr(reader, "seeds", raw->seeds[i], &out->seeds[i]))
            return false;
        for (unsigned j = 0; j < i; j++) {
            if (addr_eq(&out->seeds[i], &out->seeds[j]))
                return bad_value(reader, "seeds", raw->seeds[i], "each address once");
        }
    }
    out->seed_count = raw->seeds_count;
    return true;
}

static bool
read_log(const reader_t *reader, const raw_log_t *raw, settings_t *out)
{
    const char *level = raw != NULL && raw->level != NULL ? raw->level : "info";
    if (!log_level_parse(level, &out->log_level))
        return bad_value(reader, "level", level, "error, warn, info or debug");
    return read_text(reader, "file", raw != NULL ? raw->file : NULL, out->log_file);
}

static bool
read_distinct(const reader_t *reader, const raw_t *raw, const settings_t *out)
{
    const bool chosen_by_system = addr_port(&out->listen) == 0;
    if (!chosen_by_system && addr_eq(&out->listen, &out->peer))
        return bad_value(reader, "peer", raw->peer, "an address other than listen");
    if (!chosen_by_system && addr_eq(&out->listen, &out->admin))
        return bad_value(reader, "admin", raw->admin, "an address other than listen");
    return true;
}

static bool
read_raw(const reader_t *reader, const raw_t *raw, settings_t *out)
{
    uint32_t reads;
    uint32_t writes;
    const char *policy = raw->policy != NULL ? raw->policy : "iris";
    if (!read_name(reader, "name", raw->name, &out->name) ||
        !read_name(reader, "region", raw->region, &out->region) ||
        !read_name(reader, "place", raw->place, &out->place) ||
        !read_addr(reader, "listen", raw->listen, &out->listen) ||
        !read_addr(reader, "peer", raw->peer, &out->peer) ||
        !read_addr(reader, "admin", raw->admin, &out->admin) ||
        !read_addr(reader, "platform", raw->platform, &out->platform) ||
        !read_distinct(reader, raw, out) || !read_seeds(reader, raw, out) ||
        !read_log(reader, raw->log, out) ||
        !read_text(reader, "history", raw->history, out->history) ||
        !read_text(reader, "spans", raw->spans, out->spans) ||
        !read_number(reader, "max_body_kb", raw->max_body_kb, 1024, MAX_BODY_KB_LIMIT,
                     &out->max_body_kb) ||
        !read_number(reader, "store_reads_per_s", raw->store_reads_per_s, 20, RATE_LIMIT, &reads) ||
        !read_number(reader, "store_writes_per_s", raw->store_writes_per_s, 10, RATE_LIMIT,
                     &writes))
        return false;
    if (!policy_parse(str_from(policy), &out->policy))
        return bad_value(reader, "policy", policy, "iris, round-robin, least or two-choices");
    out->store_reads_per_s = reads;
    out->store_writes_per_s = writes;
    return true;
}

bool
settings_load(const char *path, settings_t *settings, err_t *err)
{
    raw_t *raw = NULL;
    if (!yaml_load(path, &schema, (void **)&raw, err))
        return false;
    const reader_t reader = {.path = path, .err = err};
    *settings = (settings_t){0};
    const bool ok = read_raw(&reader, raw, settings);
    yaml_unload(&schema, raw);
    return ok;
}
