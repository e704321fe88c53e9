#define LOG_MODULE "gateway"
#include "base/counter.h"
#include "base/log.h"
#include "base/loop_time.h"
#include "gateway/gateway_state.h"
#include "gateway/policy/shutdown.h"
#include "gateway/retry_report.h"
#include "wire/client.h"

enum {
    /* Peer connections whose output has stalled for this time are closed; same value as
     * USER_TIMEOUT_MS of peer/link.c. */
    PEER_STALLED_MS = 1500,
    /* Incoming peer connections on which nothing arrives for this time are closed: far above the
     * interval of heartbeats, since those of other meshes may carry nothing for long. */
    PEER_SILENT_MS = 60000,
    /* Timeout for connecting to a peer: above a round trip between regions, below a tick. */
    CONNECT_MS = 150,
    /* Idle time after which backend connections are closed; above the age up to which they are
     * reused. */
    BACKEND_IDLE_MS = 9000,
    /* Delay from which the loop counts as late and is logged: callers notice it, and heartbeats of
     * peers lie unread in the sockets. */
    LOOP_LATE_MS = 250,
};

/* Records by how much the loop is late: work that came in before has kept it busy, or the process
 * was not scheduled. Returns the delay in milliseconds. */
static uint64_t
record_loop_delay(gateway_t *gateway, uint64_t now_ms)
{
    const uint64_t due_ms = gateway->ticked_ms + GATEWAY_TICK_MS;
    const uint64_t delay_ms = gateway->ticked_ms > 0 && now_ms > due_ms ? now_ms - due_ms : 0;
    gateway->ticked_ms = now_ms;
    counter_set(counter_get("irisstall_loop_delay_ms", NULL,
                            "Delay of the last regular tick of the loop, in milliseconds."),
                (int64_t)delay_ms);
    if (delay_ms > gateway->loop_delay_max_ms) {
        gateway->loop_delay_max_ms = delay_ms;
        counter_set(counter_get("irisstall_loop_delay_max_ms", NULL,
                                "The longest of these delays since the start."),
                    (int64_t)delay_ms);
    }
    if (delay_ms >= LOOP_LATE_MS)
        LOG_INFO("loop delayed: delay_ms=%llu", (unsigned long long)delay_ms);
    return delay_ms;
}

/* Closes the connections without a request. Those still open at the end of the process are reset.
 */
static void
close_resting_connections(gateway_t *gateway)
{
    const backends_t *backends = &gateway->router.catalog.backends;
    for (size_t i = 0; i < backends->count; i++)
        wire_pool_close_idle(backends->items[i]->pool, 0);
    peer_hub_close_connections(gateway->hub);
}

static void
advance_stop(gateway_t *gateway)
{
    wire_listener_t *callers = gateway->listeners.callers;
    const uint64_t age_ms = loop_now(gateway->loop) - gateway->stop_ms;
    if (shutdown_refuses_connections(age_ms)) {
        wire_listener_stop_accepting(callers);
        wire_listener_close_idle(callers, shutdown_idle_max_ms(age_ms));
        wire_listener_stop_accepting(gateway->listeners.transit);
        wire_listener_close_idle(gateway->listeners.transit, shutdown_idle_max_ms(age_ms));
    }
    const shutdown_input_t input = {
        .age_ms = age_ms,
        .grace_ms = gateway->settings.grace_ms,
        .requests = gateway->exchanges.active + gateway->resume.count,
        .connections = wire_listener_connections(callers),
        .accepting = wire_listener_is_accepting(callers),
    };
    if (!shutdown_is_due(&input))
        return;
    LOG_INFO("stopped: after_ms=%llu requests_left=%zu", (unsigned long long)age_ms,
             gateway->exchanges.active);
    wire_listener_abort_responses(callers);
    wire_listener_abort_responses(gateway->listeners.transit);
    close_resting_connections(gateway);
    uv_stop(gateway->loop);
}

void
gateway_stop(gateway_t *gateway)
{
    if (gateway->stopping)
        return;
    LOG_INFO("stopping: requests=%zu connections=%zu", gateway->exchanges.active,
             wire_listener_connections(gateway->listeners.callers));
    gateway->stopping = true;
    gateway->stop_ms = loop_now(gateway->loop);
    wire_listener_drain(gateway->listeners.callers);
    wire_listener_drain(gateway->listeners.transit);
    store_watch_stop(&gateway->store_watch);
    heartbeat_leave(&gateway->heartbeat, gateway->stop_ms);
}

