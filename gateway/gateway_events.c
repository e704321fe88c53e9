#include <stdlib.h>

#define LOG_MODULE "gateway"
#include "base/log.h"
#include "base/loop_time.h"
#include "base/xmalloc.h"
#include "gateway/gateway_state.h"
#include "gateway/membership/members_store.h"
#include "gateway/policy/isolation.h"
#include "gateway/state/position.h"

/* True if neither peers nor the store are heard. */
static bool
may_be_isolated(const gateway_t *gateway)
{
    const members_contact_t contact = members_last_contact(
        &gateway->members, name_str(&gateway->settings.name), loop_now(gateway->loop));
    const isolation_input_t input = {
        .peers_known = contact.known,
        .peers_alive = contact.alive,
        .peers_silent_ms = contact.silent_ms,
        .store_silent_ms = store_watch_silent_ms(&gateway->store_watch),
    };
    return isolation_is_possible(&input);
}

static void
set_isolated(gateway_t *gateway, bool isolated)
{
    catalog_t *catalog = &gateway->router.catalog;
    if (catalog->isolated == isolated)
        return;
    catalog->isolated = isolated;
    if (isolated)
        store_watch_probe(&gateway->store_watch);
    LOG_INFO("instance %s", isolated ? "isolated" : "no longer isolated");
}

void
gateway_compare_config(gateway_t *gateway)
{
    const view_t *view = &gateway->views.items[VIEW_CONFIG];
    const uint64_t here = gateway->config_update.is_pending ? view->at : 0;
    const uint64_t theirs = members_newer_view(&gateway->members, VIEW_CONFIG, view->at,
                                               view->digest, loop_now(gateway->loop));
    gateway->router.catalog.newer_revision = theirs > here ? theirs : here;
    set_isolated(gateway, may_be_isolated(gateway));
}

void
gateway_apply_config(void *ctx)
{
    gateway_t *gateway = ctx;
    router_apply_config(&gateway->router, &gateway->views.items[VIEW_CONFIG]);
    view_age_in_force(&gateway->views.ages[VIEW_CONFIG], loop_now(gateway->loop));
    gateway_compare_config(gateway);
    const config_t *config = gateway->router.catalog.config;
    if (config != NULL)
        listeners_apply_limits(&gateway->listeners, &config->limits);
}

static bool
has_all_views(const views_t *views)
{
    for (view_kind_t kind = 0; kind < views->count; kind++) {
        if (!views->items[kind].known)
            return false;
    }
    return true;
}

/* Sends a heartbeat as soon as all views are known, because starting peers request views only from
 * instances that announced them; the next regular heartbeat may be 0.4 s away. */
static void
announce_first_views(gateway_t *gateway)
{
    if (gateway->views_announced || !has_all_views(&gateway->views))
        return;
    gateway->views_announced = true;
    heartbeat_send(&gateway->heartbeat, loop_now(gateway->loop));
}

void
gateway_on_view_change(void *ctx, view_kind_t kind)
{
    gateway_t *gateway = ctx;
    catalog_t *catalog = &gateway->router.catalog;
    const view_t *view = &gateway->views.items[kind];
    view_relay_view_changed(&gateway->view_relay, kind);
    store_watch_view_changed(&gateway->store_watch);
    switch (kind) {
    case VIEW_CONFIG:
        deferred_schedule(&gateway->config_update);
        break; /* applied in gateway_apply_config() */
    case VIEW_BACKENDS:
        catalog_apply_backends(catalog, view, store_watch_outage_state(&gateway->store_watch));
        catalog_apply_closures(catalog, &gateway->views.items[VIEW_CLOSURES]);
        rollouts_update_others(&gateway->router.rollouts, &catalog->backends);
        break;
    case VIEW_CLOSURES:
        catalog_apply_closures(catalog, view);
        break;
    case VIEW_ROLLOUTS:
        rollouts_apply(&gateway->router.rollouts, view, loop_now(gateway->loop));
        rollouts_update_others(&gateway->router.rollouts, &catalog->backends);
        break;
    case VIEW_INSTANCES:
        BUG("not a watched kind");
    }
    if (kind != VIEW_CONFIG)
        view_age_in_force(&gateway->views.ages[kind], loop_now(gateway->loop));
    gateway_compare_config(gateway);
    announce_first_views(gateway);
}

void
gateway_on_delta(void *ctx, const view_delta_t *delta)
{
    gateway_t *gateway = ctx;
    view_push_changed(&gateway->view_push, delta, &gateway->router.catalog.new_departures);
}

/* Applies departures of backend servers from a peer; entries with invalid names are skipped. */
static void
on_departures(gateway_t *gateway, const Iris__Departures *message)
{
    departure_t *items = xcalloc(message->n_items + 1, sizeof(*items));
    size_t count = 0;
    const uint64_t era = store_history_peer_era(&gateway->views.history, message->era);
    for (size_t i = 0; i < message->n_items; i++) {
        const Iris__Departure *departure = message->items[i];
        if (!name_set(&items[count].backend, str_from(departure->backend)))
            continue;
        items[count].revision = position_make(era, departure->revision);
        items[count].gone = departure->gone;
        items[count].learned_ms = loop_now(gateway->loop);
        count++;
    }
    catalog_apply_departures(&gateway->router.catalog, items, count,
                             store_watch_outage_state(&gateway->store_watch));
    free(items);
}

