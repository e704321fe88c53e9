/* Membership, store watchers, the directory and the heartbeat's demands. */
#include <stdio.h>

#include "base/xmalloc.h"
#include "gateway/membership/member_offers.h"
#include "gateway/membership/directory.h"
#include "gateway/policy/subset.h"
#include "gateway/policy/store_schedule.h"
#include "gateway/state/traffic.h"
#include "gateway/membership/heartbeat.h"
#include "gateway/membership/members.h"
#include "gateway/membership/members_store.h"
#include "test/gateway/fixture.h"
#include "test/suites.h"

static member_t *
add_member(members_t *members, const char *name, const char *hall, size_t region, uint16_t port)
{
    char text[ADDR_TEXT_MAX];
    addr_t addr;
    snprintf(text, sizeof(text), "10.0.0.1:%u", port);
    ck_assert(addr_parse(str_from(text), &addr));
    member_t *member = members_find_or_add(members, &addr);
    member->heard = true;
    member->heard_ms = 10000;
    member->ready = true;
    member->region = region;
    member->callers = addr;
    name_set(&member->instance, str_from(name));
    name_set(&member->hall, str_from(hall));
    return member;
}

START_TEST(silent_members_are_not_counted)
{
    members_t members = {0};
    add_member(&members, "a-1", "a1", 0, 1);
    add_member(&members, "a-2", "a1", 0, 2);
    ck_assert_uint_eq(members_rank_in_mesh(&members, STR("a-1"), 0, true, 10500), 0);
    ck_assert_uint_eq(members_rank_in_mesh(&members, STR("a-2"), 0, true, 10500), 1);
    members.items[1].heard_ms = 14000;
    ck_assert_uint_eq(members_rank_in_mesh(&members, STR("a-2"), 0, true, 14000), 0);
    members.items[1].store_age_ms = 500;
    ck_assert(members_watch_store(&members, 0, 3000, 14000));
    ck_assert(!members_watch_store(&members, 0, 400, 14000));
    ck_assert(!members_watch_store(&members, 0, 1800, 15500));
    members_free(&members);
}
END_TEST

START_TEST(large_fleet_limits_heartbeats_between_regions)
{
    enum { REGION_SIZE = 50, ROUNDS = REGION_SIZE / MEMBERS_PER_REMOTE_MESH };
    members_t members = {0};
    bool targeted[2 * REGION_SIZE] = {false};
    for (unsigned i = 0; i < 2 * REGION_SIZE; i++) {
        char name[16];
        snprintf(name, sizeof(name), "g-%u", i);
        member_t *member = add_member(&members, name, "a1", i % 2, (uint16_t)(i + 1));
        member->mesh_members = REGION_SIZE;
        member->heard = i % 2 == 0 || i < 4; /* few of the remote region have been heard */
    }
    ck_assert_uint_eq(members_total(&members, 0), 2 * REGION_SIZE);
    ck_assert_uint_eq(members_interval_ms(&members, 0, 10100),
                      REGION_SIZE * HEARTBEAT_MS_PER_MEMBER);
    for (unsigned round = 0; round < ROUNDS; round++) {
        size_t region_count = 0;
        size_t remote_count = 0;
        bool selected[2 * REGION_SIZE];
        members_select_targets(&members, 0, round, 10100, selected);
        for (size_t i = 0; i < members.count; i++) {
            if (!selected[i])
                continue;
            targeted[i] = true;
            *(i % 2 == 0 ? &region_count : &remote_count) += 1;
        }
        ck_assert_uint_eq(region_count, REGION_SIZE);
        ck_assert_uint_eq(remote_count, MEMBERS_PER_REMOTE_MESH);
    }
    for (size_t i = 0; i < ALEN(targeted); i++)
        ck_assert(targeted[i]);
    members_free(&members);
}
END_TEST

