#include "gateway/membership/permit_exchange.h"

#include <stdlib.h>

#include "base/loop_time.h"
#include "base/xmalloc.h"
#include "gateway/membership/notice_message.h"
#include "gateway/membership/owner.h"

enum {
    /* Delay before the next request after a timeout, or while no owner is known. A stalled owner
     * counts as lost after 1.8 s. */
    RETRY_DELAY_MS = 500,
    /* Pending requests per backend server; further ones would not be answered in time. */
    PENDING_MAX = 8,
    /* Instances silent for less than this count as known: they may still run on the other side of a
     * network partition. */
    MEMBER_EXPIRE_MS = 600000,
};

struct pending_permit {
    pending_permit_t *next;
    permit_exchange_t *exchange;
    uint64_t number;
    uint64_t requested_ms;
    backend_t *backend; /* a reference */
    permit_cb_t cb;
    void *ctx;
};

static uint64_t
current_ms(const permit_exchange_t *exchange)
{
    return loop_now(exchange->conf.loop);
}

void
permit_exchange_init(permit_exchange_t *exchange, const notice_gossip_conf_t *conf)
{
    *exchange = (permit_exchange_t){.conf = *conf};
}

/* ---- owner ---- */

static bool
has_members(const members_t *members, size_t mesh)
{
    for (size_t i = 0; i < members->count; i++) {
        if (members->items[i].heard && members_mesh(members, &members->items[i]) == mesh)
            return true;
    }
    return false;
}

static size_t
own_mesh(const permit_exchange_t *exchange)
{
    return members_own_mesh(exchange->conf.members, exchange->conf.region);
}

/* The backend's mesh, or the first one with a member if it has none. */
static size_t
owner_mesh(const permit_exchange_t *exchange, const backend_t *backend)
{
    const members_t *members = exchange->conf.members;
    const size_t hall =
        topology_hall(exchange->conf.catalog->topology, name_str(&backend->info.hall));
    size_t mesh = members_mesh_at(members, backend->region, hall);
    for (size_t i = 0; i < MEMBERS_MESHES_MAX; i++) {
        if (has_members(members, mesh))
            return mesh;
        mesh = i;
    }
    return own_mesh(exchange);
}

/* In a large fleet, the liveness of other meshes is not known: each timeout moves on to the next
 * candidate, which forwards the request. */
static const member_t *
find_owner(const permit_exchange_t *exchange, const backend_t *backend)
{
    const members_t *members = exchange->conf.members;
    const size_t mesh = owner_mesh(exchange, backend);
    owner_input_t input = {
        .members = members,
        .kind = OWNER_OF_BACKEND,
        .key = backend->key,
        .mesh = mesh,
        .liveness_known = mesh == own_mesh(exchange) || members->count <= MEMBERS_FULL_MESH_MAX,
        .rank = backend->permits_unanswered % OWNER_RANKS,
        .now_ms = current_ms(exchange),
    };
    const member_t *owner = owner_find(&input);
    input.rank = 0;
    return owner != NULL ? owner : owner_find(&input);
}

static bool
is_self(const permit_exchange_t *exchange, const member_t *member)
{
    return addr_eq(&member->peer, &exchange->conf.own);
}

static permit_rate_t
compute_rate(const permit_exchange_t *exchange, double limit_per_s)
{
    const members_t *members = exchange->conf.members;
    const uint64_t now_ms = current_ms(exchange);
    size_t known = 0;
    size_t live = 0;
    for (size_t i = 0; i < members->count; i++) {
        const member_t *member = &members->items[i];
        if (!member->heard || members_mesh(members, member) != own_mesh(exchange) ||
            member->refuses_connections || now_ms - member->heard_ms > MEMBER_EXPIRE_MS)
            continue;
        known++;
        live += member_alive(member, now_ms);
    }
    return rate_limit_permits(limit_per_s, live, known);
}

