/* Adapter to the users' platform: headers, store objects and pages; also the gateway's settings. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/xmalloc.h"
#include "gateway/settings.h"
#include "platform/dialect.h"
#include "platform/objects.h"
#include "platform/page.h"
#include "test/suites.h"

static void
add_field(wire_head_t *head, const char *name, const char *value)
{
    wire_head_add_name(head, name, strlen(name));
    wire_head_add_value(head, value, strlen(value));
}

static wire_head_t
answer_head(int status)
{
    wire_head_t head = {.status = status};
    return head;
}

START_TEST(classifies_backend_answers)
{
    wire_head_t plain = answer_head(200);
    ck_assert_int_eq(platform_dialect.judge(&plain), VERDICT_INVALID);
    add_field(&plain, "response-signature", "x");
    ck_assert_int_eq(platform_dialect.judge(&plain), VERDICT_RESPONSE);
    wire_head_t failed = answer_head(500);
    ck_assert_int_eq(platform_dialect.judge(&failed), VERDICT_RESPONSE);
    /* A 503 alone does not mean that the request was not executed. */
    wire_head_t busy = answer_head(503);
    ck_assert_int_eq(platform_dialect.judge(&busy), VERDICT_RESPONSE);
    add_field(&busy, "Not-Executed", "1");
    ck_assert_int_eq(platform_dialect.judge(&busy), VERDICT_NOT_RUN);
    wire_head_t other = answer_head(421);
    ck_assert_int_eq(platform_dialect.judge(&other), VERDICT_MISDIRECTED);
    wire_head_free(&plain);
    wire_head_free(&failed);
    wire_head_free(&busy);
    wire_head_free(&other);
}
END_TEST

START_TEST(rewrites_request_headers)
{
    wire_head_t head = {0};
    request_metadata_t terms;
    add_field(&head, "Host", "h.example");
    add_field(&head, "Attempt-Id", "abc");
    add_field(&head, "Deadline-Ms", "2500");
    add_field(&head, "Expect-Instance", "forged");
    add_field(&head, "credential", "k-secret");
    add_field(&head, "TENANT", "forged");
    add_field(&head, "Connection", "keep-alive");
    add_field(&head, "Transfer-Encoding", "chunked");
    add_field(&head, "X-Other", "kept");
    platform_dialect.read_request(&head, &terms);
    ck_assert(str_eq(terms.id, STR("abc")));
    ck_assert(terms.has_deadline);
    ck_assert_uint_eq(terms.deadline_ms, 2500);
    wire_text_t out = {0};
    const forward_metadata_t to_backend = {STR("i-1"), STR("acme"), 1200};
    platform_dialect.write_request(&head, &to_backend, &out);
    ck_assert_str_eq(out.ptr, "Host: h.example\r\nAttempt-Id: abc\r\nX-Other: kept\r\n"
                              "Deadline-Ms: 1200\r\nExpect-Instance: i-1\r\nTenant: acme\r\n");
    ck_assert(terms.key_form == KEY_SINGLE && str_eq(terms.key, STR("k-secret")));
    ck_assert(platform_dialect.answers(&head, STR("abc")));
    ck_assert(!platform_dialect.answers(&head, STR("abd")));
    free(out.ptr);
    wire_head_free(&head);
}
END_TEST

START_TEST(parses_reported_load)
{
    static const char *const invalid[] = {"", "1", "1,2", "a,2,3", "1,,3", "-1,2,3"};
    wire_head_t head = {0};
    reported_load_t load;
    add_field(&head, "Server-Load", "3,1,8");
    ck_assert(platform_dialect.load(&head, &load));
    ck_assert(load.running == 3 && load.waiting == 1 && load.slots == 8);
    wire_head_free(&head);
    for (size_t i = 0; i < ALEN(invalid); i++) {
        wire_head_t other = {0};
        add_field(&other, "Server-Load", invalid[i]);
        ck_assert(!platform_dialect.load(&other, &load));
        wire_head_free(&other);
    }
}
END_TEST

static backend_statement_t
parse_notice(int status, const char *name, const char *value, const char *repeated_value)
{
    wire_head_t head = {.status = status};
    backend_statement_t notice;
    add_field(&head, name, value);
    if (repeated_value != NULL)
        add_field(&head, name, repeated_value);
    platform_dialect.notice(&head, &notice);
    wire_head_free(&head);
    return notice;
}

