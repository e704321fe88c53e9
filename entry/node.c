#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#define LOG_MODULE "node"
#include "base/log.h"
#include "base/mutate.h"
#include "base/xmalloc.h"
#include "entry/admin.h"
#include "entry/control.h"
#include "entry/gossip.h"
#include "entry/gossip_credits.h"
#include "entry/gossip_heartbeat.h"
#include "entry/node.h"
#include "entry/path/outcome.h"
#include "entry/path/route.h"
#include "entry/path/serve.h"
#include "entry/probe.h"
#include "entry/store.h"
#include "entry/table/ramp.h"
#include "entry/table/table_json.h"

/* None of these was measured alone. */
enum {
    TICK_MS = 100,           /* between looks at what is due */
    SURRENDER_MS = 2500,     /* the others have heard of surrendered credits by then */
    BORROW_EVERY_MS = 50,    /* between requests for credits */
    STORE_TIMEOUT_MS = 3000, /* of a call of the store */
    HEAD_TIMEOUT_MS = 10000, /* for a request's head to arrive */
    CALLERS_MAX = 20000,     /* connections */
    ADMIN_MAX = 64,          /* connections to the admin pages */
    ADMIN_BODY_MAX = 1024,   /* bytes of a request to them */
};

static void
apply_table_to_region(node_t *node, const table_t *table)
{
    for (size_t i = 0; i < table->row_count; i++) {
        const table_row_t *row = &table->rows[i];
        limiter_row_t *use =
            limiter_row(&node->gate, name_str(&table->service), name_str(&row->place));
        use->limit = row->limit;
        use->rate = row->rate;
    }
    for (size_t i = 0; i < node->backends.count; i++) {
        backend_t *backend = node->backends.items[i];
        if (name_eq(&backend->service, name_str(&table->service)))
            backend->leaving_marked = table_is_draining(table, name_str(&backend->name));
    }
}

static bool
adopt_table(node_t *node, const object_t *object, err_t *err)
{
    table_t *table = table_parse((str_t){object->body, object->len}, err);
    if (table == NULL)
        return false;
    if (!name_eq(&table->service, name_str(&object->name))) {
        err_set(err, ERR_INVALID, "object %s holds service %s", object->name.ptr,
                table->service.ptr);
        table_free(table);
        return false;
    }
    table->version = object->version;
    if (!steer_set_table(node->steer, table)) {
        err_set(err, ERR_TOO_LARGE, "more than %d services", STEER_SERVICES_MAX);
        table_free(table);
        return false;
    }
    apply_table_to_region(node, table);
    return true;
}

static bool
adopt_region(node_t *node, const object_t *object, err_t *err)
{
    region_limits_t limits;
    if (!region_limits_parse((str_t){object->body, object->len}, object->version, &limits, err))
        return false;
    if (!name_eq(&limits.region, name_str(&object->name))) {
        err_set(err, ERR_INVALID, "object %s holds region %s", object->name.ptr, limits.region.ptr);
        return false;
    }
    if (name_eq(&limits.region, name_str(&node->settings.region)))
        limiter_set_limits(&node->gate, &limits);
    return true;
}

static bool
adopt_allocation(node_t *node, const object_t *object, err_t *err)
{
    allocation_t *allocation =
        allocation_parse((str_t){object->body, object->len}, object->version, err);
    if (allocation == NULL)
        return false;
    credit_adopt(node->credit, allocation, node_now(node));
    return true;
}

static bool
adopt_topology(node_t *node, const object_t *object, err_t *err)
{
    topology_t *topology = topology_parse((str_t){object->body, object->len}, err);
    if (topology == NULL)
        return false;
    steer_set_topology(node->steer, topology);
    return true;
}

static bool
adopt_instances(node_t *node, const object_t *object, err_t *err)
{
    instances_t *list = instances_parse((str_t){object->body, object->len}, object->version, err);
    if (list == NULL)
        return false;
    instances_free(node->instances);
    node->instances = list;
    const str_t region = name_str(&node->settings.region);
    members_update(&node->members, list, region, name_str(&node->settings.name));
    backends_update(&node->backends, list, region);
    for (size_t i = 0; i < node->steer->service_count; i++)
        apply_table_to_region(node, node->steer->services[i]->table);
    return true;
}

