/* Rate limits announced by a backend server, over fleets of three sizes, in simulated time. */
#include <stdio.h>
#include <stdlib.h>

#include "base/xmalloc.h"
#include "gateway/policy/rate_limit.h"
#include "test/gateway/account_model.h"
#include "test/gateway/limit_model.h"
#include "test/suites.h"

enum { WINDOW_S = 4, SEEDS = 3 };

static const unsigned sizes[] = {9, 67, 300};
static const double limits[] = {0.5, 1.3, 5, 20};

/* One and a half times the limit, plus five requests. */
static double
bound_of(double limit_per_s)
{
    return 1.5 * limit_per_s * WINDOW_S + 5;
}

static void
print_row(const limit_conf_t *conf, const limit_result_t *result)
{
    static const char *const strategies[] = {"even", "senders", "permits"};
    static const char *const faults[] = {"none",       "half partitioned", "owner paused",
                                         "all paused", "owner restarts",   "all restart"};
    if (getenv("LIMIT_MODEL_TABLE") != NULL && conf->seed == 1)
        printf("| %s | %u%s | %g | %s | %u of %g | %.2f | %.0f |\n", faults[conf->fault],
               conf->instances, conf->caller_instances > 0 ? ", callers at 6" : "",
               conf->limit_per_s, strategies[conf->strategy], result->max_in_window,
               bound_of(conf->limit_per_s), result->utilization, result->messages_per_s);
}

/* Runs the model with several seeds; returns the worst of both results. */
static limit_result_t
run(limit_conf_t conf)
{
    limit_result_t worst = {.utilization = 1e9};
    for (conf.seed = 1; conf.seed <= SEEDS; conf.seed++) {
        const limit_result_t result = limit_model_run(&conf);
        print_row(&conf, &result);
        worst.max_in_window =
            result.max_in_window > worst.max_in_window ? result.max_in_window : worst.max_in_window;
        worst.utilization =
            result.utilization < worst.utilization ? result.utilization : worst.utilization;
    }
    return worst;
}

/* Covers every fleet size, limit and distribution of callers. */
static void
check_fault(limit_fault_t fault)
{
    for (size_t i = 0; i < ALEN(sizes) * ALEN(limits) * 2; i++) {
        const limit_conf_t conf = {
            .strategy = LIMIT_STRATEGY_PERMITS,
            .fault = fault,
            .instances = sizes[i / 2 / ALEN(limits)],
            .caller_instances = i % 2 == 0 ? 0 : 2,
            .limit_per_s = limits[i / 2 % ALEN(limits)],
            .demand = 4,
        };
        const limit_result_t result = run(conf);
        ck_assert_msg(result.max_in_window <= bound_of(conf.limit_per_s),
                      "%u requests in a window, bound %g, %u instances", result.max_in_window,
                      bound_of(conf.limit_per_s), conf.instances);
        ck_assert_msg(result.utilization >= 0.8 && result.utilization <= 1.2,
                      "utilization %g of limit %g, %u instances", result.utilization,
                      conf.limit_per_s, conf.instances);
    }
}

START_TEST(permits_keep_a_limit)
{
    check_fault((limit_fault_t)_i);
}
END_TEST

/* The results are printed, not checked. */
START_TEST(alternative_strategies_run)
{
    for (size_t i = 0; i < ALEN(sizes) * ALEN(limits) * 4; i++) {
        const limit_conf_t conf = {
            .strategy = i % 2 == 0 ? LIMIT_STRATEGY_EVEN : LIMIT_STRATEGY_SENDERS,
            .instances = sizes[i / 4 / ALEN(limits)],
            .caller_instances = i / 2 % 2 == 0 ? 0 : 2,
            .limit_per_s = limits[i / 4 % ALEN(limits)],
            .demand = 4,
        };
        ck_assert(run(conf).utilization >= 0);
    }
}
END_TEST

/* The same for the strategy of client account limits: over 5 s, with a burst of two. */
START_TEST(account_limit_strategy_runs)
{
    enum { SPAN_S = 5, BURST = 2 };
    for (size_t i = 0; i < ALEN(sizes) * ALEN(limits); i++) {
        const model_conf_t conf = {
            .strategy = STRATEGY_OWNERS,
            .instances = sizes[i / ALEN(limits)],
            .rate_per_s = limits[i % ALEN(limits)],
            .burst = BURST,
            .base_load = 4,
            .length_ms = 20000,
            .seed = 1,
        };
        const model_result_t result = model_run(&conf);
        ck_assert(result.admitted <= result.requested);
        if (getenv("LIMIT_MODEL_TABLE") != NULL)
            printf("| none | %u | %g | accounts | %.0f of %g in 5 s | %.2f | %.0f |\n",
                   conf.instances, conf.rate_per_s,
                   result.window_excess + SPAN_S * conf.rate_per_s + BURST,
                   1.5 * conf.rate_per_s * SPAN_S + 5, result.admitted / (conf.rate_per_s * 20),
                   result.messages_per_s);
    }
}
END_TEST

START_TEST(partitioned_instances_respect_the_limit)
{
    for (size_t known = 1; known <= 40; known++) {
        for (size_t heard = 1; heard < known; heard++) {
            const permit_rate_t one = rate_limit_permits(10, heard, known);
            const permit_rate_t other = rate_limit_permits(10, known - heard, known);
            ck_assert(one.per_s + other.per_s <= 1.5 * 10);
        }
    }
}
END_TEST

Suite *
suite_gateway_limit_model(void)
{
    Suite *suite = suite_create("gateway: limit model");
    TCase *tests = tcase_create("limit model");
    tcase_set_timeout(tests, 120);
    tcase_add_loop_test(tests, permits_keep_a_limit, 0, LIMIT_FAULT_COUNT);
    tcase_add_test(tests, alternative_strategies_run);
    tcase_add_test(tests, account_limit_strategy_runs);
    tcase_add_test(tests, partitioned_instances_respect_the_limit);
    suite_add_tcase(suite, tests);
    return suite;
}
