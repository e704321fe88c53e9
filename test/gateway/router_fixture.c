#include "test/gateway/router_fixture.h"

#include <stdlib.h>

#include "base/xmalloc.h"
#include "gateway/membership/member_offers.h"
#include "test/gateway/fixture.h"
#include "test/leak.h"

config_t *
two_routes(int first_priority, int second_priority)
{
    config_t *config = config_new(ROUTES, 1);
    name_set(&config->services[0].name, STR("svc"));
    fill_route(&config->routes[0], "h", "/one/");
    fill_route(&config->routes[1], "h", "/two/");
    config->routes[0].priority = first_priority;
    config->routes[1].priority = second_priority;
    config->routes[1].key = 2;
    return config;
}

static config_t *
decode_two_urgencies(str_t body, err_t *err)
{
    (void)body;
    (void)err;
    return two_routes(0, 1);
}

static config_t *
decode_one_urgency(str_t body, err_t *err)
{
    (void)body;
    (void)err;
    return two_routes(1, 1);
}

const decoder_port_t two_urgencies = {.config = decode_two_urgencies};
const decoder_port_t one_urgency = {.config = decode_one_urgency};

static void
add_backends(test_router_t *test)
{
    backend_info_t info = {.capacity = SLOTS};
    name_set(&info.service, STR("svc"));
    name_set(&info.hall, STR("a1"));
    for (int i = 0; i < BACKENDS; i++) {
        char *id = xasprintf("u%d", i);
        name_set(&info.id, str_from(id));
        backends_put(&test->router.catalog.backends, &info, &test->topology, &test->loop, START_MS);
        free(id);
    }
}

test_router_t *
new_test_router(const decoder_port_t *decoder, bool orders_shortage)
{
    test_router_t *test = xcalloc(1, sizeof(*test));
    leak_ignore(test);
    view_t view = {0};
    const store_item_t item = {.name = STR("main"), .revision = 1, .body = STR("{}")};
    uv_loop_init(&test->loop);
    test->loop.time = START_MS;
    test->topology = three_regions();
    const router_conf_t conf = {
        .topology = &test->topology,
        .decoder = decoder,
        .instance = STR("g-1"),
        .hall = STR("a1"),
        .orders_shortage = orders_shortage,
    };
    router_init(&test->router, &test->loop, &conf);
    test->router.rng.state = 5;
    view_replace(&view, &item, 1, 1);
    router_apply_config(&test->router, &view);
    view_free(&view);
    add_backends(test);
    test->service = services_find(&test->router.services, STR("svc"));
    test->account = (config_account_t){.id = 9, .priority = 1};
    return test;
}

void
free_test_router(test_router_t *test)
{
    backends_free(&test->router.catalog.backends);
    config_unref(test->router.catalog.config);
    services_free(&test->router.services);
    members_free(&test->members);
    uv_loop_close(&test->loop);
    free(test);
}

router_request_t
request_on(const test_router_t *test, size_t route)
{
    return (router_request_t){
        .route = &test->router.catalog.config->routes[route],
        .service = test->service,
        .left_ms = 2000,
        .is_first = true,
    };
}

/* Tells all callers' offered work, as if other instances' callers offered it. */
static void
set_member_offer(test_router_t *test, double urgent, double others)
{
    static const addr_t peer = {0};
    member_t *member = members_find_or_add(&test->members, &peer);
    member_offer_t offer = {.slots = {urgent, others}};
    name_set(&offer.service, STR("svc"));
    member->region = 0;
    member->heard = true;
    member->heard_ms = test->loop.time;
    member_offers_set(&member->offers, &offer, 1, member->heard_ms);
}

void
tick(test_router_t *test, unsigned seconds, double urgent, double others)
{
    for (unsigned i = 0; i < seconds * 10; i++) {
        test->loop.time += TICK_MS;
        set_member_offer(test, urgent, others);
        router_tick(&test->router, &test->members);
    }
}
