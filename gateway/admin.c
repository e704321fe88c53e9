#include <errno.h>
#include <stdio.h>
#include <stdlib.h>

#include <http_parser.h>

#include "base/counter.h"
#include "base/log.h"
#include "base/loop_time.h"
#include "gateway/admin.h"
#include "gateway/inspect.h"
#include "gateway/inspect_accounts.h"
#include "gateway/inspect_rollouts.h"
#include "gateway/inspect_suspects.h"
#include "gateway/retry_report.h"
#include "gateway/state/position.h"
#include "wire/client.h"

enum { FINGERPRINT_DIGITS = 16 };

static void
set_gauge(const char *name, const char *help, int64_t value)
{
    counter_set(counter_get(name, NULL, help), value);
}

static void
set_state_gauge(const char *state, int64_t value)
{
    char labels[32];
    snprintf(labels, sizeof(labels), "state=\"%s\"", state);
    counter_set(counter_get("irisstall_upstreams_in_state", labels,
                            "Upstreams that get no request, few, or only if others can't."),
                value);
}

/* Sets the gauges of backend states; a backend may be in several. */
static void
set_backend_gauges(const router_t *router)
{
    const uint64_t now = loop_now(router->loop);
    int64_t leaving = 0;
    int64_t cold = 0;
    int64_t avoided = 0;
    int64_t suspended = 0;
    int64_t limited = 0;
    int64_t resting = 0;
    for (size_t i = 0; i < router->catalog.backends.count; i++) {
        const backend_t *backend = router->catalog.backends.items[i];
        leaving += backend_is_leaving(backend) || backend->hall_closed || backend->replaced;
        limited += backend->limit.is_set;
        resting += backoff_is_active(&backend->backoff, now);
        cold += backend_is_cold(backend, now);
        avoided += health_is_avoided(&backend->health, now);
        suspended += breaker_is_suspended(&backend->breaker, now);
    }
    set_state_gauge("leaving", leaving);
    set_state_gauge("cold", cold);
    set_state_gauge("avoided", avoided);
    set_state_gauge("suspended", suspended);
    set_state_gauge("limited", limited);
    set_state_gauge("resting", resting);
}

/* The share of each urgency that the own region admits. */
static void
set_shortage_gauges(const service_t *service)
{
    enum { PERCENT = 100 };
    char labels[NAME_MAX_LEN + 32];
    if (service->shortage == NULL)
        return;
    for (unsigned i = 0; i < URGENCY_LEVELS; i++) {
        const double share = shortage_admitted_share(service->shortage, service->plan.own, i);
        snprintf(labels, sizeof(labels), "service=\"%s\",urgency=\"%u\"", service->name.ptr, i);
        counter_set(counter_get("irisstall_admitted_share_percent", labels,
                                "Share of the requests that the own region admits, by urgency."),
                    (int64_t)(PERCENT * share));
    }
}

static void
set_plan_gauges(const router_t *router)
{
    enum { PERCENT = 100 };
    char labels[NAME_MAX_LEN + 16];
    for (size_t i = 0; i < router->services.count; i++) {
        const service_t *service = router->services.items[i];
        snprintf(labels, sizeof(labels), "service=\"%s\"", service->name.ptr);
        counter_set(counter_get("irisstall_own_region_share_percent", labels,
                                "Share of the callers' requests planned for the own region."),
                    (int64_t)(PERCENT * service->plan.share[service->plan.own]));
        counter_set(counter_get("irisstall_slots_use_percent", labels,
                                "Highest demand lately measured, as a share of all slots."),
                    (int64_t)(PERCENT * region_plan_use(&service->plan)));
        set_shortage_gauges(service);
        if (service->offered == NULL)
            continue;
        counter_set(counter_get("irisstall_own_region_wait_ms", labels,
                                "Work that waits in the own region, in milliseconds per slot."),
                    (int64_t)service->backlog.wait_ms[service->plan.own]);
    }
}

