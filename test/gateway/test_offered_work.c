/* Offered work and its way through heartbeats. Guards against work that is counted twice, missed or
 * kept after its instance is gone, and memory that grows with the fleet. */
#include <stdlib.h>

#include "base/xmalloc.h"
#include "gateway/membership/heartbeat_message.h"
#include "gateway/membership/offer_message.h"
#include "test/gateway/fixture.h"
#include "test/suites.h"

enum { NOW_MS = 10000, OWN_REGION = 0, OTHER_REGION = 1 };

START_TEST(average_follows_the_work_of_requests)
{
    static offered_work_t work;
    const offered_request_t free_request = {
        .region = 1, .urgency = 2, .route_urgency = 1, .work_ms = 400};
    const offered_request_t bound_request = {
        .region = 1, .urgency = 2, .route_urgency = 1, .bound = true, .work_ms = 600};
    for (uint64_t now_ms = 100; now_ms <= 20000; now_ms += 100) {
        offered_work_count(&work, &free_request);
        offered_work_count(&work, &bound_request);
        offered_work_count_attempt(&work, 1, false);
        offered_work_count_attempt(&work, 1, now_ms % 400 == 0);
        offered_work_update(&work, now_ms);
    }
    ck_assert_double_eq_tol(work.average.slots[1][2], 10, 0.01);
    ck_assert_double_eq_tol(work.average.bound[1], 6, 0.01);
    ck_assert_double_eq_tol(work.average.attempts[1], 20, 0.1);
    ck_assert_double_eq_tol(work.average.rejected[1], 2.5, 0.3);
    ck_assert_double_eq_tol(work.mix.slots[2][1], 10, 0.01);
    ck_assert_double_eq(offered_totals_slots(&work.average, 0), 0);
    offered_work_update(&work, 40000);
    ck_assert_double_le(offered_totals_slots(&work.average, 1), 0.01);
}
END_TEST

START_TEST(requests_without_a_region_are_not_counted)
{
    static offered_work_t work;
    const offered_request_t request = {.region = TOPOLOGY_NO_REGION, .work_ms = 400};
    offered_work_count(&work, &request);
    offered_work_count_attempt(&work, TOPOLOGY_NO_REGION, true);
    offered_work_update(&work, 100);
    for (size_t i = 0; i < TOPOLOGY_REGIONS_MAX; i++)
        ck_assert_double_eq(offered_totals_slots(&work.average, i), 0);
}
END_TEST

START_TEST(urgency_is_one_of_four_levels)
{
    ck_assert_uint_eq(urgency_of(-1), 0);
    ck_assert_uint_eq(urgency_of(0), 0);
    ck_assert_uint_eq(urgency_of(2), 2);
    ck_assert_uint_eq(urgency_of(3), 3);
    ck_assert_uint_eq(urgency_of(900), 3);
}
END_TEST

/* ---- heartbeats ---- */

static member_t *
add_member(members_t *members, unsigned number, size_t region)
{
    addr_t addr;
    char *text = xasprintf("10.0.%u.%u:1", number / 200, 1 + number % 200);
    ck_assert(addr_parse(str_from(text), &addr));
    free(text);
    member_t *member = members_find_or_add(members, &addr);
    member->heard = true;
    member->heard_ms = NOW_MS;
    member->region = region;
    return member;
}

/* A heartbeat that tells `own` of the member and `mesh` of its mesh; NULL: tells none. It is packed
 * and unpacked as on the wire. */
static Iris__GatewayHeartbeat *
new_heartbeat(const offered_totals_t *own, const offered_totals_t *mesh, const topology_t *topology)
{
    static offer_message_t offers[2];
    Iris__Demand demands[2] = {IRIS__DEMAND__INIT, IRIS__DEMAND__INIT};
    Iris__Demand *lists[2] = {&demands[0], &demands[1]};
    Iris__GatewayHeartbeat message = IRIS__GATEWAY_HEARTBEAT__INIT;
    demands[0].service = demands[1].service = "svc";
    if (own != NULL)
        offer_message_fill(&offers[0], own, topology, &demands[0]);
    if (mesh != NULL)
        offer_message_fill(&offers[1], mesh, topology, &demands[1]);
    message.n_demands = message.n_mesh_demands = 1;
    message.demands = &lists[0];
    message.mesh_demands = &lists[1];
    const size_t size = iris__gateway_heartbeat__get_packed_size(&message);
    uint8_t *bytes = xcalloc(1, size);
    iris__gateway_heartbeat__pack(&message, bytes);
    Iris__GatewayHeartbeat *copy = iris__gateway_heartbeat__unpack(NULL, size, bytes);
    free(bytes);
    return copy;
}

