#include "gateway/membership/suspect_news.h"

#include <stdlib.h>

#include "base/loop_time.h"
#include "base/xmalloc.h"
#include "gateway/membership/audience.h"

enum {
    MESSAGES_A_SECOND = 2048, /* 100 bytes each are 2 Mbit/s; what exceeds it waits */
    MS_PER_S = 1000,
};

void
suspect_news_init(suspect_news_t *news, const suspect_news_conf_t *conf)
{
    *news = (suspect_news_t){.conf = *conf};
}

static bool
is_mesh(const suspect_news_t *news)
{
    return news->conf.members->count <= MEMBERS_MESH;
}

static bool
takes_suspects(const member_t *member)
{
    return member->reads_suspects;
}

/* ---- whom ---- */

typedef enum {
    TELL_KEEPERS, /* of the own region */
    TELL_REGION,
    TELL_ALL, /* the own region, and through relays the others */
} whom_t;

/* One message to several. */
typedef struct {
    suspect_news_t *news;
    Iris__Suspects *message;
} sending_t;

static void
send_one(void *ctx, const member_t *member, bool relay)
{
    const sending_t *sending = ctx;
    Iris__Envelope envelope = IRIS__ENVELOPE__INIT;
    envelope.schema = PEER_SCHEMA;
    envelope.body_case = IRIS__ENVELOPE__BODY_SUSPECTS;
    envelope.suspects = sending->message;
    sending->message->relay = relay;
    peer_send(sending->news->conf.hub, &member->peer, &envelope);
    sending->news->sent++;
}

static void
send_to(suspect_news_t *news, Iris__Suspects *message, whom_t whom, uint64_t seed)
{
    sending_t sending = {news, message};
    const audience_t audience = {
        .members = news->conf.members,
        .own = news->conf.own,
        .region = news->conf.region,
        .now_ms = loop_now(news->conf.loop),
        .takes = takes_suspects,
        .send = send_one,
        .ctx = &sending,
    };
    switch (whom) {
    case TELL_KEEPERS:
        audience_keepers(&audience, seed);
        break;
    case TELL_REGION:
        audience_near(&audience);
        break;
    case TELL_ALL:
        audience_all(&audience, seed);
        break;
    }
}

/* ---- what ---- */

/* True if all are to know of it: it is held, or all were told that it was. A family goes with its
 * first member: the next one comes from another address, anywhere, and would end as many in each
 * region (up to nine instead of three, in soaks of 24 instances in three regions). */
static bool
is_for_all(const suspect_t *suspect)
{
    return suspect->sent_to_all || !quarantine_may_resend(suspect_lives(suspect));
}

static bool
has_untold(const suspects_t *suspects)
{
    for (size_t i = 0; i < suspects->count; i++) {
        if (suspects->items[i]->unsent)
            return true;
    }
    return false;
}

/* Sends the untold suspects that are for those, in one message, or in one for each. */
static void
tell(suspect_news_t *news, whom_t whom, bool for_all)
{
    const suspects_t *suspects = news->conf.suspects;
    const uint64_t now_ms = loop_now(news->conf.loop);
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
        if (whom != TELL_KEEPERS)
            continue;
        send_to(news, &message, whom, suspect->fingerprint);
        message.n_items = 0;
    }
    if (message.n_items > 0)
        send_to(news, &message, whom, list[0]->request);
    free(list);
    free(items);
}

static bool
has_room(suspect_news_t *news)
{
    const uint64_t second = loop_now(news->conf.loop) / MS_PER_S;
    if (second != news->second) {
        news->second = second;
        news->sent = 0;
    }
    return news->sent < MESSAGES_A_SECOND;
}

void
suspect_news_tell(void *ctx)
{
    suspect_news_t *news = ctx;
    if (!has_untold(news->conf.suspects) || !has_room(news))
        return;
    tell(news, TELL_ALL, true);
    tell(news, is_mesh(news) ? TELL_ALL : TELL_KEEPERS, false);
}

/* ---- from others ---- */

/* Returns true if it is to be told on: the keepers of a request learn first that it is held. */
static bool
join(suspect_news_t *news, const Iris__Suspect *message)
{
    const uint64_t now_ms = loop_now(news->conf.loop);
    suspect_t theirs;
    suspect_message_read(message, &theirs, now_ms);
    const suspect_t *known = suspects_find(news->conf.suspects, theirs.fingerprint);
    const unsigned before = known != NULL ? suspect_lives(known) : 0;
    suspects_merge(news->conf.suspects, &theirs, now_ms);
    known = suspects_find(news->conf.suspects, theirs.fingerprint);
    const unsigned lives = known != NULL ? suspect_lives(known) : 0;
    return !is_mesh(news) && lives > before && !quarantine_may_resend(lives) &&
           quarantine_may_resend(suspect_lives(&theirs));
}

void
suspect_news_join(suspect_news_t *news, Iris__Suspect *const *items, size_t count)
{
    bool tell_on = false;
    for (size_t i = 0; i < count; i++) {
        if (!join(news, items[i]))
            continue;
        suspects_find(news->conf.suspects, items[i]->request)->unsent = true;
        tell_on = true;
    }
    if (tell_on)
        suspect_news_tell(news);
}

/* What came from another region is told to the own one as it is. */
static void
relay(suspect_news_t *news, const Iris__Suspects *message)
{
    Iris__Suspects copy = IRIS__SUSPECTS__INIT;
    copy.n_items = message->n_items;
    copy.items = message->items;
    if (has_room(news))
        send_to(news, &copy, TELL_REGION, 0);
}

void
suspect_news_receive(suspect_news_t *news, const Iris__Suspects *message)
{
    suspect_news_join(news, message->items, message->n_items);
    if (message->relay)
        relay(news, message);
}

size_t
suspect_news_fill(const suspect_news_t *news, suspect_message_t *out, size_t most, unsigned round)
{
    const suspects_t *suspects = news->conf.suspects;
    const uint64_t now_ms = loop_now(news->conf.loop);
    size_t count = 0;
    for (size_t i = 0; i < suspects->count && count < most; i++) {
        const size_t index = ((size_t)round * most + i) % suspects->count;
        const suspect_t *suspect = suspects->items[index];
        if (!suspect->sent || (!is_mesh(news) && !is_for_all(suspect)))
            continue;
        suspect_message_fill(&out[count++], suspect, now_ms);
    }
    return count;
}