/* Data halls of one region, `size` instances in all. */
static members_t
new_large_region(unsigned halls, unsigned size)
{
    members_t members = {0};
    for (unsigned i = 0; i < size; i++) {
        char name[16];
        char hall[16];
        snprintf(name, sizeof(name), "g-%u", i);
        snprintf(hall, sizeof(hall), "a%u", i % halls);
        member_t *member = add_member(&members, name, hall, 0, (uint16_t)(i + 1));
        member->hall_index = i % halls;
        member->mesh_members = size / halls;
    }
    members_update_meshes(&members);
    return members;
}

/* Heartbeats of one instance in a round, with `size` instances in the fleet. */
static size_t
count_targets(unsigned halls, unsigned size)
{
    static bool targets[MEMBERS_MAX];
    members_t members = new_large_region(halls, size);
    size_t count = 0;
    members_select_targets(&members, 0, 0, 10100, targets);
    for (size_t i = 0; i < members.count; i++)
        count += targets[i];
    members_free(&members);
    return count;
}

START_TEST(heartbeats_do_not_grow_with_the_fleet)
{
    enum { HALL = 110 };
    const size_t at_990 = count_targets(9, 9 * HALL);
    const size_t at_1980 = count_targets(18, 18 * HALL);
    ck_assert_uint_le(at_990, HALL + 9);
    ck_assert_uint_le(at_1980 * 10, at_990 * 12);
    /* With as many data halls, twice as large, no faster than the fleet. */
    ck_assert_uint_le(count_targets(9, 9 * 2 * HALL), 2 * at_990);
}
END_TEST

START_TEST(data_halls_of_a_large_region_are_meshes)
{
    enum { HALLS = 3, HALL_SIZE = 30, SIZE = HALLS * HALL_SIZE };
    members_t members = new_large_region(HALLS, SIZE);
    ck_assert(members.split[0]);
    members.own_hall = 1;
    ck_assert_uint_eq(members_count_alive_in_mesh(&members, 0, 10100), HALL_SIZE);
    ck_assert_uint_eq(members_total(&members, 0), SIZE);
    for (size_t i = 0; i < members.count; i++) {
        members.items[i].demand_count = 1;
        members.items[i].mesh_demand_count = 1;
        name_set(&members.items[i].demands[0].service, STR("svc"));
        name_set(&members.items[i].mesh_demands[0].service, STR("svc"));
        members.items[i].demands[0].slots = 1;
        members.items[i].mesh_demands[0].slots = HALL_SIZE;
    }
    ck_assert(members_mesh_demand(&members, STR("svc"), 0, 10100) == HALL_SIZE);
    ck_assert(members_demand(&members, STR("svc"), 0, 0, 10100) == SIZE);
    size_t watchers = 0;
    for (size_t i = 0; i < members.count; i++) {
        members.own_hall = members.items[i].hall_index;
        watchers += store_schedule_watches(
            members_rank_in_mesh(&members, name_str(&members.items[i].instance), 0, true, 10100));
    }
    ck_assert_uint_eq(watchers, 2 * HALLS);
    members_free(&members);
}
END_TEST

START_TEST(lost_instance_is_known_within_four_seconds)
{
    member_t member = {.heard = true, .heard_ms = 10000, .interval_ms = HEARTBEAT_MAX_MS};
    ck_assert(member_alive(&member, 10000 + 2 * HEARTBEAT_MAX_MS + 400));
    ck_assert(!member_alive(&member, 13700));
    ck_assert_uint_lt(member_unlisted_after_ms(&member), 3000);
    member.interval_ms = HEARTBEAT_MIN_MS;
    ck_assert(member_alive(&member, 11800));
    ck_assert(!member_alive(&member, 11900));
}
END_TEST

/* Callers hold a member while they look up another one. */
START_TEST(looking_up_a_member_does_not_move_the_others)
{
    members_t members = {0};
    for (unsigned i = 0; i < 300; i++) {
        char name[16];
        snprintf(name, sizeof(name), "g-%u", i);
        add_member(&members, name, "a1", 0, (uint16_t)(i + 1));
        const member_t *items = members.items;
        const addr_t first = members.items[0].peer;
        ck_assert_ptr_eq(members_find_or_add(&members, &first), items);
        ck_assert_ptr_eq(members.items, items);
    }
    members_free(&members);
}
END_TEST

