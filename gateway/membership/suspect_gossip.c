#include "gateway/membership/suspect_gossip.h"

#include <stdlib.h>

#include "base/loop_time.h"
#include "base/xmalloc.h"
#include "gateway/membership/broadcast.h"

enum {
    MESSAGES_PER_S = 2048, /* 2 Mbit/s at 100 bytes each; excess messages wait */
    MS_PER_S = 1000,
};

void
suspect_gossip_init(suspect_gossip_t *gossip, const suspect_gossip_conf_t *conf)
{
    *gossip = (suspect_gossip_t){.conf = *conf};
}

static bool
is_full_mesh(const suspect_gossip_t *gossip)
{
    return gossip->conf.members->count <= MEMBERS_FULL_MESH_MAX;
}

static bool
accepts_suspects(const member_t *member)
{
    return member->supports_suspects;
}

/* ---- receivers ---- */

typedef enum {
    SEND_TO_REPLICAS, /* in the own region */
    SEND_TO_REGION,
    SEND_TO_ALL, /* the own region, and the others through relays */
} recipients_t;

/* A message that is sent to several instances. */
typedef struct {
    suspect_gossip_t *gossip;
    Iris__Suspects *message;
} send_ctx_t;

static void
send_one(void *ctx, const member_t *member, bool relay)
{
    const send_ctx_t *send = ctx;
    Iris__Envelope envelope = IRIS__ENVELOPE__INIT;
    envelope.schema = PEER_SCHEMA;
    envelope.body_case = IRIS__ENVELOPE__BODY_SUSPECTS;
    envelope.suspects = send->message;
    send->message->relay = relay;
    peer_send(send->gossip->conf.hub, &member->peer, &envelope);
    send->gossip->sent++;
}

static void
send_to(suspect_gossip_t *gossip, Iris__Suspects *message, recipients_t recipients, uint64_t seed)
{
    send_ctx_t send = {gossip, message};
    const broadcast_t broadcast = {
        .members = gossip->conf.members,
        .own = gossip->conf.own,
        .region = gossip->conf.region,
        .now_ms = loop_now(gossip->conf.loop),
        .accepts = accepts_suspects,
        .send = send_one,
        .ctx = &send,
    };
    switch (recipients) {
    case SEND_TO_REPLICAS:
        broadcast_to_replicas(&broadcast, seed);
        break;
    case SEND_TO_REGION:
        broadcast_to_mesh(&broadcast);
        break;
    case SEND_TO_ALL:
        broadcast_to_all(&broadcast, seed);
        break;
    }
}

/* ---- sending ---- */

/* True if all instances must know it: it is quarantined, or was sent to all before. A family is
 * sent to all from its first member, because the next one may reach any region. */
static bool
is_for_all(const suspect_t *suspect)
{
    return suspect->sent_to_all || !quarantine_may_resend(suspect_incarnations(suspect));
}

static bool
has_unsent(const suspects_t *suspects)
{
    for (size_t i = 0; i < suspects->count; i++) {
        if (suspects->items[i]->unsent)
            return true;
    }
    return false;
}

/* Sends the unsent suspects selected by `for_all`, in one message or, to replicas, one message
 * each. */
static void
send_unsent(suspect_gossip_t *gossip, recipients_t recipients, bool for_all)
{
    const suspects_t *suspects = gossip->conf.suspects;
    const uint64_t now_ms = loop_now(gossip->conf.loop);
    suspect_message_t *items = xcalloc(suspects->count + 1, sizeof(*items));
    Iris__Suspect **list = xcalloc(suspects->count + 1, sizeof(*list));
    Iris__Suspects message = IRIS__SUSPECTS__INIT;
    message.items = list;
    for (size_t i = 0; i < suspects->count; i++) {
        suspect_t *suspect = suspects->items[i];
        if (!suspect->unsent || is_for_all(suspect) != for_all)
            continue;
        suspect->unsent = false;
        suspect->sent = true;
        suspect->sent_to_all |= for_all;
        suspect_message_t *item = &items[message.n_items];
        suspect_message_fill(item, suspect, now_ms);
        list[message.n_items++] = &item->message;
        if (recipients != SEND_TO_REPLICAS)
            continue;
        send_to(gossip, &message, recipients, suspect->fingerprint);
        message.n_items = 0;
    }
    if (message.n_items > 0)
        send_to(gossip, &message, recipients, list[0]->request);
    free(list);
    free(items);
}

