#include "base/xmalloc.h"
#include "gateway/path/dispatch.h"
#include "gateway/path/ending.h"
#include "gateway/path/fingerprint.h"
#include "gateway/path/time_limit.h"
#include "gateway/policy/deadline.h"

/* Software versions of a service that are looked at: two while a new one comes in, and some that
 * lag. Chosen. */
enum { VERSIONS_MAX = 4 };

static uint64_t
deadline_of(const exchange_t *ex)
{
    const deadline_input_t input = {
        .route_limit_ms = ex->route->timeout_ms,
        .has_caller_limit = ex->terms.has_deadline,
        .caller_limit_ms = ex->terms.deadline_ms,
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
    exchanges->dialect->read_request(&req->head, &ex->terms);
    ex->fingerprint = fingerprint(req);
    ex->attempt = (attempt_t){
        .loop = exchanges->router->loop,
        .dialect = exchanges->dialect,
        .req = req,
        .id = ex->terms.id,
        .fingerprint = ex->fingerprint.request,
        .on_said = dispatch_on_said,
        .cb = dispatch_on_attempt_end,
        .ctx = ex,
    };
    return ex;
}

static void
on_caller_gone(void *ctx)
{
    exchange_t *ex = ctx;
    dispatch_cancel(ex);
    ending_caller_left(ex);
}

static void
on_caller_drained(void *ctx)
{
    attempt_caller_drained(&((exchange_t *)ctx)->attempt);
}

/* What becomes of the request; sets the software version that it must go to, if there is one. */
static quarantine_t
decide_quarantine(exchange_t *ex)
{
    const exchanges_t *owner = ex->owner;
    const uint64_t now_ms = exchange_now_ms(ex);
    const quarantine_t any = suspects_decide(owner->suspects, &ex->fingerprint, now_ms);
    if (any.verdict == QUARANTINE_FREE)
        return any;
    uint64_t versions[VERSIONS_MAX];
    quarantine_t of_versions[VERSIONS_MAX];
    const size_t count = router_versions(owner->router, ex->service, versions, VERSIONS_MAX);
    for (size_t i = 0; i < count; i++)
        of_versions[i] =
            suspects_decide_version(owner->suspects, &ex->fingerprint, versions[i], now_ms);
    const size_t picked = quarantine_pick_version(&any, of_versions, count);
    if (picked == count)
        return any;
    ex->version = versions[picked];
    return of_versions[picked];
}

/* Whose request it is. False if it was refused. */
static bool
identify(exchange_t *ex)
{
    const config_t *config = ex->config;
    const bool may_have = config->has_accounts && ex->terms.key_form == KEY_ONE;
    const config_account_t *account =
        may_have ? config_account_of_key(config, ex->terms.key) : NULL;
    const key_input_t input = {
        .has_accounts = config->has_accounts,
        .open_to_all = ex->route->open_to_all,
        .form = ex->terms.key_form,
        .key = ex->terms.key,
        .is_known = account != NULL,
        .newer_known = catalog_is_behind(&ex->owner->router->catalog),
    };
    ex->key = key_check(&input);
    if (key_is_denied(ex->key) || ex->key == KEY_BEHIND) {
        ending_refuse(ex, ex->key == KEY_BEHIND ? OUTCOME_CONFIGURATION_BEHIND : OUTCOME_DENIED);
        return false;
    }
    ex->account = account;
    if (account != NULL)
        ex->attempt.account = name_str(&account->name);
    return true;
}

/* Within the limit of its account. False if it was refused. */
static bool
count_use(exchange_t *ex)
{
    uint32_t retry_after_ms = 0;
    if (ex->account == NULL)
        return true;
    ex->admitted =
        account_uses_admit(ex->owner->account_uses, ex->account, rng_unit(&ex->owner->router->rng),
                           exchange_now_ms(ex), &ex->use, &retry_after_ms);
    if (!ex->admitted)
        ending_over_limit(ex, retry_after_ms);
    return ex->admitted;
}

void
exchange_start(exchanges_t *exchanges, wire_request_t *req)
{
    router_t *router = exchanges->router;
    exchange_t *ex = new_exchange(exchanges, req);
    if (!router_is_ready(router)) {
        ending_refuse(ex, OUTCOME_NO_CONFIGURATION);
        return;
    }
    ex->config = config_ref(router->catalog.config);
    ex->route = config_route(ex->config, wire_head_find(&req->head, STR("host")),
                             wire_head_path(&req->head));
    if (ex->route == NULL || ex->route->target_count == 0) {
        ending_refuse(ex, final_answer_no_route(catalog_is_behind(&router->catalog)));
        return;
    }
    if (!identify(ex) || !count_use(ex))
        return;
    ex->service = router_service(router, ex->route);
    const quarantine_t quarantine = decide_quarantine(ex);
    if (quarantine.verdict == QUARANTINE_HELD) {
        ending_hold(ex, quarantine.held_ms);
        return;
    }
    ex->is_trial = quarantine.verdict == QUARANTINE_TRIAL;
    router_count_request(router, ex->service);
    ex->object = router_object(router, ex->route, ex->terms.object);
    ex->end_ms = deadline_of(ex);
    if (ex->terms.has_deadline)
        ex->lost_ms = router_count_caller(router, ex->route, ex->terms.deadline_ms);
    req->on_disconnect = on_caller_gone;
    req->on_drain = on_caller_drained;
    req->ctx = ex;
    dispatch_next(ex);
}
