#include "gateway/membership/account_sync_internal.h"

#include <stdlib.h>

#define LOG_MODULE "accounts"
#include "base/log.h"
#include "base/xmalloc.h"

enum {
    /* Delay from the first unreported request to its report; part of the reaction time in
     * policy/account_share.c. */
    REPORT_INTERVAL_MS = 50,
    /* A report unanswered for this long goes to the next owner, and this one is avoided for
     * AVOID_MS, by which time a silent instance counts as lost. Less than OUT_OF_TOUCH_MS of
     * account_uses.c. */
    ANSWER_TIMEOUT_MS = 250,
    AVOID_MS = 2500,
    /* An instance that has just started reports only after peers have answered its first heartbeat,
     * because it does not know the owners before. */
    START_DELAY_MS = 400,
    USES_PER_MESSAGE_MAX = 256, /* 8 kB */
};

bool
account_report_avoid_owner(account_sync_t *sync, uint64_t owner)
{
    const uint64_t now_ms = account_sync_now(sync);
    member_t *member = account_sync_find_member(sync, owner);
    if (member == NULL || addr_eq(&member->peer, &sync->conf.own))
        return false;
    const bool newly_avoided = now_ms >= member->accounts_avoided_until_ms;
    member->accounts_avoided_until_ms = now_ms + AVOID_MS;
    return newly_avoided;
}

/* Finds the entry for a grant. Creates one if the account is limited, so that the limit applies
 * from the first request. */
static account_use_t *
find_or_add_use(account_sync_t *sync, const Iris__AccountGrant *grant)
{
    account_use_t *use = account_uses_find(sync->conf.uses, grant->account);
    const config_account_t *account = account_sync_find_account(sync, grant->account);
    if (use != NULL || !grant->limited || account == NULL)
        return use;
    return account_uses_get(sync->conf.uses, account, account_sync_now(sync));
}

void
account_report_apply_grant(account_sync_t *sync, uint64_t owner, const Iris__AccountGrant *grant)
{
    account_use_t *use = find_or_add_use(sync, grant);
    if (use == NULL)
        return;
    if (grant->in_place_of != 0 && use->owner == grant->in_place_of) {
        account_report_avoid_owner(sync, use->owner);
        use->report_due = true;
        account_report_schedule(sync);
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
        use->limiter = (account_limiter_t){0};
        return;
    }
    account_limiter_set_share(&use->limiter, grant->limited, grant->share_per_s,
                              account_sync_now(sync));
    use->grant_owner = owner;
    use->tokens = grant->room;
    use->region_per_s = grant->region_per_s;
    /* An owner that does not know the demand yet learns it from here. */
    if (grant->asked_per_s > 0)
        use->demand_per_s = grant->asked_per_s;
    if (account_use_needs_keepalive(use))
        account_report_schedule(sync);
}

void
account_sync_on_grants(account_sync_t *sync, const Iris__AccountGrants *message)
{
    for (size_t i = 0; i < message->n_grants; i++)
        account_report_apply_grant(sync, message->owner, message->grants[i]);
}

/* ---- reports ---- */

typedef struct {
    const member_t *owner;
    account_use_t *use;
} due_report_t;

static int
compare_owners(const void *left, const void *right)
{
    const uintptr_t a = (uintptr_t)((const due_report_t *)left)->owner;
    const uintptr_t b = (uintptr_t)((const due_report_t *)right)->owner;
    return (a > b) - (a < b);
}

/* True if the instance does not answer but its process may still run. */
static bool
is_silent(const account_sync_t *sync, uint64_t incarnation)
{
    const member_t *member = account_sync_find_member(sync, incarnation);
    return member != NULL && !member->refuses_connections && !member->leaving &&
           (account_sync_now(sync) < member->accounts_avoided_until_ms ||
            !member_alive(member, account_sync_now(sync)));
}

static void
fill_use(const account_sync_t *sync, const account_use_t *use, Iris__AccountUse *out)
{
    iris__account_use__init(out);
    out->account = use->id;
    out->used = use->used;
    out->asked = use->requested;
    out->told_used = use->acked_used;
    out->owner = use->grant_owner;
    out->owner_silent = is_silent(sync, use->grant_owner);
    out->room = (float)use->tokens;
    out->share_per_s = (float)use->limiter.share_per_s;
    out->region_per_s = (float)use->region_per_s;
    out->asked_per_s = (float)use->demand_per_s;
    out->limited = use->limiter.limited;
}

static void
send_uses(account_sync_t *sync, const member_t *owner, Iris__AccountUse **list, size_t count)
{
    Iris__AccountReport message = IRIS__ACCOUNT_REPORT__INIT;
    Iris__Envelope envelope = IRIS__ENVELOPE__INIT;
    envelope.schema = PEER_SCHEMA;
    envelope.body_case = IRIS__ENVELOPE__BODY_ACCOUNT_REPORT;
    envelope.account_report = &message;
    message.source = sync->conf.incarnation;
    message.n_uses = count;
    message.uses = list;
    peer_send(sync->conf.hub, &owner->peer, &envelope);
}

