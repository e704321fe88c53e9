/* Views: lists, changes, digests. */
#include <stdio.h>
#include <stdlib.h>

#include "gateway/state/view.h"
#include "test/suites.h"

static store_item_t
item(const char *name, uint64_t revision, bool gone)
{
    return (store_item_t){
        .name = str_from(name), .revision = revision, .gone = gone, .body = STR("{}")};
}

START_TEST(view_ignores_older_lists_and_detects_gaps)
{
    view_t view = {0};
    const store_item_t first[] = {item("a", 3, false), item("b", 5, false)};
    const store_item_t older[] = {item("a", 2, false)};
    const store_item_t changes[] = {item("b", 8, true), item("c", 9, false)};
    ck_assert_int_eq(view_apply(&view, first, 2, 0, 5), VIEW_GAP);
    ck_assert_int_eq(view_replace(&view, first, 2, 5), VIEW_CHANGED);
    ck_assert_int_eq(view_replace(&view, older, 1, 4), VIEW_UNCHANGED);
    ck_assert_uint_eq(view.count, 2);
    ck_assert_int_eq(view_apply(&view, changes, 2, 7, 9), VIEW_GAP);
    ck_assert_int_eq(view_apply(&view, changes, 2, 5, 9), VIEW_CHANGED);
    ck_assert_int_eq(view_apply(&view, changes, 2, 5, 9), VIEW_UNCHANGED);
    ck_assert_ptr_null(view_find(&view, STR("b")));
    ck_assert_ptr_nonnull(view_find(&view, STR("c")));
    ck_assert_uint_eq(view.at, 9);
    view_free(&view);
}
END_TEST

START_TEST(late_removal_does_not_delete_recreated_object)
{
    view_t view = {0};
    const store_item_t first[] = {item("a", 3, false)};
    const store_item_t again[] = {item("a", 12, false)};
    const store_item_t gone[] = {item("a", 10, true)};
    view_replace(&view, first, 1, 5);
    view_apply(&view, again, 1, 5, 12);
    /* The removal of the former object arrives after the new one. */
    view_apply(&view, gone, 1, 5, 13);
    ck_assert_ptr_nonnull(view_find(&view, STR("a")));
    view_free(&view);
}
END_TEST

START_TEST(view_digest_is_equal_for_list_and_changes)
{
    view_t listed = {0};
    view_t followed = {0};
    const store_item_t start[] = {item("a", 1, false), item("b", 2, false)};
    const store_item_t change[] = {item("a", 7, false), item("b", 6, true), item("d", 5, false)};
    const store_item_t end[] = {item("a", 7, false), item("d", 5, false)};
    view_replace(&followed, start, 2, 3);
    view_apply(&followed, change, 3, 3, 7);
    view_replace(&listed, end, 2, 7);
    ck_assert_uint_eq(listed.digest, followed.digest);
    view_confirm(&followed, listed.digest, 20);
    ck_assert_uint_eq(followed.at, 20);
    view_confirm(&followed, listed.digest + 1, 30);
    ck_assert_uint_eq(followed.at, 20);
    view_free(&listed);
    view_free(&followed);
}
END_TEST

START_TEST(view_since_returns_changes_and_removals)
{
    view_t view = {0};
    size_t count;
    const store_item_t first[] = {item("a", 3, false), item("b", 5, false)};
    const store_item_t change[] = {item("b", 8, true), item("c", 9, false)};
    view_replace(&view, first, 2, 5);
    ck_assert_ptr_null(view_since(&view, 4, &count));
    store_item_t *out = view_since(&view, 5, &count);
    ck_assert_ptr_nonnull(out);
    ck_assert_uint_eq(count, 0);
    free(out);
    view_apply(&view, change, 2, 5, 9);
    out = view_since(&view, 6, &count);
    ck_assert_uint_eq(count, 2);
    ck_assert(out[0].gone && str_eq(out[0].name, STR("b")));
    ck_assert(!out[1].gone && str_eq(out[1].name, STR("c")));
    /* A peer that applies the result holds the same objects. */
    view_t peer = {0};
    view_replace(&peer, first, 2, 5);
    ck_assert_int_eq(view_apply(&peer, out, count, 5, 9), VIEW_CHANGED);
    ck_assert_uint_eq(peer.digest, view.digest);
    free(out);
    view_free(&view);
    view_free(&peer);
}
END_TEST

/* Any number of changes is available, but only a fixed number of removals. */
START_TEST(view_since_is_limited_by_the_removal_ring)
{
    enum { MANY = 2 * VIEW_REMOVALS_MAX };
    view_t view = {0};
    size_t count;
    char name[16];
    view_replace(&view, NULL, 0, 5);
    for (uint64_t i = 0; i < MANY; i++) {
        snprintf(name, sizeof(name), "%04d", (int)i);
        const store_item_t made[] = {item(name, 10 + i, false)};
        view_apply(&view, made, 1, view.at, 10 + i);
    }
    store_item_t *out = view_since(&view, 5, &count);
    ck_assert_ptr_nonnull(out);
    ck_assert_uint_eq(count, MANY);
    free(out);
    for (uint64_t i = 0; i <= VIEW_REMOVALS_MAX; i++) {
        const uint64_t at = 10 + MANY + i;
        snprintf(name, sizeof(name), "%04d", (int)i);
        const store_item_t gone[] = {item(name, at, true)};
        view_apply(&view, gone, 1, at - 1, at);
    }
    ck_assert_ptr_null(view_since(&view, 5, &count));
    out = view_since(&view, 10 + MANY, &count);
    ck_assert_ptr_nonnull(out);
    ck_assert_uint_eq(count, VIEW_REMOVALS_MAX);
    free(out);
    view_free(&view);
}
END_TEST

/* A peer that is behind must not get every version of an object that changed often. */
START_TEST(view_since_returns_each_object_once)
{
    view_t view = {0};
    size_t count;
    const store_item_t first[] = {item("a", 3, false), item("b", 4, false)};
    view_replace(&view, first, 2, 5);
    for (uint64_t at = 6; at < 26; at++) {
        const store_item_t again[] = {item("a", at, false)};
        view_apply(&view, again, 1, at - 1, at);
    }
    store_item_t *out = view_since(&view, 5, &count);
    ck_assert_uint_eq(count, 1);
    ck_assert_uint_eq(out[0].revision, 25);
    free(out);
    /* Removed, then created again. */
    const store_item_t gone[] = {item("a", 26, true)};
    const store_item_t back[] = {item("a", 27, false)};
    view_apply(&view, gone, 1, 25, 26);
    out = view_since(&view, 24, &count);
    ck_assert_uint_eq(count, 1);
    ck_assert(out[0].gone);
    free(out);
    view_apply(&view, back, 1, 26, 27);
    out = view_since(&view, 24, &count);
    ck_assert_uint_eq(count, 1);
    ck_assert(!out[0].gone && out[0].revision == 27);
    free(out);
    view_free(&view);
}
END_TEST

Suite *
suite_gateway_view(void)
{
    Suite *suite = suite_create("gateway: view");
    TCase *tests = tcase_create("view");
    tcase_add_test(tests, view_ignores_older_lists_and_detects_gaps);
    tcase_add_test(tests, late_removal_does_not_delete_recreated_object);
    tcase_add_test(tests, view_digest_is_equal_for_list_and_changes);
    tcase_add_test(tests, view_since_returns_changes_and_removals);
    tcase_add_test(tests, view_since_is_limited_by_the_removal_ring);
    tcase_add_test(tests, view_since_returns_each_object_once);
    suite_add_tcase(suite, tests);
    return suite;
}
