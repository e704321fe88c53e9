/*
 * Exchange of sums between the owners of an account.
 *
 * An owner sends its sums to the owners it hears. In a mesh where it hears none it tries one
 * instance after another until an owner answers; an instance that is not the owner forwards the
 * message once.
 */
#include "gateway/membership/account_sync_internal.h"

#include <stdlib.h>

#include "base/loop_time.h"
#include "base/xmalloc.h"

enum {
    /* Owners silent for longer get no sums; equals SILENT_MS of the ledgers. */
    PEER_EXPIRE_MS = 1200,
    SUMS_PER_MESSAGE_MAX = 256, /* 8 kB */
};

/* A sum addressed to one instance. */
typedef struct {
    addr_t to;
    Iris__AccountSum sum;
} queued_sum_t;

typedef struct {
    queued_sum_t *items;
    size_t count;
    size_t size;
} sum_queue_t;

static void
queue_push(sum_queue_t *queue, const addr_t *to, const Iris__AccountSum *sum)
{
    if (queue->count == queue->size) {
        queue->size = queue->size > 0 ? queue->size * 2 : 16;
        queue->items = xrealloc(queue->items, queue->size * sizeof(*queue->items));
    }
    queue->items[queue->count++] = (queued_sum_t){*to, *sum};
}

static int
compare_receivers(const void *left, const void *right)
{
    return addr_compare(&((const queued_sum_t *)left)->to, &((const queued_sum_t *)right)->to);
}

/* Sends the queue, batching the sums of each receiver, and frees it. */
static void
send_queue(account_sync_t *sync, sum_queue_t *queue, const char *place, const char *address,
           bool forwarded)
{
    Iris__AccountSum *list[SUMS_PER_MESSAGE_MAX];
    Iris__AccountExchange message = IRIS__ACCOUNT_EXCHANGE__INIT;
    Iris__Envelope envelope = IRIS__ENVELOPE__INIT;
    envelope.schema = PEER_SCHEMA;
    envelope.body_case = IRIS__ENVELOPE__BODY_ACCOUNT_EXCHANGE;
    envelope.account_exchange = &message;
    message.place =
        (char *)(uintptr_t)place; /* protobuf-c strings are not const but never written to */
    message.address = (char *)(uintptr_t)address;
    message.forwarded = forwarded;
    message.sums = list;
    if (queue->count > 0)
        qsort(queue->items, queue->count, sizeof(*queue->items), compare_receivers);
    for (size_t i = 0; i < queue->count; i++) {
        list[message.n_sums++] = &queue->items[i].sum;
        const bool more =
            i + 1 < queue->count && compare_receivers(&queue->items[i], &queue->items[i + 1]) == 0;
        if (more && message.n_sums < SUMS_PER_MESSAGE_MAX)
            continue;
        peer_send(sync->conf.hub, &queue->items[i].to, &envelope);
        message.n_sums = 0;
    }
    free(queue->items);
}

member_t *
account_exchange_find_owner(const account_sync_t *sync, uint64_t account)
{
    const owner_input_t input = {
        .members = sync->conf.members,
        .kind = OWNER_OF_ACCOUNT,
        .key = account,
        .mesh = members_own_mesh(sync->conf.members, sync->conf.region),
        .liveness_known = true,
        .now_ms = loop_now(sync->conf.loop),
    };
    return owner_find(&input);
}

static bool
is_self(const account_sync_t *sync, const member_t *member)
{
    return member != NULL && addr_eq(&member->peer, &sync->conf.own);
}

/* The instance to try in a mesh without a known owner. */
static const member_t *
pick_candidate(const account_sync_t *sync, const ledger_t *ledger, size_t mesh, uint64_t now_ms)
{
    const owner_input_t input = {
        .members = sync->conf.members,
        .kind = OWNER_OF_ACCOUNT,
        .key = ledger->id,
        .mesh = mesh,
        .now_ms = now_ms,
    };
    return owner_candidate(&input, ledger->exchanges_sent);
}

