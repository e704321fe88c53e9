/* Client blocks, the steering plan and the spill limit. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/rng.h"
#include "base/xmalloc.h"
#include "entry/lookup/blocks.h"
#include "entry/lookup/plan.h"
#include "entry/lookup/spill.h"
#include "entry/lookup/steer.h"
#include "entry/table/table_json.h"
#include "test/suites.h"

enum { BLOCKS = 5000, CHUNK = 1000 };

static void
add_set(blocks_t *blocks, uint32_t family, uint64_t set, const uint64_t *starts,
        const uint8_t *areas, size_t chunks)
{
    for (uint32_t i = 0; i < chunks; i++) {
        size_t len;
        err_t err = {0};
        char *bytes = blocks_pack_chunk(family, set, i, BLOCKS / CHUNK, starts + i * CHUNK,
                                        areas + i * CHUNK, CHUNK, &len);
        ck_assert_msg(blocks_add_chunk(blocks, (str_t){bytes, len}, &err), "%s", err.detail);
        free(bytes);
    }
}

static uint8_t
linear_area(const uint64_t *starts, const uint8_t *areas, uint64_t key)
{
    uint8_t area = BLOCKS_NO_AREA;
    for (size_t i = 0; i < BLOCKS && starts[i] <= key; i++)
        area = areas[i];
    return area;
}

START_TEST(blocks_match_linear_search)
{
    const uint32_t family = _i == 0 ? 4 : 6;
    rng_t rng = {.state = 3};
    static uint64_t starts[BLOCKS];
    static uint8_t areas[BLOCKS];
    uint64_t at = 1000;
    for (size_t i = 0; i < BLOCKS; i++) {
        starts[i] = at;
        areas[i] = (uint8_t)rng_below(&rng, 26);
        at += 1 + rng_below(&rng, family == 4 ? 700000 : 1ull << 40);
    }
    blocks_t *blocks = blocks_new();
    add_set(blocks, family, 1, starts, areas, BLOCKS / CHUNK - 1);
    ck_assert_uint_eq(blocks_count(blocks), 0); /* inactive until complete */
    add_set(blocks, family, 1, starts, areas, BLOCKS / CHUNK);
    ck_assert_uint_eq(blocks_count(blocks), BLOCKS);
    for (size_t i = 0; i < 3000; i++) {
        const client_addr_t addr = {.family = family, .key = rng_below(&rng, at + 1000)};
        ck_assert_uint_eq(blocks_area(blocks, &addr), linear_area(starts, areas, addr.key));
    }
    for (size_t i = 0; i < BLOCKS; i++)
        areas[i] = 7;
    add_set(blocks, family, 2, starts, areas, BLOCKS / CHUNK);
    const client_addr_t addr = {.family = family, .key = starts[10]};
    ck_assert_uint_eq(blocks_area(blocks, &addr), 7);
    blocks_free(blocks);
}
END_TEST

START_TEST(invalid_chunks_are_rejected)
{
    blocks_t *blocks = blocks_new();
    err_t err = {0};
    size_t len;
    const uint64_t falling[] = {9, 8};
    const uint8_t areas[] = {1, 2};
    char *bytes = blocks_pack_chunk(4, 1, 0, 1, falling, areas, 2, &len);
    ck_assert(!blocks_add_chunk(blocks, (str_t){bytes, len}, &err));
    ck_assert_int_eq(err.code, ERR_INVALID);
    ck_assert(!blocks_add_chunk(blocks, (str_t){bytes, len - 1}, &err));
    ck_assert_int_eq(err.code, ERR_PARSE);
    free(bytes);
    blocks_free(blocks);
}
END_TEST

START_TEST(client_address_parsing)
{
    client_addr_t addr;
    ck_assert(client_addr_parse(STR("10.1.2.3"), &addr));
    ck_assert_uint_eq(addr.key, 0x0a010203);
    ck_assert(client_addr_parse(STR("2001:db8::1"), &addr));
    ck_assert(addr.key == 0x20010db800000000u);
    ck_assert(!client_addr_parse(STR("10.1.2"), &addr));
    ck_assert(!client_addr_parse(STR("10.1.2.3.4"), &addr));
    ck_assert(!client_addr_parse(STR(""), &addr));
}
END_TEST

static const char topology_json[] =
    "{\"regions\":[{\"name\":\"r1\",\"places\":[\"a\"],\"delay_ms\":{\"r2\":35,\"r3\":35}},"
    "{\"name\":\"r2\",\"places\":[\"b\"],\"delay_ms\":{\"r3\":35}},"
    "{\"name\":\"r3\",\"places\":[\"c\"]}]}";

