#include "gateway/state/account_uses.h"

#include <stdlib.h>
#include <string.h>

#include "base/search.h"
#include "base/xmalloc.h"
#include "gateway/policy/account_share.h"

enum {
    ITEMS_START = 16,
    /* Without an answer for this long, the instance counts as disconnected from owners. Covers a
     * report, its answer and the queue of a slow instance at startup of the whole fleet. Requests
     * that a partitioned instance admits within it are not seen by the owner. With 250 ms, and
     * 120 ms until the next owner was asked, a fleet that started as a whole took itself for
     * partitioned: 11,244 attempts of a day got 429, 486 with these. */
    ANSWER_TIMEOUT_MS = 400,
    /* The same before the first grant, while the instance does not know its share. */
    FIRST_ANSWER_TIMEOUT_MS = 1500,
    /* Interval of reports while limited. The owner assumes the share to be used after twice this
     * time without a report. */
    KEEPALIVE_MS = 200,
    /* Idle time before an entry is removed; long enough for its share to refill the bucket. */
    IDLE_EXPIRY_MS = 30000,
};

typedef struct {
    const account_uses_t *uses;
    uint64_t id;
} search_t;

static bool
is_below(const void *ctx, size_t index)
{
    const search_t *search = ctx;
    return search->uses->items[index]->id < search->id;
}

static size_t
position_of(const account_uses_t *uses, uint64_t id)
{
    const search_t search = {uses, id};
    return search_lower_bound(uses->count, is_below, &search);
}

account_use_t *
account_uses_find(const account_uses_t *uses, uint64_t id)
{
    const size_t at = position_of(uses, id);
    return at < uses->count && uses->items[at]->id == id ? uses->items[at] : NULL;
}

account_use_t *
account_uses_get(account_uses_t *uses, const config_account_t *account, uint64_t now_ms)
{
    const size_t at = position_of(uses, account->id);
    if (at < uses->count && uses->items[at]->id == account->id)
        return uses->items[at];
    if (uses->count == uses->size) {
        uses->size = uses->size > 0 ? uses->size * 2 : ITEMS_START;
        uses->items = xrealloc(uses->items, uses->size * sizeof(*uses->items));
    }
    account_use_t *use = xcalloc(1, sizeof(*use));
    use->id = account->id;
    use->name = account->name;
    use->last_request_ms = now_ms;
    memmove(&uses->items[at + 1], &uses->items[at], (uses->count - at) * sizeof(*uses->items));
    uses->items[at] = use;
    uses->count++;
    return use;
}

static void
mark_report_due(account_uses_t *uses, account_use_t *use)
{
    use->report_due = true;
    if (uses->on_due != NULL)
        uses->on_due(uses->ctx);
}

bool
account_use_is_connected(const account_use_t *use, uint64_t now_ms)
{
    const uint64_t timeout_ms =
        use->limiter.has_share ? ANSWER_TIMEOUT_MS : FIRST_ANSWER_TIMEOUT_MS;
    return use->unanswered_since_ms == 0 || now_ms - use->unanswered_since_ms <= timeout_ms;
}

uint64_t
account_use_unacknowledged(const account_use_t *use)
{
    return use->used > use->acked_used ? use->used - use->acked_used : 0;
}

bool
account_use_needs_keepalive(const account_use_t *use)
{
    return use->limiter.limited || (use->limiter.has_share &&
                                    account_share_is_exceeded(use->demand_per_s, use->rate_per_s));
}

bool
account_use_report_is_due(const account_use_t *use, uint64_t now_ms)
{
    return use->report_due ||
           (account_use_needs_keepalive(use) && now_ms - use->last_report_ms >= KEEPALIVE_MS);
}

bool
account_uses_admit(account_uses_t *uses, const config_account_t *account, double random_fraction,
                   uint64_t now_ms, account_use_t **out, uint32_t *retry_after_ms)
{
    *out = NULL;
    if (account->rate_per_s <= 0)
        return true;
    account_use_t *use = account_uses_get(uses, account, now_ms);
    const account_limiter_input_t input = {
        .owner_reachable = account_use_is_connected(use, now_ms),
        .equal_share_per_s = account->rate_per_s / (uses->instances > 0 ? uses->instances : 1),
        .burst_share = use->limiter.has_share
                           ? use->tokens * use->limiter.share_per_s / account->rate_per_s
                           : 1,
        .unacknowledged = account_use_unacknowledged(use),
        .unused_ms = use->last_admitted_ms != 0 ? now_ms - use->last_admitted_ms : 0,
        .now_ms = now_ms,
    };
    const bool admitted = account_limiter_admit(&use->limiter, &input);
    use->rate_per_s = account->rate_per_s;
    use->refs++;
    use->last_request_ms = now_ms;
    use->requested++;
    use->used += admitted;
    if (admitted)
        use->last_admitted_ms = now_ms;
    use->refused += !admitted;
    if (!admitted)
        *retry_after_ms = account_limiter_retry_after_ms(&use->limiter, random_fraction);
    mark_report_due(uses, use);
    *out = use;
    return admitted;
}

account_use_t *
account_uses_hold(account_uses_t *uses, const config_account_t *account, uint64_t now_ms)
{
    if (account->rate_per_s <= 0)
        return NULL;
    account_use_t *use = account_uses_get(uses, account, now_ms);
    use->refs++;
    use->last_request_ms = now_ms;
    return use;
}

void
account_uses_charge(account_uses_t *uses, account_use_t *use)
{
    use->used++;
    mark_report_due(uses, use);
}

void
account_uses_refund(account_uses_t *uses, account_use_t *use)
{
    use->used--;
    account_limiter_refund(&use->limiter);
    mark_report_due(uses, use);
}

void
account_uses_release(account_use_t *use)
{
    xassert(use->refs > 0);
    use->refs--;
}

void
account_uses_expire(account_uses_t *uses, uint64_t now_ms)
{
    size_t kept = 0;
    for (size_t i = 0; i < uses->count; i++) {
        account_use_t *use = uses->items[i];
        if (use->refs == 0 && now_ms - use->last_request_ms > IDLE_EXPIRY_MS)
            free(use);
        else
            uses->items[kept++] = use;
    }
    uses->count = kept;
}

void
account_uses_free(account_uses_t *uses)
{
    for (size_t i = 0; i < uses->count; i++)
        free(uses->items[i]);
    free(uses->items);
    *uses = (account_uses_t){0};
}
