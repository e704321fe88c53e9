#include "gateway/membership/account_parts.h"

#include <stdlib.h>

#define LOG_MODULE "accounts"
#include "base/log.h"
#include "base/xmalloc.h"

static void
fill_grant(account_news_t *news, ledger_t *ledger, uint64_t source, Iris__AccountGrant *out)
{
    const ledger_grant_t grant = ledger_grant(ledger, source, account_news_now(news));
    iris__account_grant__init(out);
    out->account = ledger->id;
    out->in_place_of = ledger_predecessor(ledger);
    out->limited = grant.limited;
    out->share_per_s = (float)grant.share_per_s;
    out->region_per_s = (float)grant.region_per_s;
    out->room = (float)grant.tokens;
}

static void
send_grant(account_news_t *news, const member_t *member, ledger_t *ledger)
{
    Iris__AccountGrant grant;
    Iris__AccountGrant *list[] = {&grant};
    Iris__AccountGrants message = IRIS__ACCOUNT_GRANTS__INIT;
    Iris__Envelope envelope = IRIS__ENVELOPE__INIT;
    fill_grant(news, ledger, member->incarnation, &grant);
    if (addr_eq(&member->peer, &news->conf.own)) {
        account_report_apply(news, news->conf.incarnation, &grant);
        return;
    }
    envelope.schema = PEER_SCHEMA;
    envelope.body_case = IRIS__ENVELOPE__BODY_ACCOUNT_GRANTS;
    envelope.account_grants = &message;
    message.owner = news->conf.incarnation;
    message.n_grants = 1;
    message.grants = list;
    peer_send(news->conf.hub, &member->peer, &envelope);
}

static bool
takes_grants(const account_news_t *news, const member_t *member)
{
    return member->region == news->conf.region && member->reads_accounts &&
           member_alive(member, account_news_now(news));
}

static void
log_limited(const account_news_t *news, const ledger_t *ledger)
{
    const config_account_t *account = account_news_account(news, ledger->id);
    LOG_INFO("account %s: account=%s rate_per_s=%.1f room=%.1f instances=%zu",
             ledger->limited ? "at its limit" : "below its limit",
             account != NULL ? account->name.ptr : "-", ledger->bucket.rate, ledger->bucket.tokens,
             ledger->reporter_count);
}

/* All instances of the region are held from now on, or let go, or have another owner: also those
 * where no caller of the account has come yet, since the first request at each would be one too
 * many. */
static void
tell_region(account_news_t *news, ledger_t *ledger)
{
    for (size_t i = 0; i < news->conf.members->count; i++) {
        if (takes_grants(news, &news->conf.members->items[i]))
            send_grant(news, &news->conf.members->items[i], ledger);
    }
}

/* Whoever has started since, or was not reached. */
void
account_grant_tell_rest(account_news_t *news, ledger_t *ledger)
{
    for (size_t i = 0; i < news->conf.members->count; i++) {
        const member_t *member = &news->conf.members->items[i];
        if (takes_grants(news, member) && !ledger_has_reporter(ledger, member->incarnation))
            send_grant(news, member, ledger);
    }
}

/* True if that has changed, and was told. */
bool
account_grant_decide(account_news_t *news, ledger_t *ledger)
{
    const bool changed = ledger_update_limited(ledger, account_news_now(news));
    if (changed) {
        log_limited(news, ledger);
        tell_region(news, ledger);
    }
    return changed;
}

/* Counts one line of a report and fills its answer. */
void
account_grant_take(account_news_t *news, uint64_t source, const Iris__AccountUse *use,
                   Iris__AccountGrant *answer)
{
    const uint64_t now_ms = account_news_now(news);
    const config_account_t *account = account_news_account(news, use->account);
    iris__account_grant__init(answer);
    answer->account = use->account;
    answer->unknown = true;
    if (use->leaves) {
        ledger_t *ledger = ledgers_find(&news->ledgers, use->account);
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
        };
        ledger_t *ledger = ledgers_get(&news->ledgers, account, now_ms);
        ledger_set_limit(ledger, account, now_ms);
        const uint64_t before = ledger_predecessor(ledger);
        ledger_report(ledger, source, &report, now_ms);
        if (!account_grant_decide(news, ledger) && ledger_predecessor(ledger) != before)
            tell_region(news, ledger);
        fill_grant(news, ledger, source, answer);
    }
    answer->told_used = use->used;
    answer->has_told = true;
}

void
account_news_on_report(account_news_t *news, peer_conn_t *conn, const Iris__AccountReport *message)
{
    Iris__AccountGrant *grants = xcalloc(message->n_uses + 1, sizeof(*grants));
    Iris__AccountGrant **list = xcalloc(message->n_uses + 1, sizeof(*list));
    for (size_t i = 0; i < message->n_uses; i++) {
        account_grant_take(news, message->source, message->uses[i], &grants[i]);
        list[i] = &grants[i];
    }
    Iris__AccountGrants answer = IRIS__ACCOUNT_GRANTS__INIT;
    Iris__Envelope envelope = IRIS__ENVELOPE__INIT;
    envelope.schema = PEER_SCHEMA;
    envelope.body_case = IRIS__ENVELOPE__BODY_ACCOUNT_GRANTS;
    envelope.account_grants = &answer;
    answer.owner = news->conf.incarnation;
    answer.n_grants = message->n_uses;
    answer.grants = list;
    peer_reply(conn, &envelope);
    free(list);
    free(grants);
    account_news_own(news);
}