START_TEST(parses_backend_notices)
{
    backend_statement_t notice = parse_notice(200, "Server-Limit", "1.25", NULL);
    ck_assert(notice.has_limit && notice.limit_per_s == 1.25 && !notice.leaving &&
              !notice.has_backoff);
    notice = parse_notice(200, "server-limit", " 0 ", NULL);
    ck_assert(notice.has_limit && notice.limit_per_s == 0 && notice.unusable == 0);
    notice = parse_notice(503, "Server-Leaving", "1", NULL);
    ck_assert(notice.leaving && !notice.has_limit && !notice.has_backoff);
    notice = parse_notice(503, "Retry-After", "0.5", NULL);
    ck_assert(notice.has_backoff && notice.backoff_ms == 500);
    notice = parse_notice(429, "Retry-After", "3", NULL);
    ck_assert(notice.has_backoff && notice.backoff_ms == 3000);
    /* Retry-After counts only in a 503 or 429. */
    notice = parse_notice(200, "Retry-After", "3", NULL);
    ck_assert(!notice.has_backoff && notice.unusable == 0);
    notice = parse_notice(503, "Retry-After", "0", NULL);
    ck_assert(!notice.has_backoff && notice.unusable == 0);
    notice = parse_notice(200, "Server-Leaving", "0", NULL);
    ck_assert(!notice.leaving && notice.unusable == 0);
}
END_TEST

START_TEST(ignores_invalid_notice_fields)
{
    static const char *const invalid[] = {"",     " ",   "-1",          "a",   "1x",  "1.2.3",
                                          "1.",   ".",   "+1",          "nan", "inf", "1e3",
                                          "0x10", "1,5", "99999999999", "1 2"};
    static const char *const names[] = {"Server-Limit", "Server-Leaving", "Retry-After"};
    for (size_t k = 0; k < ALEN(names); k++) {
        for (size_t i = 0; i < ALEN(invalid); i++) {
            const backend_statement_t notice = parse_notice(503, names[k], invalid[i], NULL);
            ck_assert_msg(!notice.has_limit && !notice.leaving && !notice.has_backoff &&
                              notice.unusable == 1,
                          "%s: %s", names[k], invalid[i]);
        }
        const backend_statement_t twice = parse_notice(503, names[k], "1", "1");
        ck_assert(!twice.has_limit && !twice.leaving && !twice.has_backoff && twice.unusable == 1);
    }
}
END_TEST

START_TEST(gateway_answers_carry_retry_after)
{
    wire_text_t out = {0};
    platform_dialect.write_gateway_response(STR("q"), 1400, &out);
    ck_assert_str_eq(out.ptr, "Attempt-Id: q\r\nRetry-After: 1.400\r\n");
    free(out.ptr);
}
END_TEST

START_TEST(directory_decodes_query_and_encodes_addresses)
{
    wire_head_t head = {0};
    directory_query_t question;
    const char *target = "/v1/resolve?name=h.example&region=a&zone=a1";
    wire_head_add_target(&head, target, strlen(target));
    ck_assert(platform_directory.read_query(&head, &question));
    ck_assert(str_eq(question.service, STR("h.example")));
    ck_assert(str_eq(question.region, STR("a")));
    ck_assert(str_eq(question.hall, STR("a1")));
    wire_text_t fields = {0};
    wire_text_t body = {0};
    addr_t addrs[2];
    ck_assert(addr_parse(STR("10.0.0.1:80"), &addrs[0]));
    ck_assert(addr_parse(STR("10.0.0.2:80"), &addrs[1]));
    platform_directory.write_addresses(addrs, 2, 2, &fields, &body);
    ck_assert_str_eq(body.ptr, "{\"addresses\":[\"10.0.0.1:80\",\"10.0.0.2:80\"],\"ttlS\":2}");
    free(fields.ptr);
    free(body.ptr);
    wire_head_free(&head);
}
END_TEST

