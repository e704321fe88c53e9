/*
 * A site in one process: a gateway between a caller, scripted backend servers and a stand-in of the
 * store, all on one loop over loopback.
 */
#pragma once

#include <check.h>

#include "gateway/gateway.h"
#include "platform/store.h"
#include "standin/store.h"
#include "standin/backend.h"
#include "wire/client.h"

enum {
    PATIENCE_MS = 8000,
    BACKENDS_MAX = 8,
    TIMEOUT_MS = 900,
    ARRIVALS_MAX = 4096,
    FLEET_MAX = 9,
    OBJECTS = 50
};

typedef struct site site_t;

typedef enum {
    DOES_ANSWER,
    DOES_REFUSE,    /* says that it did not run the request */
    DOES_MISDIRECT, /* 421 */
    DOES_RESET,     /* after it has read the request */
    DOES_CUT,       /* half of the promised body */
    DOES_UNFRAMED,  /* a body without a length */
    DOES_CUT_UNFRAMED,
    DOES_SURPLUS, /* a second answer behind the first */
    DOES_LATE,    /* another request's answer before its own */
    DOES_GARBAGE,
    DOES_UNSIGNED,
    DOES_HOLD, /* never answers */
    DOES_FAIL, /* 500 */
    DOES_LARGE,
    DOES_CRASH, /* its process ends while it runs the request, and starts again some time later */
} behaviour_t;

typedef struct {
    site_t *site;
    standin_backend_t *standin;
    char id[16];
    uint64_t born;        /* which life its entry tells of */
    bool survives_poison; /* it runs another software version, which bears poison requests */
    behaviour_t behaviour;
    const char *extra_headers;       /* header lines in each of its answers; NULL: none */
    uint64_t arrivals[ARRIVALS_MAX]; /* loop times of its first requests */
    size_t arrival_count;
    uv_timer_t restart;
    unsigned life; /* of the process, counted from 0; each has an id of its own */
    size_t runs;
    bool wrong_instance; /* got a request that expects another */
    uint64_t last_deadline;
    char last[1024]; /* text of the last request */
} scripted_t;

typedef struct {
    site_t *site;
    int status;
    char body[256];
    size_t body_len;
    char retry_after[32];
    bool whole;
    bool done;
    bool unframed;
} reply_t;

struct site {
    uv_loop_t loop;
    uv_timer_t guard;
    bool timed_out;
    addr_t any;
    standin_store_t *store;
    platform_store_t *platform_store;
    store_port_t store_port;
    gateway_ports_t ports;
    gateway_t *gateway;
    wire_pool_t *callers;
    scripted_t backends[BACKENDS_MAX];
    unsigned version;
    unsigned extra_routes;
    const char *accounts; /* JSON of the configuration's client accounts; NULL: it has none */
    const char *poison;   /* requests whose text holds this end what runs them; NULL: none */
    size_t ends;          /* of processes of backend servers */
};

/* Runs the loop until the condition holds; fails after a generous time. */
#define RUN_UNTIL(site, condition)                                                                 \
    do {                                                                                           \
        uv_timer_start(&(site)->guard, on_guard, PATIENCE_MS, 0);                                  \
        (site)->timed_out = false;                                                                 \
        while (!(condition) && !(site)->timed_out)                                                 \
            uv_run(&(site)->loop, UV_RUN_ONCE);                                                    \
        uv_timer_stop(&(site)->guard);                                                             \
        ck_assert_msg(condition, "not reached: %s", #condition);                                   \
    } while (0)

/* The backend server's process ends; it starts again some time later. */
void crash_backend(scripted_t *backend);
/* Timer of RUN_UNTIL. */
void on_guard(uv_timer_t *timer);
/* Writes the entry of a backend server into the store. */
void put_backend(site_t *site, scripted_t *backend, const char *state);
/* Writes a new version of the configuration; `extra_prefix` may be NULL. */
void put_config(site_t *site, const char *extra_prefix);
/* A gateway on that store; `seed` may be NULL. */
gateway_t *start_gateway(site_t *site, const char *name, const store_port_t *store,
                         const addr_t *seed);
/* Sends a request to the gateway in use; the reply must live until it is done. */
wire_call_t *call(site_t *site, reply_t *reply, const char *request);
/* The same, and waits for the reply. */
reply_t ask(site_t *site, const char *method, const char *path);
/* The same about any object; ask() asks about one and the same. */
reply_t ask_about(site_t *site, const char *method, const char *path, unsigned object);
bool is_ready(site_t *site);
/* A store and that many backend servers, without a gateway. */
site_t *new_site(size_t backends);
/* Requests go to this gateway from now on. */
void use_gateway(site_t *site, gateway_t *gateway);
/* The same with a gateway that serves requests. */
site_t *new_ready_site(size_t backends);
/* Requests run by all backend servers. */
size_t total_runs(const site_t *site);
void set_all_behaviours(site_t *site, behaviour_t behaviour);
/* The backend that gets the object first, made known by a request. */
scripted_t *first_backend(site_t *site, const char *path);

/* Requests that reached the backend server from one loop time to another. */
size_t arrivals_between(const scripted_t *backend, uint64_t from_ms, uint64_t to_ms);
/* The most of them in a window of that length that begins at `from_ms` or later. */
size_t max_arrivals_in_window(const scripted_t *backend, uint64_t from_ms, uint64_t window_ms);
/* Runs the loop for so long. */
void run_loop_ms(site_t *site, uint64_t ms);

/* Some instances on one site. */
typedef struct {
    site_t *site;
    gateway_t *gateways[FLEET_MAX];
    wire_pool_t *callers[FLEET_MAX];
    size_t count;
} instances_t;

/* All of them ready and heard of. */
instances_t new_instances(size_t backends, size_t instances);
/* Starts more, up to that number in all. */
void add_instances(instances_t *fleet, size_t count);
/* A GET through one of them. */
reply_t ask_through(const instances_t *fleet, size_t instance, const char *path);
/* Asks through some of the instances, one after the other, for one of OBJECTS after the other, for
 * so long; returns how many requests were not served. */
size_t send_continuously(const instances_t *fleet, size_t instances, uint64_t span_ms);
