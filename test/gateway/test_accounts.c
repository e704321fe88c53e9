/* Client accounts: keys of requests, what is forwarded of them, and limits. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/event_rate.h"
#include "base/log.h"
#include "base/xmalloc.h"
#include "gateway/membership/owner.h"
#include "gateway/policy/account_limiter.h"
#include "gateway/policy/account_share.h"
#include "gateway/policy/key_check.h"
#include "gateway/state/account_ledger.h"
#include "gateway/state/account_uses.h"
#include "platform/objects.h"
#include "test/gateway/fixture.h"
#include "test/gateway/site.h"
#include "test/suites.h"

#define ACCOUNTS_JSON                                                                              \
    "{\"acme\":{\"apiKeys\":[\"k-acme-1\",\"k-acme-2\"],\"priority\":1},"                          \
    "\"bolt\":{\"apiKeys\":[\"k-bolt-1\"],\"ratePerS\":5,\"burst\":5}}"
#define ACCOUNTS_KEY_REVOKED "{\"acme\":{\"apiKeys\":[\"k-acme-2\"],\"priority\":1}}"
#define ACCOUNTS_SHARED_KEY                                                                        \
    "{\"acme\":{\"apiKeys\":[\"k-acme-1\",\"k-acme-2\"]},"                                         \
    "\"bolt\":{\"apiKeys\":[\"k-acme-2\",\"k-bolt-1\"]}}"

static site_t *
start_site(const char *accounts)
{
    site_t *site = new_site(2);
    site->accounts = accounts;
    put_config(site, NULL);
    use_gateway(site, start_gateway(site, "g-1", &site->store_port, NULL));
    while (ask(site, "GET", "/open/x").status != 200)
        uv_run(&site->loop, UV_RUN_ONCE);
    return site;
}

/* `fields`: header lines, each with its line end. */
static reply_t
request_with_fields(site_t *site, const char *path, const char *fields)
{
    static unsigned number;
    char request[4096];
    reply_t reply;
    snprintf(request, sizeof(request),
             "GET %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a-%u\r\nAffinity-Key: 7\r\n"
             "Deadline-Ms: 800\r\n%s\r\n",
             path, ++number, fields);
    call(site, &reply, request);
    RUN_UNTIL(site, reply.done);
    return reply;
}

static const char *
last_request(const site_t *site)
{
    for (size_t i = 0; i < 2; i++) {
        if (site->backends[i].last[0] != '\0')
            return site->backends[i].last;
    }
    return "";
}

static void
reset_backends(site_t *site)
{
    for (size_t i = 0; i < 2; i++) {
        site->backends[i].last[0] = '\0';
        site->backends[i].runs = 0;
    }
}

START_TEST(key_is_resolved_and_not_forwarded)
{
    site_t *site = start_site(ACCOUNTS_JSON);
    reset_backends(site);
    const reply_t reply = request_with_fields(
        site, "/safe/x", "Credential: k-acme-2\r\nTenant: forged\r\ntenant: bolt\r\n");
    ck_assert_int_eq(reply.status, 200);
    const char *text = last_request(site);
    ck_assert_ptr_nonnull(strstr(text, "Tenant: acme\r\n"));
    ck_assert_ptr_null(strstr(text, "forged"));
    ck_assert_ptr_null(strstr(text, "bolt"));
    ck_assert_ptr_null(strstr(text, "k-acme"));
}
END_TEST

START_TEST(request_without_valid_key_is_denied)
{
    char long_key[3000];
    char long_field[3100];
    memset(long_key, 'k', sizeof(long_key));
    long_key[1500] = '\0';
    snprintf(long_field, sizeof(long_field), "Credential: %s\r\n", long_key);
    const char *const bad[] = {
        "",
        "Credential: \r\n",
        "Credential: k-acme-3\r\n",
        "Credential: k-acme-1x\r\n",
        "Credential: K-ACME-1\r\n",
        "Credential: k-acme-1 k-acme-2\r\n",
        "Credential: Bearer k-acme-1\r\n",
        "Credential: k-acme-1\r\nCredential: k-acme-1\r\n",
        "Credential: k-acme-1\r\nCREDENTIAL: k-bolt-1\r\n",
        "Credential: \xff\xfe\x80\r\n",
        "Tenant: acme\r\n",
        long_field,
    };
    site_t *site = start_site(ACCOUNTS_JSON);
    reset_backends(site);
    for (size_t i = 0; i < ALEN(bad); i++) {
        const reply_t reply = request_with_fields(site, "/safe/x", bad[i]);
        ck_assert_msg(reply.status == 401, "%s: %d", bad[i], reply.status);
        ck_assert_str_eq(reply.retry_after, "");
    }
    ck_assert_uint_eq(total_runs(site), 0);
    /* The route is checked before the key. */
    ck_assert_int_eq(request_with_fields(site, "/none/x", "").status, 404);
}
END_TEST

