/* Regions refuse alike: callers of a region with few backend servers, or beside work that only
 * their region may serve, were refused three times as often as others. */
#include <math.h>
#include <string.h>

#include "base/xmalloc.h"
#include "gateway/policy/region_backlog.h"
#include "gateway/policy/region_plan.h"
#include "test/suites.h"

enum { REGIONS = 3, SMALL = 1, TICK_MS = 200, WINDOW_TICKS = 10 };

/* Platform's bound on the requests of a region that change their region between two windows. */
#define SHIFT_MAX 0.15
/* Highest difference between what the callers of two regions get. */
#define SPREAD_MAX 0.05

/* Three regions, each of which plans for itself. */
typedef struct {
    region_plan_t plans[REGIONS];
    double slots[REGIONS];
    double callers[REGIONS]; /* free work of the callers, in slots */
    double bound[REGIONS];
    double seen[REGIONS]; /* of the callers' work, the part that the others know of */
    double recent[WINDOW_TICKS][REGIONS][REGIONS];
    uint64_t now_ms;
} site_t;

static site_t
new_site(double load)
{
    site_t site = {.slots = {470, 100, 430}, .seen = {1, 1, 1}, .now_ms = 1000};
    for (int i = 0; i < REGIONS; i++)
        site.callers[i] = load * 1000 / REGIONS;
    return site;
}

static region_plan_input_t
input_of(const site_t *site, int own)
{
    region_plan_input_t input = {.counted = true};
    for (int i = 0; i < REGIONS; i++) {
        input.slots[i] = site->slots[i];
        input.demand[i] = site->callers[i] * (i == own ? 1 : site->seen[i]);
        input.bound[i] = site->bound[i];
    }
    return input;
}

/* Checks that no region moved more than the bound within the window. */
static void
check_shift(const site_t *site, size_t at)
{
    for (int own = 0; own < REGIONS; own++) {
        double moved = 0;
        for (int i = 0; i < REGIONS; i++)
            moved += fabs(site->plans[own].share[i] - site->recent[at][own][i]) / 2;
        ck_assert_double_le(moved, SHIFT_MAX);
    }
}

static void
play(site_t *site, uint64_t until_ms, bool limited)
{
    for (; site->now_ms < until_ms; site->now_ms += TICK_MS) {
        const size_t at = site->now_ms / TICK_MS % WINDOW_TICKS;
        const bool started = site->plans[0].started && site->now_ms > 5000;
        for (int own = 0; own < REGIONS; own++) {
            const region_plan_input_t input = input_of(site, own);
            region_plan_update(&site->plans[own], &input, REGIONS, own, site->now_ms);
        }
        if (limited && started)
            check_shift(site, at);
        for (int own = 0; own < REGIONS; own++)
            memcpy(site->recent[at][own], site->plans[own].share, sizeof(site->recent[at][own]));
    }
}

/* Share of the work in a region for which there are slots. */
static double
admitted_at(const site_t *site, int region)
{
    double work = site->bound[region];
    for (int i = 0; i < REGIONS; i++)
        work += site->callers[i] * site->plans[i].share[region];
    return fmin(1, site->slots[region] / fmax(work, 1));
}

/* Share of a region's callers' free work that is served. */
static double
got_by(const site_t *site, int own)
{
    double got = 0;
    for (int i = 0; i < REGIONS; i++)
        got += site->plans[own].share[i] * admitted_at(site, i);
    return got;
}

/* Difference between the callers who get most and those who get least. */
static double
spread(const double *got, double *mean)
{
    double least = got[0];
    double most = got[0];
    *mean = 0;
    for (int i = 0; i < REGIONS; i++) {
        least = fmin(least, got[i]);
        most = fmax(most, got[i]);
        *mean += got[i] / REGIONS;
    }
    return most - least;
}

static void
check_even(const site_t *site, double expected)
{
    double got[REGIONS];
    double mean;
    for (int i = 0; i < REGIONS; i++)
        got[i] = got_by(site, i);
    ck_assert_double_le(spread(got, &mean), SPREAD_MAX);
    ck_assert_double_ge(mean, expected - SPREAD_MAX);
}

START_TEST(callers_of_a_small_region_get_as_much)
{
    static const double loads[] = {0.7, 1.0, 1.5};
    for (size_t i = 0; i < ALEN(loads); i++) {
        site_t site = new_site(loads[i]);
        play(&site, 10000, true);
        check_even(&site, fmin(1, 1 / loads[i]));
    }
}
END_TEST

