#include "gateway/membership/account_sync_internal.h"

#include "base/loop_time.h"

enum {
    LEDGER_INTERVAL_MS = 50, /* equals the interval of exchanges */
    REVIEW_INTERVAL_MS = 1000,
};

uint64_t
account_sync_now(const account_sync_t *sync)
{
    return loop_now(sync->conf.loop);
}

const config_account_t *
account_sync_find_account(const account_sync_t *sync, uint64_t id)
{
    const config_t *config = sync->conf.catalog->config;
    const config_account_t *account = config != NULL ? config_account(config, id) : NULL;
    return account != NULL && account->rate_per_s > 0 ? account : NULL;
}

member_t *
account_sync_find_member(const account_sync_t *sync, uint64_t incarnation)
{
    for (size_t i = 0; i < sync->conf.members->count; i++) {
        member_t *member = &sync->conf.members->items[i];
        if (member->heard && member->incarnation == incarnation)
            return member;
    }
    return NULL;
}

/* ---- periodic work ---- */

static source_state_t
source_state(void *ctx, uint64_t source)
{
    const account_sync_t *sync = ctx;
    const member_t *member = account_sync_find_member(sync, source);
    if (member == NULL || member->refuses_connections)
        return SOURCE_ENDED;
    return member_alive(member, account_sync_now(sync)) ? SOURCE_ALIVE : SOURCE_UNREACHABLE;
}

static void
on_ledger_timer(uv_timer_t *timer)
{
    account_sync_t *sync = timer->data;
    for (size_t i = 0; i < sync->ledgers.count; i++) {
        if (sync->ledgers.items[i]->limited)
            account_grant_update_limited(sync, sync->ledgers.items[i]);
    }
    account_exchange_send(sync);
    if (sync->ledgers.count == 0)
        uv_timer_stop(&sync->ledger_timer);
}

/* True if more than half of the mesh's known instances are alive. */
static bool
is_majority(const account_sync_t *sync)
{
    const members_t *members = sync->conf.members;
    size_t known = 0;
    size_t alive = 0;
    for (size_t i = 0; i < members->count; i++) {
        const member_t *member = &members->items[i];
        if (!member->heard ||
            members_mesh(members, member) != members_own_mesh(members, sync->conf.region))
            continue;
        known++;
        alive += member_alive(member, account_sync_now(sync));
    }
    return 2 * alive > known;
}

/* True if another instance owns the account and all users report to it. */
static bool
is_handed_over(const account_sync_t *sync, const ledger_t *ledger)
{
    const member_t *owner = account_exchange_find_owner(sync, ledger->id);
    return owner != NULL && !addr_eq(&owner->peer, &sync->conf.own) &&
           ledger_has_no_reporters(ledger, account_sync_now(sync));
}

static void
review_ledger(account_sync_t *sync, ledger_t *ledger, const ledger_view_t *view)
{
    const uint64_t now_ms = account_sync_now(sync);
    const config_account_t *account = account_sync_find_account(sync, ledger->id);
    if (account != NULL)
        ledger_set_limit(ledger, account, now_ms);
    ledger_expire_leases(ledger, view, now_ms);
    account_grant_update_limited(sync, ledger);
    if (ledger->limited)
        account_grant_send_to_nonusers(sync, ledger);
}

void
account_sync_start_ledger_timer(account_sync_t *sync)
{
    if (sync->ledgers.count > 0 && !uv_is_active((uv_handle_t *)&sync->ledger_timer))
        uv_timer_start(&sync->ledger_timer, on_ledger_timer, LEDGER_INTERVAL_MS,
                       LEDGER_INTERVAL_MS);
}

void
account_sync_on_connection_refused(account_sync_t *sync, member_t *member)
{
    if (member->refuses_connections)
        return;
    member->refuses_connections = true;
    account_report_avoid_owner(sync, member->incarnation);
    sync->reviewed_ms = 0; /* review on the next tick */
    for (size_t i = 0; i < sync->conf.uses->count; i++)
        sync->conf.uses->items[i]->report_due |=
            sync->conf.uses->items[i]->owner == member->incarnation;
    account_report_schedule(sync);
}

void
account_sync_tick(account_sync_t *sync)
{
    const uint64_t now_ms = account_sync_now(sync);
    if (now_ms - sync->reviewed_ms < REVIEW_INTERVAL_MS)
        return;
    sync->reviewed_ms = now_ms;
    const ledger_view_t view = {source_state, sync, is_majority(sync)};
    for (size_t i = sync->ledgers.count; i > 0; i--) {
        ledger_t *ledger = sync->ledgers.items[i - 1];
        if (is_handed_over(sync, ledger)) {
            account_exchange_send_release(sync, ledger);
            ledgers_remove(&sync->ledgers, ledger);
        } else {
            review_ledger(sync, ledger, &view);
        }
    }
    ledgers_expire(&sync->ledgers, now_ms);
    account_uses_expire(sync->conf.uses, now_ms);
}

void
account_sync_init(account_sync_t *sync, const account_sync_conf_t *conf)
{
    *sync = (account_sync_t){.conf = *conf};
    sync->ledgers.started_ms = account_sync_now(sync);
    sync->ledgers.source = conf->incarnation;
    uv_timer_init(conf->loop, &sync->report_timer);
    uv_timer_init(conf->loop, &sync->ledger_timer);
    sync->report_timer.data = sync;
    sync->ledger_timer.data = sync;
    conf->uses->on_due = account_report_schedule;
    conf->uses->ctx = sync;
}
