#include "entry/gossip_credits.h"
#include "entry/gossip_envelope.h"

/* Chosen, not measured. */
enum { BORROW_MAX = 64 /* credits asked for at once */ };

void
gossip_borrow(node_t *node)
{
    const member_t *best = members_most_free(&node->members, node_now(node));
    if (best == NULL)
        return;
    Iris__BorrowRequest borrow = IRIS__BORROW_REQUEST__INIT;
    Iris__Envelope message = gossip_envelope(IRIS__ENVELOPE__BODY_BORROW);
    borrow.instance = node->settings.name.ptr;
    borrow.epoch = credit_epoch(node->credit);
    borrow.want =
        (uint32_t)(node->waiting_count < BORROW_MAX ? node->waiting_count + 1 : BORROW_MAX);
    message.borrow = &borrow;
    peer_send(node->hub, &best->peer, &message);
}

void
gossip_on_borrow(node_t *node, peer_conn_t *conn, const Iris__BorrowRequest *borrow)
{
    Iris__BorrowAnswer answer = IRIS__BORROW_ANSWER__INIT;
    Iris__Envelope message = gossip_envelope(IRIS__ENVELOPE__BODY_LEND);
    answer.instance = node->settings.name.ptr;
    answer.epoch = borrow->epoch;
    answer.granted = credit_lend(node->credit, borrow->epoch, borrow->want, node_now(node));
    message.lend = &answer;
    if (answer.granted > 0)
        peer_reply(conn, &message);
}
