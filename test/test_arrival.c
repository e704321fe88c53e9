/* What an entry instance says of requests that it may not look at yet. */
#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/xmalloc.h"
#include "entry/http/server.h"
#include "entry/node.h"
#include "entry/path/outcome.h"
#include "test/suites.h"

enum { PATIENCE_MS = 5000, ANSWER_MAX = 4096 };

/* An instance that has no store and no peers, so it is not ready. */
static node_t *
start_unready(uv_loop_t *loop)
{
    settings_t settings = {.max_body_kb = 64, .store_reads_per_s = 20, .store_writes_per_s = 10};
    err_t err = {0};
    node_t *node = xcalloc(1, sizeof(*node));
    ck_assert(name_set(&settings.name, STR("x")));
    ck_assert(name_set(&settings.region, STR("r")));
    ck_assert(name_set(&settings.place, STR("p")));
    ck_assert(addr_parse(STR("127.0.0.1:0"), &settings.listen));
    settings.peer = settings.listen;
    settings.admin = settings.listen;
    ck_assert(addr_parse(STR("127.0.0.1:1"), &settings.platform));
    ck_assert_msg(node_start(node, loop, &settings, &err), "%s", err.detail);
    return node;
}

/* Sends an order with these header lines and returns the head of the answer. */
static void
order(uv_loop_t *loop, const node_t *node, const char *lines, char answer[ANSWER_MAX])
{
    addr_t addr = node->settings.listen;
    char request[512];
    addr.v4.sin_port = htons(http_server_port(node->server));
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert_int_eq(connect(fd, &addr.sa, sizeof(addr.v4)), 0);
    const int len =
        snprintf(request, sizeof(request),
                 "POST /orders HTTP/1.1\r\nhost: banco\r\n%scontent-length: 0\r\n\r\n", lines);
    ck_assert(send(fd, request, (size_t)len, MSG_NOSIGNAL) == len);
    const uint64_t until_ms = clock_steady_ms(clock_system()) + PATIENCE_MS;
    ssize_t got = -1;
    while (got < 0 && clock_steady_ms(clock_system()) < until_ms) {
        uv_run(loop, UV_RUN_NOWAIT);
        got = recv(fd, answer, ANSWER_MAX - 1, MSG_DONTWAIT);
    }
    answer[got > 0 ? got : 0] = '\0';
    close(fd);
}

static const struct {
    const char *lines;
    const char *outcome;
} orders[] = {
    /* An earlier copy under the key may have run, here or at its owner. */
    {"idempotency-key: k1~x~1~1~1\r\n", "x-irisstall-outcome: unknown"},
    {"idempotency-key: k1~x~1~1~1\r\nx-irisstall-hop: owner\r\n", "x-irisstall-outcome: unknown"},
    {"idempotency-key: my-own\r\n", "x-irisstall-outcome: unknown"},
    /* The key's owner asks, and knows what it sent. */
    {"idempotency-key: k1~y~1~1~1\r\nx-irisstall-hop: entry\r\n", "x-irisstall-outcome: not_run"},
    {"", "x-irisstall-outcome: not_run"},
};

START_TEST(an_unready_instance_knows_nothing_of_keys)
{
    static uv_loop_t loop; /* not closed */
    char answer[ANSWER_MAX];
    uv_loop_init(&loop);
    const node_t *node = start_unready(&loop);
    order(&loop, node, orders[_i].lines, answer);
    ck_assert_msg(strncmp(answer, "HTTP/1.1 503", 12) == 0, "got: %.60s", answer);
    ck_assert_msg(strstr(answer, orders[_i].outcome) != NULL, "got: %s", answer);
}
END_TEST

static key_state_t
state_after_answer(node_t *node, const attempt_result_t *result)
{
    int attempt; /* its address alone is used */
    key_record_t record = {.state = KEY_RUNNING};
    /* A queued exchange is not freed. */
    exchange_t x = {.node = node, .record = &record, .queued = true};
    x.winner = (attempt_t *)(void *)&attempt;
    outcome_cbs.on_end(&x, x.winner, result);
    return record.state;
}

/* An error page of an entry that lost the answer must not be kept as the answer under the key. */
START_TEST(unknown_told_by_another_entry_is_not_kept_as_answer)
{
    static uv_loop_t loop; /* not closed */
    uv_loop_init(&loop);
    node_t *node = start_unready(&loop);
    const attempt_result_t told_unknown = {
        .whole = true, .sent = true, .unknown = true, .status = 502};
    const attempt_result_t failed = {.whole = true, .sent = true, .status = 502};
    const attempt_result_t cut = {.sent = true, .status = 200};
    ck_assert_int_eq(state_after_answer(node, &told_unknown), KEY_UNKNOWN);
    ck_assert_int_eq(state_after_answer(node, &failed), KEY_DONE);
    ck_assert_int_eq(state_after_answer(node, &cut), KEY_UNKNOWN);
}
END_TEST

Suite *
suite_arrival(void)
{
    Suite *suite = suite_create("arrival");
    TCase *tcase = tcase_create("arrival");
    tcase_add_loop_test(tcase, an_unready_instance_knows_nothing_of_keys, 0, (int)ALEN(orders));
    tcase_add_test(tcase, unknown_told_by_another_entry_is_not_kept_as_answer);
    suite_add_tcase(suite, tcase);
    return suite;
}
