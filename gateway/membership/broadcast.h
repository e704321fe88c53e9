/*
 * Audience: which instances are told a piece of news at once.
 *
 * Up to MEMBERS_FULL_MESH_MAX instances everything goes straight to all. In a larger fleet it goes
 * to all of the own region, and to two of each other region that tell theirs (relays).
 *
 * Owns nothing. Relies on members.h; time is passed in.
 */
#pragma once

#include "gateway/membership/members.h"

/* Sends to one of them. `relay`: it is to tell its own region. */
typedef void (*broadcast_send_t)(void *ctx, const member_t *member, bool relay);

typedef struct {
    const members_t *members;
    addr_t own; /* where peers reach this instance */
    size_t region;
    uint64_t now_ms;
    bool (*accepts)(const member_t *member); /* it knows that kind of news */
    broadcast_send_t send;
    void *ctx;
} broadcast_t;

/* All that live of the own region, or in a small fleet all. */
void broadcast_to_region(const broadcast_t *broadcast);
/* A few of the own region, which are the same ones for that seed wherever it is sent; in a small
 * fleet all. */
void broadcast_to_replicas(const broadcast_t *broadcast, uint64_t seed);
/* All regions: the own one, and through relays the others. */
void broadcast_to_all(const broadcast_t *broadcast, uint64_t seed);
