/* Order under shortage. Guards against refusals while there is room, kinds of requests that starve,
 * and shares that jump or differ between instances. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "base/xmalloc.h"
#include "gateway/policy/shortage.h"
#include "test/leak.h"
#include "test/suites.h"

enum { STEP_MS = 100, STEPS_PER_S = 10, SLOTS = 800 };

/* As much of the work as there are slots for is admitted. */
#define ROOM ((double)SLOTS)

/* One region, updated in steps of STEP_MS. */
typedef struct {
    shortage_t shortage;
    offered_totals_t work;
    double slots[TOPOLOGY_REGIONS_MAX];
    bool has_accounts;
    uint64_t now_ms;
} region_t;

static region_t
new_region(double urgent, double normal, double patient)
{
    region_t region = {.work = {.slots = {{urgent, normal, patient}}}, .slots = {SLOTS}};
    return region;
}

static void
run(region_t *region, unsigned steps)
{
    const shortage_input_t input = {.work = &region->work,
                                    .slots = region->slots,
                                    .region_count = 1,
                                    .has_accounts = region->has_accounts};
    for (unsigned i = 0; i < steps; i++) {
        region->now_ms += STEP_MS;
        shortage_update(&region->shortage, &input, region->now_ms);
    }
}

static double
share(const region_t *region, unsigned urgency)
{
    return shortage_admitted_share(&region->shortage, 0, urgency);
}

/* Slots that the admitted requests keep busy. */
static double
admitted(const region_t *region)
{
    double slots = 0;
    for (unsigned i = 0; i < URGENCY_LEVELS; i++)
        slots += share(region, i) * region->work.slots[0][i];
    return slots;
}

START_TEST(nothing_is_held_back_while_there_is_room)
{
    region_t region = new_region(100, 300, 399);
    run(&region, 100);
    for (unsigned i = 0; i < URGENCY_LEVELS; i++)
        ck_assert_double_eq(share(&region, i), 1);
    ck_assert(!shortage_is_short(&region.shortage, 0));
    ck_assert_double_eq(shortage_admitted_share(NULL, 0, 0), 1);
    ck_assert(!shortage_is_short(NULL, 0));
}
END_TEST

/* Nobody is refused for callers who are no more urgent, whatever is offered. */
START_TEST(most_urgent_level_that_is_offered_is_not_held_back)
{
    for (unsigned first = 0; first < URGENCY_LEVELS; first++) {
        for (double times = 0.5; times <= 32; times *= 2) {
            region_t region = {.slots = {SLOTS}};
            for (unsigned level = first; level < URGENCY_LEVELS; level++)
                region.work.slots[0][level] = times * SLOTS;
            run(&region, 100);
            ck_assert_double_eq(share(&region, first), 1);
            for (unsigned level = first + 1; level < URGENCY_LEVELS && times >= 1; level++)
                ck_assert_double_eq_tol(share(&region, level), 0.3, 0.01);
            /* Client accounts share the room of a level. */
            region.has_accounts = true;
            run(&region, 100);
            ck_assert_double_le(share(&region, first) * times * SLOTS, ROOM + 1);
        }
    }
}
END_TEST

START_TEST(more_urgent_levels_are_filled_first)
{
    region_t region = new_region(200, 400, 1000);
    run(&region, 100);
    ck_assert(shortage_is_short(&region.shortage, 0));
    ck_assert_double_eq(share(&region, 0), 1);
    ck_assert_double_eq_tol(share(&region, 1), 0.75, 0.01);
    ck_assert_double_eq_tol(share(&region, 2), 0.3, 0.01);
    ck_assert_double_eq_tol(admitted(&region), ROOM, 1);
}
END_TEST

/* However much is offered, and however long the requests of a level are. */
START_TEST(no_level_starves)
{
    static const double work_ms[] = {1100, 1600, 5600};
    const bool has_accounts = _i == 1;
    for (unsigned times = 2; times <= 64; times *= 2) {
        region_t region = new_region(times * 300.0, times * 400.0, times * 500.0);
        region.has_accounts = has_accounts;
        run(&region, 100);
        double requests = 0;
        double served = 0;
        for (unsigned i = 0; i < ALEN(work_ms); i++) {
            requests += region.work.slots[0][i] / work_ms[i];
            served += share(&region, i) * region.work.slots[0][i] / work_ms[i];
        }
        for (unsigned i = 0; i < ALEN(work_ms); i++)
            ck_assert_double_ge(share(&region, i), 0.25 * served / requests);
        if (has_accounts)
            ck_assert_double_le(admitted(&region), ROOM + 1);
    }
}
END_TEST

