/* Exchange of state between several gateways. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "test/gateway/site.h"
#include "test/suites.h"
#include "wire/fetch.h"

/* Starts a store that refuses every request. */
static store_port_t
refusing_store(site_t *site)
{
    standin_store_t *store = standin_store_start(&site->loop, &site->any);
    standin_store_set_mode(store, STANDIN_STORE_BUSY);
    const addr_t addr = standin_store_addr(store);
    return platform_store_port(platform_store_new(&site->loop, &addr));
}

START_TEST(instance_without_store_syncs_from_peer)
{
    site_t *site = new_ready_site(1);
    const store_port_t port = refusing_store(site);
    gateway_t *second = start_gateway(site, "g-2", &port, &gateway_settings(site->gateway)->peer);
    use_gateway(site, second);
    RUN_UNTIL(site, is_ready(site));
    put_config(site, "/new/");
    RUN_UNTIL(site, ask(site, "GET", "/new/x").status == 200);
    put_backend(site, &site->backends[0], "draining");
    RUN_UNTIL(site, ask(site, "GET", "/safe/x").status == 503);
}
END_TEST

/* With many instances, each alone sees too few requests to detect a slow backend. */
START_TEST(instances_share_failing_backends)
{
    enum { FAILURES = 12 };
    site_t *site = new_ready_site(2);
    scripted_t *failing = &site->backends[0];
    put_backend(site, &site->backends[1], "draining");
    gateway_t *first = site->gateway;
    wire_pool_t *first_callers = site->callers;
    gateway_t *second =
        start_gateway(site, "g-2", &site->store_port, &gateway_settings(first)->peer);
    use_gateway(site, second);
    RUN_UNTIL(site, is_ready(site));
    RUN_UNTIL(site, gateway_live_instances(first) == 2 && gateway_live_instances(second) == 2);
    site->callers = first_callers;
    failing->behaviour = DOES_FAIL;
    for (int i = 0; i < FAILURES; i++)
        ask(site, "POST", "/once/x");
    RUN_UNTIL(site, gateway_avoids(second, str_from(failing->id)));
    ck_assert(gateway_avoids(first, str_from(failing->id)));
}
END_TEST

START_TEST(outdated_instances_do_not_block_each_other)
{
    /* The change arrives by a list, which is not forwarded, so two instances must fetch it. */
    site_t *site = new_ready_site(1);
    const store_port_t port = refusing_store(site);
    const addr_t *seed = &gateway_settings(site->gateway)->peer;
    gateway_t *outdated[] = {start_gateway(site, "g-2", &port, seed),
                             start_gateway(site, "g-3", &port, seed)};
    wire_pool_t *pools[ALEN(outdated)];
    for (size_t i = 0; i < ALEN(outdated); i++) {
        use_gateway(site, outdated[i]);
        pools[i] = site->callers;
        RUN_UNTIL(site, is_ready(site));
    }
    for (int round = 0; round < 3; round++) {
        char prefix[16];
        snprintf(prefix, sizeof(prefix), "/new%d/", round);
        standin_store_set_mode(site->store, STANDIN_STORE_RESETS);
        put_config(site, prefix);
        standin_store_forget(site->store);
        standin_store_set_mode(site->store, STANDIN_STORE_SERVES);
        for (size_t i = 0; i < ALEN(outdated); i++) {
            site->callers = pools[i];
            RUN_UNTIL(site, ask(site, "GET", prefix).status == 200);
        }
    }
}
END_TEST

START_TEST(large_configuration_is_fetched_from_peer)
{
    /* Exceeds the size that is pushed between regions. */
    site_t *site = new_ready_site(1);
    const store_port_t port = refusing_store(site);
    gateway_t *second = start_gateway(site, "g-2", &port, &gateway_settings(site->gateway)->peer);
    use_gateway(site, second);
    RUN_UNTIL(site, is_ready(site));
    site->extra_routes = 500;
    put_config(site, "/new/");
    RUN_UNTIL(site, ask(site, "GET", "/new/x").status == 200);
    ck_assert_int_eq(ask(site, "GET", "/many/499/").status, 200);
}
END_TEST

START_TEST(large_view_is_read_from_store_or_peer)
{
    /* 1,500 backends, and more changes at once than peers keep. */
    enum { BACKENDS = 1500 };
    site_t *site = new_ready_site(1);
    gateway_t *second =
        start_gateway(site, "g-2", &site->store_port, &gateway_settings(site->gateway)->peer);
    use_gateway(site, second);
    RUN_UNTIL(site, is_ready(site));
    standin_store_set_mode(site->store, STANDIN_STORE_RESETS);
    for (int i = 0; i < BACKENDS; i++) {
        char id[16];
        snprintf(id, sizeof(id), "other-%04d", i);
        standin_store_put(site->store, "servers", id,
                          json_pack("{s:s, s:{s:s, s:s, s:s, s:i}}", "address", "127.0.0.1:9",
                                    "info", "service", "another", "version", "v1", "zone", "a1",
                                    "capacity", 4),
                          json_pack("{s:s}", "state", "ready"));
    }
    put_backend(site, &site->backends[0], "draining");
    standin_store_forget(site->store);
    standin_store_set_mode(site->store, STANDIN_STORE_SERVES);
    RUN_UNTIL(site, ask(site, "GET", "/safe/x").status == 503);
}
END_TEST

START_TEST(failed_instance_list_is_retried)
{
    /* Without seeds the instances find each other only through the store. */
    site_t *site = new_ready_site(1);
    standin_store_refuse_lists(site->store, "irisstall-instances", 2);
    use_gateway(site, start_gateway(site, "g-2", &site->store_port, NULL));
    RUN_UNTIL(site, gateway_live_instances(site->gateway) == 2);
}
END_TEST

START_TEST(lost_store_reply_does_not_announce_twice)
{
    site_t *site = new_site(1);
    standin_store_set_mode(site->store, STANDIN_STORE_LOSES);
    use_gateway(site, start_gateway(site, "g-1", &site->store_port, NULL));
    RUN_UNTIL(site, standin_store_has(site->store, "irisstall-instances", "g-1"));
    RUN_UNTIL(site, is_ready(site));
}
END_TEST

Suite *
suite_gateway_peers(void)
{
    Suite *suite = suite_create("gateway: peers");
    TCase *tests = tcase_create("peers");
    tcase_set_timeout(tests, 120);
    tcase_add_test(tests, instance_without_store_syncs_from_peer);
    tcase_add_test(tests, instances_share_failing_backends);
    tcase_add_test(tests, outdated_instances_do_not_block_each_other);
    tcase_add_test(tests, large_configuration_is_fetched_from_peer);
    tcase_add_test(tests, large_view_is_read_from_store_or_peer);
    tcase_add_test(tests, failed_instance_list_is_retried);
    tcase_add_test(tests, lost_store_reply_does_not_announce_twice);
    suite_add_tcase(suite, tests);
    return suite;
}
