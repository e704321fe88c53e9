#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/clock.h"
#include "base/xmalloc.h"
#include "entry/http/fetch.h"
#include "load/steering.h"

enum {
    CONNECTIONS = 512,
    IDLE_MS = 5000,
    LOOKUP_TIMEOUT_MS = 2000,
    LOOKUP_ATTEMPTS_MAX = 3,
    ANSWER_MAX = 32768,
    KEY_BATCH_SIZE = 50,
    KEY_LIFETIME_MS = 8000, /* unused keys are discarded after this time */
    KEY_PATH_MAX = 96,
    TARGETS_MAX = 256,
};

typedef struct {
    route_t route;
    uint64_t expires_ms;
} cached_route_t;

typedef struct {
    addr_t addr;
    http_target_t *target;
    char (*keys)[STEERING_KEY_SIZE];
    size_t key_count;
    uint64_t keys_expire_ms;
} entry_t;

struct steering {
    uv_loop_t *loop;
    http_client_t *client;
    const load_config_t *config;
    rng_t *rng;
    cached_route_t *cache; /* indexed by class and client */
    entry_t entries[TARGETS_MAX];
    size_t entry_count;
    uint64_t lookups;
};

typedef struct {
    steering_t *steering;
    size_t class_index;
    uint32_t client;
    size_t first; /* index of the entry tried first */
    unsigned attempts;
    route_cb_t cb;
    void *ctx;
} lookup_t;

typedef struct {
    steering_t *steering;
    addr_t addr;
    key_cb_t cb;
    void *ctx;
} key_fetch_t;

static uint64_t
now_ms(void)
{
    return clock_steady_ms(clock_system());
}

steering_t *
steering_new(uv_loop_t *loop, http_client_t *client, const load_config_t *config, rng_t *rng)
{
    steering_t *steering = xcalloc(1, sizeof(*steering));
    steering->loop = loop;
    steering->client = client;
    steering->config = config;
    steering->rng = rng;
    steering->cache = xcalloc(config->class_count * config->clients, sizeof(*steering->cache));
    return steering;
}

static entry_t *
find_or_add_entry(steering_t *steering, const addr_t *addr)
{
    for (size_t i = 0; i < steering->entry_count; i++) {
        if (addr_eq(&steering->entries[i].addr, addr))
            return &steering->entries[i];
    }
    xassert(steering->entry_count < TARGETS_MAX);
    entry_t *entry = &steering->entries[steering->entry_count++];
    entry->addr = *addr;
    entry->target = http_target_new(steering->client, addr, CONNECTIONS, IDLE_MS);
    entry->keys = xcalloc(KEY_BATCH_SIZE, STEERING_KEY_SIZE);
    return entry;
}

http_target_t *
steering_target(steering_t *steering, const addr_t *addr)
{
    return find_or_add_entry(steering, addr)->target;
}

/* Formats the client block's address for lookups. */
static void
format_client(uint32_t client, char out[32])
{
    snprintf(out, 32, "10.%u.%u.7", (client >> 8) & 0xff, client & 0xff);
}

static bool
parse_route(str_t body, route_t *route, uint64_t *ttl_ms)
{
    json_t *root = json_loadb(body.ptr, body.len, 0, NULL);
    size_t i;
    json_t *item;
    *ttl_ms = (uint64_t)json_integer_value(json_object_get(root, "ttl_ms"));
    route->count = 0;
    json_array_foreach(json_object_get(root, "entries"), i, item)
    {
        if (route->count < STEERING_ENTRIES &&
            addr_parse(str_from(json_string_value(item)), &route->entries[route->count]))
            route->count++;
    }
    json_decref(root);
    return route->count > 0;
}

static void start_lookup(lookup_t *lookup);

