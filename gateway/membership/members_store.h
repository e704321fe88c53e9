/*
 * Members and the store: which members watch the platform's store, and whether it serves them.
 *
 * Reads what heartbeats reported (members.h). The order of the watchers is decided by
 * policy/store_schedule.h; it is the same on all instances that know the same members.
 *
 * Stateless.
 */
#pragma once

#include "gateway/membership/members.h"

/* Number of alive members of the own mesh that come before the one named `own` in the order of
 * store_schedule.h: all, or if `served` only those whose store requests succeed. */
size_t members_rank_in_mesh(const members_t *members, str_t own, size_t region, bool served,
                            uint64_t now_ms);
/* Maximum age in milliseconds of a watcher's last answer from the store for its mesh to rely on
 * it. Allows for an idle watch of 3 s and the heartbeat interval. */
uint32_t members_store_age_max_ms(const members_t *members, size_t region, uint64_t now_ms);
/* True if an alive member that forwards changes to this instance got an answer from the store
 * within `age_ms`: a member of its mesh, or any member in a full mesh. */
bool members_watch_store(const members_t *members, size_t region, uint32_t age_ms, uint64_t now_ms);
/* True if the store is down as far as known: it answers no alive member and fails for
 * MEMBERS_OUTAGE_QUORUM of them, or for all if there are fewer. `own_failing` gives the state of
 * the member named `own`. Most instances of a large fleet do not call the store and do not count as
 * failing. */
bool members_store_is_down(const members_t *members, str_t own, bool own_failing, uint32_t age_ms,
                           uint64_t now_ms);
/* True if the store fails for an alive member. */
bool members_any_store_failure(const members_t *members, uint64_t now_ms);
/* Forgets which members are announced in the store. */
void members_forget_announcements(members_t *members);
/* True if the store answered an alive member within `age_ms` and does not fail for it. A member
 * reports no age until it has had an answer for each kind of view. */
bool members_store_serves(const members_t *members, uint32_t age_ms, uint64_t now_ms);
