#include "entry/gossip.h"
#include "entry/gossip_credits.h"
#include "entry/gossip_heartbeat.h"
#include "entry/gossip_objects.h"

void
gossip_message(void *ctx, peer_conn_t *conn, const Iris__Envelope *message)
{
    node_t *node = ctx;
    switch (message->body_case) {
    case IRIS__ENVELOPE__BODY_HEARTBEAT:
        gossip_on_heartbeat(node, conn, message->heartbeat);
        return;
    case IRIS__ENVELOPE__BODY_VERSIONS:
        gossip_on_versions(node, conn, message->versions);
        return;
    case IRIS__ENVELOPE__BODY_PUSH:
        gossip_on_push(node, message->push);
        return;
    case IRIS__ENVELOPE__BODY_BORROW:
        gossip_on_borrow(node, conn, message->borrow);
        return;
    case IRIS__ENVELOPE__BODY_LEND:
        credit_borrowed(node->credit, message->lend->epoch, message->lend->granted);
        return;
    default:
        return;
    }
}
