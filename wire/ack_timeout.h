/*
 * Acknowledgement timeout: how long the kernel waits for the acknowledgement of what a call has
 * written before it gives the connection up (TCP_USER_TIMEOUT).
 *
 * It bounds how long a request waits for a path that is broken before it can be sent elsewhere, and
 * how much of what a killed process has written is still on its way: a kernel that closes the
 * connection of such a process without a reset goes on sending.
 *
 * A sound path may lose a packet: the kernel sends it again after a round trip and 200 ms, and a
 * further round trip passes until its acknowledgement. Two in a row are taken for a broken path. A
 * request that exceeds the buffers of the server waits for it to read, which says nothing about the
 * path, so that the longest timeout applies.
 *
 * Stateless.
 */
#pragma once

#include <stddef.h>
#include <stdint.h>

enum {
    ACK_TIMEOUT_MIN_MS = 500,  /* a machine may stand still for some 100 ms */
    ACK_TIMEOUT_MAX_MS = 1200, /* detects a server that lost power */
    /* Requests up to this size fit into the receive buffer of any server. */
    ACK_TIMEOUT_SHORT_REQUEST_MAX = 16384,
};

/* `connect_ms`: time that the connection took to come up, about a round trip. */
uint64_t ack_timeout_ms(uint64_t connect_ms, size_t request_len);