static void
hear(members_t *members, member_t *member, const offered_totals_t *own,
     const offered_totals_t *mesh, uint64_t now_ms)
{
    const topology_t topology = three_regions();
    Iris__GatewayHeartbeat *message = new_heartbeat(own, mesh, &topology);
    member->heard_ms = now_ms;
    offer_message_apply(message, &topology, members, member, OWN_REGION, now_ms);
    iris__gateway_heartbeat__free_unpacked(message, NULL);
}

static double
offered(const members_t *members, size_t region, uint64_t now_ms)
{
    offered_totals_t totals;
    members_offered(members, STR("svc"), OWN_REGION, now_ms, &totals);
    return offered_totals_slots(&totals, region);
}

START_TEST(heartbeats_carry_all_figures)
{
    members_t members = {0};
    member_t *member = add_member(&members, 1, OWN_REGION);
    const offered_totals_t work = {
        .slots = {{1, 2, 3, 4}, {0, 5}},
        .bound = {2.5},
        .attempts = {30},
        .rejected = {12},
    };
    offered_totals_t told;
    hear(&members, member, &work, &work, NOW_MS);
    members_offered(&members, STR("svc"), OWN_REGION, NOW_MS, &told);
    for (size_t i = 0; i < TOPOLOGY_REGIONS_MAX; i++) {
        for (size_t k = 0; k < URGENCY_LEVELS; k++)
            ck_assert_double_eq(told.slots[i][k], work.slots[i][k]);
        ck_assert_double_eq(told.bound[i], work.bound[i]);
        ck_assert_double_eq(told.attempts[i], work.attempts[i]);
        ck_assert_double_eq(told.rejected[i], work.rejected[i]);
    }
    members_offered(&members, STR("other"), OWN_REGION, NOW_MS, &told);
    ck_assert_double_eq(offered_totals_slots(&told, 0), 0);
    members_free(&members);
}
END_TEST

/* Own mesh: each member's own work. Other meshes: their totals, once. */
START_TEST(totals_count_each_instance_once)
{
    members_t members = {0};
    const offered_totals_t own = {.slots = {{1}}};
    const offered_totals_t mesh = {.slots = {{100}}};
    for (unsigned i = 0; i < 3; i++)
        hear(&members, add_member(&members, i, OWN_REGION), &own, &mesh, NOW_MS);
    for (unsigned i = 3; i < 6; i++)
        hear(&members, add_member(&members, i, OTHER_REGION), &own, &mesh, NOW_MS);
    ck_assert_double_eq(offered(&members, 0, NOW_MS), 3 + 100);
    members_free(&members);
}
END_TEST

START_TEST(lost_instance_drops_out)
{
    members_t members = {0};
    const offered_totals_t work = {.slots = {{8}}};
    member_t *lost = add_member(&members, 1, OWN_REGION);
    hear(&members, lost, &work, &work, NOW_MS);
    hear(&members, add_member(&members, 2, OWN_REGION), &work, &work, NOW_MS);
    ck_assert_double_eq(offered(&members, 0, NOW_MS), 16);
    hear(&members, add_member(&members, 2, OWN_REGION), &work, &work, NOW_MS + 4000);
    members_find_or_add(&members, &lost->peer)->heard_ms = NOW_MS;
    ck_assert_double_eq(offered(&members, 0, NOW_MS + 4000), 8);
    members_free(&members);
}
END_TEST

START_TEST(total_of_another_mesh_outlasts_gaps_but_not_a_cut)
{
    members_t members = {0};
    const offered_totals_t work = {.slots = {{8}}};
    hear(&members, add_member(&members, 1, OTHER_REGION), NULL, &work, NOW_MS);
    ck_assert_double_eq(offered(&members, 0, NOW_MS + 3000), 8);
    ck_assert_double_eq(offered(&members, 0, NOW_MS + OFFERS_KEPT_MS + 1), 0);
    members_free(&members);
}
END_TEST

/* An instance of an earlier version does not hide what others told. */
START_TEST(older_instance_tells_none)
{
    members_t members = {0};
    const offered_totals_t work = {.slots = {{8}}};
    hear(&members, add_member(&members, 1, OTHER_REGION), NULL, &work, NOW_MS);
    hear(&members, add_member(&members, 2, OTHER_REGION), NULL, NULL, NOW_MS + 100);
    hear(&members, add_member(&members, 3, OWN_REGION), NULL, NULL, NOW_MS + 100);
    ck_assert_double_eq(offered(&members, 0, NOW_MS + 200), 8);
    members_free(&members);
}
END_TEST