START_TEST(public_route_needs_no_key)
{
    site_t *site = start_site(ACCOUNTS_JSON);
    reset_backends(site);
    ck_assert_int_eq(request_with_fields(site, "/open/x", "Tenant: forged\r\n").status, 200);
    ck_assert_ptr_null(strstr(last_request(site), "Tenant:"));
    reset_backends(site);
    ck_assert_int_eq(request_with_fields(site, "/open/x", "Credential: nobody's\r\n").status, 200);
    ck_assert_ptr_null(strstr(last_request(site), "nobody"));
    reset_backends(site);
    ck_assert_int_eq(request_with_fields(site, "/open/x", "Credential: k-acme-1\r\n").status, 200);
    ck_assert_ptr_nonnull(strstr(last_request(site), "Tenant: acme\r\n"));
}
END_TEST

START_TEST(no_key_needed_without_accounts)
{
    site_t *site = start_site(NULL);
    reset_backends(site);
    ck_assert_int_eq(request_with_fields(site, "/safe/x", "Credential: k\r\nTenant: t\r\n").status,
                     200);
    ck_assert_ptr_null(strstr(last_request(site), "Credential"));
    ck_assert_ptr_null(strstr(last_request(site), "Tenant"));
}
END_TEST

START_TEST(revoked_key_is_refused)
{
    site_t *site = start_site(ACCOUNTS_JSON);
    ck_assert_int_eq(request_with_fields(site, "/safe/x", "Credential: k-acme-1\r\n").status, 200);
    site->accounts = ACCOUNTS_KEY_REVOKED;
    put_config(site, NULL);
    RUN_UNTIL(site, request_with_fields(site, "/safe/x", "Credential: k-acme-1\r\n").status == 401);
    ck_assert_int_eq(request_with_fields(site, "/safe/x", "Credential: k-acme-2\r\n").status, 200);
    ck_assert_int_eq(request_with_fields(site, "/safe/x", "Credential: k-bolt-1\r\n").status, 401);
}
END_TEST

/* The change arrives from a peer while one instance has no store. */
START_TEST(revoked_key_is_refused_during_store_outage)
{
    site_t *site = start_site(ACCOUNTS_JSON);
    gateway_t *first = site->gateway;
    const addr_t dead = site->any; /* port 0: nothing answers */
    platform_store_t *unserved = platform_store_new(&site->loop, &dead);
    static store_port_t port;
    port = platform_store_port(unserved);
    gateway_t *second = start_gateway(site, "g-2", &port, &gateway_settings(first)->peer);
    use_gateway(site, second);
    RUN_UNTIL(site, request_with_fields(site, "/safe/x", "Credential: k-acme-1\r\n").status == 200);
    site->accounts = ACCOUNTS_KEY_REVOKED;
    put_config(site, NULL);
    RUN_UNTIL(site, request_with_fields(site, "/safe/x", "Credential: k-acme-1\r\n").status == 401);
}
END_TEST

/* A key of two accounts identifies neither; the other keys and the routes come into force. */
START_TEST(shared_key_affects_only_its_requests)
{
    site_t *site = start_site(ACCOUNTS_JSON);
    site->accounts = ACCOUNTS_SHARED_KEY;
    put_config(site, "/new/");
    RUN_UNTIL(site, request_with_fields(site, "/new/x", "Credential: k-acme-1\r\n").status == 200);
    ck_assert_int_eq(request_with_fields(site, "/safe/x", "Credential: k-bolt-1\r\n").status, 200);
    ck_assert_int_eq(request_with_fields(site, "/safe/x", "Credential: k-none\r\n").status, 401);
    reset_backends(site);
    const reply_t reply = request_with_fields(site, "/safe/x", "Credential: k-acme-2\r\n");
    ck_assert_int_eq(reply.status, 503);
    ck_assert_str_ne(reply.retry_after, "");
    ck_assert_int_eq(request_with_fields(site, "/open/x", "Credential: k-acme-2\r\n").status, 503);
    ck_assert_uint_eq(total_runs(site), 0);
    site->accounts = ACCOUNTS_JSON;
    put_config(site, NULL);
    RUN_UNTIL(site, request_with_fields(site, "/safe/x", "Credential: k-acme-2\r\n").status == 200);
}
END_TEST

/* Callers of an account that cannot be read are told to come back, the others are served. */
START_TEST(invalid_account_affects_only_its_requests)
{
    site_t *site = start_site(ACCOUNTS_JSON);
    site->accounts = "{\"acme\":{\"apiKeys\":[\"k-acme-1\"]},"
                     "\"a b\":{\"apiKeys\":[\"k-bad-1\"],\"ratePerS\":5}}";
    put_config(site, "/new/");
    RUN_UNTIL(site, request_with_fields(site, "/new/x", "Credential: k-acme-1\r\n").status == 200);
    reset_backends(site);
    const reply_t reply = request_with_fields(site, "/safe/x", "Credential: k-bad-1\r\n");
    ck_assert_int_eq(reply.status, 503);
    ck_assert_str_ne(reply.retry_after, "");
    ck_assert_uint_eq(total_runs(site), 0);
    ck_assert_int_eq(request_with_fields(site, "/safe/x", "Credential: k-none\r\n").status, 401);
}
END_TEST

