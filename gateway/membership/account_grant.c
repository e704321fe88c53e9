#include "gateway/membership/account_sync_internal.h"

#include <stdlib.h>

#define LOG_MODULE "accounts"
#include "base/log.h"
#include "base/xmalloc.h"
#include "gateway/state/account_lease.h"

static void
fill_grant(account_sync_t *sync, ledger_t *ledger, uint64_t source, Iris__AccountGrant *out)
{
    const ledger_grant_t grant = ledger_grant(ledger, source, account_sync_now(sync));
    iris__account_grant__init(out);
    out->account = ledger->id;
    out->in_place_of = ledger_predecessor(ledger);
    out->limited = grant.limited;
    out->share_per_s = (float)grant.share_per_s;
    out->region_per_s = (float)grant.region_per_s;
    out->room = (float)grant.tokens;
    out->asked_per_s = (float)grant.demand_per_s;
}

static void
send_grant(account_sync_t *sync, const member_t *member, ledger_t *ledger)
{
    Iris__AccountGrant grant;
    Iris__AccountGrant *list[] = {&grant};
    Iris__AccountGrants message = IRIS__ACCOUNT_GRANTS__INIT;
    Iris__Envelope envelope = IRIS__ENVELOPE__INIT;
    fill_grant(sync, ledger, member->incarnation, &grant);
    if (addr_eq(&member->peer, &sync->conf.own)) {
        account_report_apply_grant(sync, sync->conf.incarnation, &grant);
        return;
    }
    envelope.schema = PEER_SCHEMA;
    envelope.body_case = IRIS__ENVELOPE__BODY_ACCOUNT_GRANTS;
    envelope.account_grants = &message;
    message.owner = sync->conf.incarnation;
    message.n_grants = 1;
    message.grants = list;
    peer_send(sync->conf.hub, &member->peer, &envelope);
}

static bool
accepts_grants(const account_sync_t *sync, const member_t *member)
{
    const members_t *members = sync->conf.members;
    return members_mesh(members, member) == members_own_mesh(members, sync->conf.region) &&
           member->supports_accounts && member_alive(member, account_sync_now(sync));
}

static void
log_limited(const account_sync_t *sync, const ledger_t *ledger)
{
    const config_account_t *account = account_sync_find_account(sync, ledger->id);
    const ledger_inherited_t *inherited = &ledger->inherited;
    const uint64_t now_ms = account_sync_now(sync);
    LOG_INFO("account %s: account=%s rate_per_s=%.1f room=%.1f instances=%zu demand_per_s=%.1f "
             "silent_per_s=%.1f age_ms=%llu peers=%zu predecessor=%016llx predecessor_room=%.1f "
             "region_per_s=%.1f reporting_per_s=%.1f",
             ledger->limited ? "at its limit" : "below its limit",
             account != NULL ? account->name.ptr : "-", ledger->bucket.rate, ledger->bucket.tokens,
             ledger->reporter_count, ledger_total_demand_per_s(ledger, now_ms),
             account_lease_silent_per_s(ledger, now_ms),
             (unsigned long long)(now_ms - ledger->created_ms), ledger->peer_count,
             (unsigned long long)inherited->owner, inherited->tokens, inherited->region_per_s,
             inherited->reporting_per_s);
}

/* Also reaches instances that have not seen the account yet; otherwise each of them could admit one
 * request too many. */
static void
send_grants_to_mesh(account_sync_t *sync, ledger_t *ledger)
{
    for (size_t i = 0; i < sync->conf.members->count; i++) {
        if (accepts_grants(sync, &sync->conf.members->items[i]))
            send_grant(sync, &sync->conf.members->items[i], ledger);
    }
}

void
account_grant_send_to_nonusers(account_sync_t *sync, ledger_t *ledger)
{
    for (size_t i = 0; i < sync->conf.members->count; i++) {
        const member_t *member = &sync->conf.members->items[i];
        if (accepts_grants(sync, member) && !ledger_has_reporter(ledger, member->incarnation))
            send_grant(sync, member, ledger);
    }
}

bool
account_grant_update_limited(account_sync_t *sync, ledger_t *ledger)
{
    const bool changed = ledger_update_limited(ledger, account_sync_now(sync));
    if (changed) {
        log_limited(sync, ledger);
        send_grants_to_mesh(sync, ledger);
    }
    return changed;
}

void
account_grant_record_use(account_sync_t *sync, uint64_t source, const Iris__AccountUse *use,
                         Iris__AccountGrant *answer)
{
    const uint64_t now_ms = account_sync_now(sync);
    const config_account_t *account = account_sync_find_account(sync, use->account);
    iris__account_grant__init(answer);
    answer->account = use->account;
    answer->unknown = true;
    if (use->leaves) {
        ledger_t *ledger = ledgers_find(&sync->ledgers, use->account);
        if (ledger != NULL)
            ledger_remove_reporter(ledger, source);
    } else if (account != NULL) {
        const ledger_report_t report = {
            .used = use->used,
            .requested = use->asked,
            .acked_used = use->told_used,
            .has_grant = use->owner != 0,
            .owner = use->owner,
            .owner_unreachable = use->owner_silent,
            .tokens = use->room,
            .share_per_s = use->share_per_s,
            .region_per_s = use->region_per_s,
            .demand_per_s = use->asked_per_s,
            .limited = use->limited,
        };
        ledger_t *ledger = ledgers_get(&sync->ledgers, account, now_ms);
        ledger_set_limit(ledger, account, now_ms);
        const uint64_t before = ledger_predecessor(ledger);
        ledger_report(ledger, source, &report, now_ms);
        if (!account_grant_update_limited(sync, ledger) && ledger_predecessor(ledger) != before)
            send_grants_to_mesh(sync, ledger);
        fill_grant(sync, ledger, source, answer);
    }
    answer->told_used = use->used;
    answer->has_told = true;
}

void
account_sync_on_report(account_sync_t *sync, peer_conn_t *conn, const Iris__AccountReport *message)
{
    Iris__AccountGrant *grants = xcalloc(message->n_uses + 1, sizeof(*grants));
    Iris__AccountGrant **list = xcalloc(message->n_uses + 1, sizeof(*list));
    for (size_t i = 0; i < message->n_uses; i++) {
        account_grant_record_use(sync, message->source, message->uses[i], &grants[i]);
        list[i] = &grants[i];
    }
    Iris__AccountGrants answer = IRIS__ACCOUNT_GRANTS__INIT;
    Iris__Envelope envelope = IRIS__ENVELOPE__INIT;
    envelope.schema = PEER_SCHEMA;
    envelope.body_case = IRIS__ENVELOPE__BODY_ACCOUNT_GRANTS;
    envelope.account_grants = &answer;
    answer.owner = sync->conf.incarnation;
    answer.n_grants = message->n_uses;
    answer.grants = list;
    peer_reply(conn, &envelope);
    free(list);
    free(grants);
    account_sync_start_ledger_timer(sync);
}