START_TEST(members_are_found_by_address)
{
    members_t members = {0};
    for (unsigned i = 0; i < 1000; i++) {
        char name[16];
        snprintf(name, sizeof(name), "g-%u", i);
        add_member(&members, name, "a1", 0, (uint16_t)(i + 1));
    }
    ck_assert_uint_eq(members.count, 1000);
    for (unsigned i = 0; i < 1000; i++) {
        const addr_t peer = members.items[i].peer;
        ck_assert_ptr_eq(members_find_or_add(&members, &peer), &members.items[i]);
    }
    ck_assert_uint_eq(members.count, 1000);
    members_free(&members);
}
END_TEST

/* With more services than a heartbeat holds, those with the greatest demand are sent. */
START_TEST(heartbeat_carries_greatest_demands)
{
    enum { SERVICES = 4 * MEMBER_DEMANDS_MAX, BUSY_FROM = SERVICES - 3 };
    static gateway_settings_t settings;
    static heartbeat_t heartbeat;
    static const traffic_t traffic;
    members_t members = {0};
    services_t services = {0};
    char name[16];
    for (int i = 0; i < SERVICES; i++) {
        snprintf(name, sizeof(name), "s%03d", i);
        services_get(&services, str_from(name))->demand = i >= BUSY_FROM ? 1 + i : 0.5;
    }
    ck_assert(addr_parse(STR("127.0.0.1:1"), &settings.peer));
    static const reachability_t reach;
    const heartbeat_conf_t conf = {.reach = &reach,
                                   .settings = &settings,
                                   .members = &members,
                                   .services = &services,
                                   .traffic = &traffic};
    heartbeat_init(&heartbeat, &conf, 1000);
    const member_t *self = members_find_or_add(&members, &settings.peer);
    ck_assert_uint_eq(self->demand_count, MEMBER_DEMANDS_MAX);
    for (int i = BUSY_FROM; i < SERVICES; i++) {
        snprintf(name, sizeof(name), "s%03d", i);
        ck_assert(members_demand(&members, str_from(name), 0, 0, 1000) == 1 + i);
    }
    services_free(&services);
    members_free(&members);
}
END_TEST

START_TEST(remote_region_demand_is_as_reported)
{
    members_t members = {0};
    member_t *own = add_member(&members, "a-1", "a1", 0, 1);
    own->demand_count = 1;
    name_set(&own->demands[0].service, STR("svc"));
    own->demands[0].slots = 4;
    member_t *other = add_member(&members, "b-1", "b1", 1, 2);
    other->mesh_demand_count = 1;
    name_set(&other->mesh_demands[0].service, STR("svc"));
    other->mesh_demands[0].slots = 70;
    ck_assert(members_demand(&members, STR("svc"), 0, 0, 10100) == 4);
    ck_assert(members_demand(&members, STR("svc"), 1, 0, 10100) == 70);
    ck_assert(members_demand(&members, STR("svc"), 1, 0, 30000) == 0);
    members_free(&members);
}
END_TEST

/* Work that other regions may not serve must not count as work that could go there. */
START_TEST(free_work_of_callers_counts_by_their_region)
{
    members_t members = {0};
    member_t *own = add_member(&members, "a-1", "a1", 0, 1);
    member_offer_t offers[2] = {0};
    offers[0] = (member_offer_t){.region = 0, .slots = {3, 1}, .bound = 1};
    offers[1] = (member_offer_t){.region = 1, .slots = {0, 2}, .bound = 0.5};
    name_set(&offers[0].service, STR("svc"));
    name_set(&offers[1].service, STR("svc"));
    member_offers_set(&own->offers, offers, 2, 10100);
    member_t *other = add_member(&members, "b-1", "b1", 1, 2);
    member_offer_t total = {.region = 0, .slots = {70}, .bound = 20};
    name_set(&total.service, STR("svc"));
    member_offers_set(&members.mesh_offers[members_mesh(&members, other)], &total, 1, 10100);
    ck_assert_double_eq_tol(members_free_work(&members, STR("svc"), 0, 0, 10100), 4.5, 0.001);
    ck_assert_double_eq_tol(members_free_work(&members, STR("svc"), 1, 0, 10100), 50, 0.001);
    ck_assert_double_eq_tol(members_free_work(&members, STR("other"), 1, 0, 10100), 0, 0.001);
    /* A silent instance tells nothing any more. */
    ck_assert_double_eq_tol(members_free_work(&members, STR("svc"), 1, 0, 30000), 0, 0.001);
    members_free(&members);
}
END_TEST