static const char *const config_text =
    "{\"metadata\":{\"name\":\"main\",\"revision\":9},\"spec\":{\"version\":\"0000000c\","
    "\"routes\":{\"r1\":{\"host\":\"h.example\",\"pathPrefix\":\"/p/\",\"routeType\":\"unsafe\","
    "\"timeoutMs\":2000,\"targetLatencyMs\":500,\"priority\":1,\"service\":\"s1\","
    "\"maxAttempts\":2,\"sticky\":true,\"allowedRegions\":[\"a\"]},"
    "\"r2\":{\"host\":\"h.example\",\"pathPrefix\":\"/d/\",\"routeType\":\"download\","
    "\"trafficSplit\":[{\"service\":\"s1\",\"weight\":90},{\"service\":\"s2\",\"weight\":10}],"
    "\"maxAttempts\":3,\"unknownField\":[1]}},"
    "\"services\":{\"s1\":{\"maxConns\":330,\"coldStartS\":3.5,\"coldPerS\":14.0}},"
    "\"limits\":{\"maxHeaderBytes\":1000,\"idleTimeoutMs\":9000}}}";

START_TEST(decodes_configuration)
{
    err_t err = {0};
    config_t *config = platform_decoder.config(str_from(config_text), &err);
    ck_assert_ptr_nonnull(config);
    ck_assert_str_eq(config->version, "0000000c");
    const config_route_t *unsafe = config_route(config, STR("h.example"), STR("/p/x"));
    ck_assert(!unsafe->repeatable && unsafe->sticky && unsafe->regions.count == 1);
    ck_assert_uint_eq(unsafe->latency_objective_ms, 500);
    const config_route_t *large = config_route(config, STR("h.example"), STR("/d/"));
    ck_assert(large->repeatable && large->large && large->target_count == 2);
    ck_assert(large->targets[0].weight == 90);
    ck_assert_uint_eq(config_service(config, STR("s1"))->cold_ms, 3500);
    ck_assert_uint_eq(config->limits.max_head_bytes, 1000);
    ck_assert_uint_eq(config->limits.head_timeout_ms, 3000);
    config_unref(config);
}
END_TEST

/* A configuration with `count` routes, each to its own service; the caller frees it. */
static char *
config_with_routes(unsigned count)
{
    wire_text_t text = {0};
    wire_text_str(&text, STR("{\"spec\":{\"version\":\"0000000d\",\"routes\":{"));
    for (unsigned i = 0; i < count; i++)
        wire_text_printf(&text,
                         "%s\"r%u\":{\"host\":\"h.example\",\"pathPrefix\":\"/%u/\","
                         "\"service\":\"s%u\"}",
                         i > 0 ? "," : "", i, i, i);
    wire_text_str(&text, STR("},\"services\":{"));
    for (unsigned i = 0; i < count; i++)
        wire_text_printf(&text, "%s\"s%u\":{\"maxConns\":330}", i > 0 ? "," : "", i);
    wire_text_str(&text, STR("}}}"));
    return text.ptr;
}

START_TEST(decodes_configuration_near_object_size_limit)
{
    enum { OBJECT_BYTES = 1048576, ROUTES = 9000 };
    char *text = config_with_routes(ROUTES);
    ck_assert_uint_lt(strlen(text), OBJECT_BYTES);
    err_t err = {0};
    config_t *config = platform_decoder.config(str_from(text), &err);
    ck_assert_msg(config != NULL, "%s", err.detail);
    ck_assert_uint_eq(config->route_count, ROUTES);
    ck_assert_uint_eq(config->service_count, ROUTES);
    const config_route_t *last = config_route(config, STR("h.example"), STR("/8999/x"));
    ck_assert_str_eq(last->targets[0].service.ptr, "s8999");
    ck_assert_uint_eq(config_service(config, STR("s8999"))->max_connections, 330);
    config_unref(config);
    free(text);
}
END_TEST

START_TEST(rejects_invalid_configuration)
{
    static const char *const negative =
        "{\"spec\":{\"routes\":{\"r\":{\"host\":\"h\",\"pathPrefix\":\"/\","
        "\"trafficSplit\":[{\"service\":\"s\",\"weight\":-1}]}}}}";
    const char *const invalid[] = {
        "",
        "{",
        "[]",
        "{\"spec\":7}",
        "{\"spec\":{\"routes\":{\"r\":{\"host\":\"h\",\"pathPrefix\":\"/\"}}}}",
        "{\"spec\":{\"routes\":{\"r\":{\"host\":\"\",\"pathPrefix\":\"/\",\"service\":\"s\"}}}}",
        negative,
    };
    for (size_t i = 0; i < ALEN(invalid); i++) {
        err_t err = {0};
        ck_assert_ptr_null(platform_decoder.config(str_from(invalid[i]), &err));
        ck_assert_int_ne(err.code, ERR_NONE);
    }
}
END_TEST

