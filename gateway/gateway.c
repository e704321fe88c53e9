#include <stdlib.h>

#include <http_parser.h>

#define LOG_MODULE "gateway"
#include "base/log.h"
#include "base/loop_time.h"
#include "base/xmalloc.h"
#include "gateway/admin.h"
#include "gateway/endpoints.h"
#include "gateway/gateway_state.h"
#include "gateway/state/store_state.h"

/* ---- request handlers ---- */

static void
on_caller_request(void *ctx, wire_request_t *req)
{
    gateway_t *gateway = ctx;
    deferred_run_overdue(&gateway->config_update);
    if (!resume_queue_request(&gateway->resume, req))
        exchange_start(&gateway->exchanges, req);
}

static void
on_transit_request(void *ctx, wire_request_t *req)
{
    gateway_t *gateway = ctx;
    deferred_run_overdue(&gateway->config_update);
    exchange_start_transit(&gateway->exchanges, req);
}

static void
on_readiness_check(void *ctx, wire_request_t *req)
{
    const gateway_t *gateway = ctx;
    const bool ready = gateway->heartbeat.ready && !gateway->stopping;
    endpoint_answer_readiness(gateway->ports->directory, ready, req);
}

static void
on_directory_request(void *ctx, wire_request_t *req)
{
    const gateway_t *gateway = ctx;
    if (resume_is_stale(&gateway->resume)) {
        wire_respond(req, HTTP_STATUS_SERVICE_UNAVAILABLE, STR(""), STR(""));
        return;
    }
    const directory_endpoint_t endpoint = {
        .port = gateway->ports->directory,
        .members = &gateway->members,
        .topology = &gateway->settings.topology,
        .ttl_s = gateway->settings.directory_ttl_s,
    };
    endpoint_answer_directory(&endpoint, loop_now(gateway->loop), req);
}

static void
on_admin_request(void *ctx, wire_request_t *req)
{
    gateway_t *gateway = ctx;
    const admin_t admin = {
        .router = &gateway->router,
        .members = &gateway->members,
        .store_watch = &gateway->store_watch,
        .views = &gateway->views,
        .heartbeat = &gateway->heartbeat,
        .exchanges = &gateway->exchanges,
        .suspects = &gateway->suspects,
        .accounts = &gateway->account_news,
        .callers = gateway->listeners.callers,
    };
    admin_handle_request(&admin, req);
}

static void
serve_delayed(void *ctx, wire_request_t *req)
{
    gateway_t *gateway = ctx;
    exchange_start(&gateway->exchanges, req);
}

/* ---- wiring ---- */

static void
init_router(gateway_t *gateway)
{
    const gateway_settings_t *settings = &gateway->settings;
    const router_conf_t conf = {
        .topology = &settings->topology,
        .decoder = gateway->ports->decoder,
        .instance = name_str(&settings->name),
        .hall = name_str(&settings->hall),
        .retry_bounds =
            {
                .ratio = settings->retry_ratio,
                .constant = settings->retry_constant,
                .window_ms = settings->retry_window_ms,
            },
        .orders_shortage = settings->orders_shortage,
        .exposure = {.share = settings->expose_share, .slack = settings->expose_slack},
    };
    router_init(&gateway->router, gateway->loop, &conf);
    gateway->exchanges = (exchanges_t){
        .router = &gateway->router,
        .dialect = gateway->ports->dialect,
        .suspects = &gateway->suspects,
        .account_uses = &gateway->account_uses,
        .permits = &gateway->permit_exchange,
        .transit = &gateway->transit,
        .reach = &gateway->reach,
    };
    load_probes_init(&gateway->exchanges.load_probes, &gateway->router, gateway->ports->dialect);
}

/* Initialises what an instance does that reaches no backend server. */
static void
init_transit(gateway_t *gateway)
{
    const reach_monitor_conf_t conf = {
        .loop = gateway->loop,
        .members = &gateway->members,
        .backends = &gateway->router.catalog.backends,
        .rng = &gateway->router.rng,
        .on_change = gateway_on_reach_change,
        .ctx = gateway,
    };
    reach_monitor_init(&gateway->reach, &conf);
    gateway->transit = (transit_t){
        .loop = gateway->loop,
        .members = &gateway->members,
        .router = &gateway->router,
        .reach = &gateway->reach,
        .own_peer = gateway->settings.peer,
    };
}

