/*
 * What the owners of an account tell each other.
 *
 * Each owner tells its sums to those that it hears, and in a region where it hears none to one
 * instance after the other until an owner answers: who is not the owner sends the message on, once.
 */
#include "gateway/membership/account_parts.h"

#include <stdlib.h>

#include "base/loop_time.h"
#include "base/xmalloc.h"

enum {
    HEARD_MS =
        1200,     /* an owner heard within this time is told; as long as SILENT_MS of the ledgers */
    TRY_MS = 100, /* how long one instance of a silent region is tried */
    PACKED_MAX = 256, /* sums in one message: 8 kB */
};

/* One sum on its way to one instance. */
typedef struct {
    addr_t to;
    Iris__AccountSum sum;
} parcel_t;

typedef struct {
    parcel_t *items;
    size_t count;
    size_t size;
} parcels_t;

static void
add_parcel(parcels_t *parcels, const addr_t *to, const Iris__AccountSum *sum)
{
    if (parcels->count == parcels->size) {
        parcels->size = parcels->size > 0 ? parcels->size * 2 : 16;
        parcels->items = xrealloc(parcels->items, parcels->size * sizeof(*parcels->items));
    }
    parcels->items[parcels->count++] = (parcel_t){*to, *sum};
}

static int
by_receiver(const void *left, const void *right)
{
    return addr_compare(&((const parcel_t *)left)->to, &((const parcel_t *)right)->to);
}

/* Sends the parcels, those of a receiver together, and frees them. */
static void
send_parcels(account_news_t *news, parcels_t *parcels, const char *place, const char *address,
             bool forwarded)
{
    Iris__AccountSum *list[PACKED_MAX];
    Iris__AccountExchange message = IRIS__ACCOUNT_EXCHANGE__INIT;
    Iris__Envelope envelope = IRIS__ENVELOPE__INIT;
    envelope.schema = PEER_SCHEMA;
    envelope.body_case = IRIS__ENVELOPE__BODY_ACCOUNT_EXCHANGE;
    envelope.account_exchange = &message;
    message.place = (char *)(uintptr_t)place; /* not written to, like the next */
    message.address = (char *)(uintptr_t)address;
    message.forwarded = forwarded;
    message.sums = list;
    if (parcels->count > 0)
        qsort(parcels->items, parcels->count, sizeof(*parcels->items), by_receiver);
    for (size_t i = 0; i < parcels->count; i++) {
        list[message.n_sums++] = &parcels->items[i].sum;
        const bool more =
            i + 1 < parcels->count && by_receiver(&parcels->items[i], &parcels->items[i + 1]) == 0;
        if (more && message.n_sums < PACKED_MAX)
            continue;
        peer_send(news->conf.hub, &parcels->items[i].to, &envelope);
        message.n_sums = 0;
    }
    free(parcels->items);
}

member_t *
account_exchange_owner(const account_news_t *news, uint64_t account)
{
    const owner_input_t input = {
        .members = news->conf.members,
        .kind = OWNER_OF_ACCOUNT,
        .key = account,
        .region = news->conf.region,
        .is_judged = true,
        .now_ms = loop_now(news->conf.loop),
    };
    return owner_find(&input);
}

static bool
is_self(const account_news_t *news, const member_t *member)
{
    return member != NULL && addr_eq(&member->peer, &news->conf.own);
}

/* Whom to try in a region where no owner is heard. */
static const member_t *
candidate(const account_news_t *news, const ledger_t *ledger, size_t region, uint64_t now_ms)
{
    owner_input_t input = {
        .members = news->conf.members,
        .kind = OWNER_OF_ACCOUNT,
        .key = ledger->id,
        .region = region,
        .rank = (now_ms - ledger->begun_ms) / TRY_MS % OWNER_RANKS,
        .now_ms = now_ms,
    };
    const member_t *member = owner_find(&input);
    input.rank = 0;
    return member != NULL ? member : owner_find(&input);
}