static void
set_capacity(member_t *member, double link_bytes_per_s, double cpu_cores)
{
    member->capacity = (member_capacity_t){
        .link_bytes_per_s = link_bytes_per_s,
        .cpu_cores = cpu_cores,
    };
}

/* An instance on a small link reads a large configuration seconds after the others. */
START_TEST(store_watchers_have_the_widest_links)
{
    members_t members = {0};
    set_capacity(add_member(&members, "a-1", "a1", 0, 1), 25e6, 0.5);
    set_capacity(add_member(&members, "a-10", "a1", 0, 2), 1.25e6, 0.1);
    set_capacity(add_member(&members, "a-2", "a1", 0, 3), 25e6, 0.5);
    set_capacity(add_member(&members, "a-3", "a1", 0, 4), 25e6, 1);
    ck_assert_uint_eq(members_rank_in_mesh(&members, STR("a-3"), 0, true, 10100), 0);
    ck_assert_uint_eq(members_rank_in_mesh(&members, STR("a-1"), 0, true, 10100), 1);
    ck_assert_uint_eq(members_rank_in_mesh(&members, STR("a-2"), 0, true, 10100), 2);
    ck_assert_uint_eq(members_rank_in_mesh(&members, STR("a-10"), 0, true, 10100), 3);
    members_free(&members);
}
END_TEST

/* Heartbeats carry capacities as floats. */
START_TEST(instances_of_equal_capacity_agree_on_the_store_watchers)
{
    enum { SIZE = 4 };
    size_t watchers = 0;
    for (unsigned own = 0; own < SIZE; own++) {
        members_t members = {0};
        name_t names[SIZE];
        for (unsigned i = 0; i < SIZE; i++) {
            snprintf(names[i].ptr, sizeof(names[i].ptr), "a-%u", i);
            member_t *member = add_member(&members, names[i].ptr, "a1", 0, (uint16_t)(i + 1));
            set_capacity(member, 1.25e6, i == own ? 0.1 : (double)0.1F);
        }
        watchers += store_schedule_watches(
            members_rank_in_mesh(&members, str_from(names[own].ptr), 0, true, 10100));
        members_free(&members);
    }
    ck_assert_uint_eq(watchers, 2);
}
END_TEST

START_TEST(each_region_has_two_store_watchers)
{
    /* A watcher whose requests go unanswered is not detected for seconds, so two watch. */
    members_t members = {0};
    add_member(&members, "a-1", "a1", 0, 1);
    add_member(&members, "a-2", "a1", 0, 2);
    add_member(&members, "a-3", "a1", 0, 3);
    size_t watchers = 0;
    watchers += store_schedule_watches(members_rank_in_mesh(&members, STR("a-1"), 0, true, 10100));
    watchers += store_schedule_watches(members_rank_in_mesh(&members, STR("a-2"), 0, true, 10100));
    watchers += store_schedule_watches(members_rank_in_mesh(&members, STR("a-3"), 0, true, 10100));
    ck_assert_uint_eq(watchers, 2);
    members_free(&members);
}
END_TEST

