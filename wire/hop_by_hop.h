/*
 * Fields of a message that are not passed on (RFC 9110, 7.6.1): hop-by-hop fields, those that
 * describe the framing, and those that Connection names.
 *
 * The names in Connection are collected once for a head, so that the work grows with its size only.
 */
#pragma once

#include "wire/head.h"

typedef struct {
    uint64_t *names; /* hashes of the names in Connection, sorted */
    size_t count;
} wire_hop_by_hop_t;

/* The caller frees the result with wire_hop_by_hop_free(). */
wire_hop_by_hop_t wire_hop_by_hop_find(const wire_head_t *head);
bool wire_is_hop_by_hop(const wire_hop_by_hop_t *fields, str_t name);
void wire_hop_by_hop_free(wire_hop_by_hop_t *fields);