/* Sets the gauges for the delay between a change of a view and its activation. */
static void
set_age_gauges(const views_t *views)
{
    static const char *const kinds[VIEW_WATCHED] = {
        [VIEW_CONFIG] = "kind=\"config\"",
        [VIEW_BACKENDS] = "kind=\"backends\"",
        [VIEW_CLOSURES] = "kind=\"closures\"",
        [VIEW_ROLLOUTS] = "kind=\"rollouts\"",
    };
    for (view_kind_t kind = 0; kind < views->count; kind++) {
        counter_set(counter_get("irisstall_in_force_after_ms", kinds[kind],
                                "Age of the last change when it came into force, milliseconds."),
                    views->ages[kind].last_ms);
        counter_set(counter_get("irisstall_in_force_after_max_ms", kinds[kind],
                                "The highest of these ages since the start."),
                    views->ages[kind].highest_ms);
    }
}

/* Totals only: metrics are never removed, so one per account would accumulate. */
static void
set_account_gauges(const account_sync_t *accounts)
{
    const account_uses_t *uses = accounts->conf.uses;
    int64_t limited = 0;
    int64_t silent = 0;
    for (size_t i = 0; i < uses->count; i++) {
        limited += uses->items[i]->limiter.limited;
        silent += !account_use_is_connected(uses->items[i], loop_now(accounts->conf.loop));
    }
    set_gauge("irisstall_accounts_in_use", "Client accounts with a limit whose callers came here.",
              (int64_t)uses->count);
    set_gauge("irisstall_accounts_at_limit", "Of these, accounts whose instances are held.",
              limited);
    set_gauge("irisstall_accounts_owner_silent", "Of these, accounts whose owner gives no answer.",
              silent);
    set_gauge("irisstall_accounts_owned", "Client accounts whose ledger is here.",
              (int64_t)accounts->ledgers.count);
}

static void
set_rollout_gauges(const rollouts_t *rollouts)
{
    int64_t running = 0;
    int64_t rolled_back = 0;
    for (size_t i = 0; i < rollouts->count; i++) {
        running += rollouts->items[i]->state == ROLLOUT_RUNNING;
        rolled_back += rollouts->items[i]->state == ROLLOUT_ROLLED_BACK;
    }
    set_gauge("irisstall_rollouts_running", "Roll-outs under way.", running);
    set_gauge("irisstall_rollouts_rolled_back", "Orders whose version was rolled back.",
              rolled_back);
}

static void
respond_metrics(const admin_t *admin, wire_request_t *req)
{
    const router_t *router = admin->router;
    set_gauge("irisstall_config_revision", "Store revision of the configuration in force.",
              router->catalog.config != NULL
                  ? (int64_t)position_revision(router->catalog.config->revision)
                  : 0);
    set_gauge("irisstall_config_known_revision",
              "Store revision of the newest configuration known, here or at a live peer.",
              (int64_t)position_revision(catalog_newest_config(&router->catalog)));
    set_gauge("irisstall_config_refused_revision",
              "Store revision of a newer configuration that could not be used, 0: none.",
              (int64_t)position_revision(router->catalog.refused.revision));
    set_gauge(
        "irisstall_config_left_out", "Parts of the configuration in force that could not be read.",
        router->catalog.config != NULL ? (int64_t)config_skipped_count(router->catalog.config) : 0);
    set_gauge("irisstall_instances_living", "Instances heard of, this one too.",
              router->live_instances);
    set_gauge("irisstall_upstreams", "Upstreams known.", (int64_t)router->catalog.backends.count);
    set_gauge("irisstall_entries_unusable",
              "Entries of the store that name no backend server to use.",
              (int64_t)router->catalog.unusable_count);
    set_age_gauges(admin->views);
    set_backend_gauges(router);
    set_plan_gauges(router);
    retry_report_metrics(router);
    set_gauge("irisstall_requests_held",
              "Requests and families refused now, as backend servers ended under them.",
              (int64_t)suspects_held(admin->suspects, loop_now(router->loop)));
    set_gauge("irisstall_suspects", "Requests and families under which backend servers ended.",
              (int64_t)admin->suspects->count);
    set_account_gauges(admin->accounts);
    set_rollout_gauges(&router->rollouts);
    set_gauge("irisstall_load_probes_outstanding", "Probes of backend servers' load under way.",
              (int64_t)admin->exchanges->load_probes.budget.outstanding);
    set_gauge("irisstall_upstreams_reached", "1 if this instance reaches any upstream, else 0.",
              admin->exchanges->reach->state.state != REACH_LOST);
    set_gauge("irisstall_transit_active", "Requests of peers under way here.",
              (int64_t)admin->exchanges->transit->received);
    set_gauge("irisstall_requests_active", "Requests under way.",
              (int64_t)admin->exchanges->active);
    set_gauge("irisstall_caller_connections", "Open connections of callers.",
              (int64_t)wire_listener_connections(admin->callers));
    set_gauge("irisstall_response_bytes_held", "Unread bytes held for callers, all responses.",
              (int64_t)wire_listener_held(admin->callers));
    set_gauge("irisstall_body_bytes_held", "Bytes held or announced of callers' request bodies.",
              (int64_t)wire_listener_bodies(admin->callers));
    set_gauge("irisstall_request_bytes_held",
              "Bytes of requests not written yet to backend servers and the store.",
              (int64_t)wire_client_request_bytes());
    set_gauge("irisstall_log_lines_dropped", "Log lines that were dropped.",
              (int64_t)log_dropped());
    size_t len;
    char *text = counter_expose(&len);
    wire_respond(req, HTTP_STATUS_OK, STR("Content-Type: text/plain; version=0.0.4\r\n"),
                 (str_t){text, len});
    free(text);
}

