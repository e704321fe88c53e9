/*
 * Membership: the instances that this one knows, from their heartbeats.
 *
 * No agreement and no leader: each instance judges for itself by silence. Members are kept by the
 * address at which peers reach them; one that fell silent is kept and tried now and then, since a
 * restarted instance comes back at its address.
 * Up to MEMBERS_MESH instances all send each other heartbeats. In a larger fleet an instance sends
 * to all of its region and to one of each other region in turn; what a region needs of another, the
 * sum of its demand and its size, is in every heartbeat.
 *
 * Owns the table of members. Relies on nothing; time is passed in. Filled by heartbeat.h.
 */
#pragma once

#include "base/addr.h"
#include "gateway/policy/cold_start.h"
#include "gateway/ports.h"
#include "gateway/membership/topology.h"
#include "gateway/state/view_format.h"

enum {
    MEMBERS_MAX = 2048, /* above the fleet to design for (1,400 instances) */
    MEMBERS_MESH = 16,  /* instances that all talk to each other; the small sites have 9 to 12 */
    /* Members of each other region that get a heartbeat in a round (commit 750a091). */
    MEMBERS_OTHER_REGION = 1,
    /* Services in a heartbeat, those with the greatest demand. Chosen: above the users' largest
     * site. */
    MEMBER_DEMANDS_MAX = 16,
    /* Milliseconds between heartbeats: 20 for each member of the region, within these limits. The
     * slope keeps 1,400 instances near the bound on bytes (docs/CAPACITY.md, commit 750a091). */
    HEARTBEAT_MIN_MS = 400,
    HEARTBEAT_MEMBER_MS = 20,
    HEARTBEAT_MAX_MS = 1200,
    /* Instances that the store must fail for an outage: those that try first where nobody watches
     * (policy/store_turns.c). */
    MEMBERS_WITNESSES = 4,
    STORE_AGE_NONE = 0xffffffff, /* store_age_ms of an instance that does not watch the store */
};

/* Slots of a service that callers keep busy. */
typedef struct {
    name_t service;
    double slots;
} member_demand_t;

/* What a member holds of one view; see view.h. */
typedef struct {
    uint64_t at;
    uint64_t digest;
    bool known;
} member_view_t;

/* What an instance was given and what it carries; 0 where it does not say. */
typedef struct {
    double link_bytes_per_s; /* of its link, one direction */
    double cpu_cores;
    double requests_per_s;
    double bytes_per_s; /* one direction */
} member_capacity_t;

typedef struct {
    addr_t peer; /* where its peers reach it */
    bool heard;  /* at least one heartbeat came; the fields below are unset before */
    name_t instance;
    name_t hall;
    size_t region;
    addr_t callers;       /* where its callers reach it */
    uint64_t incarnation; /* random number of this life of the process */
    uint64_t heard_ms;    /* time of its last heartbeat; what follows is as of then */
    bool ready;
    bool leaving;
    uint32_t store_age_ms;              /* since the store last answered it, or STORE_AGE_NONE */
    bool store_failing;                 /* the store fails it */
    view_format_t reads;                /* how it takes changes of views */
    bool announced;                     /* it says that the store has its entry */
    bool reads_suspects;                /* it takes messages of suspects */
    bool reads_accounts;                /* it takes messages of client accounts */
    bool gives_permits;                 /* it takes notices, and gives permits */
    bool refuses;                       /* no process listens there, since it was heard last */
    uint64_t accounts_avoided_until_ms; /* it left a report of accounts without an answer */
    member_view_t views[VIEW_WATCHED];
    member_demand_t demands[MEMBER_DEMANDS_MAX];
    size_t demand_count;
    member_demand_t region_demands[MEMBER_DEMANDS_MAX]; /* sum over its region */
    size_t region_demand_count;
    member_capacity_t capacity;
    uint32_t region_members; /* living members of its region, as it counts them */
    uint32_t interval_ms;    /* between its heartbeats, 0 if not known */
    uint64_t sent_ms;        /* time of our last heartbeat to it */
    bool logged_living;      /* the log says that it lives */
} member_t;

typedef struct {
    member_t *items;
    size_t count;
    size_t size;
} members_t;

/* The member at that address, made if it is new; NULL if there are too many. The table owns what is
 * returned; the next new member may move it. */
member_t *members_at(members_t *members, const addr_t *peer);
bool member_alive(const member_t *member, uint64_t now_ms);
/* Number of living members of its region whose name comes before `own`: of those that the store
 * serves, or of all. */
size_t members_rank_in_region(const members_t *members, str_t own, size_t region, bool served,
                              uint64_t now_ms);
/* Age in milliseconds of a watcher's newest answer from the store up to which its region relies on
 * it: a watch may rest for 3 s, and the age is sent once in a heartbeat. */
uint32_t members_store_age_max_ms(const members_t *members, size_t region, uint64_t now_ms);
/* True if a living member that sends changes on to the region got an answer from the store within
 * `age_ms`: one of that region, or in a small fleet any. */
bool members_watch_store(const members_t *members, size_t region, uint32_t age_ms, uint64_t now_ms);
/* True if the store is away for all, as far as is known: it answers no living member, and fails
 * MEMBERS_WITNESSES of them, or all if there are fewer. The one named `own` is told by
 * `own_failing`; most instances of a large fleet do not call the store and cannot tell. */
bool members_store_is_away(const members_t *members, str_t own, bool own_failing, uint32_t age_ms,
                           uint64_t now_ms);
/* True if the store fails a living member. */
bool members_store_fails_any(const members_t *members, uint64_t now_ms);
/* Revision of the newest view of a kind that a living member holds and that is newer than `at` and
 * other than the one of that digest; 0 if there is none. */
uint64_t members_newer_view(const members_t *members, view_kind_t kind, uint64_t at,
                            uint64_t digest, uint64_t now_ms);
/* True if the store answered a living member, whom it does not fail, within that age. One that has
 * not had an answer for each kind yet does not say that it watches. */
bool members_store_serves(const members_t *members, uint32_t age_ms, uint64_t now_ms);
/* Silence, in milliseconds, after which an instance is not named to callers any more. */
uint64_t member_unnamed_after_ms(const member_t *member);
/* Slots of a service that the callers of a region keep busy: for the own region the sum over its
 * living members, for another region what its member heard last says. */
double members_demand(const members_t *members, str_t service, size_t region, size_t own_region,
                      uint64_t now_ms);
/* Requests a second that the living members of a region carry. */
double members_requests_per_s(const members_t *members, size_t region, uint64_t now_ms);
/* Living members of all regions, and of one. */
size_t members_living_everywhere(const members_t *members, uint64_t now_ms);
size_t members_living(const members_t *members, size_t region, uint64_t now_ms);
/* Instances of all regions: those ever heard of, or more if other regions say so. */
size_t members_total(const members_t *members, size_t own_region);
/* Milliseconds between two heartbeats of an instance of that region. */
uint32_t members_interval_ms(const members_t *members, size_t region, uint64_t now_ms);
/* True if the member gets a heartbeat in this round. */
bool members_is_target(const members_t *members, size_t index, size_t own_region, unsigned round,
                       uint64_t now_ms);
/* All members ever heard, as senders to cold backends; returns their number. */
size_t members_cold_senders(const members_t *members, cold_sender_t *out, size_t max);
/* Hash of an instance's name, its key among those senders. */
uint64_t member_key(str_t instance);
void members_free(members_t *members);
