#include "gateway/membership/permit_exchange.h"

#include <stdlib.h>

#include "base/loop_time.h"
#include "base/xmalloc.h"
#include "gateway/membership/notice_message.h"
#include "gateway/membership/owner.h"

enum {
    /* Until the next request after one without an answer, or where no owner is known: an owner that
     * stands still is counted as lost after 1.8 s. */
    UNANSWERED_MS = 500,
    /* Requests of one instance for one backend server that wait: others would wait in vain. */
    ASKED_MAX = 8,
    /* An instance that fell silent may be on the other side of a cut for so long; regions lose each
     * other for minutes. */
    KNOWN_MS = 600000,
};

struct permit_wait {
    permit_wait_t *next;
    permit_exchange_t *exchange;
    uint64_t number;
    uint64_t asked_ms;
    backend_t *backend; /* a reference */
    permit_cb_t cb;
    void *ctx;
};

static uint64_t
now_of(const permit_exchange_t *exchange)
{
    return loop_now(exchange->conf.loop);
}

void
permit_exchange_init(permit_exchange_t *exchange, const notice_conf_t *conf)
{
    *exchange = (permit_exchange_t){.conf = *conf};
}

/* ---- the owner ---- */

static bool
has_members(const members_t *members, size_t region)
{
    for (size_t i = 0; i < members->count; i++) {
        if (members->items[i].heard && members->items[i].region == region)
            return true;
    }
    return false;
}

/* The backend's, or the first one that has an instance. */
static size_t
owner_region(const permit_exchange_t *exchange, size_t region)
{
    for (size_t i = 0; i <= TOPOLOGY_REGIONS_MAX; i++) {
        if (has_members(exchange->conf.members, region))
            return region;
        region = i;
    }
    return exchange->conf.region;
}

/* Of another region of a large fleet the next one is asked after each that gave no answer: whoever
 * lives there sends the request on. */
