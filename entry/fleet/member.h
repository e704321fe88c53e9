/*
 * Membership of the region's entry instances, from heartbeats and the platform's list.
 *
 * A member is alive if a message from it arrived within MEMBER_TIMEOUT_MS, whatever the list says,
 * since the list lags. It may be used in look-up answers while alive and not leaving. Performs no
 * I/O.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/addr.h"
#include "base/str.h"
#include "entry/fleet/instance.h"

/* three heartbeats (control.c) */
enum { MEMBER_TIMEOUT_MS = 3000 };

typedef struct {
    name_t name;
    name_t place;
    uint64_t incarnation; /* 0 until its first message */
    uint64_t heard_ms;
    addr_t addr;
    addr_t peer;
    addr_t admin;
    bool listed;
    bool leaving_listed;
    bool leaving_reported;
    uint32_t usable;
    uint32_t in_flight;
    uint64_t stamp_ms; /* sender time of its last heartbeat, echoed back */
    bool surrendered;  /* has given up its credits permanently */
} member_t;

typedef struct {
    member_t *items;
    size_t count;
} members_t;

member_t *members_find(const members_t *members, str_t name);
/* Updates the members to the region's entries in the list, except `self`. */
void members_update(members_t *members, const instances_t *list, str_t region, str_t self);
/* Records a message from a member; false if the member is unknown or the incarnation is old. */
bool members_record_message(members_t *members, str_t name, uint64_t incarnation, bool leaving,
                            uint64_t now_ms);
bool member_alive(const member_t *member, uint64_t now_ms);
/* The live member with the most free credits; NULL if none has any. */
const member_t *members_most_free(const members_t *members, uint64_t now_ms);
bool member_serves(const member_t *member, uint64_t now_ms);