START_TEST(shares_move_gradually)
{
    region_t region = new_region(200, 0, 2000);
    run(&region, 1);
    double last = share(&region, 2);
    unsigned steps_down = 0;
    for (; share(&region, 2) > 0.31; steps_down++) {
        run(&region, 1);
        ck_assert_double_ge(share(&region, 2), last - 0.051);
        last = share(&region, 2);
    }
    ck_assert_uint_ge(steps_down, STEPS_PER_S);
    region.work.slots[0][2] = 100;
    unsigned steps_up = 0;
    for (; share(&region, 2) < 1; steps_up++) {
        run(&region, 1);
        ck_assert_double_le(share(&region, 2), last + 0.021);
        last = share(&region, 2);
    }
    ck_assert_uint_ge(steps_up, 2 * steps_down);
}
END_TEST

START_TEST(work_around_the_room_does_not_end_the_shortage)
{
    region_t region = new_region(200, 0, ROOM - 190);
    unsigned changes = 0;
    bool was_short = false;
    for (unsigned i = 0; i < 100; i++) {
        region.work.slots[0][2] = ROOM - 200 + (i % 2 == 0 ? 20 : -20);
        run(&region, 1);
        changes += shortage_is_short(&region.shortage, 0) != was_short;
        was_short = shortage_is_short(&region.shortage, 0);
        ck_assert_double_ge(share(&region, 2), 0.94);
    }
    ck_assert_uint_eq(changes, 1);
    region.work.slots[0][2] = 0.85 * ROOM - 200;
    run(&region, 1);
    ck_assert(!shortage_is_short(&region.shortage, 0));
}
END_TEST

START_TEST(rejections_shrink_the_room_slowly_and_not_below_half)
{
    region_t region = new_region(200, 0, 500);
    region.work.attempts[0] = 100;
    region.work.rejected[0] = 5;
    run(&region, 100);
    ck_assert_double_eq(shortage_room(&region.shortage, 0, SLOTS), ROOM);
    region.work.rejected[0] = 100;
    run(&region, STEPS_PER_S);
    ck_assert_double_ge(shortage_room(&region.shortage, 0, SLOTS), 0.94 * ROOM);
    run(&region, 100 * STEPS_PER_S);
    ck_assert_double_eq_tol(shortage_room(&region.shortage, 0, SLOTS), 0.5 * ROOM, 0.01);
    ck_assert_double_eq(share(&region, 0), 1);
    ck_assert_double_eq_tol(share(&region, 2), 0.4, 0.01);
    region.work.rejected[0] = 1;
    run(&region, 20 * STEPS_PER_S);
    ck_assert_double_eq(share(&region, 2), 1);
}
END_TEST

START_TEST(region_without_backends_is_not_short)
{
    region_t region = new_region(200, 400, 500);
    region.slots[0] = 0;
    run(&region, 100);
    ck_assert(!shortage_is_short(&region.shortage, 0));
    ck_assert_double_eq(share(&region, 2), 1);
}
END_TEST

/* Guards against refusals that feed on themselves: nine in ten of the refused come back once, half
 * a second later, and offer their work again; what is admitted still fills the room, no try gets
 * another share than others, and in all as many callers are served as there is room for. */
START_TEST(refused_callers_who_come_back_raise_no_refusals)
{
    enum { PERIOD_MS = 100, PERIODS = 600, RETURN_PERIODS = 5 };
    for (double load = 1.06; load <= 1.5; load += 0.22) {
        static offered_work_t work;
        shortage_t shortage = {0};
        double refused[PERIODS + RETURN_PERIODS + 1] = {0};
        double admitted = 0;
        const double slots[] = {100};
        work = (offered_work_t){0};
        for (unsigned i = 0; i < PERIODS; i++) {
            const uint64_t now_ms = 1000 + (uint64_t)i * PERIOD_MS;
            const double new_ms = load * 100 * PERIOD_MS;
            const double back_ms = refused[i];
            offered_request_t request = {.urgency = 1, .route_urgency = 1, .work_ms = new_ms};
            offered_work_count(&work, &request);
            request.work_ms = back_ms;
            offered_work_count(&work, &request);
            offered_work_update(&work, now_ms);
            const shortage_input_t input = {
                .work = &work.average, .slots = slots, .region_count = 1, .has_accounts = true};
            shortage_update(&shortage, &input, now_ms);
            const double share = shortage_admitted_share(&shortage, 0, 1);
            const double of_each =
                shortage_share_of_rank(&work.mix, &(shortage_rank_t){1, 1}, share);
            ck_assert_double_eq_tol(of_each, share, 1e-9);
            refused[i + RETURN_PERIODS] = 0.9 * (1 - of_each) * new_ms;
            if (i < PERIODS / 2)
                continue;
            admitted += of_each * (new_ms + back_ms);
            /* The first try and, if refused, nine in ten of the second. */
            ck_assert_double_ge(of_each * (1 + 0.9 * (1 - of_each)), 0.9 / load);
        }
        ck_assert_double_eq_tol(admitted / (PERIODS / 2.0) / PERIOD_MS, 100, 6);
    }
}
END_TEST

