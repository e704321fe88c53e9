#include <stdlib.h>
#include <string.h>

#include <http_parser.h>

#define LOG_MODULE "gateway"
#include "base/log.h"
#include "base/xmalloc.h"
#include "gateway/admin.h"
#include "gateway/membership/directory.h"
#include "gateway/membership/discovery.h"
#include "gateway/path/exchange.h"
#include "gateway/policy/shutdown.h"
#include "gateway/gateway.h"
#include "gateway/membership/heartbeat.h"
#include "wire/client.h"

enum {
    TICK_MS = 200,
    STALLED_MS = 1500,    /* peer connections without progress are closed */
    SWEEP_IDLE_MS = 9000, /* idle upstream connections are closed */
    SMALL_HEAD_MAX = 8192,
    SMALL_CONNECTIONS_MAX = 512,
    CALLER_CONNECTIONS_MAX = 3000,
    HEAD_TIMEOUT_MS = 3000,
    IDLE_TIMEOUT_MS = 15000,
};

struct gateway {
    uv_loop_t *loop;
    gateway_settings_t settings; /* with the ports that the system chose */
    const gateway_ports_t *ports;
    router_t router;
    exchanges_t exchanges;
    members_t members;
    sync_t sync;
    heartbeat_t heartbeat;
    peer_hub_t *hub;
    wire_listener_t *callers;
    wire_listener_t *readiness;
    wire_listener_t *directory;
    wire_listener_t *admin;
    uv_timer_t tick;
    bool stopping;
    uint64_t stop_ms;
    discovery_t discovery;
};

static void
on_caller_request(void *ctx, wire_request_t *req)
{
    gateway_t *gateway = ctx;
    exchange_start(&gateway->exchanges, req);
}

static void
on_ready_question(void *ctx, wire_request_t *req)
{
    gateway_t *gateway = ctx;
    if (!gateway->ports->directory->is_ready_question(&req->head))
        wire_respond(req, HTTP_STATUS_NOT_FOUND, STR(""), STR(""));
    else if (gateway->heartbeat.ready && !gateway->stopping)
        wire_respond(req, HTTP_STATUS_OK, STR(""), STR(""));
    else
        wire_respond(req, HTTP_STATUS_SERVICE_UNAVAILABLE, STR(""), STR(""));
}

static void
on_directory_question(void *ctx, wire_request_t *req)
{
    gateway_t *gateway = ctx;
    directory_question_t question;
    addr_t addrs[DIRECTORY_MAX];
    if (!gateway->ports->directory->read_question(&req->head, &question)) {
        wire_respond(req, HTTP_STATUS_NOT_FOUND, STR(""), STR(""));
        return;
    }
    const size_t count =
        directory_pick(&gateway->members, &gateway->settings.topology, question.region,
                       question.hall, uv_now(gateway->loop), addrs);
    if (count == 0) {
        wire_respond(req, HTTP_STATUS_SERVICE_UNAVAILABLE, STR(""), STR(""));
        return;
    }
    wire_text_t fields = {0};
    wire_text_t body = {0};
    gateway->ports->directory->write_addresses(addrs, count, gateway->settings.directory_ttl_s,
                                               &fields, &body);
    wire_respond(req, HTTP_STATUS_OK, (str_t){fields.ptr, fields.len}, (str_t){body.ptr, body.len});
    free(fields.ptr);
    free(body.ptr);
}

static void
on_admin_question(void *ctx, wire_request_t *req)
{
    const gateway_t *gateway = ctx;
    const admin_t admin = {
        .router = &gateway->router,
        .sync = &gateway->sync,
        .heartbeat = &gateway->heartbeat,
        .exchanges = &gateway->exchanges,
        .callers = gateway->callers,
    };
    admin_answer(&admin, req);
}

static void
apply_caller_limits(gateway_t *gateway)
{
    const config_t *config = gateway->router.catalog.config;
    if (config == NULL)
        return;
    const wire_limits_t limits = {
        .max_head = config->limits.max_head_bytes,
        .max_body = config->limits.max_body_bytes,
        .head_timeout_ms = config->limits.head_timeout_ms,
        .idle_timeout_ms = config->limits.idle_timeout_ms,
        .max_connections = CALLER_CONNECTIONS_MAX,
    };
    wire_listener_set_limits(gateway->callers, &limits);
}