START_TEST(long_heartbeat_interval_does_not_fail_store_check)
{
    /* With heartbeats every 1.2 s a watcher's reported store age is older when read. It must still
     * count as valid, or every instance of the region would watch the store. */
    enum { REGION_SIZE = 100 };
    members_t members = {0};
    member_t *watcher = add_member(&members, "g-0", "a1", 0, 1);
    watcher->store_age_ms = 3400;
    const uint64_t late = 10000 + HEARTBEAT_MIN_MS;
    ck_assert(members_watch_store(&members, 0, members_store_age_max_ms(&members, 0, late), late));
    ck_assert(
        !members_watch_store(&members, 0, members_store_age_max_ms(&members, 0, late), late + 200));
    for (unsigned i = 1; i < REGION_SIZE; i++)
        add_member(&members, "g-n", "a1", 0, (uint16_t)(i + 1));
    members.items[0].interval_ms = HEARTBEAT_MAX_MS;
    const uint64_t later = 10000 + HEARTBEAT_MAX_MS;
    ck_assert(
        members_watch_store(&members, 0, members_store_age_max_ms(&members, 0, later), later));
    members_free(&members);
}
END_TEST

START_TEST(next_instance_watches_when_first_is_refused)
{
    members_t members = {0};
    add_member(&members, "a-1", "a1", 0, 1);
    add_member(&members, "a-2", "a1", 0, 2);
    add_member(&members, "a-3", "a1", 0, 3);
    members.items[0].store_failing = true;
    ck_assert_uint_eq(members_rank_in_mesh(&members, STR("a-1"), 0, true, 10500),
                      0); /* keeps trying */
    ck_assert_uint_eq(members_rank_in_mesh(&members, STR("a-2"), 0, true, 10500), 0);
    ck_assert_uint_eq(members_rank_in_mesh(&members, STR("a-3"), 0, true, 10500), 1);
    /* The store is not down while it serves other instances. */
    ck_assert(!members_store_is_down(&members, STR("a-1"), true, 3500, 10500));
    members.items[1].store_failing = true;
    members.items[2].store_failing = true;
    ck_assert(members_store_is_down(&members, STR("a-1"), true, 3500, 10500));
    members_free(&members);
}
END_TEST

START_TEST(directory_lists_nearest_alive_instances)
{
    topology_t topology = three_regions();
    members_t members = {0};
    addr_t out[DIRECTORY_MAX];
    add_member(&members, "a-1", "a1", 0, 1);
    add_member(&members, "a-2", "a2", 0, 2);
    add_member(&members, "b-1", "b1", 1, 3);
    ck_assert_uint_eq(directory_pick(&members, &topology, STR("a"), STR("a2"), 10100, out), 1);
    ck_assert_uint_eq(addr_port(&out[0]), 2);
    members.items[1].leaving = true;
    ck_assert_uint_eq(directory_pick(&members, &topology, STR("a"), STR("a2"), 10100, out), 1);
    ck_assert_uint_eq(addr_port(&out[0]), 1);
    members.items[0].ready = false;
    ck_assert_uint_eq(directory_pick(&members, &topology, STR("a"), STR("a2"), 10100, out), 1);
    ck_assert_uint_eq(addr_port(&out[0]), 3);
    ck_assert_uint_eq(directory_pick(&members, &topology, STR("x"), STR("y"), 13000, out), 0);
    members_free(&members);
}
END_TEST

static subset_instance_t
make_instance(uint64_t key, double link_mbps, double cpu_cores, double requests_per_s,
              double bytes_per_s)
{
    return (subset_instance_t){
        .key = key,
        .link_bytes_per_s = link_mbps * 125000,
        .cpu_cores = cpu_cores,
        .requests_per_s = requests_per_s,
        .bytes_per_s = bytes_per_s,
    };
}

START_TEST(naming_picks_fewest_instances_for_traffic)
{
    subset_instance_t instances[8];
    /* Two large and six small instances, 400 requests/s and 8 MB/s in total. */
    for (uint64_t i = 0; i < ALEN(instances); i++)
        instances[i] = make_instance(i, i >= 6 ? 200 : 10, i >= 6 ? 0.5 : 0.1, 50, 1e6);
    ck_assert_uint_eq(subset_select(instances, ALEN(instances)), 2);
    ck_assert_uint_eq(instances[0].key, 6);
    ck_assert_uint_eq(instances[1].key, 7);
    /* Two large instances cannot carry 24 MB/s, nor can all at equal shares. */
    for (size_t i = 0; i < ALEN(instances); i++)
        instances[i].bytes_per_s = 3e6;
    ck_assert_uint_eq(subset_select(instances, ALEN(instances)), 8);
    /* Equal instances of 10 Mbit/s: 1.25 MB/s needs three, at a third of their links. */
    for (uint64_t i = 0; i < ALEN(instances); i++)
        instances[i] = make_instance(i, 10, 0.5, 10, 156250);
    ck_assert_uint_eq(subset_select(instances, ALEN(instances)), 3);
    /* CPU time counts too: 800 requests/s at 0.2 ms each on 0.1 cores. */
    for (uint64_t i = 0; i < ALEN(instances); i++)
        instances[i] = make_instance(i, 1000, 0.1, 100, 0);
    ck_assert_uint_eq(subset_select(instances, ALEN(instances)), 4);
}
END_TEST

