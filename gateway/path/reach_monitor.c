#include "gateway/path/reach_monitor.h"

#include <stdlib.h>

#define LOG_MODULE "reach"
#include "base/log.h"
#include "base/loop_time.h"
#include "base/xmalloc.h"
#include "wire/client.h"
#include "wire/tcp_probe.h"

void
reach_monitor_init(reach_monitor_t *monitor, const reach_monitor_conf_t *conf)
{
    *monitor = (reach_monitor_t){.conf = *conf};
}

static uint64_t
now(const reach_monitor_t *monitor)
{
    return loop_now(monitor->conf.loop);
}

static void
log_change(const reach_monitor_t *monitor)
{
    const reachability_t *state = &monitor->state;
    if (state->state == REACH_LOST)
        LOG_WARN("backend servers unreachable: probes=%d listed=%zu", REACHABILITY_PROBES,
                 monitor->conf.backends->count);
    else
        LOG_INFO("backend servers reached again: after_ms=%llu probes=%u",
                 (unsigned long long)(state->returned_ms - state->lost_ms), state->needed);
}

/* A probe under way. */
typedef struct {
    reach_monitor_t *monitor;
    uint64_t backend_key;
} probe_t;

static void on_probe(void *ctx, tcp_probe_result_t outcome);

static bool
is_probed(const backend_t *backend)
{
    return backend->pool != NULL && backend->listed && !backend->replaced &&
           backend->remove_at_ms == 0;
}

static void
start_probe(reach_monitor_t *monitor, const backend_t *backend)
{
    probe_t *probe = xmalloc(sizeof(*probe));
    *probe = (probe_t){monitor, backend->key};
    monitor->probes++;
    wire_tcp_probe(monitor->conf.loop, wire_pool_addr(backend->pool), 0,
                   REACHABILITY_PROBE_TIMEOUT_MS, on_probe, probe);
}

/* Probes up to `max` backend servers, evenly spread over the list; returns their number. */
static unsigned
probe_some(reach_monitor_t *monitor, unsigned max)
{
    const backends_t *backends = monitor->conf.backends;
    unsigned count = 0;
    size_t passed = 0; /* since the last one that was probed */
    if (backends->count == 0)
        return 0;
    const size_t start = rng_below(monitor->conf.rng, backends->count);
    const size_t step = backends->count / max;
    for (size_t i = 0; i < backends->count && count < max; i++) {
        const backend_t *backend = backends->items[(start + i) % backends->count];
        if (!is_probed(backend) || (count > 0 && ++passed < step))
            continue;
        start_probe(monitor, backend);
        passed = 0;
        count++;
    }
    return count;
}

static void
add_failure(reach_monitor_t *monitor, uint64_t backend_key)
{
    if (!reachability_add_failure(&monitor->state, backend_key, now(monitor)))
        return;
    LOG_INFO("link to backend servers in doubt: silent_ms=%llu",
             (unsigned long long)(now(monitor) - monitor->state.heard_ms));
    reachability_set_probes(&monitor->state, probe_some(monitor, REACHABILITY_PROBES));
}

static void
call_waiting(reach_monitor_t *monitor)
{
    while (monitor->waits != NULL && monitor->state.state != REACH_SUSPECTED) {
        reach_wait_t *wait = monitor->waits;
        monitor->waits = wait->next;
        wait->cb(wait->ctx);
    }
}

static void
on_probe(void *ctx, tcp_probe_result_t outcome)
{
    const probe_t probe = *(probe_t *)ctx;
    reach_monitor_t *monitor = probe.monitor;
    const bool was_lost = monitor->state.state == REACH_LOST;
    const bool connected = outcome == TCP_PROBE_CONNECTED;
    free(ctx);
    monitor->probes--;
    if (monitor->state.state == REACH_NORMAL && !connected) {
        add_failure(monitor, probe.backend_key);
        return;
    }
    reachability_add_probe(&monitor->state, connected, now(monitor));
    const bool lost = monitor->state.state == REACH_LOST;
    if (lost != was_lost) {
        log_change(monitor);
        monitor->conf.on_change(monitor->conf.ctx, lost);
    }
    call_waiting(monitor);
}

void
reach_monitor_add_send(reach_monitor_t *monitor)
{
    reachability_add_send(&monitor->state, now(monitor));
}

void
reach_monitor_add_response(reach_monitor_t *monitor)
{
    reachability_add_response(&monitor->state, now(monitor));
}

void
reach_monitor_add_attempt(reach_monitor_t *monitor, const backend_t *backend,
                          const attempt_t *attempt)
{
    if (attempt->head_seen && !attempt->reused)
        reachability_add_connection(&monitor->state, attempt->sent_ms);
    else if (attempt->link_failed)
        add_failure(monitor, backend->key);
}

void
reach_monitor_add_refusal(reach_monitor_t *monitor, const backend_t *backend)
{
    add_failure(monitor, backend->key);
}

bool
reach_monitor_await(reach_monitor_t *monitor, reach_wait_t *wait)
{
    if (monitor->state.state != REACH_SUSPECTED)
        return false;
    wait->next = monitor->waits;
    monitor->waits = wait;
    return true;
}

bool
reach_monitor_is_cut(const reach_monitor_t *monitor)
{
    return monitor->state.state == REACH_LOST &&
           members_hear_backends(monitor->conf.members, now(monitor));
}

void
reach_monitor_tick(reach_monitor_t *monitor)
{
    if (monitor->probes == 0 && reachability_wants_probe(&monitor->state, now(monitor)))
        probe_some(monitor, 1);
}