static config_t *
decode_accounts(const char *accounts, err_t *err)
{
    char text[600];
    snprintf(text, sizeof(text),
             "{\"spec\":{\"version\":\"1\",\"routes\":{\"r\":{\"host\":\"h\",\"pathPrefix\":\"/\","
             "\"service\":\"s\"}},\"tenants\":%s}}",
             accounts);
    return platform_decoder.config(str_from(text), err);
}

/* One entry of each invalid kind beside a valid account. */
START_TEST(invalid_account_is_left_out)
{
#define VALID_ACCOUNT "\"good\":{\"apiKeys\":[\"k-good\"]},"
    static const struct {
        const char *entry;
        bool account_unusable;
        size_t keys_skipped;
        bool keys_missing;
    } rows[] = {
        {"\"a b\":{\"apiKeys\":[\"k-bad\"]}", true, 0, false},
        {"\"a\":{\"apiKeys\":[\"k-bad\"],\"ratePerS\":-1}", true, 0, false},
        {"\"a\":{\"apiKeys\":[\"k-bad\"],\"ratePerS\":\"5\"}", true, 0, false},
        {"\"a\":{\"apiKeys\":[\"k-bad\"],\"burst\":[]}", true, 0, false},
        {"\"a\":{\"apiKeys\":[\"k-bad\"],\"allowedRegions\":[\"no region\"]}", true, 0, false},
        {"\"a\":{\"apiKeys\":[\"k-bad\"],\"allowedRegions\":\"a\"}", true, 0, false},
        {"\"a\":7", true, 0, true},
        {"\"a\":{\"apiKeys\":\"k-bad\"}", false, 0, true},
        {"\"a\":{\"apiKeys\":[7,\"k-own\"]}", false, 1, true},
        {"\"a\":{\"apiKeys\":[\"\",\"k-own\"]}", false, 1, false},
        {"\"a\":{\"apiKeys\":[\"k-own\",\"k-bad\"]},\"b\":{\"apiKeys\":[\"k-bad\"]}", false, 2,
         false},
    };
    for (size_t i = 0; i < ALEN(rows); i++) {
        char accounts[300];
        err_t err = {0};
        snprintf(accounts, sizeof(accounts), "{" VALID_ACCOUNT "%s}", rows[i].entry);
        config_t *config = decode_accounts(accounts, &err);
        ck_assert_msg(config != NULL, "%s: %s", rows[i].entry, err.detail);
        ck_assert_uint_eq(config->accounts_skipped, rows[i].account_unusable ? 1 : 0);
        ck_assert_uint_eq(config->keys_skipped, rows[i].keys_skipped);
        ck_assert_msg(config->keys_missing == rows[i].keys_missing, "%s", rows[i].entry);
        ck_assert_str_eq(config_match_key(config, STR("k-good")).account->name.ptr, "good");
        const bool is_entry = strstr(rows[i].entry, "[\"k-bad\"]") != NULL;
        const config_key_match_t bad = config_match_key(config, STR("k-bad"));
        ck_assert_msg(bad.account == NULL && bad.unusable == is_entry, "%s", rows[i].entry);
        if (strstr(rows[i].entry, "k-own") != NULL)
            ck_assert_str_eq(config_match_key(config, STR("k-own")).account->name.ptr, "a");
        config_unref(config);
    }
    /* A table of accounts that is none tells nothing of any of them. */
    err_t err = {0};
    ck_assert_ptr_null(decode_accounts("[]", &err));
}
END_TEST

/* The regions of a route or account that cannot be read are no permission to use all regions. */
START_TEST(unreadable_regions_are_not_taken_for_none)
{
    static const char *const text =
        "{\"spec\":{\"routes\":{\"r\":{\"host\":\"h\",\"pathPrefix\":\"/\",\"service\":\"s\","
        "\"allowedRegions\":\"a\"},\"q\":{\"host\":\"h\",\"pathPrefix\":\"/q/\",\"service\":\"s\","
        "\"allowedRegions\":null}}}}";
    err_t err = {0};
    config_t *config = platform_decoder.config(str_from(text), &err);
    ck_assert_msg(config != NULL, "%s", err.detail);
    ck_assert_uint_eq(config_route(config, STR("h"), STR("/x"))->target_count, 0);
    ck_assert_uint_eq(config_route(config, STR("h"), STR("/q/x"))->target_count, 1);
    config_unref(config);
}
END_TEST

START_TEST(account_over_limit_gets_retry_after)
{
    enum { REQUESTS = 30 };
    site_t *site = start_site(ACCOUNTS_JSON);
    unsigned refused = 0;
    for (int i = 0; i < REQUESTS; i++) {
        const reply_t reply = request_with_fields(site, "/safe/x", "Credential: k-bolt-1\r\n");
        ck_assert(reply.status == 200 || reply.status == 429);
        refused += reply.status == 429;
        if (reply.status == 429)
            ck_assert(strtod(reply.retry_after, NULL) >= 0.1);
    }
    ck_assert_uint_ge(refused, REQUESTS / 2);
    /* Other accounts are not affected. */
    ck_assert_int_eq(request_with_fields(site, "/safe/x", "Credential: k-acme-1\r\n").status, 200);
}
END_TEST