static void
address_sum(account_news_t *news, ledger_t *ledger, parcels_t *parcels, bool leaves,
            uint64_t now_ms)
{
    bool heard[TOPOLOGY_REGIONS_MAX + 1] = {false};
    const ledger_exchange_t exchange = ledger_next_exchange(ledger, now_ms);
    Iris__AccountSum sum = IRIS__ACCOUNT_SUM__INIT;
    sum.account = ledger->id;
    sum.source = exchange.source;
    sum.used = exchange.used;
    sum.age_ms = (uint32_t)exchange.age_ms;
    sum.asked_per_s = leaves ? 0 : (float)exchange.asked_per_s;
    sum.room = (float)exchange.room;
    for (size_t i = 0; i < ledger->peer_count; i++) {
        const ledger_peer_t *peer = &ledger->peers[i];
        if (now_ms - peer->heard_ms > HEARD_MS)
            continue;
        heard[peer->region] = true;
        add_parcel(parcels, &peer->addr, &sum);
    }
    for (size_t region = 0; region < news->conf.topology->region_count; region++) {
        const member_t *member = region == news->conf.region
                                     ? account_exchange_owner(news, ledger->id)
                                     : candidate(news, ledger, region, now_ms);
        if (!heard[region] && member != NULL && !is_self(news, member))
            add_parcel(parcels, &member->peer, &sum);
    }
}

static void
send_own(account_news_t *news, parcels_t *parcels)
{
    char address[ADDR_TEXT_MAX];
    send_parcels(news, parcels, news->conf.hall.ptr, addr_format(&news->conf.own, address), false);
}

void
account_exchange_send(account_news_t *news)
{
    const uint64_t now_ms = loop_now(news->conf.loop);
    parcels_t parcels = {0};
    for (size_t i = 0; i < news->ledgers.count; i++) {
        if (ledger_exchange_is_due(news->ledgers.items[i], now_ms))
            address_sum(news, news->ledgers.items[i], &parcels, false, now_ms);
    }
    send_own(news, &parcels);
}

void
account_exchange_leave(account_news_t *news, ledger_t *ledger)
{
    parcels_t parcels = {0};
    address_sum(news, ledger, &parcels, true, loop_now(news->conf.loop));
    send_own(news, &parcels);
}

/* Takes a sum into the ledger; false if the account is not owned here. */
static bool
take_sum(account_news_t *news, const Iris__AccountSum *sum, const addr_t *from, size_t region)
{
    const uint64_t now_ms = loop_now(news->conf.loop);
    const config_t *config = news->conf.catalog->config;
    const config_account_t *account = config != NULL ? config_account(config, sum->account) : NULL;
    if (account == NULL)
        return true; /* not known here yet: the next one comes soon */
    if (ledgers_find(&news->ledgers, account->id) == NULL &&
        !is_self(news, account_exchange_owner(news, account->id)))
        return false;
    const ledger_exchange_t exchange = {
        .source = sum->source,
        .region = region,
        .addr = *from,
        .used = sum->used,
        .age_ms = sum->age_ms,
        .asked_per_s = sum->asked_per_s,
        .room = sum->room,
    };
    ledger_exchange(ledgers_get(&news->ledgers, account, now_ms), &exchange, now_ms);
    return true;
}

void
account_news_on_exchange(account_news_t *news, const Iris__AccountExchange *message)
{
    addr_t from;
    parcels_t parcels = {0};
    const size_t region = topology_region_of(news->conf.topology, str_from(message->place));
    if (!addr_parse(str_from(message->address), &from) || addr_eq(&from, &news->conf.own))
        return;
    for (size_t i = 0; i < message->n_sums; i++) {
        if (take_sum(news, message->sums[i], &from, region) || message->forwarded)
            continue;
        const member_t *owner = account_exchange_owner(news, message->sums[i]->account);
        if (owner != NULL && !addr_eq(&owner->peer, &from))
            add_parcel(&parcels, &owner->peer, message->sums[i]);
    }
    send_parcels(news, &parcels, message->place, message->address, true);
    account_news_own(news);
}