/* Grants or refuses a permit as the owner. */
static bool
take_permit(permit_exchange_t *exchange, const notice_t *notice, uint32_t *wait_ms)
{
    if (!notice->limit.is_set)
        return true;
    const permit_rate_t rate = compute_rate(exchange, notice->limit.per_s);
    const uint64_t incarnation = backend_incarnation_hash(name_str(&notice->backend), notice->born);
    return permits_take(&exchange->permits, incarnation, rate, current_ms(exchange), wait_ms);
}

/* Returns the stored notice for the backend, or `notice` if there is none. */
static notice_t
newest_notice(const permit_exchange_t *exchange, const notice_t *notice)
{
    const notice_t *known =
        notices_find(&exchange->conf.catalog->notices, name_str(&notice->backend), notice->born);
    return known != NULL ? *known : *notice;
}

static void
send_answer(permit_exchange_t *exchange, peer_conn_t *conn, const Iris__PermitRequest *request,
            const notice_t *notice)
{
    Iris__PermitAnswer message = IRIS__PERMIT_ANSWER__INIT;
    Iris__BackendNotice known;
    Iris__Envelope envelope = IRIS__ENVELOPE__INIT;
    addr_t address;
    const notice_t own = newest_notice(exchange, notice);
    notice_message_fill(&known, &own, current_ms(exchange));
    message.notice = &known;
    message.number = request->number;
    message.given = take_permit(exchange, &own, &message.wait_ms);
    envelope.schema = PEER_SCHEMA;
    envelope.body_case = IRIS__ENVELOPE__BODY_PERMIT_ANSWER;
    envelope.permit_answer = &message;
    if (!request->forwarded)
        peer_reply(conn, &envelope);
    else if (addr_parse(str_from(request->address), &address))
        peer_send(exchange->conf.hub, &address, &envelope);
}

static void
send_request(const permit_exchange_t *exchange, const member_t *owner,
             const Iris__PermitRequest *message)
{
    Iris__Envelope envelope = IRIS__ENVELOPE__INIT;
    envelope.schema = PEER_SCHEMA;
    envelope.body_case = IRIS__ENVELOPE__BODY_PERMIT_REQUEST;
    envelope.permit_request = (Iris__PermitRequest *)(uintptr_t)message;
    peer_send(exchange->conf.hub, &owner->peer, &envelope);
}

/* Returns true if another instance owns the backend; forwards the request unless it was forwarded
 * already. Backends that are not in the configuration here yet are treated as owned. */
static bool
forward(const permit_exchange_t *exchange, const Iris__PermitRequest *request,
        const notice_t *notice)
{
    const backend_t *backend =
        backends_find(&exchange->conf.catalog->backends, name_str(&notice->backend));
    const member_t *owner = backend != NULL ? find_owner(exchange, backend) : NULL;
    if (owner == NULL || is_self(exchange, owner) || request->forwarded)
        return owner != NULL && !is_self(exchange, owner);
    Iris__PermitRequest copy = *request;
    copy.forwarded = true;
    send_request(exchange, owner, &copy);
    return true;
}

void
permit_exchange_on_request(permit_exchange_t *exchange, peer_conn_t *conn,
                           const Iris__PermitRequest *message)
{
    notice_t notice;
    if (message->notice == NULL ||
        !notice_message_read(message->notice, &notice, current_ms(exchange)))
        return;
    catalog_merge_notice(exchange->conf.catalog, &notice, NOTICE_FROM_PERMIT);
    if (!forward(exchange, message, &notice))
        send_answer(exchange, conn, message, &notice);
}

/* ---- requester ---- */

static notice_t
make_notice(const backend_t *backend)
{
    return (notice_t){
        .backend = backend->info.id,
        .born = backend->info.born,
        .limit = backend->limit,
        .leaving = backend->stated_leaving,
    };
}