static const member_t *
owner_of(const permit_exchange_t *exchange, const backend_t *backend)
{
    const members_t *members = exchange->conf.members;
    const size_t region = owner_region(exchange, backend->region);
    owner_input_t input = {
        .members = members,
        .kind = OWNER_OF_BACKEND,
        .key = backend->key,
        .region = region,
        .is_judged = region == exchange->conf.region || members->count <= MEMBERS_MESH,
        .rank = backend->permits_unanswered % OWNER_RANKS,
        .now_ms = now_of(exchange),
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
rate_of(const permit_exchange_t *exchange, double limit_per_s)
{
    const members_t *members = exchange->conf.members;
    const uint64_t now_ms = now_of(exchange);
    size_t known = 0;
    size_t heard = 0;
    for (size_t i = 0; i < members->count; i++) {
        const member_t *member = &members->items[i];
        if (!member->heard || member->region != exchange->conf.region || member->refuses ||
            now_ms - member->heard_ms > KNOWN_MS)
            continue;
        known++;
        heard += member_alive(member, now_ms);
    }
    return named_limit_permits(limit_per_s, heard, known);
}

/* Gives or refuses a permit as the owner. */
static bool
take(permit_exchange_t *exchange, const notice_t *notice, uint32_t *wait_ms)
{
    if (!notice->limit.is_set)
        return true;
    const permit_rate_t rate = rate_of(exchange, notice->limit.per_s);
    const uint64_t life = backend_incarnation_hash(name_str(&notice->backend), notice->born);
    return permits_take(&exchange->permits, life, rate, now_of(exchange), wait_ms);
}

/* What is known here of the backend that a notice is about; the notice itself if nothing is. */
static notice_t
known_of(const permit_exchange_t *exchange, const notice_t *notice)
{
    const notice_t *known =
        notices_find(&exchange->conf.catalog->notices, name_str(&notice->backend), notice->born);
    return known != NULL ? *known : *notice;
}

static void
answer(permit_exchange_t *exchange, peer_conn_t *conn, const Iris__PermitRequest *request,
       const notice_t *notice)
{
    Iris__PermitAnswer message = IRIS__PERMIT_ANSWER__INIT;
    Iris__BackendNotice known;
    Iris__Envelope envelope = IRIS__ENVELOPE__INIT;
    addr_t address;
    const notice_t own = known_of(exchange, notice);
    notice_message_fill(&known, &own, now_of(exchange));
    message.notice = &known;
    message.number = request->number;
    message.given = take(exchange, &own, &message.wait_ms);
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

/* True if another instance is the owner as it seems from here, and got the request. One that is not
 * in the list here yet is taken for one's own. */
static bool
forward(const permit_exchange_t *exchange, const Iris__PermitRequest *request,
        const notice_t *notice)
{
    const backend_t *backend =
        backends_find(&exchange->conf.catalog->backends, name_str(&notice->backend));
    const member_t *owner = backend != NULL ? owner_of(exchange, backend) : NULL;
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
    if (message->notice == NULL || !notice_message_read(message->notice, &notice, now_of(exchange)))
        return;
    catalog_merge_notice(exchange->conf.catalog, &notice, NOTICE_FROM_PERMIT);
    if (!forward(exchange, message, &notice))
        answer(exchange, conn, message, &notice);
}

/* ---- who asks ---- */

static notice_t
notice_of(const backend_t *backend)
{
    return (notice_t){
        .backend = backend->info.id,
        .born = backend->info.born,
        .limit = backend->limit,
        .leaving = backend->stated_leaving,
    };
}

static permit_wait_t *
add_wait(permit_exchange_t *exchange, backend_t *backend)
{
    permit_wait_t *wait = xcalloc(1, sizeof(*wait));
    wait->exchange = exchange;
    wait->next = exchange->waits;
    wait->number = ++exchange->number;
    wait->asked_ms = now_of(exchange);
    wait->backend = backend_ref(backend);
    backend->permits_pending++;
    exchange->waits = wait;
    return wait;
}

static void
drop_wait(permit_wait_t *wait)
{
    permit_wait_t **slot = &wait->exchange->waits;
    while (*slot != wait)
        slot = &(*slot)->next;
    *slot = wait->next;
    wait->backend->permits_pending--;
    backend_unref(wait->backend);
    free(wait);
}

static void
refuse(const permit_exchange_t *exchange, backend_t *backend, uint32_t wait_ms)
{
    backend->next_permit_ms = now_of(exchange) + (wait_ms > 0 ? wait_ms : 1);
}

static permit_verdict_t
ask_self(permit_exchange_t *exchange, backend_t *backend)
{
    uint32_t wait_ms = 0;
    const notice_t notice = notice_of(backend);
    if (take(exchange, &notice, &wait_ms))
        return PERMIT_GIVEN;
    refuse(exchange, backend, wait_ms);
    return PERMIT_REFUSED;
}

permit_verdict_t
permit_ask(permit_exchange_t *exchange, backend_t *backend, permit_cb_t cb, void *ctx,
           permit_wait_t **wait)
{
    const member_t *owner = owner_of(exchange, backend);
    if (owner == NULL) {
        refuse(exchange, backend, UNANSWERED_MS);
        return PERMIT_REFUSED;
    }
    if (is_self(exchange, owner))
        return ask_self(exchange, backend);
    if (backend->permits_pending >= ASKED_MAX)
        return PERMIT_REFUSED;
    char address[ADDR_TEXT_MAX];
    Iris__PermitRequest message = IRIS__PERMIT_REQUEST__INIT;
    Iris__BackendNotice told;
    const notice_t notice = notice_of(backend);
    notice_message_fill(&told, &notice, now_of(exchange));
    addr_format(&exchange->conf.own, address);
    *wait = add_wait(exchange, backend);
    (*wait)->cb = cb;
    (*wait)->ctx = ctx;
    message.notice = &told;
    message.number = (*wait)->number;
    message.address = address;
    send_request(exchange, owner, &message);
    return PERMIT_ASKED;
}

void
permit_cancel(permit_wait_t *wait, bool late)
{
    if (late) {
        wait->backend->permits_unanswered++;
        refuse(wait->exchange, wait->backend, UNANSWERED_MS);
    }
    drop_wait(wait);
}

static permit_wait_t *
find_wait(const permit_exchange_t *exchange, uint64_t number)
{
    permit_wait_t *wait = exchange->waits;
    while (wait != NULL && wait->number != number)
        wait = wait->next;
    return wait;
}

void
permit_exchange_on_answer(permit_exchange_t *exchange, const Iris__PermitAnswer *message)
{
    notice_t notice;
    permit_wait_t *wait = find_wait(exchange, message->number);
    if (wait == NULL)
        return;
    /* An instance that stood still reads its answers before its timers run. */
    const bool given =
        message->given && now_of(exchange) - wait->asked_ms <= (uint64_t)PERMIT_LIFE_MS;
    const permit_cb_t cb = wait->cb;
    void *ctx = wait->ctx;
    wait->backend->permits_unanswered = 0;
    if (!given)
        refuse(exchange, wait->backend, message->wait_ms);
    drop_wait(wait);
    if (message->notice != NULL && notice_message_read(message->notice, &notice, now_of(exchange)))
        catalog_merge_notice(exchange->conf.catalog, &notice, NOTICE_FROM_PERMIT);
    cb(ctx, given);
}

void
permit_exchange_tick(permit_exchange_t *exchange)
{
    permits_expire(&exchange->permits, now_of(exchange));
}
