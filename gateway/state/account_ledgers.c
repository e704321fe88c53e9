#include "gateway/state/account_ledgers.h"

#include <stdlib.h>
#include <string.h>

#include "base/search.h"
#include "base/xmalloc.h"

/* Initial fill level of a bucket while all instances may have just started: a restart must not
 * grant a full burst, nor refuse the requests of the first second. */
#define STARTUP_FILL 0.5

enum {
    ITEMS_START = 8,
    /* Uptime up to which all instances may have just started: two heartbeats and a process
     * restart. */
    STARTUP_MS = 5000,
};

typedef struct {
    const ledgers_t *ledgers;
    uint64_t id;
} search_t;

static bool
is_below(const void *ctx, size_t index)
{
    const search_t *search = ctx;
    return search->ledgers->items[index]->id < search->id;
}

static size_t
position_of(const ledgers_t *ledgers, uint64_t id)
{
    const search_t search = {ledgers, id};
    return search_lower_bound(ledgers->count, is_below, &search);
}

ledger_t *
ledgers_find(const ledgers_t *ledgers, uint64_t id)
{
    const size_t at = position_of(ledgers, id);
    return at < ledgers->count && ledgers->items[at]->id == id ? ledgers->items[at] : NULL;
}

ledger_t *
ledgers_get(ledgers_t *ledgers, const config_account_t *account, uint64_t now_ms)
{
    const size_t at = position_of(ledgers, account->id);
    if (at < ledgers->count && ledgers->items[at]->id == account->id)
        return ledgers->items[at];
    if (ledgers->count == ledgers->size) {
        ledgers->size = ledgers->size > 0 ? ledgers->size * 2 : ITEMS_START;
        ledgers->items = xrealloc(ledgers->items, ledgers->size * sizeof(*ledgers->items));
    }
    const bool is_starting = now_ms - ledgers->started_ms < STARTUP_MS;
    memmove(&ledgers->items[at + 1], &ledgers->items[at],
            (ledgers->count - at) * sizeof(*ledgers->items));
    ledgers->items[at] =
        ledger_new(account, ledgers->source, is_starting ? STARTUP_FILL : 1, now_ms);
    ledgers->count++;
    return ledgers->items[at];
}

void
ledgers_remove(ledgers_t *ledgers, ledger_t *ledger)
{
    const size_t at = position_of(ledgers, ledger->id);
    xassert(at < ledgers->count && ledgers->items[at] == ledger);
    ledgers->count--;
    memmove(&ledgers->items[at], &ledgers->items[at + 1],
            (ledgers->count - at) * sizeof(*ledgers->items));
    ledger_free(ledger);
}

void
ledgers_expire(ledgers_t *ledgers, uint64_t now_ms)
{
    size_t kept = 0;
    for (size_t i = 0; i < ledgers->count; i++) {
        ledger_t *ledger = ledgers->items[i];
        if (ledger_is_idle(ledger, now_ms))
            ledger_free(ledger);
        else
            ledgers->items[kept++] = ledger;
    }
    ledgers->count = kept;
}

void
ledgers_free(ledgers_t *ledgers)
{
    for (size_t i = 0; i < ledgers->count; i++)
        ledger_free(ledgers->items[i]);
    free(ledgers->items);
    *ledgers = (ledgers_t){0};
}