static bool
on_adopt(void *ctx, const object_t *object, err_t *err)
{
    node_t *node = ctx;
    const str_t kind = name_str(&object->kind);
    if (str_eq(kind, STR("table")))
        return adopt_table(node, object, err);
    if (str_eq(kind, STR("region")))
        return adopt_region(node, object, err);
    if (str_eq(kind, STR("allocation")))
        return adopt_allocation(node, object, err);
    if (str_eq(kind, STR("topology")))
        return adopt_topology(node, object, err);
    if (str_eq(kind, STR("instances")))
        return adopt_instances(node, object, err);
    if (str_eq(kind, STR("blocks"))) {
        const bool ok =
            blocks_add_chunk(node->steer->blocks, (str_t){object->body, object->len}, err);
        steer_blocks_changed(node->steer);
        return ok;
    }
    err_set(err, ERR_INVALID, "unknown kind");
    return false;
}

static void
on_adopted(void *ctx, const object_t *object)
{
    node_t *node = ctx;
    history_write(&node->history, "adopt",
                  "\"entry\":\"%s\",\"incarnation\":%lu,\"kind\":\"%s\",\"name\":\"%s\","
                  "\"version\":%lu",
                  node->settings.name.ptr, (unsigned long)node->incarnation, object->kind.ptr,
                  object->name.ptr, (unsigned long)object->version);
}

static void
finish_stop(node_t *node)
{
    LOG_INFO("planned stop complete: in_flight=%zu connections=%zu", node->exchange_count,
             http_server_connections(node->server));
    history_write(&node->history, "entry_stopped", "\"entry\":\"%s\"", node->settings.name.ptr);
    uv_stop(node->loop);
}

static void
stop_if_done(node_t *node)
{
    const uint64_t now = node_now(node);
    if (mutate_is(MUTATE_CUT_ON_STOP)) {
        finish_stop(node);
        return;
    }
    /* Callers may still hold answers that name us, and keys that only we may run. */
    const bool keys_out = node->minted_ms != 0 && now < node->minted_ms + KEY_LIFETIME_MS;
    const bool answers_out = now < node->leaving_since_ms + RAMP_ANSWER_TTL_MS;
    if (answers_out || keys_out || node->exchange_count > 0 || credit_in_flight(node->credit) > 0)
        return;
    /* The others hear that the credits are free before the process is gone. */
    if (!credit_surrendered(node->credit)) {
        credit_surrender(node->credit);
        http_server_drain(node->server); /* kept connections end with their next answer */
        node->surrendered_ms = now;
        gossip_round(node);
    }
    if (now >= node->surrendered_ms + SURRENDER_MS)
        finish_stop(node);
}

static void
on_tick(uv_timer_t *timer)
{
    node_t *node = timer->data;
    if (node_has_slept(node)) {
        LOG_WARN("woke up: slept_ms=%lu", (unsigned long)(node_now(node) - node->ticked_ms));
        node->woke = true;
        node->woke_ms = node_now(node);
        store_resync(node->follower);
    }
    node->ticked_ms = node_now(node);
    control_tick(node);
    outcome_sweep(node);
    if (node->leaving)
        stop_if_done(node);
}

static void
on_queue_tick(uv_timer_t *timer)
{
    node_t *node = timer->data;
    route_run_queue(node);
    probe_wanted(node);
    if (node->credits_short && node_now(node) >= node->borrowed_ms + BORROW_EVERY_MS) {
        node->credits_short = false;
        node->borrowed_ms = node_now(node);
        gossip_borrow(node);
    }
    if (node->waiting == NULL && !node->credits_short)
        uv_timer_stop(timer);
}

