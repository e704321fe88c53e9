#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#define LOG_MODULE "store"
#include "base/log.h"
#include "base/xmalloc.h"
#include "entry/gossip_objects.h"
#include "entry/store.h"

/* Chosen for the store's rates; docs/CAPACITY.md has the calls that follow from them. */
enum {
    WATCHERS_PER_HALL = 2,
    WATCH_WAIT_MS = 25000, /* a watch rests this long at most */
    RELIST_MS = 30000,     /* between full lists */
    INSTANCES_MS = 2000,   /* between reads of the instance list */
    BACKOFF_MIN_MS = 250,  /* pause after a failure, doubled with each further one */
    /* The pause is drawn from half to one and a half of this: the store's return is seen within
     * 1.5 s, after a call without an answer within that and the call's time limit of 3 s. With 8 s
     * the instance list was read up to 6.5 s after the return (test_store.c), too late for a
     * backend server that had begun to leave. */
    BACKOFF_MAX_MS = 1000,
    ALLOCATION_CHECK_MS = 1000, /* between checks of the region's allocation */
};

struct store_follower {
    node_t *node;
    uint64_t revision;
    uint64_t next_list_ms;
    uint64_t next_watch_ms;
    uint64_t next_instances_ms;
    uint64_t next_allocation_ms;
    uint64_t backoff_ms;
    uint64_t failing_since_ms; /* 0: the last answer was good */
    bool listing;
    bool watching;
    bool asking_instances;
    bool asking_allocation;
    bool listed_once;
    size_t gets; /* objects being read */
    bool get_failed;
    bool resync; /* a full list has to be asked for since this process woke up */
};

typedef struct {
    store_follower_t *follower;
    name_t kind;
    name_t name;
    uint64_t asked_ms;
} get_t;

static uint64_t
jitter(node_t *node, uint64_t mean_ms)
{
    return mean_ms / 2 + rng_below(&node->rng, mean_ms + 1);
}

static void
note_success(store_follower_t *follower)
{
    follower->failing_since_ms = 0;
    follower->backoff_ms = 0;
}

static uint64_t
note_failure(store_follower_t *follower, const err_t *err)
{
    node_t *node = follower->node;
    if (follower->failing_since_ms == 0) {
        follower->failing_since_ms = node_now(node);
        LOG_WARN("store call failed: err=%s detail=%s", err_name(err->code), err->detail);
    }
    follower->backoff_ms = follower->backoff_ms == 0 ? BACKOFF_MIN_MS : follower->backoff_ms * 2;
    if (follower->backoff_ms > BACKOFF_MAX_MS)
        follower->backoff_ms = BACKOFF_MAX_MS;
    return node_now(node) + jitter(node, follower->backoff_ms);
}

bool
store_failing(const store_follower_t *follower)
{
    return follower->failing_since_ms != 0;
}

static bool
is_watcher(const node_t *node)
{
    const str_t place = name_str(&node->settings.place);
    const uint64_t own = str_hash(name_str(&node->settings.name), 0);
    size_t before = 0;
    for (size_t i = 0; i < node->members.count; i++) {
        const member_t *member = &node->members.items[i];
        if (name_eq(&member->place, place) && member_alive(member, node_now(node)) &&
            str_hash(name_str(&member->name), 0) < own)
            before++;
    }
    return before < WATCHERS_PER_HALL;
}

static bool
concerns_us(const node_t *node, str_t kind, str_t name)
{
    return !str_eq(kind, STR("allocation")) || name_eq(&node->settings.region, name);
}

static void
finish_list(store_follower_t *follower)
{
    if (follower->gets > 0 || follower->listing || !follower->listed_once)
        return;
    if (follower->get_failed) {
        follower->get_failed = false;
        follower->next_list_ms = node_now(follower->node) + jitter(follower->node, BACKOFF_MIN_MS);
        return;
    }
    if (!follower->node->store_synced)
        LOG_INFO("store read: revision=%lu objects=%zu", (unsigned long)follower->revision,
                 objects_count(follower->node->objects));
    follower->node->store_synced = true;
    if (!follower->resync)
        follower->node->woke = false;
}

static void
on_get(void *ctx, const platform_answer_t *answer)
{
    get_t *get = ctx;
    store_follower_t *follower = get->follower;
    node_t *node = follower->node;
    follower->gets--;
    if (answer->err.code == ERR_NONE) {
        note_success(follower);
        const offer_result_t offer =
            objects_offer(node->objects, name_str(&get->kind), name_str(&get->name),
                          answer->version, answer->body);
        if (offer == OFFER_ADOPTED)
            gossip_relay(node,
                         objects_find(node->objects, name_str(&get->kind), name_str(&get->name)),
                         true);
        if (str_eq(name_str(&get->kind), STR("allocation")))
            credit_store_confirm(node->credit, answer->version, get->asked_ms);
    } else if (answer->err.code != ERR_NOT_FOUND) {
        follower->get_failed = true;
    }
    finish_list(follower);
    free(get);
}

