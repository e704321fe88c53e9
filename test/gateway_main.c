/* Runs the gateway's tests; closes with one line that counts them. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "test/suites.h"

int
main(void)
{
    signal(SIGPIPE, SIG_IGN);
    SRunner *runner = srunner_create(suite_gateway());
    srunner_add_suite(runner, suite_platform());
    srunner_add_suite(runner, suite_whole());
    srunner_run_all(runner, CK_NORMAL);
    const int failed = srunner_ntests_failed(runner);
    const int run = srunner_ntests_run(runner);
    srunner_free(runner);
    printf("%d passed, %d failed\n", run - failed, failed);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