static void
report_to_self(account_sync_t *sync, const due_report_t *due, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        Iris__AccountUse use;
        Iris__AccountGrant answer;
        fill_use(sync, due[i].use, &use);
        account_grant_record_use(sync, sync->conf.incarnation, &use, &answer);
        account_report_apply_grant(sync, sync->conf.incarnation, &answer);
    }
    account_sync_start_ledger_timer(sync);
}

static void
send_report(account_sync_t *sync, const due_report_t *due, size_t count)
{
    Iris__AccountUse uses[USES_PER_MESSAGE_MAX];
    Iris__AccountUse *list[USES_PER_MESSAGE_MAX];
    for (size_t i = 0; i < count; i++) {
        fill_use(sync, due[i].use, &uses[i]);
        list[i] = &uses[i];
    }
    send_uses(sync, due[0].owner, list, count);
}

static void
report_to_owner(account_sync_t *sync, const due_report_t *due, size_t count)
{
    if (addr_eq(&due[0].owner->peer, &sync->conf.own))
        report_to_self(sync, due, count);
    else
        send_report(sync, due, count);
}

static bool
is_unanswered(const account_use_t *use, uint64_t now_ms)
{
    return use->owner_unanswered_since_ms != 0 &&
           now_ms - use->owner_unanswered_since_ms > ANSWER_TIMEOUT_MS;
}

/* Tells the previous owner that this instance reports elsewhere, so that it does not treat the
 * instance's further usage as unreported. */
static void
release_previous_owner(account_sync_t *sync, const account_use_t *use)
{
    Iris__AccountUse message;
    Iris__AccountUse *list[] = {&message};
    const member_t *owner = account_sync_find_member(sync, use->owner);
    if (owner == NULL || owner->refuses_connections || addr_eq(&owner->peer, &sync->conf.own))
        return;
    fill_use(sync, use, &message);
    message.leaves = true;
    send_uses(sync, owner, list, 1);
}

/* Selects the owner for a due report. Returns false if nothing is due or there is no owner. */
static bool
prepare_report(account_sync_t *sync, account_use_t *use, due_report_t *out, uint64_t now_ms)
{
    if (is_unanswered(use, now_ms)) {
        if (account_report_avoid_owner(sync, use->owner))
            LOG_INFO("account owner does not answer: account=%s after_ms=%llu", use->name.ptr,
                     (unsigned long long)(now_ms - use->owner_unanswered_since_ms));
    } else if (!account_use_report_is_due(use, now_ms))
        return false;
    member_t *owner = account_exchange_find_owner(sync, use->id);
    use->report_due = false;
    use->last_report_ms = now_ms;
    if (use->unanswered_since_ms == 0)
        use->unanswered_since_ms = now_ms;
    if (owner == NULL)
        return false;
    if (use->owner_unanswered_since_ms == 0 || use->owner != owner->incarnation)
        use->owner_unanswered_since_ms = now_ms;
    if (use->owner != owner->incarnation)
        release_previous_owner(sync, use);
    use->owner = owner->incarnation;
    *out = (due_report_t){owner, use};
    return true;
}

static void
report_all(account_sync_t *sync)
{
    const account_uses_t *uses = sync->conf.uses;
    const uint64_t now_ms = account_sync_now(sync);
    due_report_t *due = xcalloc(uses->count + 1, sizeof(*due));
    size_t count = 0;
    for (size_t i = 0; i < uses->count; i++)
        count += prepare_report(sync, uses->items[i], &due[count], now_ms);
    qsort(due, count, sizeof(*due), compare_owners);
    for (size_t from = 0, to = 0; from < count; from = to) {
        while (to < count && due[to].owner == due[from].owner && to - from < USES_PER_MESSAGE_MAX)
            to++;
        report_to_owner(sync, &due[from], to - from);
    }
    free(due);
}

static bool
has_pending_reports(const account_uses_t *uses)
{
    for (size_t i = 0; i < uses->count; i++) {
        const account_use_t *use = uses->items[i];
        if (use->report_due || use->unanswered_since_ms != 0 || account_use_needs_keepalive(use))
            return true;
    }
    return false;
}

static void on_report_timer(uv_timer_t *timer);

void
account_report_schedule(void *ctx)
{
    account_sync_t *sync = ctx;
    if (!uv_is_active((uv_handle_t *)&sync->report_timer))
        uv_timer_start(&sync->report_timer, on_report_timer, REPORT_INTERVAL_MS, 0);
}

static void
on_report_timer(uv_timer_t *timer)
{
    account_sync_t *sync = timer->data;
    if (account_sync_now(sync) - sync->ledgers.started_ms >= START_DELAY_MS)
        report_all(sync);
    if (has_pending_reports(sync->conf.uses))
        uv_timer_start(&sync->report_timer, on_report_timer, REPORT_INTERVAL_MS, 0);
}