/* An invalid route or service must not block the rest of the configuration. */
START_TEST(skips_invalid_routes_and_services)
{
#define VALID_ROUTE "\"good\":{\"host\":\"h\",\"pathPrefix\":\"/g/\",\"service\":\"s\"}"
#define LONG_NAME "a-name-of-more-than-forty-seven-bytes-that-stands-nowhere-else"
    static const char *const invalid[] = {
        "\"no-host\":{\"pathPrefix\":\"/b/\",\"service\":\"s\"}",
        "\"no-prefix\":{\"host\":\"h\",\"service\":\"s\"}",
        "\"no-object\":7",
        /* The routes from here on have a valid host and prefix. */
        "\"no-service\":{\"host\":\"h\",\"pathPrefix\":\"/g/b/\"}",
        "\"bad-service\":{\"host\":\"h\",\"pathPrefix\":\"/g/b/\",\"service\":\"" LONG_NAME "\"}",
        "\"bad-home\":{\"host\":\"h\",\"pathPrefix\":\"/g/b/\",\"service\":\"s\","
        "\"allowedRegions\":[7]}",
    };
    enum { FIRST_WITH_HOST_AND_PREFIX = 3 };
    for (size_t i = 0; i < ALEN(invalid); i++) {
        char *text = xasprintf("{\"spec\":{\"routes\":{%s," VALID_ROUTE "},"
                               "\"services\":{\"" LONG_NAME "\":{},\"s\":{\"maxConns\":3}}}}",
                               invalid[i]);
        err_t err = {0};
        config_t *config = platform_decoder.config(str_from(text), &err);
        ck_assert_msg(config != NULL, "%s", err.detail);
        ck_assert_uint_eq(config->routes_skipped, 1);
        ck_assert_uint_eq(config->services_skipped, 1);
        ck_assert_uint_eq(config_route(config, STR("h"), STR("/g/x"))->target_count, 1);
        ck_assert_ptr_null(config_route(config, STR("h"), STR("/b/x")));
        /* Requests of an invalid route must not match a route with a shorter prefix. */
        const size_t targets = config_route(config, STR("h"), STR("/g/b/x"))->target_count;
        ck_assert_uint_eq(targets, i < FIRST_WITH_HOST_AND_PREFIX ? 1 : 0);
        ck_assert_uint_eq(config_service(config, STR("s"))->max_connections, 3);
        config_unref(config);
        free(text);
    }
}
END_TEST

START_TEST(accepts_any_route_name)
{
    static const char *const text = "{\"spec\":{\"routes\":{\"" LONG_NAME "/ \":{\"host\":\"h\","
                                    "\"pathPrefix\":\"/\",\"service\":\"s\"}}}}";
    err_t err = {0};
    config_t *config = platform_decoder.config(str_from(text), &err);
    ck_assert_msg(config != NULL, "%s", err.detail);
    ck_assert_ptr_nonnull(config_route(config, STR("h"), STR("/x")));
    config_unref(config);
}
END_TEST

START_TEST(field_of_wrong_type_gets_default)
{
    static const char *const text =
        "{\"spec\":{\"version\":\"a-version-that-is-too-long\",\"routes\":{\"r\":{\"host\":\"h\","
        "\"pathPrefix\":\"/\",\"service\":\"s\",\"routeType\":7,\"timeoutMs\":\"2000\","
        "\"targetLatencyMs\":-5,\"maxAttempts\":3,\"sticky\":\"yes\"}},"
        "\"limits\":{\"maxHeaderBytes\":[]}}}";
    err_t err = {0};
    config_t *config = platform_decoder.config(str_from(text), &err);
    ck_assert_ptr_nonnull(config);
    ck_assert_str_eq(config->version, "a-version-that-");
    const config_route_t *route = config_route(config, STR("h"), STR("/"));
    ck_assert(!route->repeatable && !route->sticky);
    ck_assert_uint_eq(route->timeout_ms, 0);
    ck_assert_uint_eq(route->latency_objective_ms, 0);
    ck_assert_uint_eq(route->max_attempts, 3);
    ck_assert_uint_eq(config->limits.max_head_bytes, 16384);
    config_unref(config);
}
END_TEST

