/*
 * A router with backends of one service in its own region and two routes to it. No gateway, no
 * connections: the tests set the clock, what backends reported, and what other instances offer.
 */
#pragma once

#include <uv.h>

#include "gateway/router.h"

enum { START_MS = 100000, TICK_MS = 100, BACKENDS = 4, SLOTS = 4, ROUTES = 2 };

typedef struct {
    uv_loop_t loop;
    topology_t topology;
    members_t members;
    config_account_t account; /* priority 1; not in the configuration */
    router_t router;
    service_t *service;
} test_router_t;

/* Configurations with two routes, of priorities 0 and 1, and of priority 1 both. */
extern const decoder_port_t two_urgencies;
extern const decoder_port_t one_urgency;

/* Two routes of the given priorities. */
config_t *two_routes(int first_priority, int second_priority);
test_router_t *new_test_router(const decoder_port_t *decoder, bool orders_shortage);
void free_test_router(test_router_t *test);
/* A first request on a route, with 2 s left. */
router_request_t request_on(const test_router_t *test, size_t route);
/* Passes the time in ticks, while callers of another instance offer so many slots of work of the
 * most urgent and the next level. */
void tick(test_router_t *test, unsigned seconds, double urgent, double others);
