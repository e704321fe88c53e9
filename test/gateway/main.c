/* Runs the gateway's test suites and prints the totals on the last line. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "test/suites.h"

int
main(void)
{
    signal(SIGPIPE, SIG_IGN);
    static SRunner *runner; /* reachable for the leak detector of a test's process */
    runner = srunner_create(suite_gateway_config());
    srunner_add_suite(runner, suite_gateway_account_model());
    srunner_add_suite(runner, suite_gateway_accounts());
    srunner_add_suite(runner, suite_gateway_view());
    srunner_add_suite(runner, suite_gateway_region_plan());
    srunner_add_suite(runner, suite_gateway_region_targets());
    srunner_add_suite(runner, suite_gateway_response_time());
    srunner_add_suite(runner, suite_gateway_choice());
    srunner_add_suite(runner, suite_gateway_health());
    srunner_add_suite(runner, suite_gateway_load_probe());
    srunner_add_suite(runner, suite_gateway_cold_start());
    srunner_add_suite(runner, suite_gateway_retry());
    srunner_add_suite(runner, suite_gateway_retry_model());
    srunner_add_suite(runner, suite_gateway_backend_incarnations());
    srunner_add_suite(runner, suite_gateway_store_schedule());
    srunner_add_suite(runner, suite_gateway_members());
    srunner_add_suite(runner, suite_gateway_log_ring());
    srunner_add_suite(runner, suite_gateway_platform());
    srunner_add_suite(runner, suite_gateway_request_path());
    srunner_add_suite(runner, suite_gateway_caller_left());
    srunner_add_suite(runner, suite_gateway_caller_time());
    srunner_add_suite(runner, suite_gateway_store());
    srunner_add_suite(runner, suite_gateway_store_return());
    srunner_add_suite(runner, suite_gateway_outage());
    srunner_add_suite(runner, suite_gateway_deferred());
    srunner_add_suite(runner, suite_gateway_partition());
    srunner_add_suite(runner, suite_gateway_peers());
    srunner_add_suite(runner, suite_gateway_view_relay());
    srunner_add_suite(runner, suite_gateway_relay());
    srunner_add_suite(runner, suite_gateway_endless());
    srunner_add_suite(runner, suite_gateway_endpoints());
    srunner_add_suite(runner, suite_gateway_quarantine());
    srunner_add_suite(runner, suite_gateway_quarantine_model());
    srunner_add_suite(runner, suite_gateway_backend_limit());
    srunner_add_suite(runner, suite_gateway_backend_leaving());
    srunner_add_suite(runner, suite_gateway_backend_backoff());
    srunner_add_suite(runner, suite_gateway_notices());
    srunner_add_suite(runner, suite_gateway_limit_model());
    srunner_add_suite(runner, suite_gateway_rollout());
    srunner_add_suite(runner, suite_gateway_rollout_model());
    srunner_add_suite(runner, suite_gateway_suspects());
    srunner_add_suite(runner, suite_gateway_suspension());
    srunner_add_suite(runner, suite_gateway_breaker());
    srunner_add_suite(runner, suite_gateway_admission());
    srunner_add_suite(runner, suite_gateway_final_response());
    srunner_add_suite(runner, suite_gateway_returns());
    srunner_add_suite(runner, suite_gateway_lateness());
    srunner_add_suite(runner, suite_gateway_lifetime());
    srunner_add_suite(runner, suite_gateway_framing());
    srunner_add_suite(runner, suite_gateway_listener());
    srunner_add_suite(runner, suite_gateway_route_stats());
    srunner_add_suite(runner, suite_gateway_offered_work());
    srunner_add_suite(runner, suite_gateway_shortage());
    srunner_add_suite(runner, suite_gateway_fair_share());
    srunner_add_suite(runner, suite_gateway_order());
    srunner_add_suite(runner, suite_gateway_silent());
    srunner_add_suite(runner, suite_gateway_call_end());
    srunner_add_suite(runner, suite_gateway_slow_reader());
    srunner_add_suite(runner, suite_gateway_soak());
    srunner_run_all(runner, CK_NORMAL);
    const int failed = srunner_ntests_failed(runner);
    const int run = srunner_ntests_run(runner);
    srunner_free(runner);
    printf("%d passed, %d failed\n", run - failed, failed);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