static void
on_lookup(void *ctx, const fetch_answer_t *answer)
{
    lookup_t *lookup = ctx;
    steering_t *steering = lookup->steering;
    cached_route_t *cached =
        &steering->cache[lookup->class_index * steering->config->clients + lookup->client];
    uint64_t ttl_ms;
    const bool ok = answer->result->err.code == ERR_NONE && answer->result->status == 200 &&
                    parse_route(answer->body, &cached->route, &ttl_ms);
    if (!ok && ++lookup->attempts < LOOKUP_ATTEMPTS_MAX && answer->result->status != 404) {
        start_lookup(lookup);
        return;
    }
    if (ok)
        cached->expires_ms = now_ms() + ttl_ms;
    lookup->cb(lookup->ctx, ok ? &cached->route : NULL);
    free(lookup);
}

static void
start_lookup(lookup_t *lookup)
{
    steering_t *steering = lookup->steering;
    const load_config_t *config = steering->config;
    char client[32];
    char path[256];
    format_client(lookup->client, client);
    snprintf(path, sizeof(path), "/v1/lookup?service=%s&client=%s",
             config->classes[lookup->class_index].service.ptr, client);
    const addr_t *addr = &config->entries[(lookup->first + lookup->attempts) % config->entry_count];
    const fetch_conf_t conf = {.target = steering_target(steering, addr),
                               .method = "GET",
                               .path = path,
                               .body = STR(""),
                               .timeout_ms = LOOKUP_TIMEOUT_MS,
                               .max_body = ANSWER_MAX};
    steering->lookups++;
    fetch_start(&conf, on_lookup, lookup);
}

void
steering_route(steering_t *steering, size_t class_index, uint32_t client, route_cb_t cb, void *ctx)
{
    const cached_route_t *cached =
        &steering->cache[class_index * steering->config->clients + client];
    if (now_ms() < cached->expires_ms) {
        cb(ctx, &cached->route);
        return;
    }
    lookup_t *lookup = xmalloc(sizeof(*lookup));
    *lookup = (lookup_t){
        .steering = steering, .class_index = class_index, .client = client, .cb = cb, .ctx = ctx};
    start_lookup(lookup);
}

static void
on_keys(void *ctx, const fetch_answer_t *answer)
{
    key_fetch_t *fetch = ctx;
    entry_t *entry = find_or_add_entry(fetch->steering, &fetch->addr);
    json_t *root = json_loadb(answer->body.ptr, answer->body.len, 0, NULL);
    size_t i;
    json_t *item;
    json_array_foreach(json_object_get(root, "keys"), i, item)
    {
        const char *text = json_string_value(item);
        if (text == NULL || entry->key_count == KEY_BATCH_SIZE || strlen(text) >= STEERING_KEY_SIZE)
            break;
        memcpy(entry->keys[entry->key_count++], text, strlen(text) + 1);
    }
    json_decref(root);
    entry->keys_expire_ms = now_ms() + KEY_LIFETIME_MS;
    char key[STEERING_KEY_SIZE];
    const bool found = entry->key_count > 0;
    if (found)
        memcpy(key, entry->keys[--entry->key_count], sizeof(key));
    fetch->cb(fetch->ctx, found ? key : NULL);
    free(fetch);
}

void
steering_key(steering_t *steering, const addr_t *addr, key_cb_t cb, void *ctx)
{
    entry_t *entry = find_or_add_entry(steering, addr);
    if (now_ms() >= entry->keys_expire_ms)
        entry->key_count = 0;
    if (entry->key_count > 0) {
        char key[STEERING_KEY_SIZE];
        memcpy(key, entry->keys[--entry->key_count], sizeof(key));
        cb(ctx, key);
        return;
    }
    key_fetch_t *fetch = xmalloc(sizeof(*fetch));
    *fetch = (key_fetch_t){.steering = steering, .addr = *addr, .cb = cb, .ctx = ctx};
    char path[KEY_PATH_MAX];
    snprintf(path, sizeof(path), "/v1/keys?count=%d", KEY_BATCH_SIZE);
    const fetch_conf_t conf = {.target = entry->target,
                               .method = "GET",
                               .path = path,
                               .body = STR(""),
                               .timeout_ms = LOOKUP_TIMEOUT_MS,
                               .max_body = ANSWER_MAX};
    fetch_start(&conf, on_keys, fetch);
}

uint64_t
steering_lookups(const steering_t *steering)
{
    return steering->lookups;
}