START_TEST(account_limit_holds_across_instances)
{
    enum { ROUNDS = 150, EVERY_MS = 20 };
    site_t *site = start_site(ACCOUNTS_JSON);
    gateway_t *first = site->gateway;
    wire_pool_t *callers[2] = {site->callers};
    gateway_t *second =
        start_gateway(site, "g-2", &site->store_port, &gateway_settings(first)->peer);
    use_gateway(site, second);
    callers[1] = site->callers;
    RUN_UNTIL(site, ask(site, "GET", "/open/x").status == 200);
    RUN_UNTIL(site, gateway_live_instances(first) == 2 && gateway_live_instances(second) == 2);
    unsigned served = 0;
    for (int i = 0; i < ROUNDS; i++) {
        uv_update_time(&site->loop);
        const uint64_t until = uv_now(&site->loop) + EVERY_MS;
        site->callers = callers[i % 2];
        served += request_with_fields(site, "/safe/x", "Credential: k-bolt-1\r\n").status == 200;
        RUN_UNTIL(site, uv_now(&site->loop) >= until);
    }
    /* At least 3 s at 5 a second, a burst of 5, and the allowed excess. */
    const double seconds = 1.5 * ROUNDS * EVERY_MS / 1000.0;
    ck_assert_uint_le(served, (unsigned)(1.1 * (5 * seconds + 5) + 20));
    ck_assert_uint_ge(served, 8);
}
END_TEST

/* Covers the log and all admin pages. */
START_TEST(key_is_never_logged_or_printed)
{
    static const char *const pages[] = {"/metrics",
                                        "/status",
                                        "/accounts",
                                        "/table",
                                        "/quarantine",
                                        "/accounts?account=bolt",
                                        "/explain?host=h.example&path=/safe/x&object=7"};
    char path[] = "/tmp/irisstall-log-XXXXXX";
    err_t err = {0};
    const int fd = mkstemp(path);
    ck_assert_int_ge(fd, 0);
    ck_assert(log_open(path, LOG_LEVEL_DBG, &err));
    site_t *site = start_site(ACCOUNTS_JSON);
    for (int i = 0; i < 20; i++)
        request_with_fields(site, "/safe/x", "Credential: k-bolt-1\r\n");
    request_with_fields(site, "/safe/x", "Credential: k-wrong-1\r\n");
    site->poison = "/safe/x";
    request_with_fields(site, "/safe/x", "Credential: k-acme-1\r\n");
    site->accounts = ACCOUNTS_SHARED_KEY;
    put_config(site, NULL);
    RUN_UNTIL(site, request_with_fields(site, "/safe/y", "Credential: k-acme-2\r\n").status == 503);
    ck_assert_int_eq(request_with_fields(site, "/safe/y", "Credential: k-wrong-2\r\n").status, 401);
    wire_pool_t *callers = site->callers;
    site->callers = wire_pool_new(&site->loop, &gateway_settings(site->gateway)->admin, 10);
    for (size_t i = 0; i < ALEN(pages); i++) {
        static char request[256];
        reply_t reply;
        snprintf(request, sizeof(request), "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", pages[i]);
        call(site, &reply, request);
        RUN_UNTIL(site, reply.done);
        ck_assert_int_eq(reply.status, 200);
        ck_assert_ptr_null(strstr(reply.body, "k-acme"));
        ck_assert_ptr_null(strstr(reply.body, "k-bolt"));
    }
    site->callers = callers;
    log_close();
    char *text = xcalloc(1, 1 << 20);
    ck_assert_int_gt((int)read(fd, text, (1 << 20) - 1), 0);
    ck_assert_ptr_nonnull(strstr(text, "outcome=denied"));
    ck_assert_ptr_null(strstr(text, "k-acme"));
    ck_assert_ptr_null(strstr(text, "k-bolt"));
    ck_assert_ptr_null(strstr(text, "k-wrong"));
    free(text);
    close(fd);
    unlink(path);
}
END_TEST

START_TEST(key_check_results)
{
    static const struct {
        key_input_t input;
        key_verdict_t verdict;
    } rows[] = {
        {{.has_accounts = false, .form = KEY_MULTIPLE}, KEY_NOT_NEEDED},
        {{.has_accounts = true, .allows_anonymous = true}, KEY_NOT_NEEDED},
        {{.has_accounts = true, .allows_anonymous = true, .form = KEY_SINGLE, .is_known = true},
         KEY_KNOWN},
        {{.has_accounts = true, .form = KEY_SINGLE, .is_unusable = true}, KEY_UNUSABLE},
        {{.has_accounts = true, .allows_anonymous = true, .form = KEY_SINGLE, .is_unusable = true},
         KEY_UNUSABLE},
        {{.has_accounts = true, .form = KEY_NONE}, KEY_ABSENT},
        {{.has_accounts = true, .form = KEY_NONE, .keys_missing = true}, KEY_CONFIGURATION_STALE},
        {{.has_accounts = true, .form = KEY_MULTIPLE, .key = {"k", 1}}, KEY_AMBIGUOUS},
        {{.has_accounts = true, .form = KEY_SINGLE}, KEY_EMPTY},
        {{.has_accounts = true, .form = KEY_SINGLE, .key = {"k", 1}}, KEY_UNKNOWN},
    };
    for (size_t i = 0; i < ALEN(rows); i++)
        ck_assert_int_eq(key_check(&rows[i].input), rows[i].verdict);
}
END_TEST

