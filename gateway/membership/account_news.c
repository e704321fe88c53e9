#include "gateway/membership/account_parts.h"

#include "base/loop_time.h"

enum {
    WORK_MS = 50,     /* ledgers are looked after: as often as exchanges go out */
    REVIEW_MS = 1000, /* and silent instances looked for */
};

uint64_t
account_news_now(const account_news_t *news)
{
    return loop_now(news->conf.loop);
}

const config_account_t *
account_news_account(const account_news_t *news, uint64_t id)
{
    const config_t *config = news->conf.catalog->config;
    const config_account_t *account = config != NULL ? config_account(config, id) : NULL;
    return account != NULL && account->rate_per_s > 0 ? account : NULL;
}

member_t *
account_news_member(const account_news_t *news, uint64_t incarnation)
{
    for (size_t i = 0; i < news->conf.members->count; i++) {
        member_t *member = &news->conf.members->items[i];
        if (member->heard && member->incarnation == incarnation)
            return member;
    }
    return NULL;
}

/* ---- regular work ---- */

static source_state_t
state_of(void *ctx, uint64_t source)
{
    const account_news_t *news = ctx;
    const member_t *member = account_news_member(news, source);
    if (member == NULL || member->refuses)
        return SOURCE_ENDED;
    return member_alive(member, account_news_now(news)) ? SOURCE_ALIVE : SOURCE_UNREACHABLE;
}

static void
on_work_timer(uv_timer_t *timer)
{
    account_news_t *news = timer->data;
    for (size_t i = 0; i < news->ledgers.count; i++) {
        if (news->ledgers.items[i]->limited)
            account_grant_decide(news, news->ledgers.items[i]);
    }
    account_exchange_send(news);
    if (news->ledgers.count == 0)
        uv_timer_stop(&news->work);
}

/* True if more than half of the known instances of the region are heard. */
static bool
is_majority(const account_news_t *news)
{
    size_t known = 0;
    size_t living = 0;
    for (size_t i = 0; i < news->conf.members->count; i++) {
        const member_t *member = &news->conf.members->items[i];
        if (!member->heard || member->region != news->conf.region)
            continue;
        known++;
        living += member_alive(member, account_news_now(news));
    }
    return 2 * living > known;
}

/* Another instance owns the account, and all have gone to it: what they spend is counted there. */
static bool
is_given_up(const account_news_t *news, const ledger_t *ledger)
{
    const member_t *owner = account_exchange_owner(news, ledger->id);
    return owner != NULL && !addr_eq(&owner->peer, &news->conf.own) &&
           ledger_has_no_reporters(ledger, account_news_now(news));
}

static void
review(account_news_t *news, ledger_t *ledger, const ledger_view_t *view)
{
    const uint64_t now_ms = account_news_now(news);
    const config_account_t *account = account_news_account(news, ledger->id);
    if (account != NULL)
        ledger_set_limit(ledger, account, now_ms);
    ledger_expire_leases(ledger, view, now_ms);
    account_grant_decide(news, ledger);
    if (ledger->limited)
        account_grant_tell_rest(news, ledger);
}

void
account_news_own(account_news_t *news)
{
    if (news->ledgers.count > 0 && !uv_is_active((uv_handle_t *)&news->work))
        uv_timer_start(&news->work, on_work_timer, WORK_MS, WORK_MS);
}

void
account_news_on_refused(account_news_t *news, member_t *member)
{
    if (member->refuses)
        return;
    member->refuses = true;
    account_report_avoid(news, member->incarnation);
    news->reviewed_ms = 0; /* with the next tick */
    for (size_t i = 0; i < news->conf.uses->count; i++)
        news->conf.uses->items[i]->report_due |=
            news->conf.uses->items[i]->owner == member->incarnation;
    account_report_soon(news);
}

void
account_news_tick(account_news_t *news)
{
    const uint64_t now_ms = account_news_now(news);
    if (now_ms - news->reviewed_ms < REVIEW_MS)
        return;
    news->reviewed_ms = now_ms;
    const ledger_view_t view = {state_of, news, is_majority(news)};
    for (size_t i = news->ledgers.count; i > 0; i--) {
        ledger_t *ledger = news->ledgers.items[i - 1];
        if (is_given_up(news, ledger)) {
            account_exchange_leave(news, ledger);
            ledgers_remove(&news->ledgers, ledger);
        } else {
            review(news, ledger, &view);
        }
    }
    ledgers_expire(&news->ledgers, now_ms);
    account_uses_expire(news->conf.uses, now_ms);
}

void
account_news_init(account_news_t *news, const account_news_conf_t *conf)
{
    *news = (account_news_t){.conf = *conf};
    news->ledgers.started_ms = account_news_now(news);
    news->ledgers.source = conf->incarnation;
    uv_timer_init(conf->loop, &news->reports);
    uv_timer_init(conf->loop, &news->work);
    news->reports.data = news;
    news->work.data = news;
    conf->uses->on_due = account_report_soon;
    conf->uses->ctx = news;
}
