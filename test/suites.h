/* The unit tests' suites. The gateway's have a program of their own. */
#pragma once

#include <check.h>

Suite *suite_base(void);
Suite *suite_table(void);
Suite *suite_credit(void);
Suite *suite_lookup(void);
Suite *suite_backend(void);
Suite *suite_request(void);
Suite *suite_fleet(void);
Suite *suite_network(void);
Suite *suite_check(void);
Suite *suite_load(void);
Suite *suite_gateway_config(void);
Suite *suite_gateway_route_stats(void);
Suite *suite_gateway_soak(void);
Suite *suite_gateway_lifetime(void);
Suite *suite_gateway_listener(void);
Suite *suite_gateway_final_answer(void);
Suite *suite_gateway_admission(void);
Suite *suite_gateway_breaker(void);
Suite *suite_gateway_view(void);
Suite *suite_gateway_region_plan(void);
Suite *suite_gateway_choice(void);
Suite *suite_gateway_health(void);
Suite *suite_gateway_cold_start(void);
Suite *suite_gateway_retry(void);
Suite *suite_gateway_members(void);
Suite *suite_gateway_log_ring(void);
Suite *suite_gateway_platform(void);
Suite *suite_gateway_request_path(void);
Suite *suite_gateway_store(void);
Suite *suite_gateway_peers(void);
Suite *suite_gateway_view_relay(void);
Suite *suite_gateway_relay(void);
Suite *suite_gateway_endpoints(void);