START_TEST(decodes_backend_entry)
{
    static const char *const text =
        "{\"metadata\":{\"name\":\"i-1\",\"revision\":4},\"spec\":{\"address\":\"10.1.0.9:8080\","
        "\"info\":{\"service\":\"s1\",\"version\":\"v1\",\"zone\":\"a1\",\"capacity\":9}},"
        "\"status\":{\"state\":\"draining\",\"callSeq\":4,\"coldRemainingMs\":700}}";
    backend_info_t info;
    err_t err = {0};
    ck_assert(platform_decoder.backend(STR("i-1"), str_from(text), &info, &err));
    ck_assert(info.leaving && info.capacity == 9 && info.cold_ms == 700);
    ck_assert_uint_eq(addr_port(&info.addr), 8080);
    ck_assert(!platform_decoder.backend(STR("i-1"), STR("{\"spec\":{}}"), &info, &err));
    ck_assert_int_eq(err.code, ERR_INVALID);
}
END_TEST

/* Decodes a valid backend entry in which `from` is replaced by `to`. */
static bool
decodes_modified_entry(const char *from, const char *to)
{
    static const char *const text =
        "{\"metadata\":{},\"spec\":{\"born\":1700000000123,\"address\":\"10.1.0.9:80\",\"info\":{"
        "\"service\":\"s1\",\"version\":\"v1\",\"zone\":\"a1\",\"capacity\":9},\"status\":{"
        "\"state\":\"ready\",\"callSeq\":4,\"coldRemainingMs\":0}}}";
    const char *at = strstr(text, from);
    ck_assert_ptr_nonnull(at);
    char *modified = xasprintf("%.*s%s%s", (int)(at - text), text, to, at + strlen(from));
    backend_info_t info;
    err_t err = {0};
    const bool decoded = platform_decoder.backend(STR("i-1"), str_from(modified), &info, &err);
    ck_assert(decoded || err.code != ERR_NONE);
    free(modified);
    return decoded;
}

START_TEST(decodes_backend_start_time)
{
    static const char *const spec = "{\"spec\":{%s\"address\":\"10.1.0.9:80\",\"info\":{"
                                    "\"service\":\"s1\",\"version\":\"v1\",\"zone\":\"a1\","
                                    "\"capacity\":9},\"status\":{\"state\":\"ready\","
                                    "\"callSeq\":4,\"coldRemainingMs\":0}}%s}";
    static const struct {
        const char *in_spec;
        const char *at_top;
        uint64_t born;
    } rows[] = {
        {"\"born\":1700000000123,", "", 1700000000123},
        {"", ",\"born\":1700000000456", 1700000000456},
        {"", "", 0},
    };
    for (size_t i = 0; i < ALEN(rows); i++) {
        char *text = xasprintf(spec, rows[i].in_spec, rows[i].at_top);
        backend_info_t info;
        err_t err = {0};
        ck_assert_msg(platform_decoder.backend(STR("i-1"), str_from(text), &info, &err), "%s",
                      err.detail);
        ck_assert_uint_eq(info.born, rows[i].born);
        free(text);
    }
}
END_TEST

START_TEST(rejects_malformed_backend_entry)
{
    static const struct {
        const char *from;
        const char *to;
    } rows[] = {
        {"\"ready\"", "\"resting\""},
        {"\"ready\"", "3"},
        {"\"state\":\"ready\",", ""},
        {"\"capacity\":9", "\"capacity\":\"9\""},
        {"\"capacity\":9", "\"capacity\":0"},
        {"\"capacity\":9", "\"capacity\":-1"},
        {"\"capacity\":9", "\"slots\":9"},
        {"\"service\":\"s1\"", "\"service\":[\"s1\"]"},
        {"\"service\":\"s1\",", ""},
        {"\"zone\":\"a1\"", "\"zone\":null"},
        {"\"version\":\"v1\",", ""},
        {"10.1.0.9:80", "somewhere"},
        {"\"address\":\"10.1.0.9:80\",", ""},
        {"\"callSeq\":4,", ""},
        {"\"coldRemainingMs\":0", "\"coldRemainingMs\":\"0\""},
        {"\"coldRemainingMs\":0", "\"coldRemainingMs\":-5"},
        {"1700000000123", "\"today\""},
        {"\"status\":{", "\"other\":{"},
        {"\"info\":{", "\"info\":7,\"other\":{"},
        {"{\"metadata\":{},", "{\"metadata\":{},]"},
    };
    ck_assert(decodes_modified_entry("10.1.0.9", "10.1.0.8"));
    for (size_t i = 0; i < ALEN(rows); i++)
        ck_assert_msg(!decodes_modified_entry(rows[i].from, rows[i].to), "%s", rows[i].to);
}
END_TEST

