#include "gateway/membership/account_parts.h"

#include <stdlib.h>

#define LOG_MODULE "accounts"
#include "base/log.h"
#include "base/xmalloc.h"

enum {
    /* From the first request that was not reported until its report: a part of the reaction time of
     * policy/account_share.c. */
    REPORT_MS = 50,
    /* A report without an answer for so long goes to the next owner, and this one is left alone for
     * AVOID_MS, until it counts as lost if it is silent. Below OUT_OF_TOUCH_MS of account_uses.c.
     */
    ANSWER_MS = 250,
    AVOID_MS = 2500,
    /* An instance that has just started does not know who owns what: it reports once the others
     * have answered its first heartbeat. Chosen; what is let through meanwhile is reported then. */
    SETTLE_MS = 400,
    PACKED_MAX = 256, /* accounts in one message: 8 kB */
};

/* An owner that gave no answer, here or to a peer, is left alone for a time. True if it was not
 * before. */
bool
account_report_avoid(account_news_t *news, uint64_t owner)
{
    const uint64_t now_ms = account_news_now(news);
    member_t *member = account_news_member(news, owner);
    if (member == NULL || addr_eq(&member->peer, &news->conf.own))
        return false;
    const bool is_news = now_ms >= member->accounts_avoided_until_ms;
    member->accounts_avoided_until_ms = now_ms + AVOID_MS;
    return is_news;
}

/* The entry that a grant is for. An account at its limit has one made, so that the instance is held
 * from the account's first request on. */
static account_use_t *
use_of(account_news_t *news, const Iris__AccountGrant *grant)
{
    account_use_t *use = account_uses_find(news->conf.uses, grant->account);
    const config_account_t *account = account_news_account(news, grant->account);
    if (use != NULL || !grant->limited || account == NULL)
        return use;
    return account_uses_get(news->conf.uses, account, account_news_now(news));
}

void
account_report_apply(account_news_t *news, uint64_t owner, const Iris__AccountGrant *grant)
{
    account_use_t *use = use_of(news, grant);
    if (use == NULL)
        return;
    if (grant->in_place_of != 0 && use->owner == grant->in_place_of) {
        account_report_avoid(news, use->owner);
        use->report_due = true;
        account_report_soon(news);
    }
    if (use->owner == 0)
        use->owner = owner;
    if (use->owner != owner)
        return;
    if (grant->has_told) {
        use->acked_used = grant->told_used;
        use->unanswered_since_ms = 0;
        use->owner_unanswered_since_ms = 0;
    }
    if (grant->unknown) {
        use->gate = (account_gate_t){0};
        return;
    }
    account_gate_tell(&use->gate, grant->limited, grant->share_per_s, account_news_now(news));
    use->grant_owner = owner;
    use->tokens = grant->room;
    use->region_per_s = grant->region_per_s;
    if (grant->limited)
        account_report_soon(news);
}

void
account_news_on_grants(account_news_t *news, const Iris__AccountGrants *message)
{
    for (size_t i = 0; i < message->n_grants; i++)
        account_report_apply(news, message->owner, message->grants[i]);
}

/* ---- what this instance reports ---- */

typedef struct {
    const member_t *owner;
    account_use_t *use;
} due_t;

static int
by_owner(const void *left, const void *right)
{
    const uintptr_t a = (uintptr_t)((const due_t *)left)->owner;
    const uintptr_t b = (uintptr_t)((const due_t *)right)->owner;
    return (a > b) - (a < b);
}

/* True if the instance gave no answer, though its process may live. */
static bool
is_silent(const account_news_t *news, uint64_t incarnation)
{
    const member_t *member = account_news_member(news, incarnation);
    return member != NULL && !member->refuses && !member->leaving &&
           (account_news_now(news) < member->accounts_avoided_until_ms ||
            !member_alive(member, account_news_now(news)));
}

static void
fill_use(const account_news_t *news, const account_use_t *use, Iris__AccountUse *out)
{
    iris__account_use__init(out);
    out->account = use->id;
    out->used = use->used;
    out->asked = use->requested;
    out->told_used = use->acked_used;
    out->owner = use->grant_owner;
    out->owner_silent = is_silent(news, use->grant_owner);
    out->room = (float)use->tokens;
    out->share_per_s = (float)use->gate.share_per_s;
    out->region_per_s = (float)use->region_per_s;
}

static void
send_uses(account_news_t *news, const member_t *owner, Iris__AccountUse **list, size_t count)
{
    Iris__AccountReport message = IRIS__ACCOUNT_REPORT__INIT;
    Iris__Envelope envelope = IRIS__ENVELOPE__INIT;
    envelope.schema = PEER_SCHEMA;
    envelope.body_case = IRIS__ENVELOPE__BODY_ACCOUNT_REPORT;
    envelope.account_report = &message;
    message.source = news->conf.incarnation;
    message.n_uses = count;
    message.uses = list;
    peer_send(news->conf.hub, &owner->peer, &envelope);
}