static bool
is_below_rate_limit(suspect_gossip_t *gossip)
{
    const uint64_t second = loop_now(gossip->conf.loop) / MS_PER_S;
    if (second != gossip->second) {
        gossip->second = second;
        gossip->sent = 0;
    }
    return gossip->sent < MESSAGES_PER_S;
}

void
suspect_gossip_send_unsent(void *ctx)
{
    suspect_gossip_t *gossip = ctx;
    if (!has_unsent(gossip->conf.suspects) || !is_below_rate_limit(gossip))
        return;
    send_unsent(gossip, SEND_TO_ALL, true);
    send_unsent(gossip, is_full_mesh(gossip) ? SEND_TO_ALL : SEND_TO_REPLICAS, false);
}

/* ---- receiving ---- */

/* Returns true if the suspect became quarantined by the merge and must be sent on: the replicas of
 * a request learn that first. */
static bool
merge_one(suspect_gossip_t *gossip, const Iris__Suspect *message)
{
    const uint64_t now_ms = loop_now(gossip->conf.loop);
    suspect_t received;
    suspect_message_read(message, &received, now_ms);
    const suspect_t *known = suspects_find(gossip->conf.suspects, received.fingerprint);
    const unsigned before = known != NULL ? suspect_incarnations(known) : 0;
    suspects_merge(gossip->conf.suspects, &received, now_ms);
    known = suspects_find(gossip->conf.suspects, received.fingerprint);
    const unsigned incarnations = known != NULL ? suspect_incarnations(known) : 0;
    return !is_full_mesh(gossip) && incarnations > before && !quarantine_may_resend(incarnations) &&
           quarantine_may_resend(suspect_incarnations(&received));
}

void
suspect_gossip_merge(suspect_gossip_t *gossip, Iris__Suspect *const *items, size_t count)
{
    bool has_resend = false;
    for (size_t i = 0; i < count; i++) {
        if (!merge_one(gossip, items[i]))
            continue;
        suspects_find(gossip->conf.suspects, items[i]->request)->unsent = true;
        has_resend = true;
    }
    if (has_resend)
        suspect_gossip_send_unsent(gossip);
}

/* Forwards an update from another region to the own region. */
static void
relay(suspect_gossip_t *gossip, const Iris__Suspects *message)
{
    Iris__Suspects copy = IRIS__SUSPECTS__INIT;
    copy.n_items = message->n_items;
    copy.items = message->items;
    if (is_below_rate_limit(gossip))
        send_to(gossip, &copy, SEND_TO_REGION, 0);
}

void
suspect_gossip_receive(suspect_gossip_t *gossip, const Iris__Suspects *message)
{
    suspect_gossip_merge(gossip, message->items, message->n_items);
    if (message->relay)
        relay(gossip, message);
}

size_t
suspect_gossip_fill(const suspect_gossip_t *gossip, suspect_message_t *out, size_t max,
                    unsigned round)
{
    const suspects_t *suspects = gossip->conf.suspects;
    const uint64_t now_ms = loop_now(gossip->conf.loop);
    size_t count = 0;
    for (size_t i = 0; i < suspects->count && count < max; i++) {
        const size_t index = ((size_t)round * max + i) % suspects->count;
        const suspect_t *suspect = suspects->items[index];
        if (!suspect->sent || (!is_full_mesh(gossip) && !is_for_all(suspect)))
            continue;
        suspect_message_fill(&out[count++], suspect, now_ms);
    }
    return count;
}
