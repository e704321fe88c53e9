#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/xmalloc.h"
#include "ctl/status_cmd.h"
#include "ctl/table_cmd.h"

static instances_t *
read_instances(session_t *session)
{
    err_t err = {0};
    const reply_t reply = session_instances(session);
    instances_t *list = NULL;
    if (reply.err.code == ERR_NONE)
        list = instances_parse((str_t){reply.body, reply.len}, reply.version, &err);
    else
        err = reply.err;
    free(reply.body);
    if (list == NULL)
        fprintf(stderr, "irisctl: %s: %s\n", err_name(err.code), err.detail);
    return list;
}

static long
get_integer(const json_t *root, const char *key)
{
    return (long)json_integer_value(json_object_get(root, key));
}

static void
print_versions(const json_t *root)
{
    size_t i;
    json_t *object;
    printf("   ");
    json_array_foreach(json_object_get(root, "objects"), i, object)
    {
        printf(" %s/%s@%ld", json_string_value(json_object_get(object, "kind")),
               json_string_value(json_object_get(object, "name")), get_integer(object, "version"));
        if (get_integer(object, "kept_out") > 0)
            printf("(kept out: %ld)", get_integer(object, "kept_out"));
    }
    putchar('\n');
}

static void
print_ramps(const json_t *root)
{
    size_t i;
    json_t *service;
    json_array_foreach(json_object_get(root, "services"), i, service)
    {
        const long remaining_ms = get_integer(service, "ramp_left_ms");
        if (remaining_ms == 0)
            continue;
        printf("    %s: shift ", json_string_value(json_object_get(service, "service")));
        if (remaining_ms < 0)
            printf("held by a cap of 0\n");
        else
            printf("under way, %.0f s left\n", (double)remaining_ms / 1000);
    }
}

static void
print_status(const instance_t *instance, const json_t *root)
{
    const json_t *credits = json_object_get(root, "credits");
    printf("%-16s %-16s %-7s in_flight=%ld credits=%ld/%ld of limit %ld epoch=%ld%s alive=%ld\n",
           instance->name.ptr, instance->place.ptr,
           json_is_true(json_object_get(root, "leaving")) ? "leaving"
           : json_is_true(json_object_get(root, "ready")) ? "ready"
                                                          : "waiting",
           get_integer(root, "in_flight"), get_integer(credits, "in_flight"),
           get_integer(credits, "usable"), get_integer(credits, "limit"),
           get_integer(credits, "epoch"),
           json_is_true(json_object_get(credits, "authority")) ? "" : " (no authority)",
           get_integer(root, "members_alive"));
    print_versions(root);
    print_ramps(root);
}

int
status_cmd_status(session_t *session)
{
    instances_t *list = read_instances(session);
    if (list == NULL)
        return CTL_NOT_APPLIED;
    json_t *all = json_array();
    for (size_t i = 0; i < list->count; i++) {
        const instance_t *instance = &list->items[i];
        if (instance->role != ROLE_ENTRY)
            continue;
        const reply_t reply = session_fetch(session, &instance->admin, "/status");
        json_t *root = json_loadb(reply.body, reply.len, 0, NULL);
        if (root == NULL && !session->json)
            printf("%-16s %-16s no answer: %s\n", instance->name.ptr, instance->place.ptr,
                   reply.err.detail);
        else if (!session->json)
            print_status(instance, root);
        json_array_append_new(all, root != NULL
                                       ? root
                                       : json_pack("{s:s, s:s}", "name", instance->name.ptr,
                                                   "error", err_name(reply.err.code)));
        free(reply.body);
    }
    if (session->json) {
        json_dumpf(all, stdout, JSON_COMPACT);
        putchar('\n');
    }
    json_decref(all);
    instances_free(list);
    return CTL_OK;
}

static void
print_explanation(const instance_t *instance, const json_t *root)
{
    printf("asked:   %s\narea:    %s\nplace:   %s\nregion:  %s\nreason:  %s\n", instance->name.ptr,
           json_string_value(json_object_get(root, "area")),
           json_string_value(json_object_get(root, "place")),
           json_string_value(json_object_get(root, "region")),
           json_string_value(json_object_get(root, "reason")));
    size_t i;
    json_t *row;
    json_array_foreach(json_object_get(json_object_get(root, "service"), "rows"), i, row) printf(
        "  %-20s share %6.2f%%  target %6.2f%%\n", json_string_value(json_object_get(row, "place")),
        json_number_value(json_object_get(row, "share")),
        json_number_value(json_object_get(row, "target")));
}

int
status_cmd_explain(session_t *session, int argc, char **argv)
{
    if (argc != 2) {
        fputs("Usage: irisctl explain SERVICE CLIENT\n", stderr);
        return CTL_USAGE;
    }
    instances_t *list = read_instances(session);
    if (list == NULL)
        return CTL_NOT_APPLIED;
    char path[256];
    snprintf(path, sizeof(path), "/explain?service=%s&client=%s", argv[0], argv[1]);
    int status = CTL_NOT_APPLIED;
    for (size_t i = 0; status == CTL_NOT_APPLIED && i < list->count; i++) {
        const instance_t *instance = &list->items[i];
        if (instance->role != ROLE_ENTRY)
            continue;
        const reply_t reply = session_fetch(session, &instance->admin, path);
        json_t *root = json_loadb(reply.body, reply.len, 0, NULL);
        if (root != NULL) {
            status = json_object_get(root, "place") != NULL ? CTL_OK : CTL_REFUSED;
            if (session->json || status != CTL_OK)
                puts(reply.body);
            else
                print_explanation(instance, root);
        }
        json_decref(root);
        free(reply.body);
    }
    instances_free(list);
    return status;
}
