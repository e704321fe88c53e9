/*
 * Membership: the instances that this one knows from their heartbeats.
 *
 * There is no consensus and no leader: each instance detects failures by itself, from missing
 * heartbeats. Members are keyed by their peer address. A silent member is kept and retried, since a
 * restarted instance returns at the same address.
 *
 * Instances that exchange heartbeats all-to-all form a mesh:
 *
 *  - up to MEMBERS_FULL_MESH_MAX instances the whole fleet;
 *  - in a larger fleet each region;
 *  - in a region of more than MEMBERS_REGION_MESH_MAX instances each data hall.
 *
 * An instance sends heartbeats to all members of its mesh and to MEMBERS_PER_REMOTE_MESH of each
 * other mesh in turn; every heartbeat carries the total demand and the size of the sender's mesh.
 * What an instance costs others so grows with its mesh, not with the fleet.
 *
 * Owns the table of members. Depends on nothing; time is passed in. Filled by heartbeat.h.
 */
#pragma once

#include "base/addr.h"
#include "gateway/policy/cold_start.h"
#include "gateway/ports.h"
#include "gateway/membership/topology.h"
#include "gateway/state/offered_work.h"
#include "gateway/state/view_format.h"

enum {
    MEMBERS_MAX = 2048,         /* design size: 1,400 instances */
    MEMBERS_FULL_MESH_MAX = 16, /* largest fleet that forms a full mesh */
    /* Largest region whose members form one mesh. Monotone within the life of a process, since it
     * is compared with the members ever known. */
    MEMBERS_REGION_MESH_MAX = 64,
    /* Members of each other mesh that get a heartbeat per round. */
    MEMBERS_PER_REMOTE_MESH = 1,
    /* Meshes are numbered: regions first, then data halls. */
    MEMBERS_MESHES_MAX = TOPOLOGY_REGIONS_MAX + 1 + TOPOLOGY_HALLS_MAX + 1,
    /* Services in a heartbeat, those with the greatest demand. */
    MEMBER_DEMANDS_MAX = 16,
    /* Regions of one service with offered work in a heartbeat. */
    MEMBER_OFFERS_MAX = 32,
    /* How long the total of another mesh is used. Its members send it in turn, so that there may be
     * gaps of several intervals. */
    OFFERS_KEPT_MS = 5000,
    /* Milliseconds between heartbeats: HEARTBEAT_MS_PER_MEMBER for each member of the region,
     * within these limits. Bounds the traffic of large fleets. */
    HEARTBEAT_MIN_MS = 400,
    HEARTBEAT_MS_PER_MEMBER = 20,
    HEARTBEAT_MAX_MS = 1200,
    /* Instances that must find the store failing before it counts as down; as many as retry first
     * while nobody watches it (policy/store_schedule.c). */
    MEMBERS_OUTAGE_QUORUM = 4,
    STORE_AGE_NONE = 0xffffffff, /* store_age_ms of an instance that does not watch */
};

/* Slots of a service in use by callers. */
typedef struct {
    name_t service;
    double slots;
    bool pace_reported; /* its backend servers reported their pace; of the own demands only */
} member_demand_t;

/* Offered work of one service in one region; see offered_work.h. */
typedef struct {
    name_t service;
    size_t region; /* that is to serve it */
    double slots[URGENCY_LEVELS];
    double bound;
    double attempts;
    double rejected;
} member_offer_t;

/* Offered work that was received; `items` is NULL if there was none. */
typedef struct {
    member_offer_t *items;
    size_t count;
    uint64_t received_ms;
} member_offers_t;

/* A member's state of one view; see view.h. */
typedef struct {
    uint64_t at; /* position */
    uint64_t digest;
    bool known;
} member_view_t;

/* Configured capacity and current load of an instance; 0 if not reported. */
typedef struct {
    double link_bytes_per_s; /* link capacity, one direction */
    double cpu_cores;
    double requests_per_s;
    double bytes_per_s; /* one direction */
} member_capacity_t;