/* Reports to itself. */
static void
take_own(account_news_t *news, const due_t *due, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        Iris__AccountUse use;
        Iris__AccountGrant answer;
        fill_use(news, due[i].use, &use);
        account_grant_take(news, news->conf.incarnation, &use, &answer);
        account_report_apply(news, news->conf.incarnation, &answer);
    }
    account_news_own(news);
}

static void
send_report(account_news_t *news, const due_t *due, size_t count)
{
    Iris__AccountUse uses[PACKED_MAX];
    Iris__AccountUse *list[PACKED_MAX];
    for (size_t i = 0; i < count; i++) {
        fill_use(news, due[i].use, &uses[i]);
        list[i] = &uses[i];
    }
    send_uses(news, due[0].owner, list, count);
}

static void
report_to_owner(account_news_t *news, const due_t *due, size_t count)
{
    if (addr_eq(&due[0].owner->peer, &news->conf.own))
        take_own(news, due, count);
    else
        send_report(news, due, count);
}

static bool
is_unanswered(const account_use_t *use, uint64_t now_ms)
{
    return use->owner_unanswered_since_ms != 0 &&
           now_ms - use->owner_unanswered_since_ms > ANSWER_MS;
}

/* The owner that was reported to is not to take what this instance spends from now on for unseen.
 */
static void
leave_owner(account_news_t *news, const account_use_t *use)
{
    Iris__AccountUse message;
    Iris__AccountUse *list[] = {&message};
    const member_t *owner = account_news_member(news, use->owner);
    if (owner == NULL || owner->refuses || addr_eq(&owner->peer, &news->conf.own))
        return;
    fill_use(news, use, &message);
    message.leaves = true;
    send_uses(news, owner, list, 1);
}

/* Picks the owner of a use that is to be reported; false if there is none. */
static bool
prepare(account_news_t *news, account_use_t *use, due_t *out, uint64_t now_ms)
{
    if (is_unanswered(use, now_ms)) {
        if (account_report_avoid(news, use->owner))
            LOG_INFO("owner of an account gives no answer: account=%s after_ms=%llu", use->name.ptr,
                     (unsigned long long)(now_ms - use->owner_unanswered_since_ms));
    } else if (!account_use_report_is_due(use, now_ms))
        return false;
    member_t *owner = account_exchange_owner(news, use->id);
    use->report_due = false;
    use->last_report_ms = now_ms;
    if (use->unanswered_since_ms == 0)
        use->unanswered_since_ms = now_ms;
    if (owner == NULL)
        return false;
    if (use->owner_unanswered_since_ms == 0 || use->owner != owner->incarnation)
        use->owner_unanswered_since_ms = now_ms;
    if (use->owner != owner->incarnation)
        leave_owner(news, use);
    use->owner = owner->incarnation;
    *out = (due_t){owner, use};
    return true;
}

static void
report_all(account_news_t *news)
{
    const account_uses_t *uses = news->conf.uses;
    const uint64_t now_ms = account_news_now(news);
    due_t *due = xcalloc(uses->count + 1, sizeof(*due));
    size_t count = 0;
    for (size_t i = 0; i < uses->count; i++)
        count += prepare(news, uses->items[i], &due[count], now_ms);
    qsort(due, count, sizeof(*due), by_owner);
    for (size_t from = 0, to = 0; from < count; from = to) {
        while (to < count && due[to].owner == due[from].owner && to - from < PACKED_MAX)
            to++;
        report_to_owner(news, &due[from], to - from);
    }
    free(due);
}

static bool
has_more(const account_uses_t *uses)
{
    for (size_t i = 0; i < uses->count; i++) {
        const account_use_t *use = uses->items[i];
        if (use->report_due || use->unanswered_since_ms != 0 || use->gate.limited)
            return true;
    }
    return false;
}

static void on_timer(uv_timer_t *timer);

void
account_report_soon(void *ctx)
{
    account_news_t *news = ctx;
    if (!uv_is_active((uv_handle_t *)&news->reports))
        uv_timer_start(&news->reports, on_timer, REPORT_MS, 0);
}

static void
on_timer(uv_timer_t *timer)
{
    account_news_t *news = timer->data;
    if (account_news_now(news) - news->ledgers.started_ms >= SETTLE_MS)
        report_all(news);
    if (has_more(news->conf.uses))
        uv_timer_start(&news->reports, on_timer, REPORT_MS, 0);
}