static void
on_view(void *ctx, view_kind_t kind)
{
    gateway_t *gateway = ctx;
    const view_t *view = &gateway->sync.views[kind];
    catalog_t *catalog = &gateway->router.catalog;
    switch (kind) {
    case VIEW_CONFIG:
        router_apply_config(&gateway->router, view);
        apply_caller_limits(gateway);
        break;
    case VIEW_BACKENDS:
        catalog_apply_backends(catalog, view, sync_store_was_down(&gateway->sync));
        catalog_apply_closures(catalog, &gateway->sync.views[VIEW_CLOSURES]);
        break;
    case VIEW_CLOSURES:
        catalog_apply_closures(catalog, view);
        break;
    case VIEW_INSTANCES:
        break;
    }
}

static void
on_peer_message(void *ctx, peer_conn_t *conn, const Iris__Envelope *message)
{
    gateway_t *gateway = ctx;
    switch (message->body_case) {
    case IRIS__ENVELOPE__BODY_GATEWAY:
        heartbeat_receive(&gateway->heartbeat, message->gateway, uv_now(gateway->loop));
        break;
    case IRIS__ENVELOPE__BODY_VIEW_UPDATE:
        sync_on_update(&gateway->sync, message->view_update);
        break;
    case IRIS__ENVELOPE__BODY_VIEW_REQUEST:
        sync_on_request(&gateway->sync, conn, message->view_request);
        break;
    default:
        LOG_WARN("message of an unknown kind: kind=%d", (int)message->body_case);
        break;
    }
}

static void
advance_stop(gateway_t *gateway)
{
    const uint64_t age_ms = uv_now(gateway->loop) - gateway->stop_ms;
    if (shutdown_refuses_connections(age_ms)) {
        wire_listener_close(gateway->callers);
        wire_listener_close_idle(gateway->callers);
    }
    const shutdown_input_t input = {
        .age_ms = age_ms,
        .grace_ms = gateway->settings.grace_ms,
        .requests = gateway->exchanges.active,
        .connections = wire_listener_connections(gateway->callers),
    };
    if (!shutdown_is_due(&input))
        return;
    LOG_INFO("stopped: after_ms=%llu requests_left=%zu", (unsigned long long)age_ms,
             gateway->exchanges.active);
    uv_stop(gateway->loop);
}

void
gateway_stop(gateway_t *gateway)
{
    if (gateway->stopping)
        return;
    LOG_INFO("stopping: requests=%zu connections=%zu", gateway->exchanges.active,
             wire_listener_connections(gateway->callers));
    gateway->stopping = true;
    gateway->stop_ms = uv_now(gateway->loop);
    gateway->heartbeat.leaving = true;
    wire_listener_drain(gateway->callers);
    sync_stop(&gateway->sync);
    heartbeat_send(&gateway->heartbeat, uv_now(gateway->loop));
}

static void
sweep(gateway_t *gateway)
{
    for (size_t i = 0; i < gateway->router.catalog.backends.count; i++)
        wire_pool_sweep(gateway->router.catalog.backends.items[i]->pool, SWEEP_IDLE_MS);
    peer_hub_sweep_stalled(gateway->hub, STALLED_MS);
}

static void
on_tick(uv_timer_t *timer)
{
    gateway_t *gateway = timer->data;
    const uint64_t now = uv_now(gateway->loop);
    gateway->heartbeat.ready = router_is_ready(&gateway->router);
    heartbeat_update_self(&gateway->heartbeat, now);
    router_tick(&gateway->router, &gateway->members);
    sync_tick(&gateway->sync);
    if (!gateway->stopping)
        discovery_tick(&gateway->discovery);
    sweep(gateway);
    const uint32_t interval = members_interval_ms(&gateway->members, gateway->router.region, now);
    if (now - gateway->heartbeat.sent_ms + TICK_MS / 2 >= interval)
        heartbeat_send(&gateway->heartbeat, now);
    log_flush();
    if (gateway->stopping)
        advance_stop(gateway);
}

static wire_listener_t *
listen_small(gateway_t *gateway, const addr_t *addr, wire_handler_t handler, err_t *err)
{
    static const wire_limits_t limits = {
        .max_head = SMALL_HEAD_MAX,
        .max_body = SMALL_HEAD_MAX,
        .head_timeout_ms = HEAD_TIMEOUT_MS,
        .idle_timeout_ms = IDLE_TIMEOUT_MS,
        .max_connections = SMALL_CONNECTIONS_MAX,
    };
    return wire_listener_start(gateway->loop, addr, &limits, handler, gateway, err);
}

static void
set_port(addr_t *addr, uint16_t port)
{
    if (addr->sa.sa_family == AF_INET6)
        addr->v6.sin6_port = htons(port);
    else
        addr->v4.sin_port = htons(port);
}