/* A client account at six times its usual may only be served in the small region. */
START_TEST(bound_work_makes_room_for_itself)
{
    static const double loads[] = {0.7, 1.0, 1.5};
    for (size_t i = 0; i < ALEN(loads); i++) {
        site_t site = new_site(loads[i]);
        play(&site, 10000, true);
        site.bound[SMALL] = site.slots[SMALL] * 2 / 3;
        play(&site, 18000, true);
        check_even(&site, fmin(1, 1 / (loads[i] + site.bound[SMALL] / 1000)));
        site.bound[SMALL] = 0;
        play(&site, 60000, true);
        check_even(&site, fmin(1, 1 / loads[i]));
    }
}
END_TEST

/* More bound work than slots: nobody else's requests go there. */
START_TEST(free_work_leaves_a_region_full_of_bound_work)
{
    site_t site = new_site(0.8);
    site.bound[SMALL] = 2.5 * site.slots[SMALL];
    play(&site, 20000, true);
    for (int own = 0; own < REGIONS; own++)
        ck_assert_double_le(site.plans[own].share[SMALL], 0.01);
    check_even(&site, 1);
}
END_TEST

START_TEST(regions_refuse_alike_after_a_loss_of_slots)
{
    for (int lost = 0; lost < REGIONS; lost++) {
        site_t site = new_site(0.9);
        play(&site, 10000, true);
        site.slots[lost] *= 2.0 / 3;
        const double slots = site.slots[0] + site.slots[1] + site.slots[2];
        play(&site, 18000, true);
        check_even(&site, fmin(1, slots / 900));
    }
}
END_TEST

/* Most of a region is lost: what has no slot there any more does not wait for the usual steps. */
START_TEST(loss_of_most_of_a_region_moves_its_requests_at_once)
{
    site_t site = new_site(0.6);
    play(&site, 10000, true);
    site.slots[0] *= 0.05;
    play(&site, 14000, false);
    ck_assert_double_le(site.plans[0].share[0], 0.15);
}
END_TEST

/* The instances of one region are not heard: theirs still arrives, but no longer counts. */
START_TEST(silent_instances_move_nothing_at_once)
{
    for (int silent = 0; silent < REGIONS; silent++) {
        site_t site = new_site(1.0);
        play(&site, 10000, true);
        site.seen[silent] = 0;
        play(&site, 30000, true);
        site.seen[silent] = 1;
        play(&site, 50000, true);
        check_even(&site, 1);
    }
}
END_TEST

/* Callers' demand peaks in one region after the other, at times faster than shares may follow. */
START_TEST(callers_get_as_much_while_demand_wanders)
{
    enum { PERIOD_MS = 36000, FROM_MS = PERIOD_MS, END_MS = 3 * PERIOD_MS };
    double got[REGIONS] = {0};
    double asked[REGIONS] = {0};
    double mean;
    site_t site = new_site(1.1);
    for (uint64_t at = 1000; at < END_MS; at += TICK_MS) {
        for (int i = 0; i < REGIONS; i++) {
            const double turn = (double)at / PERIOD_MS + i / (double)REGIONS;
            site.callers[i] = 1100.0 / REGIONS * (1 + 0.5 * sin(2 * M_PI * turn));
        }
        play(&site, at, true);
        for (int i = 0; i < REGIONS && at > FROM_MS; i++) {
            asked[i] += site.callers[i];
            got[i] += site.callers[i] * got_by(&site, i);
        }
    }
    for (int i = 0; i < REGIONS; i++)
        got[i] /= asked[i];
    ck_assert_double_le(spread(got, &mean), SPREAD_MAX);
    ck_assert_double_ge(mean, 1 / 1.1 - SPREAD_MAX);
}
END_TEST