START_TEST(retry_after_is_spread_over_callers)
{
    account_limiter_t limiter = {0};
    account_limiter_set_share(&limiter, true, 2, 1000);
    const account_limiter_input_t input = {.owner_reachable = true, .now_ms = 1000};
    ck_assert(!account_limiter_admit(&limiter, &input));
    const uint32_t min_ms = account_limiter_retry_after_ms(&limiter, 0);
    const uint32_t max_ms = account_limiter_retry_after_ms(&limiter, 0.99);
    ck_assert_uint_eq(min_ms, 500); /* one token at two a second */
    ck_assert_uint_ge(max_ms, 990);
    const account_limiter_input_t later = {.owner_reachable = true, .now_ms = 1000 + min_ms};
    ck_assert(account_limiter_admit(&limiter, &later));
}
END_TEST

/* Callers must not be told to come back after the longest delay where one answer of the owner, or
 * one token of a share that comes with the next report, admits them. */
START_TEST(retry_after_without_share_is_time_until_it_comes)
{
    account_limiter_t limiter = {0};
    const account_limiter_input_t no_share = {
        .owner_reachable = true, .equal_share_per_s = 2, .now_ms = 1000};
    account_limiter_set_share(&limiter, true, 0, 1000);
    ck_assert(!account_limiter_admit(&limiter, &no_share));
    ck_assert_uint_eq(account_limiter_retry_after_ms(&limiter, 0), 500);
    account_limiter_set_share(&limiter, false, 0, 1000);
    const account_limiter_input_t backlog = {
        .owner_reachable = true, .equal_share_per_s = 2, .unacknowledged = 6, .now_ms = 1000};
    ck_assert(!account_limiter_admit(&limiter, &backlog));
    ck_assert_uint_eq(account_limiter_retry_after_ms(&limiter, 0), 100);
}
END_TEST

/* An instance that is silent is charged its whole share; what it did not use is refunded with its
 * next report. */
START_TEST(silent_instance_is_charged_its_share)
{
    config_account_t account = {.id = 1, .rate_per_s = 10, .burst = 100};
    ledger_t *ledger = ledger_new(&account, 9, 0.1, 1000);
    ledger_report_t report = {.used = 5, .requested = 20};
    ledger_report(ledger, 7, &report, 1000);
    ck_assert(ledger_update_limited(ledger, 1000));
    ck_assert(ledger->limited);
    const ledger_grant_t grant = ledger_grant(ledger, 7, 1000);
    ck_assert(grant.limited && grant.share_per_s > 5);
    report.share_per_s = grant.share_per_s;
    ledger_report(ledger, 7, &report, 1000);
    const double before = ledger->bucket.tokens;
    ledger_update_limited(ledger, 3000);
    ck_assert(ledger->bucket.tokens < before + 20 - 1.5 * grant.share_per_s);
    report.used += 2;
    ledger_report(ledger, 7, &report, 3000);
    ck_assert_double_eq_tol(ledger->bucket.tokens, before + 20 - 2, 0.5);
    ledger_free(ledger);
}
END_TEST

/* The previous owner fell silent with a full bucket, and the first instance to report holds a small
 * share of an account far below its limit. */
START_TEST(new_owner_does_not_limit_account_far_below_limit)
{
    config_account_t account = {.id = 1, .rate_per_s = 4000, .burst = 4000};
    ledger_t *ledger = ledger_new(&account, 9, 1, 1000);
    ledger_report_t report = {
        .used = 2,
        .requested = 2,
        .has_grant = true,
        .owner = 8,
        .owner_unreachable = true,
        .tokens = 3999,
        .share_per_s = 60,
        .region_per_s = 1300,
    };
    ledger_report(ledger, 7, &report, 1000);
    ck_assert(ledger->bucket.tokens < 100);
    ck_assert(!ledger_update_limited(ledger, 1000));
    /* An account that was limited stays limited. */
    ledger_t *limited_ledger = ledger_new(&account, 9, 1, 1000);
    report.tokens = 100;
    ledger_report(limited_ledger, 7, &report, 1000);
    ck_assert(ledger_update_limited(limited_ledger, 1000) && limited_ledger->limited);
    ledger_free(ledger);
    ledger_free(limited_ledger);
}
END_TEST

START_TEST(retries_are_charged_and_unsent_requests_refunded)
{
    config_account_t account = {.id = 1, .rate_per_s = 10, .burst = 10};
    account_uses_t uses = {.instances = 1};
    account_use_t *use;
    uint32_t retry_after_ms;
    ck_assert(account_uses_admit(&uses, &account, 0, 1000, &use, &retry_after_ms));
    account_uses_charge(&uses, use);
    ck_assert_uint_eq(use->used, 2);
    account_uses_release(use);
    ck_assert(account_uses_admit(&uses, &account, 0, 1000, &use, &retry_after_ms));
    account_uses_refund(&uses, use);
    account_uses_release(use);
    ck_assert_uint_eq(use->used, 2);
    account.rate_per_s = 0; /* no limit, no entry */
    ck_assert(account_uses_admit(&uses, &account, 0, 1000, &use, &retry_after_ms));
    ck_assert_ptr_null(use);
    account_uses_expire(&uses, 1000 + 60000);
    ck_assert_uint_eq(uses.count, 0);
    account_uses_free(&uses);
}
END_TEST