/* ---- pages ---- */

START_TEST(unreadable_object_does_not_affect_rest_of_page)
{
    static const char *const text =
        "{\"items\":[{\"metadata\":{\"name\":\"a\",\"revision\":1},\"spec\":{\"x\":\"]}{[\\\"\"}},"
        "7, {\"metadata\":{\"name\":\"b\",\"revision\":2},\"spec\":\"\xff\xfe\"},"
        "{\"metadata\":{\"name\":\"c\",\"revision\":\"x\"}},"
        "{\"metadata\":{\"name\":\"d\",\"revision\":4},\"spec\":1e999},"
        "{\"metadata\":{\"name\":\"e\",\"revision\":5},\"spec\":{}}],\"more\":true,\"at\":9}";
    page_t page;
    ck_assert(page_read(&page, str_from(text)));
    ck_assert(page.more);
    ck_assert_uint_eq(page.revision, 9);
    ck_assert_uint_eq(page.count, 3);
    ck_assert(str_eq(page.items[0].name, STR("a")));
    ck_assert(str_starts_with(page.items[0].body, STR("{\"metadata\"")));
    ck_assert(str_eq(page.items[1].name, STR("b")));
    ck_assert_uint_eq(page.items[1].body.len, 0); /* rejected by every decoder */
    ck_assert(str_eq(page.items[2].name, STR("e")));
    page_free(&page);
}
END_TEST

START_TEST(parses_watch_events)
{
    static const char *const text =
        "{ \"at\" : 12 , \"events\" : [ {\"gone\":true,\"object\":{\"metadata\":{\"name\":\"a\","
        "\"revision\":11}}} , {\"object\":{\"metadata\":{\"name\":\"b\",\"revision\":12},"
        "\"spec\":{}},\"gone\":false} ] }\n";
    page_t page;
    ck_assert(page_read(&page, str_from(text)));
    ck_assert_uint_eq(page.count, 2);
    ck_assert(page.items[0].gone && !page.items[1].gone);
    ck_assert_uint_eq(page.items[1].revision, 12);
    ck_assert_uint_eq(page.revision, 12);
    page_free(&page);
}
END_TEST

START_TEST(rejects_malformed_page)
{
    static const char *const texts[] = {
        "",
        "[]",
        "{}",
        "{\"items\":[]}",
        "{\"at\":3}",
        "{\"items\":{},\"at\":3}",
        "{\"items\":[{\"metadata\":{\"name\":\"a\",\"revision\":1}}",
        "{\"items\":[], \"at\":3",
        "{\"items\":[],\"at\":\"3\"}",
        "{\"items\":[\"",
        "<html>",
    };
    for (size_t i = 0; i < ALEN(texts); i++) {
        page_t page;
        ck_assert_msg(!page_read(&page, str_from(texts[i])), "%s", texts[i]);
        page_free(&page);
    }
}
END_TEST

/* ---- settings ---- */

static const char *const valid_settings = "name: front-1\nplace: a1\ncallers: 10.0.0.1:1\n"
                                          "readiness: 10.0.0.1:2\ndirectory: 10.0.0.1:3\n"
                                          "peer: 10.0.0.1:4\nstore: 10.0.0.9:1\nseeds: []\n"
                                          "places:\n  - place: a1\n    region: a\n"
                                          "directory_ttl_s: 2\ngrace_s: 6\nretry_ratio: 0.2\n"
                                          "retry_constant: 58\nretry_window_s: 10\n";

static bool
load_settings(const char *text, gateway_settings_t *out, err_t *err)
{
    char path[] = "/tmp/irisstall-test-XXXXXX";
    const int fd = mkstemp(path);
    ck_assert_int_ge(fd, 0);
    ck_assert_int_eq(write(fd, text, strlen(text)), (ssize_t)strlen(text));
    close(fd);
    const bool loaded = gateway_settings_load(path, out, err);
    unlink(path);
    return loaded;
}

