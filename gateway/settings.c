#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/yaml.h"
#include "gateway/settings.h"

/* A caller that reads nothing for this time has most likely gone. */
enum { SLOW_READER_DEFAULT_MS = 5000 };
enum { RULES_MAX = 64, TEXT_MAX = 255, MS_PER_S = 1000, BYTES_PER_MBIT = 125000 };

/* lower bounds that catch typing errors */
#define TTL_MIN_S 0.1
#define WINDOW_MIN_S 1
#define SLOW_READER_MIN_S 1

/* File contents as parsed by libcyaml; values are validated afterwards. */
typedef struct {
    char *place;
    char *region;
} raw_place_t;

typedef struct {
    char *name;
    char *place;
    char *callers;
    char *readiness;
    char *directory;
    char *peer;
    char *admin;
    char *store;
    char **seeds;
    unsigned seeds_count;
    raw_place_t *places;
    unsigned places_count;
    double link_mbps;
    double cpu_cores;
    double directory_ttl_s;
    double grace_s;
    double retry_ratio;
    double retry_constant;
    double retry_window_s;
    double expose_share;
    double expose_slack;
    double slow_reader_s;
    double transit_port;
    char **rules;
    unsigned rules_count;
} raw_t;

#define TEXT(key, flags)                                                                           \
    CYAML_FIELD_STRING_PTR(#key, CYAML_FLAG_POINTER | (flags), raw_t, key, 0, TEXT_MAX)
#define NUMBER(key) CYAML_FIELD_FLOAT(#key, CYAML_FLAG_DEFAULT, raw_t, key)
#define OPTIONAL_NUMBER(key) CYAML_FIELD_FLOAT(#key, CYAML_FLAG_OPTIONAL, raw_t, key)

static const cyaml_schema_value_t text_schema = {
    CYAML_VALUE_STRING(CYAML_FLAG_POINTER, char, 0, TEXT_MAX)};

static const cyaml_schema_field_t place_fields[] = {
    CYAML_FIELD_STRING_PTR("place", CYAML_FLAG_POINTER, raw_place_t, place, 0, TEXT_MAX),
    CYAML_FIELD_STRING_PTR("region", CYAML_FLAG_POINTER, raw_place_t, region, 0, TEXT_MAX),
    CYAML_FIELD_END};

static const cyaml_schema_value_t place_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, raw_place_t, place_fields)};

static const cyaml_schema_field_t fields[] = {
    TEXT(name, 0),
    TEXT(place, 0),
    TEXT(callers, 0),
    TEXT(readiness, 0),
    TEXT(directory, 0),
    TEXT(peer, 0),
    TEXT(admin, CYAML_FLAG_OPTIONAL),
    TEXT(store, 0),
    CYAML_FIELD_SEQUENCE("seeds", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL, raw_t, seeds,
                         &text_schema, 0, GATEWAY_SEEDS_MAX),
    CYAML_FIELD_SEQUENCE("places", CYAML_FLAG_POINTER, raw_t, places, &place_schema, 1,
                         TOPOLOGY_HALLS_MAX),
    OPTIONAL_NUMBER(link_mbps),
    OPTIONAL_NUMBER(cpu_cores),
    NUMBER(directory_ttl_s),
    NUMBER(grace_s),
    NUMBER(retry_ratio),
    NUMBER(retry_constant),
    NUMBER(retry_window_s),
    OPTIONAL_NUMBER(expose_share),
    OPTIONAL_NUMBER(expose_slack),
    OPTIONAL_NUMBER(slow_reader_s),
    OPTIONAL_NUMBER(transit_port),
    CYAML_FIELD_SEQUENCE("rules", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL, raw_t, rules,
                         &text_schema, 0, RULES_MAX),
    CYAML_FIELD_END};

static const cyaml_schema_value_t schema = {CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, raw_t, fields)};

static bool
invalid(err_t *err, const char *key, const char *value, const char *expected)
{
    err_set(err, ERR_INVALID, "%s: '%s': expected %s", key, value, expected);
    return false;
}

static bool
read_addr(const char *key, const char *text, addr_t *out, err_t *err)
{
    return addr_parse(str_from(text), out) || invalid(err, key, text, "IP:PORT");
}

static bool
read_name(const char *key, const char *text, name_t *out, err_t *err)
{
    return name_set(out, str_from(text)) || invalid(err, key, text, "a name");
}

static bool
read_number(const char *key, double value, double least, err_t *err)
{
    if (value >= least)
        return true;
    err_set(err, ERR_INVALID, "%s: '%g': expected at least %g", key, value, least);
    return false;
}

