/*
 * Notice news: what instances tell each other of what backend servers told of themselves.
 *
 * A change goes to all at once (audience.h), and what is known goes again in heartbeats, a few in
 * turn, for whoever missed it; an instance heard anew gets more of them with the answer to its
 * first heartbeat, before it sends to anybody. Nothing of it goes through the store. Some 40 bytes
 * each.
 *
 * Owns nothing but the bound on messages. Relies on members.h for whom there is, on the catalog for
 * the notices, on peer/link.h.
 */
#pragma once

#include <uv.h>

#include "gateway/membership/audience.h"
#include "gateway/state/catalog.h"
#include "peer/link.h"

enum {
    /* In one heartbeat: 24 limited backend servers are told in 1.2 s. */
    NOTICES_A_HEARTBEAT = 8,
    /* The same in a fleet of more than MEMBERS_MESH instances, which hear as many each second. */
    NOTICES_A_HEARTBEAT_LARGE = 1,
    NOTICES_AN_ANSWER = 64,
};

/* Of what instances tell each other of backend servers; also of permits. */
typedef struct {
    uv_loop_t *loop;
    members_t *members;
    catalog_t *catalog;
    peer_hub_t *hub;
    addr_t own; /* where peers reach this instance */
    size_t region;
} notice_conf_t;

typedef struct {
    notice_conf_t conf;
    bucket_t messages; /* that may be sent */
} notice_news_t;

void notice_news_init(notice_news_t *news, const notice_conf_t *conf);
/* Tells what is untold; `ctx` is the notice_news_t. What exceeds the bound on messages waits for
 * the next call. */
void notice_news_tell(void *ctx);
/* Takes in what a peer tells. */
void notice_news_receive(notice_news_t *news, const Iris__BackendNotices *message);
/* The same, from a heartbeat. */
void notice_news_join(notice_news_t *news, Iris__BackendNotice *const *items, size_t count);
/* Fills messages with up to `most` notices, another part for each `round`; returns their number. */
size_t notice_news_fill(const notice_news_t *news, Iris__BackendNotice *out, size_t most,
                        unsigned round);