/* The valid settings with `from` replaced by `to`; the caller frees them. */
static char *
modified_settings(const char *from, const char *to)
{
    const char *at = strstr(valid_settings, from);
    ck_assert_ptr_nonnull(at);
    return xasprintf("%.*s%s%s", (int)(at - valid_settings), valid_settings, to, at + strlen(from));
}

/* Guards against an order under shortage that acts where the settings do not ask for it. */
START_TEST(rules_turn_on_what_they_name)
{
    static const struct {
        const char *rules;
        bool orders_shortage;
    } cases[] = {
        {"grace_s: 6", false},
        {"rules: []\ngrace_s: 6", false},
        {"rules: [base, drain]\ngrace_s: 6", false},
        {"rules: [base, pressure, unknown]\ngrace_s: 6", true},
    };
    static gateway_settings_t settings;
    for (size_t i = 0; i < ALEN(cases); i++) {
        char *text = modified_settings("grace_s: 6", cases[i].rules);
        err_t err = {0};
        ck_assert_msg(load_settings(text, &settings, &err), "%s", err.detail);
        ck_assert_int_eq(settings.orders_shortage, cases[i].orders_shortage);
        free(text);
    }
}
END_TEST

START_TEST(validates_settings)
{
    static const struct {
        const char *from;
        const char *to;
        const char *expected; /* part of the error message */
    } cases[] = {
        {"10.0.0.1:2", "10.0.0.1", "readiness: '10.0.0.1'"},
        {"place: a1\ncall", "place: zz\ncall", "place: 'zz'"},
        {"grace_s: 6", "grace_s: -1", "grace_s: '-1'"},
        {"retry_window_s: 10", "retry_window_s: 0.5", "retry_window_s: '0.5'"},
        {"name: front-1", "name: \"a b\"", "name: 'a b'"},
        {"seeds: []", "seeds: [\"x\"]", "seeds: 'x'"},
        {"grace_s: 6", "grace_seconds: 6", "grace_seconds"},
        {"grace_s: 6", "grace_s: many", ":13: grace_s: Invalid value: Load: Invalid"},
        {"grace_s: 6\n", "", "grace_s"},
    };
    static gateway_settings_t settings;
    err_t err = {0};
    ck_assert_msg(load_settings(valid_settings, &settings, &err), "%s", err.detail);
    ck_assert_uint_eq(settings.grace_ms, 6000);
    for (size_t i = 0; i < ALEN(cases); i++) {
        char *text = modified_settings(cases[i].from, cases[i].to);
        err = (err_t){0};
        ck_assert(!load_settings(text, &settings, &err));
        ck_assert_msg(strstr(err.detail, cases[i].expected) != NULL, "%s", err.detail);
        free(text);
    }
}
END_TEST

Suite *
suite_gateway_platform(void)
{
    Suite *suite = suite_create("platform");
    TCase *tests = tcase_create("adapter");
    tcase_add_test(tests, classifies_backend_answers);
    tcase_add_test(tests, rewrites_request_headers);
    tcase_add_test(tests, parses_reported_load);
    tcase_add_test(tests, parses_backend_notices);
    tcase_add_test(tests, ignores_invalid_notice_fields);
    tcase_add_test(tests, gateway_answers_carry_retry_after);
    tcase_add_test(tests, directory_decodes_query_and_encodes_addresses);
    tcase_add_test(tests, decodes_configuration);
    tcase_add_test(tests, decodes_configuration_near_object_size_limit);
    tcase_add_test(tests, rejects_invalid_configuration);
    tcase_add_test(tests, skips_invalid_routes_and_services);
    tcase_add_test(tests, accepts_any_route_name);
    tcase_add_test(tests, field_of_wrong_type_gets_default);
    tcase_add_test(tests, decodes_backend_entry);
    tcase_add_test(tests, decodes_backend_start_time);
    tcase_add_test(tests, rejects_malformed_backend_entry);
    tcase_add_test(tests, unreadable_object_does_not_affect_rest_of_page);
    tcase_add_test(tests, parses_watch_events);
    tcase_add_test(tests, rejects_malformed_page);
    tcase_add_test(tests, validates_settings);
    tcase_add_test(tests, rules_turn_on_what_they_name);
    suite_add_tcase(suite, tests);
    return suite;
}