/* Members that do not answer are skipped, members that have ended are ignored, and all instances
 * make the same choice. */
static bool
new_owner_limits(double told_demand_per_s, bool by_exchange)
{
    config_account_t account = {.id = 1, .rate_per_s = 4000, .burst = 4000};
    ledger_t *ledger = ledger_new(&account, 9, 1, 1000);
    const ledger_report_t report = {
        .used = 2,
        .requested = 2,
        .has_grant = true,
        .owner = 8,
        .tokens = by_exchange ? 4000 : 50,
        .share_per_s = 60,
        .region_per_s = 1300,
        .demand_per_s = by_exchange ? 0 : told_demand_per_s,
    };
    const ledger_exchange_t exchange = {
        .source = 5,
        .mesh = 1,
        .age_ms = 9000,
        .tokens = 50,
        .demand_per_s = 2,
        .total_demand_per_s = told_demand_per_s,
    };
    if (by_exchange)
        ledger_exchange(ledger, &exchange, 1000);
    ledger_report(ledger, 7, &report, 1000);
    const bool limits = ledger_update_limited(ledger, 1000);
    /* With the two requests of the report. */
    ck_assert_double_eq_tol(ledger_grant(ledger, 7, 1000).demand_per_s, told_demand_per_s, 0.5);
    ledger_free(ledger);
    return limits;
}

/* An owner that took over twice in a second has an empty bucket, whatever the account asks. */
START_TEST(new_owner_goes_by_demand_known_to_others)
{
    for (int by_exchange = 0; by_exchange <= 1; by_exchange++) {
        ck_assert(!new_owner_limits(7, by_exchange));
        ck_assert(new_owner_limits(7000, by_exchange));
        ck_assert(new_owner_limits(0, by_exchange)); /* not known */
    }
}
END_TEST

/* What a peer takes back of its assumptions must not be refunded by owners that never counted it.
 */
START_TEST(peer_refunds_no_more_than_was_charged)
{
    config_account_t account = {.id = 1, .rate_per_s = 40, .burst = 40};
    ledger_t *ledger = ledger_new(&account, 9, 0.5, 1000);
    ledger_exchange_t exchange = {.source = 5, .mesh = 1, .age_ms = 9000, .used = 100, .tokens = 5};
    ledger_exchange(ledger, &exchange, 1000);
    ck_assert_double_eq_tol(ledger->bucket.tokens, 5, 1e-9);
    exchange.used = 104;
    ledger_exchange(ledger, &exchange, 1000);
    ck_assert_double_eq_tol(ledger->bucket.tokens, 1, 1e-9);
    exchange.used = 80;
    ledger_exchange(ledger, &exchange, 1000);
    ck_assert_double_eq_tol(ledger->bucket.tokens, 5, 1e-9);
    ledger_free(ledger);
}
END_TEST

/* A grant of a silent predecessor must not undo what owners of other regions have counted since. */
START_TEST(inherited_grant_keeps_lower_level_of_peers)
{
    config_account_t account = {.id = 1, .rate_per_s = 40, .burst = 40};
    ledger_t *ledger = ledger_new(&account, 9, 1, 1000);
    const ledger_exchange_t older = {
        .source = 5, .mesh = 1, .age_ms = 200, .used = 30, .tokens = -25};
    const ledger_exchange_t later = {.source = 6, .mesh = 2, .age_ms = 300, .used = 7, .tokens = 0};
    const ledger_report_t report = {.has_grant = true,
                                    .owner = 8,
                                    .owner_unreachable = true,
                                    .tokens = 20,
                                    .share_per_s = 1,
                                    .region_per_s = 13};
    ledger_exchange(ledger, &older, 1000);
    ledger_report(ledger, 7, &report, 1000);
    ck_assert_double_eq_tol(ledger->bucket.tokens, -25 + 20.0 / 40, 1e-9);
    ledger_exchange(ledger, &later, 1000);
    ck_assert_double_eq_tol(ledger->bucket.tokens, -25 + 20.0 / 40 - 7, 1e-9);
    ledger_free(ledger);
}
END_TEST

/* Instances that a partition hides admit requests long before membership counts them as lost. */
START_TEST(silence_is_detected_while_demand_exceeds_limit)
{
    config_account_t account = {.id = 1, .rate_per_s = 10, .burst = 100};
    account_use_t use = {.rate_per_s = 10, .demand_per_s = 11, .last_report_ms = 3000};
    ledger_t *ledger = ledger_new(&account, 9, 0.5, 1000);
    ledger_report_t report = {.used = 0, .requested = 0};
    ledger_report(ledger, 7, &report, 3000);
    report.used = 5;
    report.requested = 60;
    ledger_report(ledger, 7, &report, 3000);
    ck_assert(!ledger_update_limited(ledger, 3000));
    report.share_per_s = ledger_grant(ledger, 7, 3000).share_per_s;
    ck_assert(report.share_per_s > 4);
    const double before = ledger->bucket.tokens;
    ck_assert(!ledger_update_limited(ledger, 3300));
    ck_assert_double_ge(ledger->bucket.tokens, before);
    ledger_update_limited(ledger, 3500);
    ck_assert_double_le(ledger->bucket.tokens, before + 5 - 0.5 * report.share_per_s);
    ledger_free(ledger);
    use.limiter.has_share = true;
    ck_assert(!account_use_report_is_due(&use, 3150));
    ck_assert(account_use_report_is_due(&use, 3200));
    use.demand_per_s = 9;
    ck_assert(!account_use_report_is_due(&use, 9000));
}
END_TEST