/* Accounts of one priority whose requests go to routes of different urgency. */
START_TEST(urgent_routes_go_first_within_a_level)
{
    const offered_mix_t mix = {.slots = {{100, 200, 700}}};
    for (double share = 0.05; share <= 1; share += 0.05) {
        double admitted_slots = 0;
        double last = 1;
        for (unsigned route = 0; route < 3; route++) {
            const double of_route =
                shortage_share_of_rank(&mix, &(shortage_rank_t){0, route}, share);
            ck_assert_double_le(of_route, last + 1e-9);
            ck_assert_double_ge(of_route, 0.3 * share - 1e-9);
            admitted_slots += of_route * mix.slots[0][route];
            last = of_route;
        }
        ck_assert_double_eq_tol(admitted_slots, share * 1000, 1e-6);
    }
    const shortage_rank_t unknown = {0, 3};
    ck_assert_double_eq(shortage_share_of_rank(&mix, &unknown, 0.6), 0.6);
}
END_TEST

/* ---- many instances ---- */

enum { INSTANCES = 30, HEARTBEAT_STEPS = 4, PARTS_MAX = 2 };

static const double kind_work_ms[] = {1100, 1600, 5600}; /* by urgency */

typedef struct {
    offered_work_t offered;
    offered_totals_t told; /* with its last heartbeat */
    shortage_t shortage;
    bool lost;
} instance_t;

/* Instances that decide by themselves from what they tell each other. A request of each kind
 * arrives with `per_step` in each step; one of 10 minutes of load is played in a second. */
typedef struct {
    instance_t instances[INSTANCES];
    rng_t rng;
    double per_step[ALEN(kind_work_ms)];
    bool cut; /* the instances with odd numbers do not hear the others */
    unsigned asked[ALEN(kind_work_ms)];
    unsigned served[ALEN(kind_work_ms)];
    double slots_used; /* moving average of the admitted work */
    double greatest_step;
    unsigned step;
} fleet_t;

static unsigned
draw_count(rng_t *rng, double mean)
{
    const unsigned whole = (unsigned)mean;
    return whole + (rng_unit(rng) < mean - whole);
}

static double
play_requests(fleet_t *fleet, instance_t *instance, double per_step, unsigned kind)
{
    double work_ms = 0;
    const unsigned count = draw_count(&fleet->rng, per_step);
    for (unsigned i = 0; i < count; i++) {
        const offered_request_t request = {.urgency = kind, .work_ms = kind_work_ms[kind]};
        offered_work_count(&instance->offered, &request);
        fleet->asked[kind]++;
        if (rng_unit(&fleet->rng) >= shortage_admitted_share(&instance->shortage, 0, kind))
            continue;
        fleet->served[kind]++;
        work_ms += kind_work_ms[kind];
        offered_work_count_attempt(&instance->offered, 0,
                                   rng_unit(&fleet->rng) < 1 - SLOTS / fleet->slots_used);
    }
    return work_ms;
}

static void
update_instance(fleet_t *fleet, unsigned index, uint64_t now_ms)
{
    instance_t *instance = &fleet->instances[index];
    offered_totals_t all = {0};
    const double slots[TOPOLOGY_REGIONS_MAX] = {SLOTS};
    offered_work_update(&instance->offered, now_ms);
    if (fleet->step % HEARTBEAT_STEPS == index % HEARTBEAT_STEPS)
        instance->told = instance->offered.average;
    for (unsigned i = 0; i < INSTANCES; i++) {
        const bool heard = !fleet->cut || i % PARTS_MAX == index % PARTS_MAX;
        if (heard && !fleet->instances[i].lost)
            offered_totals_add(&all, &fleet->instances[i].told);
    }
    const double before = shortage_admitted_share(&instance->shortage, 0, 2);
    const shortage_input_t input = {.work = &all, .slots = slots, .region_count = 1};
    shortage_update(&instance->shortage, &input, now_ms);
    const double moved = before - shortage_admitted_share(&instance->shortage, 0, 2);
    if (moved > fleet->greatest_step)
        fleet->greatest_step = moved;
}