START_TEST(unknown_region_is_skipped)
{
    members_t members = {0};
    const topology_t topology = three_regions();
    topology_t larger = three_regions();
    ck_assert(topology_add(&larger, STR("d1"), STR("d")));
    const offered_totals_t work = {.slots = {{8}, {0}, {0}, {50}}};
    member_t *member = add_member(&members, 1, OWN_REGION);
    Iris__GatewayHeartbeat *message = new_heartbeat(&work, &work, &larger);
    offer_message_apply(message, &topology, &members, member, OWN_REGION, NOW_MS);
    iris__gateway_heartbeat__free_unpacked(message, NULL);
    ck_assert_uint_eq(member->offers.count, 1);
    ck_assert_double_eq(offered(&members, 0, NOW_MS), 8);
    members_free(&members);
}
END_TEST

/* 1,909 instances in 26 regions, which tell of three services in six regions each. */
START_TEST(memory_grows_with_the_mesh_not_the_fleet)
{
    enum { INSTANCES = 1909, REGIONS = 26, ITEMS = 3 * 6, BYTES_MAX = 512 * 1024 };
    static member_offer_t items[ITEMS];
    members_t members = {0};
    const offered_totals_t work = {.slots = {{1}, {2}, {3}}};
    size_t bytes = 0;
    for (unsigned i = 0; i < INSTANCES; i++)
        hear(&members, add_member(&members, i, i % REGIONS), &work, &work, NOW_MS);
    for (size_t i = 0; i < members.count; i++) {
        ck_assert_uint_eq(members.items[i].offers.count,
                          members.items[i].region == OWN_REGION ? 3 : 0);
        if (members.items[i].offers.count > 0)
            member_offers_set(&members.items[i].offers, items, ITEMS, NOW_MS);
        bytes += members.items[i].offers.count * sizeof(member_offer_t);
    }
    for (size_t i = 0; i < MEMBERS_MESHES_MAX; i++) {
        if (members.mesh_offers[i].count > 0)
            member_offers_set(&members.mesh_offers[i], items, ITEMS, NOW_MS);
        bytes += members.mesh_offers[i].count * sizeof(member_offer_t);
    }
    ck_assert_uint_eq(bytes,
                      (INSTANCES / REGIONS + 1 + REGIONS - 1) * ITEMS * sizeof(member_offer_t));
    ck_assert_uint_le(bytes + sizeof(members.mesh_offers), BYTES_MAX);
    members_free(&members);
}
END_TEST

/* Guards against heartbeats that grow with work that their receivers do not read. */
START_TEST(each_receiver_is_told_what_it_reads)
{
    static heartbeat_message_t message;
    message.message.n_demands = 1;
    message.offers[0].count = 3;
    message.mesh_offers[0].count = 2;
    heartbeat_message_select_offers(&message, true, true);
    ck_assert_uint_eq(message.demands[0].n_offered, 3);
    ck_assert_uint_eq(message.mesh_demands[0].n_offered, 0);
    heartbeat_message_select_offers(&message, true, false);
    ck_assert_uint_eq(message.demands[0].n_offered, 0);
    ck_assert_uint_eq(message.mesh_demands[0].n_offered, 0);
    heartbeat_message_select_offers(&message, false, true);
    ck_assert_uint_eq(message.demands[0].n_offered, 0);
    ck_assert_uint_eq(message.mesh_demands[0].n_offered, 2);
}
END_TEST

Suite *
suite_gateway_offered_work(void)
{
    Suite *suite = suite_create("gateway: offered work");
    TCase *averages = tcase_create("averages");
    tcase_add_test(averages, average_follows_the_work_of_requests);
    tcase_add_test(averages, requests_without_a_region_are_not_counted);
    tcase_add_test(averages, each_receiver_is_told_what_it_reads);
    tcase_add_test(averages, urgency_is_one_of_four_levels);
    suite_add_tcase(suite, averages);
    TCase *heartbeats = tcase_create("heartbeats");
    tcase_add_test(heartbeats, heartbeats_carry_all_figures);
    tcase_add_test(heartbeats, totals_count_each_instance_once);
    tcase_add_test(heartbeats, lost_instance_drops_out);
    tcase_add_test(heartbeats, total_of_another_mesh_outlasts_gaps_but_not_a_cut);
    tcase_add_test(heartbeats, older_instance_tells_none);
    tcase_add_test(heartbeats, unknown_region_is_skipped);
    tcase_add_test(heartbeats, memory_grows_with_the_mesh_not_the_fleet);
    suite_add_tcase(suite, heartbeats);
    return suite;
}
