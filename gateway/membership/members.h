/*
 * Membership: the instances this one knows, from their heartbeats. No agreement and no leader:
 * each instance judges for itself. Pure state; time is passed in.
 *
 * Members are kept by the address their peers use; one that fell silent is kept and tried now
 * and then, since a restarted instance comes back at its address.
 *
 * Up to MEMBERS_MESH instances all tell each other everything. In a larger fleet an instance tells
 * all of its region, and of each other region a few in turn; what a region needs of another, the
 * sum of its demand and its size, is in every heartbeat.
 */
#pragma once

#include "base/addr.h"
#include "gateway/policy/cold_start.h"
#include "gateway/ports.h"
#include "gateway/membership/topology.h"

enum {
    MEMBERS_MAX = 2048,
    MEMBERS_MESH = 16,
    MEMBERS_FOLLOWERS = 2,    /* a region: one may be turned away in silence */
    MEMBERS_OTHER_REGION = 1, /* told in a round, of each other region of a large fleet */
    MEMBER_DEMANDS_MAX = 16,
    HEARTBEAT_MIN_MS = 400,
    HEARTBEAT_MEMBER_MS = 20, /* longer rounds for each instance of a large region */
    HEARTBEAT_MAX_MS = 1200,
    STORE_AGE_NONE = 0xffffffff,
};

typedef struct {
    name_t service;
    double slots;
} member_demand_t;

typedef struct {
    uint64_t at;
    uint64_t digest;
    bool known;
} member_view_t;

typedef struct {
    addr_t peer;
    bool heard; /* at least one heartbeat; the fields below are unset before */
    name_t instance;
    name_t hall;
    size_t region;
    addr_t callers;
    uint64_t incarnation;
    uint64_t heard_ms;
    bool ready;
    bool leaving;
    uint32_t store_age_ms; /* as told at heard_ms */
    bool store_failing;    /* the store fails it */
    member_view_t views[VIEW_WATCHED];
    member_demand_t demands[MEMBER_DEMANDS_MAX];
    size_t demand_count;
    member_demand_t region_demands[MEMBER_DEMANDS_MAX]; /* of its whole region */
    size_t region_demand_count;
    uint32_t region_members;
    uint32_t interval_ms; /* between its heartbeats, 0 if not told */
    uint64_t told_ms;     /* when it was last sent a heartbeat */
} member_t;

typedef struct {
    member_t *items;
    size_t count;
    size_t size;
} members_t;

/* The member at that address, made if it is new; NULL if there are too many. */
member_t *members_at(members_t *members, const addr_t *peer);
bool member_alive(const member_t *member, uint64_t now_ms);
/* How many living members of its region that the store serves come before `own`, by name. The first
 * MEMBERS_FOLLOWERS follow the store. */
size_t members_rank_in_region(const members_t *members, str_t own, size_t region, uint64_t now_ms);
/* The age of a follower's newest answer from the store up to which its region relies on it: a watch
 * may rest for 3 s, and the age is told once in a round. */
uint32_t members_store_age_max_ms(const members_t *members, size_t region, uint64_t now_ms);
/* True if a living member got an answer from the store within `age_ms`. */
bool members_follow_store(const members_t *members, uint32_t age_ms, uint64_t now_ms);
/* True if the store fails all living members but the one named `own`. */
bool members_store_fails_all(const members_t *members, str_t own, uint64_t now_ms);
/* Silence, in milliseconds, after which an instance is not named to callers any more. */
uint64_t member_unnamed_after_ms(const member_t *member);
/* Slots that the callers of a region keep busy at a service: for the own region over its living
 * members, for another as the member last heard of there says. */
double members_demand(const members_t *members, str_t service, size_t region, size_t own_region,
                      uint64_t now_ms);
/* Living members of all regions, and of one. */
size_t members_living_everywhere(const members_t *members, uint64_t now_ms);
size_t members_living(const members_t *members, size_t region, uint64_t now_ms);
/* Instances of all regions: those ever heard of, or more if other regions say so. */
size_t members_total(const members_t *members, size_t own_region);
/* Time between two heartbeats of an instance of that region. */
uint32_t members_interval_ms(const members_t *members, size_t region, uint64_t now_ms);
/* True if the member is to be told in this round. */
bool members_is_target(const members_t *members, size_t index, size_t own_region, unsigned round,
                       uint64_t now_ms);
/* All members ever heard, for the pacing of cold upstreams; returns their number. */
size_t members_cold_senders(const members_t *members, cold_sender_t *out, size_t max);
uint64_t member_key(str_t instance);
void members_free(members_t *members);