static bool
open_ports(gateway_t *gateway, err_t *err)
{
    const listener_handlers_t handlers = {
        .callers = on_caller_request,
        .readiness = on_readiness_check,
        .directory = on_directory_request,
        .admin = on_admin_request,
        .transit = on_transit_request,
        .ctx = gateway,
    };
    addr_t *peer = &gateway->settings.peer;
    if (!listeners_open(&gateway->listeners, gateway->loop, &gateway->settings, &handlers, err))
        return false;
    gateway->hub = peer_hub_start(gateway->loop, peer, gateway_on_peer_message, gateway, err);
    if (gateway->hub == NULL)
        return false;
    addr_set_port(peer, peer_hub_port(gateway->hub));
    return true;
}

static void
init_views(gateway_t *gateway)
{
    /* The orders of roll-outs come last among the kinds. */
    gateway->views.count = gateway->settings.expose_share > 0 ? VIEW_WATCHED : VIEW_ROLLOUTS;
    gateway->views.on_change = gateway_on_view_change;
    gateway->views.on_return = gateway_on_store_return;
    gateway->views.ctx = gateway;
    const store_watch_conf_t watch_conf = {
        .loop = gateway->loop,
        .store = gateway->ports->store,
        .members = &gateway->members,
        .views = &gateway->views,
        .instance = name_str(&gateway->settings.name),
        .region = gateway->router.region,
        .is_seed = settings_is_seed(&gateway->settings),
        .on_delta = gateway_on_delta,
        .ctx = gateway,
    };
    store_watch_init(&gateway->store_watch, &watch_conf);
    gateway->router.reads_store_at_ms = store_state_start_at_ms(&gateway->store_watch);
    const view_push_conf_t push_conf = {
        .loop = gateway->loop,
        .hub = gateway->hub,
        .members = &gateway->members,
        .views = &gateway->views,
        .instance = name_str(&gateway->settings.name),
        .region = gateway->router.region,
        .link_bytes_per_s = gateway->settings.link_bytes_per_s,
    };
    view_push_init(&gateway->view_push, &push_conf);
    const view_relay_conf_t relay_conf = {
        .loop = gateway->loop,
        .hub = gateway->hub,
        .members = &gateway->members,
        .views = &gateway->views,
        .watch = &gateway->store_watch,
        .push = &gateway->view_push,
        .region = gateway->router.region,
        .link_bytes_per_s = gateway->settings.link_bytes_per_s,
    };
    view_relay_init(&gateway->view_relay, &relay_conf);
}

/* Initialises notices from backend servers and their exchange between instances. */
static void
init_notices(gateway_t *gateway)
{
    catalog_t *catalog = &gateway->router.catalog;
    const notice_gossip_conf_t conf = {
        .loop = gateway->loop,
        .members = &gateway->members,
        .catalog = catalog,
        .hub = gateway->hub,
        .own = gateway->settings.peer,
        .region = gateway->router.region,
    };
    notice_gossip_init(&gateway->notice_news, &conf);
    permit_exchange_init(&gateway->permit_exchange, &conf);
    catalog->on_notice = notice_gossip_send_unsent;
    catalog->ctx = &gateway->notice_news;
}

static void
init_membership(gateway_t *gateway)
{
    const gateway_settings_t *settings = &gateway->settings;
    const suspect_gossip_conf_t news_conf = {
        .loop = gateway->loop,
        .members = &gateway->members,
        .suspects = &gateway->suspects,
        .hub = gateway->hub,
        .own = settings->peer,
        .region = gateway->router.region,
    };
    suspect_gossip_init(&gateway->suspect_news, &news_conf);
    gateway->suspects.on_update = suspect_gossip_send_unsent;
    gateway->suspects.ctx = &gateway->suspect_news;
    const heartbeat_conf_t heartbeat_conf = {
        .settings = settings,
        .members = &gateway->members,
        .services = &gateway->router.services,
        .traffic = &gateway->router.traffic,
        .backends = &gateway->router.catalog.backends,
        .region = gateway->router.region,
        .views = &gateway->views,
        .watch = &gateway->store_watch,
        .relay = &gateway->view_relay,
        .suspect_gossip = &gateway->suspect_news,
        .notice_gossip = &gateway->notice_news,
        .rollouts = &gateway->router.rollouts,
        .hub = gateway->hub,
        .incarnation = rng_next(&gateway->router.rng),
        .transit = gateway->listeners.transit_addr,
        .reach = &gateway->reach.state,
    };
    heartbeat_init(&gateway->heartbeat, &heartbeat_conf, loop_now(gateway->loop));
    const discovery_conf_t discovery_conf = {
        .loop = gateway->loop,
        .store = gateway->ports->store,
        .decoder = gateway->ports->decoder,
        .heartbeat = &gateway->heartbeat,
        .instance = name_str(&settings->name),
        .hall = name_str(&settings->hall),
        .peer = settings->peer,
    };
    discovery_init(&gateway->discovery, &discovery_conf);
}