static pending_permit_t *
add_pending(permit_exchange_t *exchange, backend_t *backend)
{
    pending_permit_t *pending = xcalloc(1, sizeof(*pending));
    pending->exchange = exchange;
    pending->next = exchange->pending;
    pending->number = ++exchange->last_number;
    pending->requested_ms = current_ms(exchange);
    pending->backend = backend_ref(backend);
    backend->permits_pending++;
    exchange->pending = pending;
    return pending;
}

static void
remove_pending(pending_permit_t *pending)
{
    pending_permit_t **slot = &pending->exchange->pending;
    while (*slot != pending)
        slot = &(*slot)->next;
    *slot = pending->next;
    pending->backend->permits_pending--;
    backend_unref(pending->backend);
    free(pending);
}

static void
defer_requests(const permit_exchange_t *exchange, backend_t *backend, uint32_t wait_ms)
{
    backend->next_permit_ms = current_ms(exchange) + (wait_ms > 0 ? wait_ms : 1);
}

static permit_result_t
acquire_from_self(permit_exchange_t *exchange, backend_t *backend)
{
    uint32_t wait_ms = 0;
    const notice_t notice = make_notice(backend);
    if (take_permit(exchange, &notice, &wait_ms))
        return PERMIT_GRANTED;
    defer_requests(exchange, backend, wait_ms);
    return PERMIT_REFUSED;
}

permit_result_t
permit_acquire(permit_exchange_t *exchange, backend_t *backend, permit_cb_t cb, void *ctx,
               pending_permit_t **pending)
{
    const member_t *owner = find_owner(exchange, backend);
    if (owner == NULL) {
        defer_requests(exchange, backend, RETRY_DELAY_MS);
        return PERMIT_REFUSED;
    }
    if (is_self(exchange, owner))
        return acquire_from_self(exchange, backend);
    if (backend->permits_pending >= PENDING_MAX)
        return PERMIT_REFUSED;
    char address[ADDR_TEXT_MAX];
    Iris__PermitRequest message = IRIS__PERMIT_REQUEST__INIT;
    Iris__BackendNotice notice_message;
    const notice_t notice = make_notice(backend);
    notice_message_fill(&notice_message, &notice, current_ms(exchange));
    addr_format(&exchange->conf.own, address);
    *pending = add_pending(exchange, backend);
    (*pending)->cb = cb;
    (*pending)->ctx = ctx;
    message.notice = &notice_message;
    message.number = (*pending)->number;
    message.address = address;
    send_request(exchange, owner, &message);
    return PERMIT_PENDING;
}

void
permit_cancel(pending_permit_t *pending, bool late)
{
    if (late) {
        pending->backend->permits_unanswered++;
        defer_requests(pending->exchange, pending->backend, RETRY_DELAY_MS);
    }
    remove_pending(pending);
}

static pending_permit_t *
find_pending(const permit_exchange_t *exchange, uint64_t number)
{
    pending_permit_t *pending = exchange->pending;
    while (pending != NULL && pending->number != number)
        pending = pending->next;
    return pending;
}

void
permit_exchange_on_answer(permit_exchange_t *exchange, const Iris__PermitAnswer *message)
{
    notice_t notice;
    pending_permit_t *pending = find_pending(exchange, message->number);
    if (pending == NULL)
        return;
    /* After a stall, answers are read before timers run, so a permit may have expired by now. */
    const bool granted = message->given && current_ms(exchange) - pending->requested_ms <=
                                               (uint64_t)PERMIT_LIFETIME_MS;
    const permit_cb_t cb = pending->cb;
    void *ctx = pending->ctx;
    pending->backend->permits_unanswered = 0;
    if (!granted)
        defer_requests(exchange, pending->backend, message->wait_ms);
    remove_pending(pending);
    if (message->notice != NULL &&
        notice_message_read(message->notice, &notice, current_ms(exchange)))
        catalog_merge_notice(exchange->conf.catalog, &notice, NOTICE_FROM_PERMIT);
    cb(ctx, granted);
}

void
permit_exchange_tick(permit_exchange_t *exchange)
{
    permits_expire(&exchange->permits, current_ms(exchange));
}
