/* Shared objects, membership, region loads. */
#include <string.h>

#include "base/mutate.h"
#include "entry/fleet/loads.h"
#include "entry/fleet/member.h"
#include "entry/fleet/objects.h"
#include "test/suites.h"

static uint64_t in_force;

static bool
adopt(void *ctx, const object_t *object, err_t *err)
{
    (void)ctx;
    if (strstr(object->body, "bad") != NULL) {
        err_set(err, ERR_INVALID, "bad");
        return false;
    }
    in_force = object->version;
    return true;
}

static objects_t *
new_objects(void)
{
    static const objects_cbs_t cbs = {.adopt = adopt};
    in_force = 0;
    return objects_new(&cbs, NULL);
}

static offer_result_t
offer(objects_t *objects, uint64_t version, const char *body)
{
    return objects_offer(objects, STR("table"), STR("s"), version, str_from(body));
}

START_TEST(versions_never_decrease)
{
    objects_t *objects = new_objects();
    ck_assert_int_eq(offer(objects, 5, "x"), OFFER_ADOPTED);
    ck_assert_int_eq(offer(objects, 5, "x"), OFFER_STALE);
    ck_assert_int_eq(offer(objects, 4, "y"), OFFER_STALE);
    ck_assert_uint_eq(in_force, 5);
    ck_assert_int_eq(offer(objects, 9, "z"), OFFER_ADOPTED);
    ck_assert_uint_eq(in_force, 9);
}
END_TEST

START_TEST(version_test_detects_accepted_old_versions)
{
    objects_t *objects = new_objects();
    offer(objects, 5, "x");
    mutate_set(MUTATE_ACCEPT_OLD);
    offer(objects, 4, "y");
    mutate_set(MUTATE_NONE);
    ck_assert_uint_eq(in_force, 4);
}
END_TEST

START_TEST(invalid_object_is_rejected)
{
    objects_t *objects = new_objects();
    offer(objects, 5, "x");
    ck_assert_int_eq(offer(objects, 6, "bad"), OFFER_REJECTED);
    ck_assert_uint_eq(in_force, 5);
    ck_assert(!objects_wants(objects, STR("table"), STR("s"), 6));
    ck_assert(objects_wants(objects, STR("table"), STR("s"), 7));
    const object_t *object = objects_find(objects, STR("table"), STR("s"));
    ck_assert_uint_eq(object->version, 5);
    ck_assert_uint_eq(object->rejected, 6);
}
END_TEST

START_TEST(digest_depends_on_versions_not_order)
{
    objects_t *a = new_objects();
    objects_t *b = new_objects();
    offer(a, 5, "x");
    objects_offer(a, STR("table"), STR("t"), 6, STR("x"));
    objects_offer(b, STR("table"), STR("t"), 6, STR("x"));
    ck_assert(objects_digest(a) != objects_digest(b));
    offer(b, 3, "x");
    offer(b, 5, "x");
    ck_assert(objects_digest(a) == objects_digest(b));
}
END_TEST

START_TEST(members_by_list_and_heartbeat)
{
    err_t err = {0};
    instances_t *list = instances_parse(
        STR("[{\"name\":\"a\",\"role\":\"entry\",\"region\":\"r\",\"place\":\"p\",\"addr\":"
            "\"1.2.3.4:1\",\"peer\":\"1.2.3.4:2\"},{\"name\":\"b\",\"role\":\"entry\",\"region\":"
            "\"r\",\"place\":\"p\",\"addr\":\"1.2.3.4:3\",\"peer\":\"1.2.3.4:4\"},{\"name\":\"c\","
            "\"role\":\"entry\",\"region\":\"q\",\"place\":\"p2\",\"addr\":\"1.2.3.4:5\"}]"),
        1, &err);
    members_t members = {0};
    members_update(&members, list, STR("r"), STR("a"));
    ck_assert_uint_eq(members.count, 1);
    const member_t *b = members_find(&members, STR("b"));
    ck_assert(!member_alive(b, 1000));
    ck_assert(members_record_message(&members, STR("b"), 10, false, 1000));
    ck_assert(member_serves(b, 1000));
    ck_assert(!member_alive(b, 1000 + MEMBER_TIMEOUT_MS));
    ck_assert(
        !members_record_message(&members, STR("b"), 9, false, 2000)); /* an older incarnation */
    ck_assert(members_record_message(&members, STR("b"), 11, true, 2000));
    ck_assert(member_alive(b, 2000) && !member_serves(b, 2000));
    instances_free(list);
}
END_TEST

START_TEST(newer_loads_replace_older)
{
    region_loads_t loads = {0};
    region_load_t report = {.wall_ms = 10, .usable = 4, .in_flight = 1};
    name_set(&report.region, STR("r"));
    ck_assert(region_loads_merge(&loads, &report, 1000));
    report.wall_ms = 9;
    report.in_flight = 4;
    ck_assert(!region_loads_merge(&loads, &report, 1000));
    const region_load_t *known = region_loads_find(&loads, STR("r"));
    ck_assert(region_load_headroom(known) == 0.75);
    ck_assert(!region_load_lost(known, 1000 + LOADS_LOST_MS));
    ck_assert(region_load_lost(known, 1001 + LOADS_LOST_MS));
    for (uint64_t i = 1; i <= 20; i++) { /* reports every second: a shorter timeout applies */
        report.wall_ms = 10 + i;
        ck_assert(region_loads_merge(&loads, &report, 1000 + i * 1000));
    }
    ck_assert(!region_load_lost(known, 21000 + LOADS_LOST_MIN_MS));
    ck_assert(region_load_lost(known, 21000 + 6000));
}
END_TEST

Suite *
suite_fleet(void)
{
    Suite *suite = suite_create("fleet");
    TCase *tcase = tcase_create("fleet");
    tcase_add_test(tcase, versions_never_decrease);
    tcase_add_test(tcase, version_test_detects_accepted_old_versions);
    tcase_add_test(tcase, invalid_object_is_rejected);
    tcase_add_test(tcase, digest_depends_on_versions_not_order);
    tcase_add_test(tcase, members_by_list_and_heartbeat);
    tcase_add_test(tcase, newer_loads_replace_older);
    suite_add_tcase(suite, tcase);
    return suite;
}
