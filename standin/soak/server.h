/*
 * What a backend server of a soak holds, and how its files call each other. Inside of servers.h.
 *
 * servers.c has the lives: entries, ends, replacements, and what strikes a backend server;
 * server_work.c has the requests: arrivals, slots, answers, and their judgement.
 */
#pragma once

#include "standin/soak/servers.h"
#include "wire/listener.h"

enum {
    SERVER_SLOTS = 8,
    SERVER_ID_MAX = 32,
};

/* Names that no backend server has: those of entries of another writer begin so. */
#define SERVER_FOREIGN "foreign"

typedef enum { SERVER_LIVES, SERVER_LEAVES, SERVER_DEAD } server_state_t;

typedef struct server server_t;

typedef struct work {
    struct work *next;
    uv_timer_t timer;
    server_t *server;
    wire_request_t *req;
    uint64_t number;
    bool running; /* in a slot; else it waits for one */
    bool fails;   /* its response is a failure of the software version */
} work_t;

struct server {
    servers_t *servers;
    uint32_t place;
    uint32_t start;   /* how many there were at this place */
    unsigned version; /* of its software */
    bool retired;     /* ended by a roll-out: not replaced */
    char id[SERVER_ID_MAX];
    uint64_t born_ms; /* when its life began */
    wire_listener_t *listener;
    addr_t addr;
    server_state_t state;
    bool listed;
    const char *entry_state; /* as last written */
    uint64_t again_ms;       /* when its entry is written again to a returned store; 0: not */
    uint64_t told_ms;        /* that it leaves, or its entry went; 0 if not */
    uint64_t unlist_ms;
    uint64_t end_ms;
    uint64_t replace_ms;
    bool bound_examined;
    unsigned running;
    work_t *works; /* in the order of their arrival */
    says_t *says;
};

struct servers {
    servers_conf_t conf;
    server_t *items;
    uint32_t count;   /* in use: the first ones, and those that roll-outs started */
    orders_t *orders; /* NULL without roll-outs */
    uint64_t now_ms;
    uint64_t runs;
    uint64_t slowed_runs;
    uint64_t probes; /* requests on the health path */
};

/* ---- servers.c ---- */

/* Its process ends now. */
void server_end(server_t *server, uint64_t now_ms);
/* The same under a request that ends what runs it; its entry goes later. */
void server_end_poisoned(server_t *server);

/* ---- server_work.c ---- */

/* A request has come; `ctx` is the server. */
void server_on_request(void *ctx, wire_request_t *req);
/* Breaks off all that it works on. */
void server_break_off(server_t *server);
/* The rule on leaving holds instances to what a store that served them said. */
bool server_store_was_calm(const server_t *server);