START_TEST(naming_without_traffic_uses_configured_capacity)
{
    subset_instance_t instances[8];
    for (uint64_t i = 0; i < ALEN(instances); i++)
        instances[i] = make_instance(i, i < 2 ? 200 : 10, 0.5, 0, 0);
    ck_assert_uint_eq(subset_select(instances, ALEN(instances)), 2);
    for (uint64_t i = 0; i < ALEN(instances); i++)
        instances[i] = make_instance(i, 10, 0.5, 0, 0);
    ck_assert_uint_eq(subset_select(instances, ALEN(instances)), 4);
    /* If one does not report its capacity, as before an upgrade, all are listed. */
    instances[3].link_bytes_per_s = 0;
    ck_assert_uint_eq(subset_select(instances, ALEN(instances)), 8);
    ck_assert_uint_eq(subset_select(instances, 1), 1);
    ck_assert_uint_eq(subset_select(instances, 0), 0);
}
END_TEST

START_TEST(traffic_is_averaged_over_seconds)
{
    traffic_t traffic = {.updated_ms = 1000};
    for (uint64_t now_ms = 1200; now_ms <= 21000; now_ms += 200) {
        for (int i = 0; i < 20; i++)
            traffic_count(&traffic, 1400);
        traffic_update(&traffic, now_ms);
    }
    ck_assert_double_eq_tol(traffic.requests_per_s, 100, 0.1);
    ck_assert_double_eq_tol(traffic.bytes_per_s, 200000, 200);
    traffic_update(&traffic, 23000);
    ck_assert_double_eq_tol(traffic.requests_per_s, 100 * exp(-1), 0.1);
}
END_TEST

Suite *
suite_gateway_members(void)
{
    Suite *suite = suite_create("gateway: members");
    TCase *tests = tcase_create("members");
    tcase_add_test(tests, heartbeats_do_not_grow_with_the_fleet);
    tcase_add_test(tests, data_halls_of_a_large_region_are_meshes);
    tcase_add_test(tests, lost_instance_is_known_within_four_seconds);
    tcase_add_test(tests, members_are_found_by_address);
    tcase_add_test(tests, looking_up_a_member_does_not_move_the_others);
    tcase_add_test(tests, silent_members_are_not_counted);
    tcase_add_test(tests, large_fleet_limits_heartbeats_between_regions);
    tcase_add_test(tests, heartbeat_carries_greatest_demands);
    tcase_add_test(tests, remote_region_demand_is_as_reported);
    tcase_add_test(tests, free_work_of_callers_counts_by_their_region);
    tcase_add_test(tests, store_watchers_have_the_widest_links);
    tcase_add_test(tests, instances_of_equal_capacity_agree_on_the_store_watchers);
    tcase_add_test(tests, each_region_has_two_store_watchers);
    tcase_add_test(tests, long_heartbeat_interval_does_not_fail_store_check);
    tcase_add_test(tests, next_instance_watches_when_first_is_refused);
    tcase_add_test(tests, directory_lists_nearest_alive_instances);
    tcase_add_test(tests, naming_picks_fewest_instances_for_traffic);
    tcase_add_test(tests, naming_without_traffic_uses_configured_capacity);
    tcase_add_test(tests, traffic_is_averaged_over_seconds);
    suite_add_tcase(suite, tests);
    return suite;
}
