#include "base/xmalloc.h"
#include "gateway/path/dispatch.h"
#include "gateway/path/completion.h"
#include "gateway/path/fingerprint.h"
#include "gateway/path/time_limit.h"
#include "gateway/policy/deadline.h"

/* Software versions of a service that are considered: two during a rollout, and some that lag
 * behind. */
enum { VERSIONS_MAX = 4 };

static uint64_t
deadline_of(const exchange_t *ex)
{
    const deadline_input_t input = {
        .route_limit_ms = ex->route->timeout_ms,
        .has_caller_limit = ex->metadata.has_deadline,
        .caller_limit_ms = ex->metadata.deadline_ms,
    };
    return ex->req->begun_ms + deadline_allowed_ms(&input);
}

static exchange_t *
new_exchange(exchanges_t *exchanges, wire_request_t *req)
{
    exchange_t *ex = xcalloc(1, sizeof(*ex));
    ex->owner = exchanges;
    ex->req = req;
    ex->choice.reason = CHOICE_NONE;
    exchanges->active++;
    uv_timer_init(exchanges->router->loop, &ex->timer);
    ex->timer.data = ex;
    ex->on_timer = time_limit_on_timer;
    exchanges->dialect->read_request(&req->head, &ex->metadata);
    ex->fingerprint = fingerprint(req);
    ex->attempt = (attempt_t){
        .loop = exchanges->router->loop,
        .dialect = exchanges->dialect,
        .req = req,
        .id = ex->metadata.id,
        .fingerprint = ex->fingerprint.request,
        .on_notice = dispatch_on_backend_notice,
        .cb = dispatch_on_attempt_end,
        .ctx = ex,
    };
    return ex;
}

static void
on_caller_disconnected(void *ctx)
{
    exchange_t *ex = ctx;
    dispatch_cancel(ex);
    completion_caller_disconnected(ex);
}

static void
on_caller_drained(void *ctx)
{
    attempt_on_caller_drained(&((exchange_t *)ctx)->attempt);
}

/* Decides whether the request is quarantined; restricts it to a software version if needed. */
static quarantine_t
decide_quarantine(exchange_t *ex)
{
    const exchanges_t *owner = ex->owner;
    const uint64_t now_ms = exchange_now_ms(ex);
    const quarantine_t any = suspects_decide(owner->suspects, &ex->fingerprint, now_ms);
    if (any.verdict == QUARANTINE_FREE)
        return any;
    uint64_t versions[VERSIONS_MAX];
    quarantine_t by_version[VERSIONS_MAX];
    const size_t count = router_usable_versions(owner->router, ex->service, versions, VERSIONS_MAX);
    for (size_t i = 0; i < count; i++)
        by_version[i] =
            suspects_decide_version(owner->suspects, &ex->fingerprint, versions[i], now_ms);
    const size_t picked = quarantine_pick_version(&any, by_version, count);
    if (picked == count)
        return any;
    ex->required_version = versions[picked];
    return by_version[picked];
}

/* Finds the client account of the request. Returns false if the request was refused. */
static bool
authenticate_account(exchange_t *ex)
{
    const config_t *config = ex->config;
    const bool may_have_account = config->has_accounts && ex->metadata.key_form == KEY_SINGLE;
    const config_key_match_t match =
        may_have_account ? config_match_key(config, ex->metadata.key) : (config_key_match_t){0};
    const key_input_t input = {
        .has_accounts = config->has_accounts,
        .allows_anonymous = ex->route->allows_anonymous,
        .form = ex->metadata.key_form,
        .key = ex->metadata.key,
        .is_known = match.account != NULL,
        .is_unusable = match.unusable,
        .keys_missing = config->keys_missing || catalog_is_behind(&ex->owner->router->catalog),
    };
    ex->key = key_check(&input);
    if (key_is_denied(ex->key) || key_is_deferred(ex->key)) {
        completion_refuse(ex,
                          key_is_deferred(ex->key) ? OUTCOME_CONFIGURATION_STALE : OUTCOME_DENIED);
        return false;
    }
    ex->account = match.account;
    if (match.account != NULL)
        ex->attempt.account = name_str(&match.account->name);
    return true;
}