static bool
listen_all(gateway_t *gateway, err_t *err)
{
    gateway_settings_t *settings = &gateway->settings;
    static const wire_limits_t first_limits = {
        .max_head = SMALL_HEAD_MAX * 2,
        .max_body = 1 << 20,
        .head_timeout_ms = HEAD_TIMEOUT_MS,
        .idle_timeout_ms = IDLE_TIMEOUT_MS,
        .max_connections = CALLER_CONNECTIONS_MAX,
    };
    gateway->callers = wire_listener_start(gateway->loop, &settings->callers, &first_limits,
                                           on_caller_request, gateway, err);
    if (gateway->callers == NULL)
        return false;
    set_port(&settings->callers, wire_listener_port(gateway->callers));
    gateway->readiness = listen_small(gateway, &settings->readiness, on_ready_question, err);
    if (gateway->readiness == NULL)
        return false;
    set_port(&settings->readiness, wire_listener_port(gateway->readiness));
    gateway->directory = listen_small(gateway, &settings->directory, on_directory_question, err);
    if (gateway->directory == NULL)
        return false;
    set_port(&settings->directory, wire_listener_port(gateway->directory));
    if (settings->has_admin) {
        gateway->admin = listen_small(gateway, &settings->admin, on_admin_question, err);
        if (gateway->admin == NULL)
            return false;
        set_port(&settings->admin, wire_listener_port(gateway->admin));
    }
    gateway->hub = peer_hub_start(gateway->loop, &settings->peer, on_peer_message, gateway, err);
    if (gateway->hub == NULL)
        return false;
    set_port(&settings->peer, peer_hub_port(gateway->hub));
    return true;
}

const gateway_settings_t *
gateway_settings(const gateway_t *gateway)
{
    return &gateway->settings;
}

bool
gateway_avoids(const gateway_t *gateway, str_t backend_id)
{
    const backend_t *backend = backends_find(&gateway->router.catalog.backends, backend_id);
    return backend != NULL && backend->logged_avoided;
}

unsigned
gateway_living(const gateway_t *gateway)
{
    return gateway->router.living;
}

size_t
gateway_active(const gateway_t *gateway)
{
    return gateway->exchanges.active;
}

void
gateway_reload(gateway_t *gateway, const gateway_settings_t *settings)
{
    for (size_t i = 0; i < settings->seed_count; i++)
        members_at(&gateway->members, &settings->seeds[i]);
}

gateway_t *
gateway_start(uv_loop_t *loop, const gateway_settings_t *settings, const gateway_ports_t *ports,
              err_t *err)
{
    gateway_t *gateway = xcalloc(1, sizeof(*gateway));
    gateway->loop = loop;
    gateway->settings = *settings;
    gateway->ports = ports;
    const router_conf_t router_conf = {
        .topology = &gateway->settings.topology,
        .decoder = ports->decoder,
        .instance = name_str(&settings->name),
        .hall = name_str(&settings->hall),
        .retry_bounds =
            {
                .ratio = settings->retry_ratio,
                .constant = settings->retry_constant,
                .window_ms = settings->retry_window_ms,
            },
    };
    router_init(&gateway->router, loop, &router_conf);
    gateway->exchanges = (exchanges_t){.router = &gateway->router, .dialect = ports->dialect};
    if (!listen_all(gateway, err)) {
        free(gateway);
        return NULL;
    }
    const sync_cbs_t cbs = {.on_view = on_view, .ctx = gateway};
    sync_init(&gateway->sync, loop, ports->store, &gateway->members, name_str(&settings->name),
              gateway->router.region, &cbs);
    gateway->sync.hub = gateway->hub;
    gateway->heartbeat = (heartbeat_t){
        .settings = &gateway->settings,
        .members = &gateway->members,
        .router = &gateway->router,
        .sync = &gateway->sync,
        .hub = gateway->hub,
        .incarnation = rng_next(&gateway->router.rng),
    };
    gateway->discovery = (discovery_t){
        .loop = loop,
        .store = ports->store,
        .decoder = ports->decoder,
        .heartbeat = &gateway->heartbeat,
    };
    heartbeat_update_self(&gateway->heartbeat, uv_now(loop));
    gateway_reload(gateway, settings);
    uv_timer_init(loop, &gateway->tick);
    gateway->tick.data = gateway;
    uv_timer_start(&gateway->tick, on_tick, 0, TICK_MS);
    return gateway;
}
