/*
 * Links between some gateways of a test and its backend servers: TCP forwarders that can be cut,
 * while other gateways reach the backend servers directly.
 */
#pragma once

#include <uv.h>

#include "gateway/ports.h"

typedef enum {
    LINK_OPEN,
    LINK_HANGS,   /* new connections do not come up, open ones fall silent */
    LINK_RESETS,  /* open connections are reset, new ones refused */
    LINK_REFUSES, /* open connections live on, new ones are refused */
} link_mode_t;

/* Decoder for gateways whose connections to backend servers go over links, one a backend server.
 * The loop must be set before the first entry is decoded. */
const decoder_port_t *link_decoder(uv_loop_t *loop);
/* Sets the mode of all links. */
void link_set_mode(link_mode_t mode);