/* Checks the limit of the client account. Returns false if the request was refused. */
static bool
admit_account_use(exchange_t *ex)
{
    uint32_t retry_after_ms = 0;
    if (ex->account == NULL)
        return true;
    ex->account_admitted =
        account_uses_admit(ex->owner->account_uses, ex->account, rng_unit(&ex->owner->router->rng),
                           exchange_now_ms(ex), &ex->account_use, &retry_after_ms);
    if (!ex->account_admitted)
        completion_refuse_over_limit(ex, retry_after_ms);
    return ex->account_admitted;
}

/* Finds the route. Returns false if the request was refused. */
static bool
find_route(exchange_t *ex)
{
    const router_t *router = ex->owner->router;
    if (!router_is_ready(router)) {
        completion_refuse(ex, OUTCOME_NO_CONFIGURATION);
        return false;
    }
    const wire_head_t *head = &ex->req->head;
    ex->config = config_ref(router->catalog.config);
    ex->route = config_route(ex->config, wire_head_find(head, STR("host")), wire_head_path(head));
    if (ex->route == NULL || ex->route->target_count == 0) {
        completion_refuse(ex, final_response_no_route(catalog_is_behind(&router->catalog)));
        return false;
    }
    return true;
}

/* Admits a request whose service is known, and sends it. */
static void
start(exchange_t *ex)
{
    wire_request_t *req = ex->req;
    router_t *router = ex->owner->router;
    const quarantine_t quarantine = decide_quarantine(ex);
    if (quarantine.verdict == QUARANTINE_HELD) {
        completion_refuse_quarantined(ex, quarantine.held_ms);
        return;
    }
    ex->is_trial = quarantine.verdict == QUARANTINE_TRIAL;
    load_probes_count_request(&ex->owner->load_probes, ex->service);
    ex->object = router_object(router, ex->route, ex->metadata.object);
    ex->deadline_at_ms = deadline_of(ex);
    req->on_disconnect = on_caller_disconnected;
    req->on_drain = on_caller_drained;
    req->ctx = ex;
    dispatch_next(ex);
}

void
exchange_start(exchanges_t *exchanges, wire_request_t *req)
{
    exchange_t *ex = new_exchange(exchanges, req);
    if (!find_route(ex) || !authenticate_account(ex) || !admit_account_use(ex))
        return;
    ex->service = router_service(exchanges->router, ex->route);
    router_count_request(exchanges->router, ex->service);
    start(ex);
}

/* ---- requests of peers ---- */

/* Sets the client account that the sender found and charged. False if it is not known here. */
static bool
set_account(exchange_t *ex, str_t name)
{
    if (name.len == 0)
        return true;
    ex->account = config_account(ex->config, config_account_id(name));
    if (ex->account == NULL || ex->account->unusable)
        return false;
    ex->attempt.account = name_str(&ex->account->name);
    ex->account_use = account_uses_hold(ex->owner->account_uses, ex->account, exchange_now_ms(ex));
    return true;
}

/* Returns the service that the sender picked; NULL if the route has no such target here. */
static service_t *
picked_service(const exchange_t *ex, str_t name)
{
    for (size_t i = 0; i < ex->route->target_count; i++) {
        if (name_eq(&ex->route->targets[i].service, name))
            return services_get(&ex->owner->router->services, name);
    }
    return NULL;
}

/* The retry budget has counted the request at the sender, and the account's limit has too. */
void
exchange_start_transit(exchanges_t *exchanges, wire_request_t *req)
{
    transit_terms_t terms;
    const bool valid = transit_terms_take(&req->head, &terms);
    const size_t own = exchanges->active - exchanges->transit->received;
    const transit_verdict_t verdict =
        valid ? transit_accept(exchanges->transit, &terms, own) : TRANSIT_INVALID;
    if (valid)
        req->caller = terms.caller;
    exchange_t *ex = new_exchange(exchanges, req);
    ex->from_peer = true;
    exchanges->transit->received++;
    if (verdict != TRANSIT_ACCEPTED) {
        ex->declined = true;
        completion_refuse(ex, OUTCOME_NO_BACKEND);
        return;
    }
    ex->sends = terms.sends;
    if (!find_route(ex))
        return;
    ex->service = picked_service(ex, terms.service);
    if (ex->service == NULL || !set_account(ex, terms.account)) {
        ex->declined = true;
        completion_refuse(ex, OUTCOME_CONFIGURATION_STALE);
        return;
    }
    start(ex);
}
