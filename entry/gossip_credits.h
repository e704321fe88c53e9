/*
 * Credits that instances of a region lend each other.
 *
 * What may be lent is region/credit.h's decision; a lost answer loses credits, never doubles them.
 */
#pragma once

#include "entry/node_state.h"

/* Asks the member with the most free credits for some. */
void gossip_borrow(node_t *node);
void gossip_on_borrow(node_t *node, peer_conn_t *conn, const Iris__BorrowRequest *borrow);
