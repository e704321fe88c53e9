#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "serve"
#include "base/log.h"
#include "base/xmalloc.h"
#include "entry/path/arrival.h"
#include "entry/path/lookup_answer.h"
#include "entry/path/serve.h"
#include "entry/readiness.h"
#include "entry/table/ramp.h"

enum {
    KEYS_PER_CALL_MAX = 100, /* minted at once. Chosen, not measured */
    STATUS_CAPPED = 503,
};

static void
refuse(node_t *node, h2o_req_t *req, int status, const char *error)
{
    char body[128];
    const int len =
        snprintf(body, sizeof(body), "{\"error\":\"%s\",\"retry_after_ms\":1000}\n", error);
    counter_add(node->counters.lookups_refused, 1);
    if (status == STATUS_CAPPED)
        http_add_header(req, "retry-after", STR("1"));
    http_reply(req, status, "application/json", body, (size_t)len);
}

static void
answer_lookup(node_t *node, h2o_req_t *req)
{
    str_t service_name;
    str_t client_text;
    client_addr_t client;
    if (!http_query(req, STR("service"), &service_name) ||
        !http_query(req, STR("client"), &client_text)) {
        refuse(node, req, 400, "service_and_client_needed");
        return;
    }
    if (!client_addr_parse(client_text, &client)) {
        refuse(node, req, 400, "bad_client_address");
        return;
    }
    if (!node_ready(node)) {
        refuse(node, req, 503, "not_ready");
        return;
    }
    service_t *service = steer_find(node->steer, service_name);
    if (service == NULL) {
        refuse(node, req, 404, "service_not_in_table");
        return;
    }
    lookup_answer_t answer;
    if (!lookup_answer(node, service, &client, &answer)) {
        refuse(node, req, STATUS_CAPPED, answer.error);
        return;
    }
    counter_add(node->counters.lookups, 1);
    history_write(&node->history, "lookup",
                  "\"entry\":\"%s\",\"service\":\"%s\",\"place\":\"%s\",\"moved\":%d,"
                  "\"version\":%lu",
                  node->settings.name.ptr, service->table->service.ptr, answer.place->ptr,
                  answer.moved, (unsigned long)service->table->version);
    char body[LOOKUP_TEXT_MAX];
    const size_t len = lookup_answer_format(service, &answer, body);
    http_reply(req, 200, "application/json", body, len);
}

static void
answer_keys(node_t *node, h2o_req_t *req)
{
    str_t value;
    uint64_t count = 1;
    if (http_query(req, STR("count"), &value) &&
        (!str_to_u64(value, &count) || count < 1 || count > KEYS_PER_CALL_MAX)) {
        refuse(node, req, 400, "count_is_1_to_100");
        return;
    }
    if (!node_ready(node) || node->leaving) {
        refuse(node, req, 503, node->leaving ? "leaving" : "not_ready");
        return;
    }
    node->minted_ms = node_now(node);
    char *body = xmalloc(64 + count * (KEY_TEXT_MAX + 4));
    size_t len = (size_t)sprintf(body, "{\"lifetime_ms\":%d,\"keys\":[", KEY_LIFETIME_MS);
    for (uint64_t i = 0; i < count; i++) {
        char key[KEY_TEXT_MAX];
        key_mint(&node->settings.name, node->incarnation, node_wall(node), &node->rng, key);
        len += (size_t)sprintf(body + len, "%s\"%s\"", i > 0 ? "," : "", key);
    }
    len += (size_t)sprintf(body + len, "]}\n");
    http_reply(req, 200, "application/json", body, len);
    free(body);
}

static void
answer_health(node_t *node, h2o_req_t *req)
{
    const bool ok = node_ready(node) && !node->leaving;
    const char *text = ok ? "ok\n" : node->leaving ? "leaving\n" : "not ready\n";
    http_reply(req, ok ? 200 : 503, "text/plain", text, strlen(text));
}

void
serve_request(void *ctx, h2o_req_t *req)
{
    node_t *node = ctx;
    const str_t path = http_path(req);
    if (!str_starts_with(path, STR("/v1/")) ||
        http_header(req, STR("x-irisstall-service")).len > 0) {
        arrival_start(node, req);
        return;
    }
    if (str_eq(path, STR("/v1/lookup")))
        answer_lookup(node, req);
    else if (str_eq(path, STR("/v1/keys")))
        answer_keys(node, req);
    else if (str_eq(path, STR("/v1/health")))
        answer_health(node, req);
    else
        arrival_start(node, req);
}