static const char table_json[] =
    "{\"schema\":1,\"service\":\"s\",\"rows\":[{\"place\":\"a\",\"weight\":50},{\"place\":\"b\","
    "\"weight\":30},{\"place\":\"c\",\"weight\":20}],\"classes\":[{\"name\":\"c\",\"method\":"
    "\"GET\",\"path\":\"/\",\"repeatable\":true,\"deadline_ms\":100}]}";

START_TEST(plan_keeps_shares_and_prefers_near_places)
{
    err_t err = {0};
    topology_t *topology = topology_parse(str_from(topology_json), &err);
    table_t *table = table_parse(str_from(table_json), &err);
    ck_assert(topology != NULL && table != NULL);
    const double shares[] = {50, 30, 20};
    const double demand[] = {1, 1, 1};
    steer_plan_t *plan = steer_plan_new(table, shares, topology, demand);
    for (size_t r = 0; r < 3; r++) {
        double sum = 0;
        for (size_t a = 0; a < 3; a++)
            sum += plan->fraction[a * 3 + r] / 3;
        ck_assert(fabs(sum * 100 - shares[r]) < 0.5);
    }
    ck_assert(plan->fraction[0] > 0.95); /* r1's share holds all of its clients */
    size_t counts[3] = {0};
    for (uint64_t key = 0; key < 30000; key++)
        counts[steer_plan_pick(plan, table, key % 3, key * 7919, NULL)]++;
    for (size_t r = 0; r < 3; r++)
        ck_assert(fabs((double)counts[r] / 300.0 - shares[r]) < 1.5);
    steer_plan_free(plan);
    table_free(table);
    free(topology);
}
END_TEST

START_TEST(small_share_change_moves_few_blocks)
{
    err_t err = {0};
    topology_t *topology = topology_parse(str_from(topology_json), &err);
    table_t *table = table_parse(str_from(table_json), &err);
    const double before[] = {50, 30, 20};
    const double after[] = {49, 31, 20};
    const double demand[] = {1, 1, 1};
    steer_plan_t *old = steer_plan_new(table, before, topology, demand);
    steer_plan_t *new = steer_plan_new(table, after, topology, demand);
    size_t moved = 0;
    for (uint64_t key = 0; key < 30000; key++)
        moved += steer_plan_pick(old, table, key % 3, key * 7919, NULL) !=
                 steer_plan_pick(new, table, key % 3, key * 7919, NULL);
    ck_assert_uint_gt(moved, 100);
    ck_assert_uint_lt(moved, 900); /* 1 point is 300 blocks */
    steer_plan_free(old);
    steer_plan_free(new);
    table_free(table);
    free(topology);
}
END_TEST

START_TEST(spill_stays_within_cap)
{
    spill_t *spill = spill_new(1);
    double per_second[200] = {0};
    for (uint64_t s = 0; s < 200; s++) {
        for (size_t i = 0; i < 200; i++) {
            const uint64_t now = 1000000 + s * 1000 + i * 5;
            spill_record_decision(spill, now);
            per_second[s] += spill_take(spill, 0, 8, 0, now) ? 0.5 : 0;
        }
    }
    ck_assert(per_second[20] > 6 && per_second[20] <= 8.5); /* up to the cap at once */
    ck_assert(per_second[199] > 15);                        /* more in later minutes */
    for (size_t s = 6; s + 5 < 200; s++) {
        for (size_t later = s + 1; later <= s + 60 && later + 5 < 200; later++) {
            double early = 0;
            double late = 0;
            for (size_t i = 0; i < 5; i++) {
                early += per_second[s + i - 5] / 5;
                late += per_second[later + i] / 5;
            }
            ck_assert(late - early <= 8.5);
        }
    }
    ck_assert(!spill_take(spill, 0, 0, 0, 1000000 + 400 * 1000));
    spill_free(spill);
}
END_TEST

Suite *
suite_lookup(void)
{
    Suite *suite = suite_create("lookup");
    TCase *tcase = tcase_create("lookup");
    tcase_add_loop_test(tcase, blocks_match_linear_search, 0, 2);
    tcase_add_test(tcase, invalid_chunks_are_rejected);
    tcase_add_test(tcase, client_address_parsing);
    tcase_add_test(tcase, plan_keeps_shares_and_prefers_near_places);
    tcase_add_test(tcase, small_share_change_moves_few_blocks);
    tcase_add_test(tcase, spill_stays_within_cap);
    suite_add_tcase(suite, tcase);
    return suite;
}