static void
run_fleet(fleet_t *fleet, unsigned seconds)
{
    memset(fleet->asked, 0, sizeof(fleet->asked));
    memset(fleet->served, 0, sizeof(fleet->served));
    const unsigned end = fleet->step + seconds * STEPS_PER_S;
    unsigned alive = 0;
    for (unsigned i = 0; i < INSTANCES; i++)
        alive += !fleet->instances[i].lost;
    for (; fleet->step < end; fleet->step++) {
        double work_ms = 0;
        for (unsigned i = 0; i < INSTANCES; i++) {
            if (fleet->instances[i].lost)
                continue;
            for (unsigned kind = 0; kind < ALEN(kind_work_ms); kind++)
                work_ms +=
                    play_requests(fleet, &fleet->instances[i], fleet->per_step[kind] / alive, kind);
            update_instance(fleet, i, (fleet->step + 1) * (uint64_t)STEP_MS);
        }
        fleet->slots_used += 0.05 * (work_ms / STEP_MS - fleet->slots_used);
    }
}

static double
served(const fleet_t *fleet, unsigned kind)
{
    return (double)fleet->served[kind] / fleet->asked[kind];
}

/* A fleet whose callers keep `slots` busy: a fifth, two fifths and two fifths by urgency. */
static fleet_t *
new_fleet(double slots)
{
    static const double parts[] = {0.2, 0.4, 0.4};
    fleet_t *fleet = xcalloc(1, sizeof(*fleet));
    leak_ignore(fleet);
    fleet->rng.state = 7;
    for (unsigned kind = 0; kind < ALEN(kind_work_ms); kind++)
        fleet->per_step[kind] = parts[kind] * slots * STEP_MS / kind_work_ms[kind];
    return fleet;
}

START_TEST(fleet_serves_urgent_requests_at_twice_the_room)
{
    fleet_t *fleet = new_fleet(0.9 * ROOM);
    run_fleet(fleet, 20);
    for (unsigned kind = 0; kind < ALEN(kind_work_ms); kind++) {
        ck_assert_uint_eq(fleet->served[kind], fleet->asked[kind]);
        fleet->per_step[kind] *= 2.0 / 0.9;
    }
    run_fleet(fleet, 10);
    ck_assert_double_le(fleet->greatest_step, 0.051);
    run_fleet(fleet, 30);
    ck_assert_double_ge(served(fleet, 0), 0.97);
    ck_assert_double_ge(served(fleet, 1), 0.35);
    ck_assert_double_ge(served(fleet, 2), 0.27);
    ck_assert_double_le(fleet->slots_used, 1.1 * ROOM);
    ck_assert_double_ge(fleet->slots_used, 0.9 * ROOM);
    free(fleet);
}
END_TEST

START_TEST(loss_of_a_third_of_the_instances_opens_no_room)
{
    fleet_t *fleet = new_fleet(2 * ROOM);
    run_fleet(fleet, 20);
    for (unsigned i = 0; i < INSTANCES; i += 3)
        fleet->instances[i].lost = true;
    run_fleet(fleet, 20); /* their callers go to the others */
    ck_assert_double_ge(served(fleet, 0), 0.97);
    ck_assert_double_le(fleet->slots_used, 1.1 * ROOM);
    free(fleet);
}
END_TEST

START_TEST(cut_that_hides_half_of_the_work_does_not_overload)
{
    fleet_t *fleet = new_fleet(1.9 * ROOM);
    run_fleet(fleet, 20);
    fleet->cut = true;
    run_fleet(fleet, 40);
    run_fleet(fleet, 20);
    ck_assert_double_le(fleet->slots_used, 1.1 * SLOTS);
    ck_assert_double_ge(served(fleet, 0), 0.97);
    ck_assert_double_ge(served(fleet, 2), 0.27);
    free(fleet);
}
END_TEST

Suite *
suite_gateway_shortage(void)
{
    Suite *suite = suite_create("gateway: shortage");
    TCase *shares = tcase_create("shares");
    tcase_add_test(shares, nothing_is_held_back_while_there_is_room);
    tcase_add_test(shares, most_urgent_level_that_is_offered_is_not_held_back);
    tcase_add_test(shares, more_urgent_levels_are_filled_first);
    tcase_add_loop_test(shares, no_level_starves, 0, 2);
    tcase_add_test(shares, shares_move_gradually);
    tcase_add_test(shares, work_around_the_room_does_not_end_the_shortage);
    tcase_add_test(shares, rejections_shrink_the_room_slowly_and_not_below_half);
    tcase_add_test(shares, region_without_backends_is_not_short);
    tcase_add_test(shares, refused_callers_who_come_back_raise_no_refusals);
    tcase_add_test(shares, urgent_routes_go_first_within_a_level);
    suite_add_tcase(suite, shares);
    TCase *fleet = tcase_create("fleet");
    tcase_set_timeout(fleet, 30);
    tcase_add_test(fleet, fleet_serves_urgent_requests_at_twice_the_room);
    tcase_add_test(fleet, loss_of_a_third_of_the_instances_opens_no_room);
    tcase_add_test(fleet, cut_that_hides_half_of_the_work_does_not_overload);
    suite_add_tcase(suite, fleet);
    return suite;
}