typedef struct {
    addr_t peer; /* address for peers */
    bool heard;  /* a heartbeat was received; the fields below are unset before */
    name_t instance;
    name_t hall;
    size_t region;
    size_t hall_index;    /* in the topology; TOPOLOGY_NO_HALL if unknown */
    addr_t callers;       /* address for callers */
    uint64_t incarnation; /* random number chosen at process start */
    uint64_t heard_ms;    /* time of its last heartbeat; the fields below date from it */
    bool ready;
    bool leaving;
    uint32_t store_age_ms;     /* since its last answer from the store, or STORE_AGE_NONE */
    bool store_failing;        /* its requests to the store fail */
    view_format_t view_format; /* format of view changes that it accepts */
    bool announced;            /* its entry is in the store */
    bool supports_suspects;    /* accepts messages about suspects */
    bool supports_accounts;    /* accepts messages about client accounts */
    bool supports_permits;     /* accepts notices and grants permits */
    addr_t transit;            /* address for requests in transit; port 0: takes none */
    bool backends_lost;        /* reaches no backend server */
    bool backends_heard;       /* one responded to it lately */
    bool refuses_connections;  /* refused a connection since its last heartbeat */
    uint64_t accounts_avoided_until_ms; /* did not answer an account report */
    member_view_t views[VIEW_WATCHED];
    member_demand_t demands[MEMBER_DEMANDS_MAX];
    size_t demand_count;
    member_demand_t mesh_demands[MEMBER_DEMANDS_MAX]; /* totals of its mesh */
    size_t mesh_demand_count;
    member_offers_t offers; /* of the members of the own mesh only */
    member_capacity_t capacity;
    uint32_t mesh_members;      /* alive members of its mesh, as it reports */
    double mesh_requests_per_s; /* of all members of its mesh, as it reports */
    uint32_t interval_ms;       /* between its heartbeats, 0 if unknown */
    uint64_t sent_ms;           /* time of the last heartbeat sent to it */
    bool logged_alive;          /* logged as alive */
} member_t;

typedef struct {
    member_t *items;
    size_t count;
    size_t size;
    uint32_t *slots; /* hash table by address: index into items plus 1, 0 for none */
    size_t slot_count;
    bool split[TOPOLOGY_REGIONS_MAX + 1];            /* regions whose data halls are meshes */
    member_offers_t mesh_offers[MEMBERS_MESHES_MAX]; /* totals of other meshes, as last received */
    size_t own_hall;                                 /* index of this instance's data hall */
    uint64_t own_turn; /* where this instance begins with the members of other meshes */
} members_t;

/* Returns the member at the address, added if it is new; NULL if the table is full. Adding a member
 * may move the others. */
member_t *members_find_or_add(members_t *members, const addr_t *peer);
bool member_alive(const member_t *member, uint64_t now_ms);
/* Marks the regions that have become too large to be one mesh. */
void members_update_meshes(members_t *members);
/* Returns the mesh of a data hall in a region. */
size_t members_mesh_at(const members_t *members, size_t region, size_t hall_index);
size_t members_mesh(const members_t *members, const member_t *member);
/* Returns the mesh of this instance; `region` is its region. */
size_t members_own_mesh(const members_t *members, size_t region);
/* True if a backend server lately responded to an alive member. */
bool members_hear_backends(const members_t *members, uint64_t now_ms);
/* The last heartbeat of any other member that was not leaving; `own` names this instance. */
typedef struct {
    bool known;         /* one was heard at some time */
    bool alive;         /* that one is alive */
    uint64_t silent_ms; /* since then */
} members_contact_t;

members_contact_t members_last_contact(const members_t *members, str_t own, uint64_t now_ms);
/* Newest revision of a view, above `at` and with another digest, that an alive member holds; 0 if
 * there is none. */
uint64_t members_newer_view(const members_t *members, view_kind_t kind, uint64_t at,
                            uint64_t digest, uint64_t now_ms);
/* Milliseconds of silence after which an instance is not listed in the directory. */
uint64_t member_unlisted_after_ms(const member_t *member);
/* Slots of a service that the callers of a region use: in the own mesh the sum over alive members,
 * in each other mesh the total reported by the member heard last. */
double members_demand(const members_t *members, str_t service, size_t region, size_t own_region,
                      uint64_t now_ms);
/* The same for one service in the own mesh. */
double members_mesh_demand(const members_t *members, str_t service, size_t region, uint64_t now_ms);
/* Requests per second of the own mesh's alive members. */
double members_mesh_requests_per_s(const members_t *members, size_t region, uint64_t now_ms);
/* Requests per second of the own region, other meshes as reported. */
double members_requests_per_s(const members_t *members, size_t region, uint64_t now_ms);
/* Number of alive members in all meshes, and in the own one. */
size_t members_count_alive(const members_t *members, uint64_t now_ms);
size_t members_count_alive_in_mesh(const members_t *members, size_t region, uint64_t now_ms);
/* Number of instances in all meshes: those in the table, or more if other meshes report more. */
size_t members_total(const members_t *members, size_t own_region);
/* The same with those of which only the address is known. */
size_t members_known(const members_t *members, size_t own_region);
/* True if others are known, of which none was ever heard. */
bool members_hears_nobody(const members_t *members);
/* Milliseconds between heartbeats of an instance of the own mesh. */
uint32_t members_interval_ms(const members_t *members, size_t region, uint64_t now_ms);
/* Sets `targets` for each member that gets a heartbeat in this round. */
void members_select_targets(const members_t *members, size_t own_region, unsigned round,
                            uint64_t now_ms, bool *targets);
/* Lists all members ever heard as senders to cold backends; returns their number. */
size_t members_cold_senders(const members_t *members, cold_sender_t *out, size_t max);
/* Hash of an instance's name, its key among those senders. */
uint64_t member_key(str_t instance);
void members_free(members_t *members);
