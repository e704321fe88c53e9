#include "gateway/membership/notice_news.h"

#include <stdlib.h>

#include "base/loop_time.h"
#include "base/xmalloc.h"
#include "gateway/membership/notice_message.h"

/* 0.1 MB a second at 50 bytes each. */
#define MESSAGES_PER_S 2000.0

void
notice_news_init(notice_news_t *news, const notice_conf_t *conf)
{
    *news = (notice_news_t){.conf = *conf};
    bucket_init(&news->messages, MESSAGES_PER_S, MESSAGES_PER_S, loop_now(conf->loop));
}

/* ---- telling ---- */

/* One message to several. */
typedef struct {
    notice_news_t *news;
    Iris__BackendNotices *message;
} sending_t;

static bool
takes_notices(const member_t *member)
{
    return member->gives_permits;
}

static void
send_one(void *ctx, const member_t *member, bool relay)
{
    const sending_t *sending = ctx;
    notice_news_t *news = sending->news;
    Iris__Envelope envelope = IRIS__ENVELOPE__INIT;
    envelope.schema = PEER_SCHEMA;
    envelope.body_case = IRIS__ENVELOPE__BODY_BACKEND_NOTICES;
    envelope.backend_notices = sending->message;
    sending->message->relay = relay;
    peer_send(news->conf.hub, &member->peer, &envelope);
    bucket_charge(&news->messages, 1, loop_now(news->conf.loop));
}

static audience_t
audience_of(sending_t *sending)
{
    const notice_conf_t *conf = &sending->news->conf;
    return (audience_t){
        .members = conf->members,
        .own = conf->own,
        .region = conf->region,
        .now_ms = loop_now(conf->loop),
        .takes = takes_notices,
        .send = send_one,
        .ctx = sending,
    };
}

static bool
has_room(notice_news_t *news)
{
    return bucket_tokens(&news->messages, loop_now(news->conf.loop)) >= 1;
}

static bool
has_untold(const notices_t *notices)
{
    for (size_t i = 0; i < notices->count; i++) {
        if (notices->items[i].unsent)
            return true;
    }
    return false;
}

void
notice_news_tell(void *ctx)
{
    notice_news_t *news = ctx;
    notices_t *notices = &news->conf.catalog->notices;
    if (!has_untold(notices) || !has_room(news))
        return;
    const uint64_t now_ms = loop_now(news->conf.loop);
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
    sending_t sending = {news, &message};
    const audience_t audience = audience_of(&sending);
    audience_all(&audience, str_hash(str_from(list[0]->backend), 0));
    free(list);
    free(items);
}

/* ---- from others ---- */

void
notice_news_join(notice_news_t *news, Iris__BackendNotice *const *items, size_t count)
{
    const uint64_t now_ms = loop_now(news->conf.loop);
    for (size_t i = 0; i < count; i++) {
        notice_t notice;
        if (notice_message_read(items[i], &notice, now_ms))
            catalog_merge_notice(news->conf.catalog, &notice, NOTICE_FROM_PEER);
    }
}

void
notice_news_receive(notice_news_t *news, const Iris__BackendNotices *message)
{
    notice_news_join(news, message->items, message->n_items);
    if (!message->relay || !has_room(news))
        return;
    Iris__BackendNotices copy = IRIS__BACKEND_NOTICES__INIT;
    copy.n_items = message->n_items;
    copy.items = message->items;
    sending_t sending = {news, &copy};
    const audience_t audience = audience_of(&sending);
    audience_near(&audience);
}

size_t
notice_news_fill(const notice_news_t *news, Iris__BackendNotice *out, size_t most, unsigned round)
{
    const notices_t *notices = &news->conf.catalog->notices;
    const uint64_t now_ms = loop_now(news->conf.loop);
    size_t count = 0;
    for (; count < notices->count && count < most; count++) {
        const size_t index = ((size_t)round * most + count) % notices->count;
        notice_message_fill(&out[count], &notices->items[index], now_ms);
    }
    return count;
}