/* A takeover must neither release the instances of a limited account nor grant the whole share to
 * those that report first. */
START_TEST(takeover_keeps_account_limited)
{
    config_account_t account = {.id = 1, .rate_per_s = 40, .burst = 0};
    ledger_t *ledger = ledger_new(&account, 9, 1, 1000);
    const ledger_report_t report = {.used = 1,
                                    .requested = 1,
                                    .has_grant = true,
                                    .owner = 8,
                                    .tokens = 0.5,
                                    .share_per_s = 0.6,
                                    .region_per_s = 13,
                                    .demand_per_s = 90,
                                    .limited = true};
    const ledger_report_t restarted = {.used = 1, .requested = 1};
    ledger_report(ledger, 7, &report, 1000);
    ck_assert(ledger_update_limited(ledger, 1000)); /* told to all instances */
    ck_assert(ledger->limited);
    ck_assert_double_le(ledger_grant(ledger, 7, 1000).share_per_s, 2);
    ledger_report(ledger, 6, &restarted, 1000);
    ck_assert_double_le(ledger_grant(ledger, 6, 1000).share_per_s, 2);
    ck_assert(!ledger_update_limited(ledger, 1010));
    /* Nor may it be taken for idle once its first second is over. */
    ledger_update_limited(ledger, 2050);
    ck_assert(ledger->limited);
    ck_assert_double_ge(ledger_grant(ledger, 7, 2050).demand_per_s, 70);
    ledger_free(ledger);
}
END_TEST

/* The first request after the owner fell silent must not find an empty bucket. */
START_TEST(instance_without_owner_starts_with_unused_share)
{
    account_limiter_t limiter = {0};
    account_limiter_set_share(&limiter, false, 10, 1000);
    account_limiter_input_t input = {.unused_ms = 150, .now_ms = 2000};
    ck_assert(account_limiter_admit(&limiter, &input));
    ck_assert(!account_limiter_admit(&limiter, &input));
    limiter.bucket_active = false;
    input.unused_ms = 60000; /* half a second's share at most */
    for (int i = 0; i < 5; i++)
        ck_assert(account_limiter_admit(&limiter, &input));
    ck_assert(!account_limiter_admit(&limiter, &input));
}
END_TEST

/* A refund after the owner has acknowledged the request must not count as a backlog. */
START_TEST(refund_of_acknowledged_request_refuses_nothing)
{
    config_account_t account = {.id = 1, .rate_per_s = 40, .burst = 40};
    account_uses_t uses = {.instances = 1};
    account_use_t *use;
    uint32_t retry_after_ms;
    ck_assert(account_uses_admit(&uses, &account, 0, 1000, &use, &retry_after_ms));
    use->acked_used = use->used;
    account_uses_refund(&uses, use);
    account_uses_release(use);
    ck_assert(account_uses_admit(&uses, &account, 0, 1010, &use, &retry_after_ms));
    account_uses_release(use);
    account_uses_free(&uses);
    /* Neither does the owner that hears of it first count requests that nobody sent. */
    ledger_t *ledger = ledger_new(&account, 9, 0.5, 1000);
    const ledger_report_t report = {.used = 4, .requested = 9, .acked_used = 5};
    ledger_report(ledger, 7, &report, 1000);
    ck_assert_double_eq_tol(ledger->bucket.tokens, 21, 1e-9);
    ck_assert_double_eq_tol(ledger->reporters[0].demand_rate.count, 0, 1e-9);
    ledger_free(ledger);
}
END_TEST

START_TEST(instances_choose_same_owner)
{
    members_t members = {0};
    for (unsigned i = 0; i < 6; i++) {
        char text[ADDR_TEXT_MAX];
        addr_t addr;
        snprintf(text, sizeof(text), "10.0.0.%u:1", i + 1);
        ck_assert(addr_parse(str_from(text), &addr));
        member_t *member = members_find_or_add(&members, &addr);
        *member =
            (member_t){.peer = addr, .heard = true, .heard_ms = 1000, .supports_accounts = true};
        snprintf(text, sizeof(text), "g-%u", i);
        name_set(&member->instance, str_from(text));
    }
    const owner_input_t input = {
        .members = &members, .key = 42, .liveness_known = true, .now_ms = 1000};
    member_t *owner = owner_find(&input);
    ck_assert_ptr_nonnull(owner);
    owner->accounts_avoided_until_ms = 2000;
    member_t *next = owner_find(&input);
    ck_assert_ptr_ne(next, owner);
    next->accounts_avoided_until_ms = 2000;
    owner_find(&input)->accounts_avoided_until_ms = 2000;
    ck_assert_ptr_eq(owner_find(&input), owner); /* after three, the first one is tried again */
    owner->refuses_connections = true;
    ck_assert_ptr_ne(owner_find(&input), owner);
    members_free(&members);
}
END_TEST