static void
queue_sum(account_sync_t *sync, ledger_t *ledger, sum_queue_t *queue, bool is_release,
          uint64_t now_ms)
{
    bool heard[MEMBERS_MESHES_MAX] = {false};
    const ledger_exchange_t exchange = ledger_next_exchange(ledger, now_ms);
    Iris__AccountSum sum = IRIS__ACCOUNT_SUM__INIT;
    sum.account = ledger->id;
    sum.source = exchange.source;
    sum.used = exchange.used;
    sum.age_ms = (uint32_t)exchange.age_ms;
    sum.asked_per_s = is_release ? 0 : (float)exchange.demand_per_s;
    sum.total_asked_per_s = (float)exchange.total_demand_per_s;
    sum.room = (float)exchange.tokens;
    for (size_t i = 0; i < ledger->peer_count; i++) {
        const ledger_peer_t *peer = &ledger->peers[i];
        if (now_ms - peer->last_exchange_ms > PEER_EXPIRE_MS)
            continue;
        heard[peer->mesh] = true;
        queue_push(queue, &peer->addr, &sum);
    }
    const topology_t *topology = sync->conf.topology;
    const size_t own_mesh = members_own_mesh(sync->conf.members, sync->conf.region);
    for (size_t hall = 0; hall < topology->hall_count; hall++) {
        const size_t mesh = members_mesh_at(sync->conf.members, topology->halls[hall].region, hall);
        const member_t *member = mesh == own_mesh ? account_exchange_find_owner(sync, ledger->id)
                                                  : pick_candidate(sync, ledger, mesh, now_ms);
        if (!heard[mesh] && member != NULL && !is_self(sync, member))
            queue_push(queue, &member->peer, &sum);
        heard[mesh] = true;
    }
}

static void
send_own_queue(account_sync_t *sync, sum_queue_t *queue)
{
    char address[ADDR_TEXT_MAX];
    send_queue(sync, queue, sync->conf.hall.ptr, addr_format(&sync->conf.own, address), false);
}

void
account_exchange_send(account_sync_t *sync)
{
    const uint64_t now_ms = loop_now(sync->conf.loop);
    sum_queue_t queue = {0};
    for (size_t i = 0; i < sync->ledgers.count; i++) {
        if (ledger_exchange_is_due(sync->ledgers.items[i], now_ms))
            queue_sum(sync, sync->ledgers.items[i], &queue, false, now_ms);
    }
    send_own_queue(sync, &queue);
}

void
account_exchange_send_release(account_sync_t *sync, ledger_t *ledger)
{
    sum_queue_t queue = {0};
    queue_sum(sync, ledger, &queue, true, loop_now(sync->conf.loop));
    send_own_queue(sync, &queue);
}

/* Records a sum in the ledger. Returns false if this instance does not own the account. */
static bool
apply_sum(account_sync_t *sync, const Iris__AccountSum *sum, const addr_t *from, size_t mesh)
{
    const uint64_t now_ms = loop_now(sync->conf.loop);
    const config_t *config = sync->conf.catalog->config;
    const config_account_t *account = config != NULL ? config_account(config, sum->account) : NULL;
    if (account == NULL)
        return true; /* not configured here yet; the next sum follows soon */
    if (ledgers_find(&sync->ledgers, account->id) == NULL &&
        !is_self(sync, account_exchange_find_owner(sync, account->id)))
        return false;
    const ledger_exchange_t exchange = {
        .source = sum->source,
        .mesh = mesh,
        .addr = *from,
        .used = sum->used,
        .age_ms = sum->age_ms,
        .demand_per_s = sum->asked_per_s,
        .total_demand_per_s = sum->total_asked_per_s,
        .tokens = sum->room,
    };
    ledger_exchange(ledgers_get(&sync->ledgers, account, now_ms), &exchange, now_ms);
    return true;
}

void
account_sync_on_exchange(account_sync_t *sync, const Iris__AccountExchange *message)
{
    addr_t from;
    sum_queue_t queue = {0};
    const size_t hall = topology_hall(sync->conf.topology, str_from(message->place));
    const size_t region = topology_region_of(sync->conf.topology, str_from(message->place));
    const size_t mesh = members_mesh_at(sync->conf.members, region, hall);
    if (!addr_parse(str_from(message->address), &from) || addr_eq(&from, &sync->conf.own))
        return;
    for (size_t i = 0; i < message->n_sums; i++) {
        if (apply_sum(sync, message->sums[i], &from, mesh) || message->forwarded)
            continue;
        const member_t *owner = account_exchange_find_owner(sync, message->sums[i]->account);
        if (owner != NULL && !addr_eq(&owner->peer, &from))
            queue_push(&queue, &owner->peer, message->sums[i]);
    }
    send_queue(sync, &queue, message->place, message->address, true);
    account_sync_start_ledger_timer(sync);
}
