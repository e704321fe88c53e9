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
Suite *suite_gateway(void);
Suite *suite_platform(void);
Suite *suite_whole(void);
