#include "gateway/membership/notice_gossip.h"

#include <stdlib.h>

#include "base/loop_time.h"
#include "base/xmalloc.h"
#include "gateway/membership/notice_message.h"

/* 0.1 MB/s at 50 bytes each */
#define MESSAGES_PER_S 2000.0

void
notice_gossip_init(notice_gossip_t *gossip, const notice_gossip_conf_t *conf)
{
    *gossip = (notice_gossip_t){.conf = *conf};
    bucket_init(&gossip->messages, MESSAGES_PER_S, MESSAGES_PER_S, loop_now(conf->loop));
}

/* ---- sending ---- */

/* A message that is sent to several instances. */
typedef struct {
    notice_gossip_t *gossip;
    Iris__BackendNotices *message;
} send_ctx_t;

static bool
accepts_notices(const member_t *member)
{
    return member->supports_permits;
}

static void
send_one(void *ctx, const member_t *member, bool relay)
{
    const send_ctx_t *send = ctx;
    notice_gossip_t *gossip = send->gossip;
    Iris__Envelope envelope = IRIS__ENVELOPE__INIT;
    envelope.schema = PEER_SCHEMA;
    envelope.body_case = IRIS__ENVELOPE__BODY_BACKEND_NOTICES;
    envelope.backend_notices = send->message;
    send->message->relay = relay;
    peer_send(gossip->conf.hub, &member->peer, &envelope);
    bucket_charge(&gossip->messages, 1, loop_now(gossip->conf.loop));
}

static broadcast_t
make_broadcast(send_ctx_t *send)
{
    const notice_gossip_conf_t *conf = &send->gossip->conf;
    return (broadcast_t){
        .members = conf->members,
        .own = conf->own,
        .region = conf->region,
        .now_ms = loop_now(conf->loop),
        .accepts = accepts_notices,
        .send = send_one,
        .ctx = send,
    };
}

static bool
is_below_rate_limit(notice_gossip_t *gossip)
{
    return bucket_tokens(&gossip->messages, loop_now(gossip->conf.loop)) >= 1;
}

static bool
has_unsent(const notices_t *notices)
{
    for (size_t i = 0; i < notices->count; i++) {
        if (notices->items[i].unsent)
            return true;
    }
    return false;
}

void
notice_gossip_send_unsent(void *ctx)
{
    notice_gossip_t *gossip = ctx;
    notices_t *notices = &gossip->conf.catalog->notices;
    if (!has_unsent(notices) || !is_below_rate_limit(gossip))
        return;
    const uint64_t now_ms = loop_now(gossip->conf.loop);
    Iris__BackendNotice *items = xcalloc(notices->count, sizeof(*items));
    Iris__BackendNotice **list = xcalloc(notices->count, sizeof(*list));
    Iris__BackendNotices message = IRIS__BACKEND_NOTICES__INIT;
    message.items = list;
    for (size_t i = 0; i < notices->count; i++) {
        notice_t *notice = &notices->items[i];
        if (!notice->unsent)
            continue;
        notice->unsent = false;
        notice_message_fill(&items[message.n_items], notice, now_ms);
        list[message.n_items] = &items[message.n_items];
        message.n_items++;
    }
    send_ctx_t send = {gossip, &message};
    const broadcast_t broadcast = make_broadcast(&send);
    broadcast_to_all(&broadcast, str_hash(str_from(list[0]->backend), 0));
    free(list);
    free(items);
}

/* ---- receiving ---- */

void
notice_gossip_merge(notice_gossip_t *gossip, Iris__BackendNotice *const *items, size_t count)
{
    const uint64_t now_ms = loop_now(gossip->conf.loop);
    for (size_t i = 0; i < count; i++) {
        notice_t notice;
        if (notice_message_read(items[i], &notice, now_ms))
            catalog_merge_notice(gossip->conf.catalog, &notice, NOTICE_FROM_PEER);
    }
}

void
notice_gossip_receive(notice_gossip_t *gossip, const Iris__BackendNotices *message)
{
    notice_gossip_merge(gossip, message->items, message->n_items);
    if (!message->relay || !is_below_rate_limit(gossip))
        return;
    Iris__BackendNotices copy = IRIS__BACKEND_NOTICES__INIT;
    copy.n_items = message->n_items;
    copy.items = message->items;
    send_ctx_t send = {gossip, &copy};
    const broadcast_t broadcast = make_broadcast(&send);
    broadcast_to_mesh(&broadcast);
}

size_t
notice_gossip_fill(const notice_gossip_t *gossip, Iris__BackendNotice *out, size_t max,
                   unsigned round)
{
    const notices_t *notices = &gossip->conf.catalog->notices;
    const uint64_t now_ms = loop_now(gossip->conf.loop);
    size_t count = 0;
    for (; count < notices->count && count < max; count++) {
        const size_t index = ((size_t)round * max + count) % notices->count;
        notice_message_fill(&out[count], &notices->items[index], now_ms);
    }
    return count;
}