void
gateway_on_rollout_verdict(void *ctx)
{
    gateway_t *gateway = ctx;
    gateway->heartbeat.is_due = true;
}

void
gateway_on_store_return(void *ctx)
{
    gateway_t *gateway = ctx;
    LOG_WARN("store came back from an older copy: era=%llu",
             (unsigned long long)gateway->views.history.era);
    store_watch_on_return(&gateway->store_watch);
    catalog_on_store_return(&gateway->router.catalog);
    members_forget_announcements(&gateway->members);
    discovery_announce_again(&gateway->discovery, &gateway->router.rng);
    gateway->heartbeat.is_due = true;
}

void
gateway_on_reach_change(void *ctx, bool lost)
{
    gateway_t *gateway = ctx;
    if (!lost)
        backends_forget_failures(&gateway->router.catalog.backends);
    gateway->heartbeat.is_due = true;
}

void
gateway_on_peer_refused(void *ctx, const addr_t *to)
{
    gateway_t *gateway = ctx;
    for (size_t i = 0; i < gateway->members.count; i++) {
        if (addr_eq(&gateway->members.items[i].peer, to))
            account_sync_on_connection_refused(&gateway->account_news, &gateway->members.items[i]);
    }
}

/* Notes a newer configuration at once; gateway_compare_config() looks at all members. */
static void
note_peer_config(gateway_t *gateway, const Iris__GatewayHeartbeat *message)
{
    const view_t *view = &gateway->views.items[VIEW_CONFIG];
    if (message->n_views <= VIEW_CONFIG)
        return;
    const Iris__ViewState *theirs = message->views[VIEW_CONFIG];
    const uint64_t era = store_history_peer_era(&gateway->views.history, message->store_era);
    const uint64_t at = position_make(era - theirs->eras_behind, theirs->at);
    const bool newer = theirs->known && at > view->at && theirs->digest != view->digest;
    if (newer && at > gateway->router.catalog.newer_revision)
        gateway->router.catalog.newer_revision = at;
}

void
gateway_on_peer_message(void *ctx, peer_conn_t *conn, const Iris__Envelope *message)
{
    gateway_t *gateway = ctx;
    deferred_run_overdue(&gateway->config_update);
    switch (message->body_case) {
    case IRIS__ENVELOPE__BODY_GATEWAY:
        views_learn_era(&gateway->views, message->gateway->store_era);
        heartbeat_receive(&gateway->heartbeat, message->gateway, loop_now(gateway->loop));
        note_peer_config(gateway, message->gateway);
        resume_on_peer_update(&gateway->resume);
        break;
    case IRIS__ENVELOPE__BODY_VIEW_UPDATE:
        view_relay_on_update(&gateway->view_relay, conn, message->view_update);
        break;
    case IRIS__ENVELOPE__BODY_PACKED_UPDATE:
        view_relay_on_update(&gateway->view_relay, conn, message->packed_update);
        break;
    case IRIS__ENVELOPE__BODY_LIST_UPDATE:
        view_relay_on_update(&gateway->view_relay, conn, message->list_update);
        break;
    case IRIS__ENVELOPE__BODY_DEPARTURES:
        on_departures(gateway, message->departures);
        break;
    case IRIS__ENVELOPE__BODY_SUSPECTS:
        suspect_gossip_receive(&gateway->suspect_news, message->suspects);
        break;
    case IRIS__ENVELOPE__BODY_ACCOUNT_REPORT:
        account_sync_on_report(&gateway->account_news, conn, message->account_report);
        break;
    case IRIS__ENVELOPE__BODY_ACCOUNT_GRANTS:
        account_sync_on_grants(&gateway->account_news, message->account_grants);
        break;
    case IRIS__ENVELOPE__BODY_ACCOUNT_EXCHANGE:
        account_sync_on_exchange(&gateway->account_news, message->account_exchange);
        break;
    case IRIS__ENVELOPE__BODY_BACKEND_NOTICES:
        notice_gossip_receive(&gateway->notice_news, message->backend_notices);
        break;
    case IRIS__ENVELOPE__BODY_PERMIT_REQUEST:
        permit_exchange_on_request(&gateway->permit_exchange, conn, message->permit_request);
        break;
    case IRIS__ENVELOPE__BODY_PERMIT_ANSWER:
        permit_exchange_on_answer(&gateway->permit_exchange, message->permit_answer);
        break;
    case IRIS__ENVELOPE__BODY_VIEW_REQUEST:
        view_relay_on_request(&gateway->view_relay, conn, message->view_request);
        break;
    default:
        LOG_WARN("peer message of unknown type: kind=%d", (int)message->body_case);
        break;
    }
}