/* The common use of slots counts bound work up to what its region has. */
START_TEST(use_follows_all_work)
{
    region_work_t work = {.slots = {470, 100, 430}, .demand = {300, 300, 300}};
    ck_assert_double_eq_tol(region_targets_use(&work, REGIONS, 0.55), 0.9, 0.001);
    work.bound[0] = 47;
    ck_assert_double_eq_tol(region_targets_use(&work, REGIONS, 0.55), 0.947, 0.001);
    work.bound[SMALL] = 500;
    ck_assert_double_eq_tol(region_targets_use(&work, REGIONS, 0.55), 947.0 / 900, 0.001);
    const region_work_t little = {.slots = {470, 100, 430}, .demand = {100, 100, 100}};
    ck_assert_double_eq_tol(region_targets_use(&little, REGIONS, 0.55), 0.55, 0.001);
    const region_work_t none = {.demand = {100, 100, 100}};
    ck_assert_double_eq_tol(region_targets_use(&none, REGIONS, 0.55), 0, 0.001);
}
END_TEST

/* Under shortage, requests with large responses do not keep the slots of a small region. */
START_TEST(large_responses_leave_when_all_slots_are_needed)
{
    region_plan_t plan = {.share = {0.3, 0.7}, .region_count = 2, .own = 0, .started = true};
    ck_assert_uint_eq(region_plan_pick_large(&plan, 0.4), 0);
    plan.large_use = 0.6;
    ck_assert_uint_eq(region_plan_pick_large(&plan, 0.4), 0);
    plan.large_use = 1.2;
    ck_assert_uint_eq(region_plan_pick_large(&plan, 0.4), 1);
    ck_assert_uint_eq(region_plan_pick_large(&plan, 0.29), 0);
}
END_TEST

/* The queues outlast the load that made them: a region is full until these are worked off. */
START_TEST(region_stays_full_until_its_queues_are_worked_off)
{
    enum { RUN_MS = 200 };
    const double slots[] = {400, 100, 0};
    double offered[] = {390, 150, 0};
    region_backlog_t backlog = {0};
    uint64_t at = 0;
    for (; at <= 1000; at += TICK_MS)
        region_backlog_update(&backlog, offered, slots, REGIONS, at);
    ck_assert(!region_backlog_is_full(&backlog, 0, RUN_MS));
    ck_assert(region_backlog_is_full(&backlog, SMALL, RUN_MS));
    ck_assert(!region_backlog_is_full(&backlog, 2, RUN_MS));
    /* Not for long runs, beside which the wait is short. */
    ck_assert(!region_backlog_is_full(&backlog, SMALL, 4.0 * RUN_MS));
    /* 0.5 s of work per slot wait: without load it takes as long to work them off. */
    offered[SMALL] = 0;
    region_backlog_update(&backlog, offered, slots, REGIONS, at);
    ck_assert(region_backlog_is_full(&backlog, SMALL, RUN_MS));
    region_backlog_update(&backlog, offered, slots, REGIONS, at + TICK_MS);
    ck_assert(!region_backlog_is_full(&backlog, SMALL, RUN_MS));
    /* However much was offered, what waits is bounded. */
    offered[SMALL] = 1000;
    for (at += 2 * TICK_MS; at < 20000; at += TICK_MS)
        region_backlog_update(&backlog, offered, slots, REGIONS, at);
    offered[SMALL] = 50;
    for (; at < 28000; at += TICK_MS)
        region_backlog_update(&backlog, offered, slots, REGIONS, at);
    ck_assert(!region_backlog_is_full(&backlog, SMALL, RUN_MS));
    /* All slots of a region are lost: no attempt waits in a queue there. */
    offered[2] = 1;
    region_backlog_update(&backlog, offered, slots, REGIONS, at);
    ck_assert(!region_backlog_is_full(&backlog, 2, RUN_MS));
}
END_TEST

Suite *
suite_gateway_region_targets(void)
{
    Suite *suite = suite_create("gateway: region targets");
    TCase *tests = tcase_create("region targets");
    tcase_add_test(tests, callers_of_a_small_region_get_as_much);
    tcase_add_test(tests, bound_work_makes_room_for_itself);
    tcase_add_test(tests, free_work_leaves_a_region_full_of_bound_work);
    tcase_add_test(tests, regions_refuse_alike_after_a_loss_of_slots);
    tcase_add_test(tests, loss_of_most_of_a_region_moves_its_requests_at_once);
    tcase_add_test(tests, silent_instances_move_nothing_at_once);
    tcase_add_test(tests, callers_get_as_much_while_demand_wanders);
    tcase_add_test(tests, use_follows_all_work);
    tcase_add_test(tests, large_responses_leave_when_all_slots_are_needed);
    tcase_add_test(tests, region_stays_full_until_its_queues_are_worked_off);
    suite_add_tcase(suite, tests);
    return suite;
}