static void
get_object(store_follower_t *follower, str_t kind, str_t name)
{
    node_t *node = follower->node;
    get_t *get = xcalloc(1, sizeof(*get));
    get->follower = follower;
    get->asked_ms = node_now(node);
    if (!name_set(&get->kind, kind) || !name_set(&get->name, name)) {
        free(get);
        return;
    }
    follower->gets++;
    platform_get(node->platform, get->kind.ptr, get->name.ptr, on_get, get);
}

/* Reads what the answer names and we do not have; false if it is not understood. */
static bool
read_changes(store_follower_t *follower, str_t body)
{
    json_t *root = json_loadb(body.ptr, body.len, 0, NULL);
    json_int_t revision;
    json_t *list;
    if (json_unpack(root, "{s:I, s:o}", "revision", &revision, "objects", &list) != 0) {
        json_decref(root);
        return false;
    }
    size_t i;
    json_t *item;
    json_array_foreach(list, i, item)
    {
        const char *kind;
        const char *name;
        json_int_t version;
        if (json_unpack(item, "{s:s, s:s, s:I}", "kind", &kind, "name", &name, "version",
                        &version) != 0)
            continue;
        if (concerns_us(follower->node, str_from(kind), str_from(name)) &&
            objects_wants(follower->node->objects, str_from(kind), str_from(name),
                          (uint64_t)version))
            get_object(follower, str_from(kind), str_from(name));
    }
    if ((uint64_t)revision > follower->revision)
        follower->revision = (uint64_t)revision;
    json_decref(root);
    return true;
}

static void
on_list(void *ctx, const platform_answer_t *answer)
{
    store_follower_t *follower = ctx;
    node_t *node = follower->node;
    follower->listing = false;
    if (answer->err.code != ERR_NONE) {
        follower->resync = node->woke;
        follower->next_list_ms = note_failure(follower, &answer->err);
        return;
    }
    note_success(follower);
    follower->next_list_ms = node_now(node) + jitter(node, RELIST_MS);
    follower->listed_once = read_changes(follower, answer->body);
    finish_list(follower);
}

static void
on_watch(void *ctx, const platform_answer_t *answer)
{
    store_follower_t *follower = ctx;
    node_t *node = follower->node;
    follower->watching = false;
    if (answer->err.code != ERR_NONE) {
        follower->next_watch_ms = note_failure(follower, &answer->err);
        return;
    }
    note_success(follower);
    follower->next_watch_ms = node_now(node);
    read_changes(follower, answer->body);
}

static void
on_instances(void *ctx, const platform_answer_t *answer)
{
    store_follower_t *follower = ctx;
    node_t *node = follower->node;
    follower->asking_instances = false;
    follower->next_instances_ms = node_now(node) + jitter(node, INSTANCES_MS);
    if (answer->err.code != ERR_NONE) {
        follower->next_instances_ms = note_failure(follower, &answer->err);
        return;
    }
    const offer_result_t offer =
        objects_offer(node->objects, STR("instances"), STR("list"), answer->version, answer->body);
    if (offer == OFFER_ADOPTED)
        gossip_relay(node, objects_find(node->objects, STR("instances"), STR("list")), true);
}

static void
on_allocation(void *ctx, const platform_answer_t *answer)
{
    get_t *get = ctx;
    get->follower->asking_allocation = false;
    get->follower->gets++;
    on_get(ctx, answer);
}

void
store_check_allocation(node_t *node)
{
    store_follower_t *follower = node->follower;
    if (follower->asking_allocation || node_now(node) < follower->next_allocation_ms)
        return;
    follower->next_allocation_ms = node_now(node) + jitter(node, ALLOCATION_CHECK_MS);
    follower->asking_allocation = true;
    get_t *get = xcalloc(1, sizeof(*get));
    get->follower = follower;
    get->asked_ms = node_now(node);
    name_set(&get->kind, STR("allocation"));
    get->name = node->settings.region;
    platform_get(node->platform, get->kind.ptr, get->name.ptr, on_allocation, get);
}

void
store_tick(store_follower_t *follower)
{
    node_t *node = follower->node;
    const uint64_t now = node_now(node);
    if (node->store_synced && !follower->resync && !is_watcher(node))
        return;
    if (!follower->listing && now >= follower->next_list_ms) {
        follower->listing = true;
        follower->resync = false;
        platform_list(node->platform, on_list, follower);
    }
    if (!follower->watching && follower->listed_once && now >= follower->next_watch_ms) {
        follower->watching = true;
        platform_watch(node->platform, follower->revision, WATCH_WAIT_MS, on_watch, follower);
    }
    if (!follower->asking_instances && now >= follower->next_instances_ms) {
        follower->asking_instances = true;
        platform_instances(node->platform, on_instances, follower);
    }
}

void
store_resync(store_follower_t *follower)
{
    follower->resync = true;
    follower->next_list_ms = 0;
}

store_follower_t *
store_follow(node_t *node)
{
    store_follower_t *follower = xcalloc(1, sizeof(*follower));
    follower->node = node;
    return follower;
}
