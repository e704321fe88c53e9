#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/xmalloc.h"
#include "entry/fleet/instance.h"

enum { DEFAULT_SLOTS = 1 }; /* for backend servers without the member */

static bool
parse_addr(const char *text, addr_t *out)
{
    return text == NULL || addr_parse(str_from(text), out);
}

static bool
parse_instance(json_t *json, instance_t *out, err_t *err)
{
    const char *name;
    const char *role;
    const char *region;
    const char *place;
    const char *addr;
    const char *service = NULL;
    const char *peer = NULL;
    const char *admin = NULL;
    const char *state = "live";
    int slots = DEFAULT_SLOTS;
    json_error_t jerr;
    *out = (instance_t){.role = ROLE_ENTRY};
    if (json_unpack_ex(json, &jerr, 0, "{s:s, s:s, s:s, s:s, s:s, s?s, s?s, s?s, s?s, s?i}", "name",
                       &name, "role", &role, "region", &region, "place", &place, "addr", &addr,
                       "service", &service, "peer", &peer, "admin", &admin, "state", &state,
                       "slots", &slots) != 0) {
        err_set(err, ERR_PARSE, "instance: %s", jerr.text);
        return false;
    }
    out->role = strcmp(role, "backend") == 0 ? ROLE_BACKEND : ROLE_ENTRY;
    out->leaving = strcmp(state, "leaving") == 0;
    out->slots = slots > 0 ? (uint32_t)slots : DEFAULT_SLOTS;
    if (!name_set(&out->name, str_from(name)) || !name_set(&out->region, str_from(region)) ||
        !name_set(&out->place, str_from(place)) || !parse_addr(addr, &out->addr) ||
        !parse_addr(peer, &out->peer) || !parse_addr(admin, &out->admin) ||
        (service != NULL && !name_set(&out->service, str_from(service)))) {
        err_set(err, ERR_INVALID, "instance %s: invalid name or address", name);
        return false;
    }
    return true;
}

instances_t *
instances_parse(str_t json, uint64_t revision, err_t *err)
{
    json_error_t jerr;
    json_t *root = json_loadb(json.ptr, json.len, 0, &jerr);
    if (!json_is_array(root)) {
        err_set(err, ERR_PARSE, "instance list: %s", root == NULL ? jerr.text : "not an array");
        json_decref(root);
        return NULL;
    }
    instances_t *instances = xcalloc(1, sizeof(*instances));
    instances->revision = revision;
    instances->items = xcalloc(json_array_size(root), sizeof(*instances->items));
    size_t i;
    json_t *item;
    json_array_foreach(root, i, item)
    {
        if (!parse_instance(item, &instances->items[instances->count++], err)) {
            json_decref(root);
            instances_free(instances);
            return NULL;
        }
    }
    json_decref(root);
    return instances;
}

void
instances_free(instances_t *instances)
{
    if (instances == NULL)
        return;
    free(instances->items);
    free(instances);
}

const instance_t *
instances_find(const instances_t *instances, str_t name)
{
    for (size_t i = 0; instances != NULL && i < instances->count; i++) {
        if (name_eq(&instances->items[i].name, name))
            return &instances->items[i];
    }
    return NULL;
}

const instance_t *
instances_random_entry(const instances_t *instances, str_t region, bool inside, rng_t *rng)
{
    const instance_t *chosen = NULL;
    uint64_t seen = 0;
    for (size_t i = 0; instances != NULL && i < instances->count; i++) {
        const instance_t *instance = &instances->items[i];
        if (instance->role == ROLE_ENTRY && !instance->leaving &&
            name_eq(&instance->region, region) == inside && rng_below(rng, ++seen) == 0)
            chosen = instance;
    }
    return chosen;
}