static bool
read_places(const raw_t *raw, gateway_settings_t *out, err_t *err)
{
    for (unsigned i = 0; i < raw->places_count; i++) {
        const raw_place_t *place = &raw->places[i];
        if (!topology_add(&out->topology, str_from(place->place), str_from(place->region)))
            return invalid(err, "places", place->place, "a name and a region name");
    }
    if (topology_region_of(&out->topology, name_str(&out->hall)) == TOPOLOGY_NO_REGION)
        return invalid(err, "place", out->hall.ptr, "one of the entries of places");
    return true;
}

static bool
read_seeds(const raw_t *raw, gateway_settings_t *out, err_t *err)
{
    for (unsigned i = 0; i < raw->seeds_count; i++) {
        if (!read_addr("seeds", raw->seeds[i], &out->seeds[i], err))
            return false;
    }
    out->seed_count = raw->seeds_count;
    return true;
}

/* Names of rules that this version does not know are ignored. */
static bool
has_rule(const raw_t *raw, const char *name)
{
    for (unsigned i = 0; i < raw->rules_count; i++) {
        if (strcmp(raw->rules[i], name) == 0)
            return true;
    }
    return false;
}

static bool
read_port(const char *key, double value, err_t *err)
{
    if (value >= 0 && value <= UINT16_MAX && value == (uint16_t)value)
        return true;
    err_set(err, ERR_INVALID, "%s: '%g': expected a port, 0 to %d", key, value, UINT16_MAX);
    return false;
}

static bool
validate(const raw_t *raw, gateway_settings_t *out, err_t *err)
{
    *out = (gateway_settings_t){
        .link_bytes_per_s = raw->link_mbps * BYTES_PER_MBIT,
        .cpu_cores = raw->cpu_cores,
        .directory_ttl_s = raw->directory_ttl_s,
        .grace_ms = (uint64_t)(raw->grace_s * MS_PER_S),
        .retry_ratio = raw->retry_ratio,
        .retry_constant = raw->retry_constant,
        .retry_window_ms = (uint64_t)(raw->retry_window_s * MS_PER_S),
        .expose_share = raw->expose_share,
        .expose_slack = raw->expose_slack,
        .has_admin = raw->admin != NULL,
        .transit_port = (uint16_t)raw->transit_port,
        .slow_reader_ms = raw->slow_reader_s > 0 ? (uint64_t)(raw->slow_reader_s * MS_PER_S)
                                                 : SLOW_READER_DEFAULT_MS,
        .orders_shortage = has_rule(raw, "pressure"),
    };
    if (raw->admin != NULL && !read_addr("admin", raw->admin, &out->admin, err))
        return false;
    return read_name("name", raw->name, &out->name, err) &&
           read_name("place", raw->place, &out->hall, err) &&
           read_addr("callers", raw->callers, &out->callers, err) &&
           read_addr("readiness", raw->readiness, &out->readiness, err) &&
           read_addr("directory", raw->directory, &out->directory, err) &&
           read_addr("peer", raw->peer, &out->peer, err) &&
           read_addr("store", raw->store, &out->store, err) &&
           read_number("link_mbps", raw->link_mbps, 0, err) &&
           read_number("cpu_cores", raw->cpu_cores, 0, err) &&
           read_number("directory_ttl_s", raw->directory_ttl_s, TTL_MIN_S, err) &&
           read_number("grace_s", raw->grace_s, 0, err) &&
           read_number("retry_ratio", raw->retry_ratio, 0, err) &&
           read_number("retry_constant", raw->retry_constant, 0, err) &&
           read_number("expose_share", raw->expose_share, 0, err) &&
           read_number("expose_slack", raw->expose_slack, 0, err) &&
           read_port("transit_port", raw->transit_port, err) &&
           (raw->slow_reader_s == 0 ||
            read_number("slow_reader_s", raw->slow_reader_s, SLOW_READER_MIN_S, err)) &&
           read_number("retry_window_s", raw->retry_window_s, WINDOW_MIN_S, err) &&
           read_seeds(raw, out, err) && read_places(raw, out, err);
}

bool
gateway_settings_load(const char *path, gateway_settings_t *out, err_t *err)
{
    raw_t *raw = NULL;
    if (!yaml_load(path, &schema, (void **)&raw, err))
        return false;
    const bool valid = validate(raw, out, err);
    yaml_unload(&schema, raw);
    return valid;
}

bool
settings_is_seed(const gateway_settings_t *settings)
{
    for (size_t i = 0; i < settings->seed_count; i++) {
        if (addr_eq(&settings->seeds[i], &settings->peer))
            return true;
    }
    return settings->seed_count == 0;
}