/* An owner that sends at a fixed pace must not try the same instance of a region each time. */
START_TEST(any_eight_messages_reach_each_candidate)
{
    members_t members = {0};
    for (unsigned count = 1; count <= 6; count++) {
        char text[ADDR_TEXT_MAX];
        addr_t addr;
        bool reached[6] = {false};
        snprintf(text, sizeof(text), "10.0.0.%u:1", count);
        ck_assert(addr_parse(str_from(text), &addr));
        member_t *member = members_find_or_add(&members, &addr);
        *member = (member_t){.peer = addr, .heard = true, .supports_accounts = true};
        snprintf(text, sizeof(text), "g-%u", count);
        name_set(&member->instance, str_from(text));
        const owner_input_t input = {.members = &members, .key = 42, .now_ms = 9000};
        for (unsigned attempt = 3; attempt < 3 + OWNER_RANKS; attempt++)
            reached[owner_candidate(&input, attempt) - members.items] = true;
        for (unsigned i = 0; i < count; i++)
            ck_assert_msg(reached[i], "%u members: %u is not tried", count, i);
    }
    members_free(&members);
}
END_TEST

START_TEST(key_lookup_among_many_accounts)
{
    enum { ACCOUNTS = 10000 };
    config_t *config = config_new(0, 0);
    char text[32];
    config_add_accounts(config, ACCOUNTS, ACCOUNTS);
    for (unsigned i = 0; i < ACCOUNTS; i++) {
        snprintf(text, sizeof(text), "account-%u", i);
        ck_assert(config_account_name(&config->accounts[i], str_from(text)));
        snprintf(text, sizeof(text), "key-%u", i);
        config_add_key(config, &config->accounts[i], str_from(text));
    }
    config_seal(config);
    const uint64_t start_ns = uv_hrtime();
    for (unsigned i = 0; i < ACCOUNTS; i++) {
        char name[32];
        snprintf(text, sizeof(text), "key-%u", i);
        snprintf(name, sizeof(name), "account-%u", i);
        ck_assert_str_eq(config_match_key(config, str_from(text)).account->name.ptr, name);
    }
    printf("a look-up among %d keys: %llu ns\n", ACCOUNTS,
           (unsigned long long)((uv_hrtime() - start_ns) / ACCOUNTS));
    ck_assert_ptr_null(config_match_key(config, STR("key-10000")).account);
    config_unref(config);
}
END_TEST

Suite *
suite_gateway_accounts(void)
{
    Suite *suite = suite_create("gateway: accounts");
    TCase *tests = tcase_create("accounts");
    tcase_set_timeout(tests, 40);
    tcase_add_test(tests, key_is_resolved_and_not_forwarded);
    tcase_add_test(tests, request_without_valid_key_is_denied);
    tcase_add_test(tests, public_route_needs_no_key);
    tcase_add_test(tests, no_key_needed_without_accounts);
    tcase_add_test(tests, revoked_key_is_refused);
    tcase_add_test(tests, revoked_key_is_refused_during_store_outage);
    tcase_add_test(tests, shared_key_affects_only_its_requests);
    tcase_add_test(tests, invalid_account_affects_only_its_requests);
    tcase_add_test(tests, unreadable_regions_are_not_taken_for_none);
    tcase_add_test(tests, invalid_account_is_left_out);
    tcase_add_test(tests, account_over_limit_gets_retry_after);
    tcase_add_test(tests, account_limit_holds_across_instances);
    tcase_add_test(tests, key_is_never_logged_or_printed);
    tcase_add_test(tests, key_check_results);
    tcase_add_test(tests, retry_after_is_spread_over_callers);
    tcase_add_test(tests, retry_after_without_share_is_time_until_it_comes);
    tcase_add_test(tests, silent_instance_is_charged_its_share);
    tcase_add_test(tests, new_owner_does_not_limit_account_far_below_limit);
    tcase_add_test(tests, retries_are_charged_and_unsent_requests_refunded);
    tcase_add_test(tests, new_owner_goes_by_demand_known_to_others);
    tcase_add_test(tests, peer_refunds_no_more_than_was_charged);
    tcase_add_test(tests, inherited_grant_keeps_lower_level_of_peers);
    tcase_add_test(tests, silence_is_detected_while_demand_exceeds_limit);
    tcase_add_test(tests, takeover_keeps_account_limited);
    tcase_add_test(tests, instance_without_owner_starts_with_unused_share);
    tcase_add_test(tests, refund_of_acknowledged_request_refuses_nothing);
    tcase_add_test(tests, instances_choose_same_owner);
    tcase_add_test(tests, any_eight_messages_reach_each_candidate);
    tcase_add_test(tests, key_lookup_among_many_accounts);
    suite_add_tcase(suite, tests);
    return suite;
}