static void
write_status(const admin_t *admin, wire_text_t *out)
{
    const inspect_status_t status = {
        .router = admin->router,
        .members = admin->members,
        .store_watch = admin->store_watch,
        .views = admin->views,
        .load_probes = &admin->exchanges->load_probes,
        .reach = &admin->exchanges->reach->state,
        .ready = admin->heartbeat->ready,
        .leaving = admin->heartbeat->leaving,
        .response_bytes = wire_listener_held(admin->callers),
        .body_bytes = wire_listener_bodies(admin->callers),
    };
    inspect_status(&status, out);
}

/* Lifts the quarantine of a request or family, on all instances. */
static void
handle_quarantine_lift(const admin_t *admin, wire_request_t *req)
{
    const str_t text = wire_head_query(&req->head, STR("request"));
    char digits[FINGERPRINT_DIGITS + 1];
    char *end = digits;
    snprintf(digits, sizeof(digits), "%.*s", STR_ARG(text));
    errno = 0;
    const uint64_t fingerprint = strtoull(digits, &end, 16);
    const bool valid = text.len > 0 && text.len <= FINGERPRINT_DIGITS && *end == '\0' && errno == 0;
    if (!valid)
        wire_respond(req, HTTP_STATUS_BAD_REQUEST, STR(""), STR("not a request's fingerprint\n"));
    else if (suspects_lift(admin->suspects, fingerprint, loop_now(admin->router->loop)))
        wire_respond(req, HTTP_STATUS_OK, STR(""), STR("lifted\n"));
    else
        wire_respond(req, HTTP_STATUS_NOT_FOUND, STR(""),
                     STR("nothing is held against that request\n"));
}

void
admin_handle_request(const admin_t *admin, wire_request_t *req)
{
    const str_t path = wire_head_path(&req->head);
    wire_text_t text = {0};
    if (str_eq(path, STR("/metrics"))) {
        respond_metrics(admin, req);
        return;
    }
    if (str_eq(path, STR("/quarantine/lift")) && req->head.method == HTTP_POST) {
        handle_quarantine_lift(admin, req);
        return;
    }
    if (str_eq(path, STR("/table")))
        inspect_table(admin->router, wire_head_query(&req->head, STR("service")), &text);
    else if (str_eq(path, STR("/status")))
        write_status(admin, &text);
    else if (str_eq(path, STR("/quarantine")))
        inspect_suspects(admin->suspects, loop_now(admin->router->loop), &text);
    else if (str_eq(path, STR("/accounts")))
        inspect_accounts(admin->accounts, wire_head_query(&req->head, STR("account")), &text);
    else if (str_eq(path, STR("/rollouts")))
        inspect_rollouts(admin->router, wire_head_query(&req->head, STR("service")), &text);
    else if (str_eq(path, STR("/explain")))
        inspect_explain(admin->router, wire_head_query(&req->head, STR("host")),
                        wire_head_query(&req->head, STR("path")),
                        wire_head_query(&req->head, STR("object")), &text);
    const int status = text.len > 0 ? HTTP_STATUS_OK : HTTP_STATUS_NOT_FOUND;
    wire_respond(req, status, STR("Content-Type: text/plain\r\n"), (str_t){text.ptr, text.len});
    free(text.ptr);
}
