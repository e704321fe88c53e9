/*
 * Notice news: what instances tell each other of what backend servers told of themselves.
 *
 * A change goes to all at once (broadcast.h), and what is known goes again in heartbeats, a few in
 * turn, for whoever missed it; an instance heard anew gets more of them with the answer to its
 * first heartbeat, before it sends to anybody. Nothing of it goes through the store. Some 40 bytes
 * each.
 *
 * Owns nothing but the bound on messages. Relies on members.h for recipients there is, on the
 * catalog for the notices, on peer/link.h.
 */
#pragma once

#include <uv.h>

#include "gateway/membership/broadcast.h"
#include "gateway/state/catalog.h"
#include "peer/link.h"

enum {
    /* In one heartbeat: 24 limited backend servers are told in 1.2 s. */
    NOTICES_PER_HEARTBEAT = 8,
    /* The same in a fleet of more than MEMBERS_FULL_MESH_MAX instances, which hear as many each
       second. */
    NOTICES_PER_HEARTBEAT_LARGE = 1,
    NOTICES_PER_REPLY = 64,
};

/* Of what instances tell each other of backend servers; also of permits. */
typedef struct {
    uv_loop_t *loop;
    members_t *members;
    catalog_t *catalog;
    peer_hub_t *hub;
    addr_t own; /* where peers reach this instance */
    size_t region;
} notice_gossip_conf_t;

typedef struct {
    notice_gossip_conf_t conf;
    bucket_t messages; /* that may be sent */
} notice_gossip_t;

void notice_gossip_init(notice_gossip_t *gossip, const notice_gossip_conf_t *conf);
/* Tells what is untold; `ctx` is the notice_gossip_t. What exceeds the bound on messages waits for
 * the next call. */
void notice_gossip_send_unsent(void *ctx);
/* Takes in what a peer tells. */
void notice_gossip_receive(notice_gossip_t *gossip, const Iris__BackendNotices *message);
/* The same, from a heartbeat. */
void notice_gossip_merge(notice_gossip_t *gossip, Iris__BackendNotice *const *items, size_t count);
/* Fills messages with up to `max` notices, another part for each `round`; returns their number. */
size_t notice_gossip_fill(const notice_gossip_t *gossip, Iris__BackendNotice *out, size_t max,
                          unsigned round);
