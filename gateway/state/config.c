#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define XXH_STATIC_LINKING_ONLY /* for a hash state on the stack */
#include <xxhash.h>

#include "base/xmalloc.h"
#include "gateway/state/config_accounts.h"

enum { HOST_SEED = 11, PREFIX_SEED = 12, HOST_PIECE = 256 };

config_t *
config_new(size_t route_count, size_t service_count)
{
    config_t *config = xcalloc(1, sizeof(*config));
    config->refs = 1;
    config->routes = xcalloc(route_count > 0 ? route_count : 1, sizeof(*config->routes));
    config->route_count = route_count;
    config->services = xcalloc(service_count > 0 ? service_count : 1, sizeof(*config->services));
    config->service_count = service_count;
    return config;
}

size_t
config_skipped_count(const config_t *config)
{
    return config->routes_skipped + config->services_skipped + config->accounts_skipped +
           config->keys_skipped;
}

/* Versions are numbers with leading zeros, so a longer one is newer. */
int
config_version_order(const char *left, const char *right)
{
    const size_t left_len = strlen(left);
    const size_t right_len = strlen(right);
    if (left_len != right_len)
        return left_len < right_len ? -1 : 1;
    return strcmp(left, right);
}

config_t *
config_ref(config_t *config)
{
    config->refs++;
    return config;
}

void
config_route_clear(config_route_t *route)
{
    free(route->host);
    free(route->prefix);
    free(route->targets);
    free(route->regions.items);
    *route = (config_route_t){0};
}

void
config_route_remove_targets(config_route_t *route)
{
    free(route->targets);
    route->targets = NULL;
    route->target_count = 0;
}

bool
config_set_health_path(config_service_t *service, str_t path)
{
    if (path.len == 0 || path.len > CONFIG_HEALTH_PATH_MAX || path.ptr[0] != '/')
        return false;
    for (size_t i = 0; i < path.len; i++) {
        if (!isgraph((unsigned char)path.ptr[i]))
            return false;
    }
    service->health_path = xmemdup0(path.ptr, path.len);
    return true;
}

void
config_unref(config_t *config)
{
    if (config == NULL || --config->refs > 0)
        return;
    for (size_t i = 0; i < config->route_count; i++)
        config_route_clear(&config->routes[i]);
    for (size_t i = 0; i < config->service_count; i++)
        free(config->services[i].health_path);
    free(config->routes);
    free(config->services);
    config_free_accounts(config);
    free(config);
}

/* Hash of the host in lower case, without its port; in pieces, as a host has any length. */
static uint64_t
host_hash(str_t host)
{
    char lower[HOST_PIECE];
    uint64_t hash = HOST_SEED;
    size_t len = 0;
    for (size_t i = 0; i < host.len && host.ptr[i] != ':'; i++) {
        if (len == sizeof(lower)) {
            hash = str_hash((str_t){lower, len}, hash);
            len = 0;
        }
        const char c = host.ptr[i];
        lower[len++] = c >= 'A' && c <= 'Z' ? (char)(c - 'A' + 'a') : c;
    }
    return str_hash((str_t){lower, len}, hash);
}

static int
compare_keys(const void *left, const void *right)
{
    const uint64_t a = ((const config_route_t *)left)->key;
    const uint64_t b = ((const config_route_t *)right)->key;
    return (a > b) - (a < b);
}

static int
compare_service_names(const void *left, const void *right)
{
    const config_service_t *a = left;
    const config_service_t *b = right;
    return str_compare(name_str(&a->name), name_str(&b->name));
}

void
config_seal(config_t *config)
{
    for (size_t i = 0; i < config->route_count; i++) {
        config_route_t *route = &config->routes[i];
        const size_t len = strlen(route->prefix);
        if (len > config->longest_prefix)
            config->longest_prefix = len;
        route->key =
            str_hash(str_from(route->prefix), PREFIX_SEED ^ host_hash(str_from(route->host)));
    }
    qsort(config->routes, config->route_count, sizeof(*config->routes), compare_keys);
    qsort(config->services, config->service_count, sizeof(*config->services),
          compare_service_names);
    config_seal_accounts(config);
}

static const config_route_t *
find_route(const config_t *config, uint64_t key, str_t prefix)
{
    const config_route_t needle = {.key = key};
    const config_route_t *route = bsearch(&needle, config->routes, config->route_count,
                                          sizeof(*config->routes), compare_keys);
    return route != NULL && str_eq(str_from(route->prefix), prefix) ? route : NULL;
}

/* The hash is carried on from slash to slash, so that the work grows with the path only. */
const config_route_t *
config_route(const config_t *config, str_t host, str_t path)
{
    XXH64_state_t hash;
    const config_route_t *longest = NULL;
    const size_t end = path.len < config->longest_prefix ? path.len : config->longest_prefix;
    size_t hashed = 0;
    XXH64_reset(&hash, PREFIX_SEED ^ host_hash(host));
    for (size_t len = 1; len <= end; len++) {
        if (path.ptr[len - 1] != '/')
            continue;
        XXH64_update(&hash, path.ptr + hashed, len - hashed);
        hashed = len;
        const config_route_t *route =
            find_route(config, XXH64_digest(&hash), (str_t){path.ptr, len});
        if (route != NULL)
            longest = route;
    }
    return longest;
}

const config_service_t *
config_service(const config_t *config, str_t name)
{
    size_t low = 0;
    size_t high = config->service_count;
    while (low < high) {
        const size_t mid = low + (high - low) / 2;
        const int order = str_compare(name_str(&config->services[mid].name), name);
        if (order == 0)
            return &config->services[mid];
        if (order < 0)
            low = mid + 1;
        else
            high = mid;
    }
    return NULL;
}

bool
config_allows_region(const config_regions_t *regions, str_t region)
{
    if (regions->count == 0)
        return true;
    for (size_t i = 0; i < regions->count; i++) {
        if (name_eq(&regions->items[i], region))
            return true;
    }
    return false;
}
