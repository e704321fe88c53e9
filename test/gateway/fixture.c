#include <string.h>

#include <check.h>

#include "base/xmalloc.h"
#include "test/gateway/fixture.h"

topology_t
three_regions(void)
{
    topology_t topology = {0};
    ck_assert(topology_add(&topology, STR("a1"), STR("a")));
    ck_assert(topology_add(&topology, STR("a2"), STR("a")));
    ck_assert(topology_add(&topology, STR("b1"), STR("b")));
    ck_assert(topology_add(&topology, STR("c1"), STR("c")));
    return topology;
}

void
fill_route(config_route_t *route, const char *host, const char *prefix)
{
    name_set(&route->name, STR("r"));
    route->host = xmemdup0(host, strlen(host));
    route->prefix = xmemdup0(prefix, strlen(prefix));
    route->targets = xcalloc(1, sizeof(*route->targets));
    route->target_count = 1;
    route->latency_objective_ms = 400;
    route->max_attempts = 2;
    name_set(&route->targets[0].service, STR("svc"));
}