static void
init_rollouts(gateway_t *gateway)
{
    const rollout_record_conf_t conf = {
        .loop = gateway->loop,
        .store = gateway->ports->store,
        .members = &gateway->members,
        .rollouts = &gateway->router.rollouts,
        .instance = name_str(&gateway->settings.name),
        .region = gateway->router.region,
    };
    rollout_record_init(&gateway->rollout_record, &conf);
    gateway->router.rollouts.on_verdict = gateway_on_rollout_verdict;
    gateway->router.rollouts.ctx = gateway;
}

static void
init_accounts(gateway_t *gateway)
{
    const gateway_settings_t *settings = &gateway->settings;
    const account_sync_conf_t conf = {
        .loop = gateway->loop,
        .members = &gateway->members,
        .uses = &gateway->account_uses,
        .catalog = &gateway->router.catalog,
        .topology = &settings->topology,
        .hub = gateway->hub,
        .own = settings->peer,
        .hall = settings->hall,
        .region = gateway->router.region,
        .incarnation = gateway->heartbeat.conf.incarnation,
    };
    account_sync_init(&gateway->account_news, &conf);
    peer_hub_on_refused(gateway->hub, gateway_on_peer_refused);
}

gateway_t *
gateway_start(uv_loop_t *loop, const gateway_settings_t *settings, const gateway_ports_t *ports,
              err_t *err)
{
    gateway_t *gateway = xcalloc(1, sizeof(*gateway));
    gateway->loop = loop;
    gateway->settings = *settings;
    gateway->ports = ports;
    init_router(gateway);
    if (!open_ports(gateway, err)) {
        free(gateway);
        return NULL;
    }
    init_transit(gateway);
    deferred_init(&gateway->config_update, loop, gateway_apply_config, gateway);
    init_views(gateway);
    init_notices(gateway);
    init_membership(gateway);
    init_rollouts(gateway);
    init_accounts(gateway);
    gateway_reload(gateway, settings);
    const resume_conf_t resume_conf = {
        .loop = loop,
        .on_resumed = gateway_on_resumed,
        .serve = serve_delayed,
        .ctx = gateway,
    };
    resume_init(&gateway->resume, &resume_conf);
    uv_timer_init(loop, &gateway->tick);
    gateway->tick.data = gateway;
    uv_check_init(loop, &gateway->late_tick);
    gateway->late_tick.data = gateway;
    uv_timer_start(&gateway->tick, gateway_on_tick, 0, GATEWAY_TICK_MS);
    return gateway;
}

void
gateway_reload(gateway_t *gateway, const gateway_settings_t *settings)
{
    for (size_t i = 0; i < settings->seed_count; i++)
        members_find_or_add(&gateway->members, &settings->seeds[i]);
}

/* ---- for tests ---- */

const gateway_settings_t *
gateway_settings(const gateway_t *gateway)
{
    return &gateway->settings;
}

const backend_t *
gateway_backend(const gateway_t *gateway, str_t id)
{
    return backends_find(&gateway->router.catalog.backends, id);
}

bool
gateway_avoids(const gateway_t *gateway, str_t backend_id)
{
    const backend_t *backend = backends_find(&gateway->router.catalog.backends, backend_id);
    return backend != NULL && backend->logged_avoided;
}

unsigned
gateway_live_instances(const gateway_t *gateway)
{
    return gateway->router.live_instances;
}

size_t
gateway_active(const gateway_t *gateway)
{
    return gateway->exchanges.active;
}
