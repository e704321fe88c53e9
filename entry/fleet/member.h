/*
 * Membership of the region's entry instances: what heartbeats and the platform's list say.
 *
 * A member is alive while it was heard from within MEMBER_TIMEOUT_MS, whatever the lagging list
 * says; it is usable for look-up answers while alive and not leaving. Pure.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"
#include "base/str.h"
#include "entry/fleet/instance.h"

/* Three heartbeats (control.c). Chosen, not measured. */
enum { MEMBER_TIMEOUT_MS = 3000 };

typedef struct {
    name_t name;
    name_t place;
    uint64_t incarnation; /* 0 until it was heard from */
    uint64_t heard_ms;
    addr_t addr;
    addr_t peer;
    addr_t admin;
    bool listed;
    bool leaving_listed;
    bool leaving_reported;
    uint32_t usable;
    uint32_t in_flight;
    uint64_t stamp_ms; /* its own time in the last heartbeat, to be echoed */
    bool surrendered;  /* of its credits, for good */
} member_t;

typedef struct {
    member_t *items;
    size_t count;
} members_t;

member_t *members_find(const members_t *members, str_t name);
/* Takes over the region's entries from the list, `self` excepted. */
void members_update(members_t *members, const instances_t *list, str_t region, str_t self);
/* A message of the member arrived. An older incarnation is ignored (false). */
bool members_record_message(members_t *members, str_t name, uint64_t incarnation, bool leaving,
                            uint64_t now_ms);
bool member_alive(const member_t *member, uint64_t now_ms);
/* The live member with the most free credits, NULL if none has any. */
const member_t *members_most_free(const members_t *members, uint64_t now_ms);
bool member_serves(const member_t *member, uint64_t now_ms);
