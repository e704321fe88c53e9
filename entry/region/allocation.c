#include <stdlib.h>

#include <jansson.h>

#include "base/xmalloc.h"
#include "entry/region/allocation.h"

uint32_t
former_holder_reserve(const former_holder_t *former)
{
    return former->stage == FORMER_HOLDER_LONG_ONLY && former->long_bound > CREDIT_FLOOR
               ? former->long_bound
               : CREDIT_FLOOR;
}

static bool
parse_holders(json_t *list, allocation_t *allocation, err_t *err)
{
    size_t i;
    json_t *item;
    json_error_t jerr;
    allocation->holders = xcalloc(json_array_size(list), sizeof(*allocation->holders));
    uint64_t sum = 0;
    json_array_foreach(list, i, item)
    {
        const char *name;
        json_int_t incarnation;
        int credits;
        int quorum_of;
        int long_bound;
        holder_t *holder = &allocation->holders[allocation->holder_count++];
        if (json_unpack_ex(item, &jerr, JSON_STRICT, "{s:s, s:I, s:i, s:i, s:i}", "instance", &name,
                           "incarnation", &incarnation, "credits", &credits, "quorum_of",
                           &quorum_of, "long_bound", &long_bound) != 0 ||
            credits < 0 || quorum_of < 1 || long_bound < 0 ||
            !name_set(&holder->instance, str_from(name))) {
            err_set(err, ERR_INVALID, "allocation: holder %zu is invalid", i);
            return false;
        }
        holder->incarnation = (uint64_t)incarnation;
        holder->credits = (uint32_t)credits;
        holder->quorum_of = (uint32_t)quorum_of;
        holder->long_bound = (uint32_t)long_bound;
        sum += holder->credits;
    }
    if (sum > allocation->limit) {
        err_set(err, ERR_INVALID, "allocation: credits total %lu, above the limit of %u",
                (unsigned long)sum, allocation->limit);
        return false;
    }
    return true;
}

static bool
parse_formers(json_t *list, allocation_t *allocation, err_t *err)
{
    size_t i;
    json_t *item;
    allocation->formers = xcalloc(json_array_size(list), sizeof(*allocation->formers));
    json_array_foreach(list, i, item)
    {
        const char *name;
        json_int_t incarnation;
        int quorum_of;
        int long_bound;
        json_int_t left_epoch;
        int stage;
        former_holder_t *former = &allocation->formers[allocation->former_count++];
        if (json_unpack(item, "{s:s, s:I, s:i, s:i, s:I, s:i}", "instance", &name, "incarnation",
                        &incarnation, "quorum_of", &quorum_of, "long_bound", &long_bound,
                        "left_epoch", &left_epoch, "stage", &stage) != 0 ||
            quorum_of < 1 || long_bound < 0 || stage < FORMER_HOLDER_ACTIVE ||
            stage > FORMER_HOLDER_FLOOR_ONLY || !name_set(&former->instance, str_from(name))) {
            err_set(err, ERR_INVALID, "allocation: former holder %zu is invalid", i);
            return false;
        }
        former->incarnation = (uint64_t)incarnation;
        former->quorum_of = (uint32_t)quorum_of;
        former->long_bound = (uint32_t)long_bound;
        former->left_epoch = (uint64_t)left_epoch;
        former->stage = (former_holder_stage_t)stage;
    }
    return true;
}

allocation_t *
allocation_parse(str_t json, uint64_t version, err_t *err)
{
    json_error_t jerr;
    const char *region;
    json_int_t limit;
    json_t *holders;
    json_t *formers;
    allocation_t *allocation = xcalloc(1, sizeof(*allocation));
    json_t *root = json_loadb(json.ptr, json.len, 0, &jerr);
    if (root == NULL ||
        json_unpack_ex(root, &jerr, JSON_STRICT, "{s:s, s:I, s:o, s:o}", "region", &region, "limit",
                       &limit, "holders", &holders, "formers", &formers) != 0) {
        err_set(err, ERR_PARSE, "allocation: %s", jerr.text);
        goto err;
    }
    if (!name_set(&allocation->region, str_from(region)) || limit < 0 || limit > UINT32_MAX ||
        json_array_size(holders) > CREDIT_HOLDERS_MAX) {
        err_set(err, ERR_INVALID, "allocation: invalid region or limit, region=%s", region);
        goto err;
    }
    allocation->limit = (uint32_t)limit;
    allocation->epoch = version;
    if (!parse_holders(holders, allocation, err) || !parse_formers(formers, allocation, err))
        goto err;
    json_decref(root);
    return allocation;

err:
    json_decref(root);
    allocation_free(allocation);
    return NULL;
}

char *
allocation_format(const allocation_t *allocation)
{
    json_t *holders = json_array();
    json_t *formers = json_array();
    for (size_t i = 0; i < allocation->holder_count; i++) {
        const holder_t *h = &allocation->holders[i];
        json_array_append_new(holders,
                              json_pack("{s:s, s:I, s:i, s:i, s:i}", "instance", h->instance.ptr,
                                        "incarnation", (json_int_t)h->incarnation, "credits",
                                        (int)h->credits, "quorum_of", (int)h->quorum_of,
                                        "long_bound", (int)h->long_bound));
    }
    for (size_t i = 0; i < allocation->former_count; i++) {
        const former_holder_t *f = &allocation->formers[i];
        json_array_append_new(
            formers, json_pack("{s:s, s:I, s:i, s:i, s:I, s:i}", "instance", f->instance.ptr,
                               "incarnation", (json_int_t)f->incarnation, "quorum_of",
                               (int)f->quorum_of, "long_bound", (int)f->long_bound, "left_epoch",
                               (json_int_t)f->left_epoch, "stage", (int)f->stage));
    }
    json_t *root = json_pack("{s:s, s:I, s:o, s:o}", "region", allocation->region.ptr, "limit",
                             (json_int_t)allocation->limit, "holders", holders, "formers", formers);
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}

void
allocation_free(allocation_t *allocation)
{
    if (allocation == NULL)
        return;
    free(allocation->holders);
    free(allocation->formers);
    free(allocation);
}