static void
register_counters(node_counters_t *c)
{
    c->lookups = counter_get("irisstall_lookups_total", NULL, "Look-ups answered with a place.");
    c->lookups_refused =
        counter_get("irisstall_lookups_refused_total", NULL, "Look-ups answered with an error.");
    c->requests = counter_get("irisstall_requests_total", NULL, "Requests of callers.");
    c->refused =
        counter_get("irisstall_requests_not_run_total", NULL, "Requests answered as not run.");
    c->unknown =
        counter_get("irisstall_requests_unknown_total", NULL, "Requests whose outcome is unknown.");
    c->spilled = counter_get("irisstall_requests_spilled_total", NULL,
                             "Requests sent beyond their place's share.");
    c->retries = counter_get("irisstall_retries_total", NULL, "Attempts after a failed one.");
    c->hedges = counter_get("irisstall_hedges_total", NULL, "Second attempts beside a slow one.");
    c->backend_requests =
        counter_get("irisstall_backend_requests_total", NULL, "Attempts at backend servers.");
    c->bad_requests =
        counter_get("irisstall_bad_requests_total", NULL, "Requests that break a rule.");
    c->cut_answers = counter_get("irisstall_cut_answers_total", NULL,
                                 "Answers cut off in the middle, seen as broken by the caller.");
    c->probes = counter_get("irisstall_probes_total", NULL, "Health probes sent.");
    c->epoch = counter_get("irisstall_credit_epoch", NULL, "Epoch of the credit allocation.");
    c->usable = counter_get("irisstall_credit_usable", NULL, "Credits usable now.");
    c->in_flight = counter_get("irisstall_credit_in_flight", NULL, "Credits in use.");
    c->authority = counter_get("irisstall_credit_authority", NULL, "1 while confirmed.");
}

static bool
start_servers(node_t *node, err_t *err)
{
    const http_server_conf_t callers = {.addr = node->settings.listen,
                                        .max_body = (size_t)node->settings.max_body_kb * 1024,
                                        .head_timeout_ms = HEAD_TIMEOUT_MS,
                                        .max_connections = CALLERS_MAX};
    const http_server_conf_t admin = {.addr = node->settings.admin,
                                      .max_body = ADMIN_BODY_MAX,
                                      .head_timeout_ms = HEAD_TIMEOUT_MS,
                                      .max_connections = ADMIN_MAX};
    node->hub = peer_hub_start(node->loop, &node->settings.peer, gossip_message, node, err);
    if (node->hub == NULL)
        return false;
    node->server = http_server_start(node->loop, &callers, serve_request, node, err);
    if (node->server == NULL)
        return false;
    node->admin = http_server_start(node->loop, &admin, admin_request, node, err);
    return node->admin != NULL;
}

bool
node_start(node_t *node, uv_loop_t *loop, const settings_t *settings, err_t *err)
{
    static const objects_cbs_t object_cbs = {.adopt = on_adopt, .adopted = on_adopted};
    *node = (node_t){.loop = loop, .clock = clock_system(), .settings = *settings};
    node->rng = rng_system();
    node->incarnation = clock_wall_us();
    register_counters(&node->counters);
    if (!history_open(&node->history, settings->history, err) ||
        !history_open(&node->spans, settings->spans, err))
        return false;
    node->client = http_client_new(loop);
    const platform_conf_t platform = {.addr = settings->platform,
                                      .timeout_ms = STORE_TIMEOUT_MS,
                                      .reads_per_s = settings->store_reads_per_s,
                                      .writes_per_s = settings->store_writes_per_s};
    node->platform = platform_new(node->client, &platform, node->clock);
    node->objects = objects_new(&object_cbs, node);
    node->credit = credit_new(&settings->name, node->incarnation);
    node->planner = planner_new();
    limiter_init(&node->gate, node->credit, node_now(node));
    node->steer = steer_new();
    node->keys = key_registry_new();
    attempt_budget_init(&node->extra);
    if (!start_servers(node, err))
        return false;
    node->follower = store_follow(node);
    uv_timer_init(loop, &node->tick);
    node->tick.data = node;
    uv_timer_start(&node->tick, on_tick, TICK_MS, TICK_MS);
    uv_timer_init(loop, &node->queue_tick);
    node->queue_tick.data = node;
    node->on_queue_tick = on_queue_tick;
    LOG_INFO("entry started: name=%s region=%s place=%s port=%u peer_port=%u admin_port=%u",
             settings->name.ptr, settings->region.ptr, settings->place.ptr,
             http_server_port(node->server), peer_hub_port(node->hub),
             http_server_port(node->admin));
    history_write(&node->history, "entry_start",
                  "\"entry\":\"%s\",\"region\":\"%s\",\"incarnation\":%lu", settings->name.ptr,
                  settings->region.ptr, (unsigned long)node->incarnation);
    return true;
}

void
node_leave(node_t *node)
{
    if (node->leaving)
        return;
    node->leaving = true;
    node->leaving_since_ms = node_now(node);
    LOG_INFO("planned stop: in_flight=%zu", node->exchange_count);
    history_write(&node->history, "entry_leave", "\"entry\":\"%s\"", node->settings.name.ptr);
    gossip_round(node);
}
