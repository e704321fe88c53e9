/* Runs the unit tests and prints a summary line. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "test/suites.h"

int
main(void)
{
    signal(SIGPIPE, SIG_IGN);
    static SRunner *runner; /* reachable for the leak detector of a test's process */
    runner = srunner_create(suite_base());
    srunner_add_suite(runner, suite_table());
    srunner_add_suite(runner, suite_credit());
    srunner_add_suite(runner, suite_lookup());
    srunner_add_suite(runner, suite_backend());
    srunner_add_suite(runner, suite_request());
    srunner_add_suite(runner, suite_fleet());
    srunner_add_suite(runner, suite_network());
    srunner_add_suite(runner, suite_store());
    srunner_add_suite(runner, suite_arrival());
    srunner_add_suite(runner, suite_check());
    srunner_add_suite(runner, suite_load());
    srunner_run_all(runner, CK_NORMAL);
    const int failed = srunner_ntests_failed(runner);
    const int run = srunner_ntests_run(runner);
    srunner_free(runner);
    printf("%d passed, %d failed\n", run - failed, failed);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
