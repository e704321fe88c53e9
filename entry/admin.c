#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/xmalloc.h"
#include "entry/path/lookup_answer.h"
#include "entry/admin.h"
#include "entry/readiness.h"
#include "entry/table/ramp.h"

static json_t *
describe_row(const service_t *service, size_t row, const double *targets)
{
    return json_pack("{s:s, s:f, s:f, s:f}", "place", service->table->rows[row].place.ptr, "share",
                     service->shares[row], "target", targets[row], "rise", service->rises[row]);
}

static json_t *
describe_service(const node_t *node, service_t *service)
{
    const table_t *table = service->table;
    double *targets = xcalloc(table->row_count, sizeof(*targets));
    ramp_targets(table, targets);
    json_t *rows = json_array();
    const bool known = steer_refresh(node->steer, service, node_wall(node));
    for (size_t r = 0; known && r < table->row_count; r++)
        json_array_append_new(rows, describe_row(service, r, targets));
    const uint64_t end = ramp_end_ms(table);
    const uint64_t now = node_wall(node);
    json_int_t left = -1; /* held for ever by a cap of 0 */
    if (end != UINT64_MAX)
        left = end > now ? (json_int_t)(end - now) : 0;
    free(targets);
    return json_pack("{s:s, s:I, s:I, s:o}", "service", table->service.ptr, "version",
                     (json_int_t)table->version, "ramp_left_ms", left, "rows", rows);
}

static json_t *
describe_objects(const node_t *node)
{
    json_t *list = json_array();
    for (size_t i = 0; i < objects_count(node->objects); i++) {
        const object_t *object = objects_at(node->objects, i);
        if (name_eq(&object->kind, STR("blocks")))
            continue;
        json_array_append_new(list,
                              json_pack("{s:s, s:s, s:I, s:I}", "kind", object->kind.ptr, "name",
                                        object->name.ptr, "version", (json_int_t)object->version,
                                        "kept_out", (json_int_t)object->rejected));
    }
    return list;
}

static json_t *
describe_backends(const node_t *node)
{
    const uint64_t now = node_now(node);
    json_t *list = json_array();
    for (size_t i = 0; i < node->backends.count; i++) {
        const backend_t *b = node->backends.items[i];
        json_array_append_new(list, json_pack("{s:s, s:s, s:s, s:i, s:i, s:f, s:b, s:b}", "name",
                                              b->name.ptr, "service", b->service.ptr, "place",
                                              b->place.ptr, "slots", (int)b->slots, "outstanding",
                                              (int)b->outstanding, "load", backend_load(b, now),
                                              "leaving", backend_is_leaving(b, now), "ejected",
                                              backend_is_ejected(b, now)));
    }
    return list;
}

static json_t *
describe_loads(const node_t *node)
{
    json_t *list = json_array();
    for (size_t i = 0; i < node->loads.count; i++) {
        const region_load_t *load = &node->loads.items[i];
        json_array_append_new(list, json_pack("{s:s, s:i, s:i, s:b}", "region", load->region.ptr,
                                              "usable", (int)load->usable, "in_flight",
                                              (int)load->in_flight, "lost",
                                              (int)region_load_lost(load, node_now(node))));
    }
    return list;
}

static void
answer_json(h2o_req_t *req, json_t *root)
{
    char *text = json_dumps(root, JSON_COMPACT | JSON_REAL_PRECISION(6));
    json_decref(root);
    if (text == NULL)
        BUG("status has no JSON form");
    http_reply(req, 200, "application/json", text, strlen(text));
    free(text);
}

static void
answer_status(node_t *node, h2o_req_t *req)
{
    const uint64_t now = node_now(node);
    json_t *services = json_array();
    for (size_t i = 0; i < node->steer->service_count; i++)
        json_array_append_new(services, describe_service(node, node->steer->services[i]));
    size_t alive = 1;
    for (size_t i = 0; i < node->members.count; i++)
        alive += member_alive(&node->members.items[i], now);
    json_t *credits = json_pack(
        "{s:I, s:i, s:i, s:i, s:b}", "epoch", (json_int_t)credit_epoch(node->credit), "limit",
        (int)node->gate.limits.limit, "usable", (int)credit_usable(node->credit, now), "in_flight",
        (int)credit_in_flight(node->credit), "authority", credit_has_authority(node->credit, now));
    answer_json(req, json_pack("{s:s, s:s, s:s, s:b, s:b, s:i, s:i, s:I, s:o, s:o, s:o, s:o, s:o}",
                               "name", node->settings.name.ptr, "region", node->settings.region.ptr,
                               "place", node->settings.place.ptr, "ready", node_ready(node),
                               "leaving", node->leaving, "in_flight", (int)node->exchange_count,
                               "members_alive", (int)alive, "blocks",
                               (json_int_t)blocks_count(node->steer->blocks), "credits", credits,
                               "services", services, "objects", describe_objects(node), "backends",
                               describe_backends(node), "regions", describe_loads(node)));
}

static void
answer_explain(node_t *node, h2o_req_t *req)
{
    str_t name;
    str_t text;
    client_addr_t client;
    lookup_answer_t answer = {.error = ""};
    service_t *service = NULL;
    if (http_query(req, STR("service"), &name))
        service = steer_find(node->steer, name);
    if (service == NULL || !http_query(req, STR("client"), &text) ||
        !client_addr_parse(text, &client)) {
        static const char body[] = "{\"error\":\"unknown service or bad client address\"}\n";
        http_reply(req, 404, "application/json", body, sizeof(body) - 1);
        return;
    }
    const bool found = lookup_answer(node, service, &client, &answer);
    const uint8_t area = blocks_area(node->steer->blocks, &client);
    const topology_t *topology = node->steer->topology;
    const bool known = topology != NULL && area < topology->region_count;
    answer_json(req,
                json_pack("{s:s, s:s, s:s, s:b, s:s, s:o}", "area",
                          known ? topology->regions[area].ptr : "unknown block", "place",
                          found ? answer.place->ptr : "", "region", found ? answer.region->ptr : "",
                          "moved", (int)(found && answer.moved), "reason",
                          found ? (answer.moved ? "the place of its share cannot serve; moved "
                                                  "within the cap"
                                                : "weighted choice among the shares in force")
                                : answer.error,
                          "service", describe_service(node, service)));
}

static void
answer_metrics(h2o_req_t *req)
{
    size_t len;
    char *text = counter_expose(&len);
    http_reply(req, 200, "text/plain; version=0.0.4", text, len);
    free(text);
}

void
admin_request(void *ctx, h2o_req_t *req)
{
    node_t *node = ctx;
    const str_t path = http_path(req);
    if (str_eq(path, STR("/metrics")))
        answer_metrics(req);
    else if (str_eq(path, STR("/status")))
        answer_status(node, req);
    else if (str_eq(path, STR("/explain")))
        answer_explain(node, req);
    else
        http_reply(req, 404, "text/plain", "no such page\n", 13);
}