static void
close_idle_connections(gateway_t *gateway)
{
    const backends_t *backends = &gateway->router.catalog.backends;
    const backends_slice_t slice = backends_next_slice(backends, &gateway->idle_closed_to);
    for (size_t i = slice.from; i < slice.to; i++) {
        const backend_t *backend = backends->items[i];
        wire_pool_close_idle(backend->pool, backend_is_leaving(backend) ? 0 : BACKEND_IDLE_MS);
    }
    peer_hub_sweep_stalled(gateway->hub, PEER_STALLED_MS);
    peer_hub_sweep_silent(gateway->hub, PEER_SILENT_MS);
}

/* While this instance has no state yet, reconnects to unheard peers on every tick. If machines
 * start within 0.3 s of each other, the first SYNs to later ones are lost and the kernel
 * retransmits only after 1 s. */
static void
reconnect_unheard_peers(gateway_t *gateway)
{
    peer_hub_sweep_unconnected(gateway->hub, CONNECT_MS);
    heartbeat_greet(&gateway->heartbeat, loop_now(gateway->loop));
}

/* Completes roll-outs whose traffic has moved everywhere and records their states. */
static void
record_rollouts(gateway_t *gateway)
{
    const rollout_gossip_t gossip =
        heartbeat_rollouts(&gateway->heartbeat, loop_now(gateway->loop));
    bool all_moved[ROLLOUTS_MAX] = {0};
    for (size_t i = 0; i < gossip.rollouts->count; i++)
        all_moved[i] = rollout_gossip_all_moved(&gossip, gossip.rollouts->items[i]);
    rollout_record_tick(&gateway->rollout_record, all_moved);
}

static void
run_tick(gateway_t *gateway)
{
    const uint64_t now_ms = loop_now(gateway->loop);
    heartbeat_set_ready(&gateway->heartbeat, router_is_ready(&gateway->router), now_ms);
    gateway_compare_config(gateway); /* a peer may have been lost */
    if (catalog_hold_ended(&gateway->router.catalog)) {
        gateway_on_view_change(gateway, VIEW_BACKENDS);
        gateway_on_view_change(gateway, VIEW_CLOSURES);
    }
    router_tick(&gateway->router, &gateway->members);
    retry_report_tick(&gateway->router);
    store_watch_tick(&gateway->store_watch);
    view_push_tick(&gateway->view_push);
    gateway->account_uses.instances = gateway->router.instances;
    account_sync_tick(&gateway->account_news);
    suspects_tick(&gateway->suspects, now_ms);
    suspect_gossip_send_unsent(&gateway->suspect_news);
    notice_gossip_send_unsent(&gateway->notice_news);
    permit_exchange_tick(&gateway->permit_exchange);
    reach_monitor_tick(&gateway->reach);
    transit_tick(&gateway->transit);
    if (!gateway->stopping)
        discovery_tick(&gateway->discovery, gateway->router.live_instances <= 1);
    close_idle_connections(gateway);
    if (!router_is_ready(&gateway->router) && !gateway->stopping)
        reconnect_unheard_peers(gateway);
    if (!gateway->stopping && gateway->router.rollouts.count > 0)
        record_rollouts(gateway);
    heartbeat_tick(&gateway->heartbeat, now_ms);
    log_flush();
    if (gateway->stopping)
        advance_stop(gateway);
}

static void
on_polled(uv_check_t *check)
{
    uv_check_stop(check);
    run_tick(check->data);
}

/* A loop that is late reads its sockets first: what its peers and the store sent meanwhile lies
 * there, and without it they would look lost. */
void
gateway_on_tick(uv_timer_t *timer)
{
    gateway_t *gateway = timer->data;
    if (record_loop_delay(gateway, loop_now(gateway->loop)) >= LOOP_LATE_MS)
        uv_check_start(&gateway->late_tick, on_polled);
    else
        run_tick(gateway);
}

/* Peers have closed connections that stalled during the suspension, and backend connections have
 * been idle longer than either side keeps them. */
void
gateway_on_resumed(void *ctx, uint64_t still_ms)
{
    gateway_t *gateway = ctx;
    if (still_ms >= PEER_STALLED_MS)
        peer_hub_sweep_idle(gateway->hub, PEER_STALLED_MS);
    close_idle_connections(gateway);
    heartbeat_resume(&gateway->heartbeat, loop_now(gateway->loop));
}
