/* Invalid input and broken connections, over loopback. */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/xmalloc.h"
#include "entry/http/fetch.h"
#include "entry/http/server.h"
#include "peer/link.h"
#include "test/leak.h"
#include "test/suites.h"

enum { WAIT_TIMEOUT_MS = 5000, BODY_MAX = 1000, HEAD_TIMEOUT_MS = 300 };

typedef struct {
    uv_loop_t loop;
    addr_t addr;
    size_t requests;
    size_t messages;
    uint64_t last_version;
    bool truncate_response; /* the server closes after half of the response body */
    int status;             /* response status, 0: 200 */
} net_t;

static void
on_message(void *ctx, peer_conn_t *conn, const Iris__Envelope *message)
{
    (void)conn;
    net_t *net = ctx;
    net->messages++;
    if (message->body_case == IRIS__ENVELOPE__BODY_PUSH)
        net->last_version = message->push->id->version;
}

static void
on_request(void *ctx, h2o_req_t *req)
{
    static h2o_generator_t generator = {NULL, NULL};
    net_t *net = ctx;
    net->requests++;
    if (!net->truncate_response) {
        http_reply(req, net->status != 0 ? net->status : 200, "text/plain", "hello", 5);
        return;
    }
    h2o_iovec_t buf = h2o_iovec_init(H2O_STRLIT("hel"));
    req->res.status = 200;
    req->res.content_length = 5;
    h2o_start_response(req, &generator);
    h2o_send(req, &buf, 1, H2O_SEND_STATE_ERROR);
    shutdown(h2o_socket_get_fd(req->conn->callbacks->get_socket(req->conn)), SHUT_RDWR);
}

static net_t *
new_net(void)
{
    net_t *net = xcalloc(1, sizeof(*net));
    leak_ignore(net);
    uv_loop_init(&net->loop);
    ck_assert(addr_parse(STR("127.0.0.1:0"), &net->addr));
    return net;
}

/* Runs the loop until the condition holds; fails the test after WAIT_TIMEOUT_MS. */
#define RUN_UNTIL(net, condition)                                                                  \
    do {                                                                                           \
        const uint64_t deadline_ = clock_steady_ms(clock_system()) + WAIT_TIMEOUT_MS;              \
        bool holds_ = (condition);                                                                 \
        while (!holds_ && clock_steady_ms(clock_system()) < deadline_) {                           \
            uv_run(&(net)->loop, UV_RUN_NOWAIT);                                                   \
            holds_ = (condition);                                                                  \
        }                                                                                          \
        ck_assert_msg(holds_, "%s", #condition);                                                   \
    } while (0)

static peer_hub_t *
start_hub(net_t *net)
{
    err_t err = {0};
    peer_hub_t *hub = peer_hub_start(&net->loop, &net->addr, on_message, net, &err);
    ck_assert_msg(hub != NULL, "%s", err.detail);
    net->addr.v4.sin_port = htons(peer_hub_port(hub));
    return hub;
}

static void
start_server(net_t *net)
{
    err_t err = {0};
    const http_server_conf_t conf = {.addr = net->addr,
                                     .max_body = BODY_MAX,
                                     .head_timeout_ms = HEAD_TIMEOUT_MS,
                                     .max_connections = 3};
    http_server_t *server = http_server_start(&net->loop, &conf, on_request, net, &err);
    ck_assert_msg(server != NULL, "%s", err.detail);
    net->addr.v4.sin_port = htons(http_server_port(server));
}

static int
connect_raw(const net_t *net)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert_int_ge(fd, 0);
    ck_assert_int_eq(connect(fd, &net->addr.sa, sizeof(net->addr.v4)), 0);
    return fd;
}

static void
send_raw(int fd, const void *bytes, size_t len)
{
    ck_assert(send(fd, bytes, len, MSG_NOSIGNAL) == (ssize_t)len);
}

/* Non-blocking read; returns -1 if no data is available, 0 once closed. */
static ssize_t
poll_raw(int fd, char *buf, size_t size)
{
    return recv(fd, buf, size, MSG_DONTWAIT);
}

static bool
is_closed(int fd)
{
    char byte;
    return recv(fd, &byte, 1, MSG_DONTWAIT | MSG_PEEK) == 0;
}

static int64_t
bad_frames(void)
{
    return counter_value(counter_get("irisstall_peer_bad_frames_total", NULL, ""));
}

START_TEST(large_frames_are_delivered)
{
    net_t *net = new_net();
    peer_hub_t *hub = start_hub(net);
    Iris__ObjectVersion id = IRIS__OBJECT_VERSION__INIT;
    Iris__ObjectPush push = IRIS__OBJECT_PUSH__INIT;
    Iris__Envelope message = IRIS__ENVELOPE__INIT;
    message.schema = PEER_SCHEMA;
    message.body_case = IRIS__ENVELOPE__BODY_PUSH;
    message.push = &push;
    push.id = &id;
    push.body.len = 300000;
    push.body.data = xcalloc(1, push.body.len);
    for (id.version = 1; id.version <= 20; id.version++)
        peer_send(hub, &net->addr, &message);
    RUN_UNTIL(net, net->messages == 20);
    ck_assert_uint_eq(net->last_version, 20);
    free(push.body.data);
}
END_TEST

static const struct {
    const char *bytes;
    size_t len;
} invalid_frames[] = {
    {"\xff\xff\xff\xff", 4},             /* length above PEER_FRAME_MAX */
    {"\x00\x00\x00\x03\xff\xff\xff", 7}, /* malformed protobuf */
    {"\x00\x00\x00\x02\x08\x63", 6},     /* unsupported schema 99 */
};

START_TEST(invalid_frames_close_the_connection_and_are_counted)
{
    net_t *net = new_net();
    start_hub(net);
    const int64_t before = bad_frames();
    const int fd = connect_raw(net);
    send_raw(fd, invalid_frames[_i].bytes, invalid_frames[_i].len);
    RUN_UNTIL(net, bad_frames() == before + 1);
    RUN_UNTIL(net, is_closed(fd));
    ck_assert_uint_eq(net->messages, 0);
    close(fd);
}
END_TEST

START_TEST(truncated_frame_is_dropped)
{
    net_t *net = new_net();
    start_hub(net);
    const int fd = connect_raw(net);
    send_raw(fd, "\x00\x00\x00\x09\x08", 5);
    close(fd);
    const int whole = connect_raw(net);
    send_raw(whole, "\x00\x00\x00\x02\x08\x01", 6);
    RUN_UNTIL(net, net->messages == 1);
    close(whole);
}
END_TEST

static void
expect_response(net_t *net, int fd, const char *start)
{
    char buf[4096];
    ssize_t n = -1;
    RUN_UNTIL(net, (n = poll_raw(fd, buf, sizeof(buf) - 1)) >= 0);
    buf[n > 0 ? n : 0] = '\0';
    ck_assert_msg(strncmp(buf, start, strlen(start)) == 0, "got: %.60s", buf);
}

START_TEST(malformed_and_oversized_headers_are_rejected)
{
    net_t *net = new_net();
    start_server(net);
    int fd = connect_raw(net);
    send_raw(fd, "\x01\x02 garbage\r\n\r\n", 14);
    expect_response(net, fd, "HTTP/1.1 400");
    close(fd);
    fd = connect_raw(net);
    send_raw(fd, "GET / HTTP/1.1\r\n", 16);
    static const char line[] = "x-filler: 0123456789012345678901234567890123456789\r\n";
    ssize_t sent = 1;
    for (size_t i = 0; i < 20000 && sent > 0 && !is_closed(fd); i++) {
        sent = send(fd, line, sizeof(line) - 1, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0)
            sent = 1;
        uv_run(&net->loop, UV_RUN_NOWAIT);
    }
    char buf[512];
    RUN_UNTIL(net, poll_raw(fd, buf, sizeof(buf)) >= 0);
    close(fd);
    ck_assert_uint_eq(net->requests, 0);
}
END_TEST

START_TEST(incomplete_request_header_times_out)
{
    net_t *net = new_net();
    start_server(net);
    const int fd = connect_raw(net);
    send_raw(fd, "GET / HT", 8);
    RUN_UNTIL(net, is_closed(fd));
    ck_assert_uint_eq(net->requests, 0);
    close(fd);
}
END_TEST

START_TEST(oversized_request_body_gets_413)
{
    net_t *net = new_net();
    start_server(net);
    const int fd = connect_raw(net);
    static const char head[] = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 100000\r\n\r\n";
    send_raw(fd, head, sizeof(head) - 1);
    expect_response(net, fd, "HTTP/1.1 413");
    ck_assert_uint_eq(net->requests, 0);
    close(fd);
}
END_TEST

START_TEST(responses_have_standard_reason_phrases)
{
    net_t *net = new_net();
    start_server(net);
    net->status = 404;
    const int fd = connect_raw(net);
    send_raw(fd, "GET / HTTP/1.1\r\nhost: a\r\n\r\n", 27);
    expect_response(net, fd, "HTTP/1.1 404 Not Found");
    close(fd);
}
END_TEST

START_TEST(connections_above_the_limit_are_closed)
{
    net_t *net = new_net();
    start_server(net);
    int fds[4];
    for (size_t i = 0; i < 4; i++)
        fds[i] = connect_raw(net);
    RUN_UNTIL(net, is_closed(fds[3]));
    send_raw(fds[0], "GET / HTTP/1.1\r\nhost: a\r\n\r\n", 27);
    expect_response(net, fds[0], "HTTP/1.1 200");
    for (size_t i = 0; i < 4; i++)
        close(fds[i]);
}
END_TEST

typedef struct {
    bool done;
    http_result_t result;
    size_t body_len;
} fetch_outcome_t;

static void
on_fetched(void *ctx, const fetch_answer_t *answer)
{
    fetch_outcome_t *got = ctx;
    *got = (fetch_outcome_t){.done = true, .result = *answer->result, .body_len = answer->body.len};
}

static fetch_outcome_t
fetch(net_t *net)
{
    fetch_outcome_t got = {.done = false};
    http_client_t *client = http_client_new(&net->loop);
    const fetch_conf_t conf = {.target = http_target_new(client, &net->addr, 2, 1000),
                               .method = "GET",
                               .path = "/",
                               .body = STR(""),
                               .timeout_ms = WAIT_TIMEOUT_MS,
                               .max_body = BODY_MAX};
    fetch_start(&conf, on_fetched, &got);
    RUN_UNTIL(net, got.done);
    return got;
}

START_TEST(truncated_response_is_reported_as_lost)
{
    net_t *net = new_net();
    start_server(net);
    fetch_outcome_t got = fetch(net);
    ck_assert_int_eq(got.result.err.code, ERR_NONE);
    ck_assert_uint_eq(got.body_len, 5);
    net->truncate_response = true;
    got = fetch(net);
    ck_assert_int_eq(got.result.err.code, ERR_ANSWER_LOST);
    ck_assert_int_ge(got.result.stage, HTTP_STAGE_SENT);
}
END_TEST

START_TEST(refused_connection_reports_nothing_sent)
{
    net_t *net = new_net();
    const int fd = socket(AF_INET, SOCK_STREAM, 0); /* bound, not listening */
    socklen_t len = sizeof(net->addr.v4);
    ck_assert_int_eq(bind(fd, &net->addr.sa, len), 0);
    ck_assert_int_eq(getsockname(fd, &net->addr.sa, &len), 0);
    const fetch_outcome_t got = fetch(net);
    ck_assert_int_eq(got.result.err.code, ERR_UNAVAILABLE);
    ck_assert_int_eq(got.result.stage, HTTP_STAGE_CONNECTING);
    close(fd);
}
END_TEST

START_TEST(http_target_is_freed_with_its_pool)
{
    net_t *net = new_net();
    start_server(net);
    http_client_t *client = http_client_new(&net->loop);
    for (size_t i = 0; i < 20; i++) {
        http_target_t *target = http_target_new(client, &net->addr, 2, 1000);
        http_target_free(target);
        uv_run(&net->loop, UV_RUN_NOWAIT);
    }
    ck_assert_int_eq(fetch(net).result.err.code, ERR_NONE);
}
END_TEST

Suite *
suite_network(void)
{
    Suite *suite = suite_create("network");
    TCase *tcase = tcase_create("network");
    tcase_set_timeout(tcase, 60);
    tcase_add_test(tcase, large_frames_are_delivered);
    tcase_add_loop_test(tcase, invalid_frames_close_the_connection_and_are_counted, 0,
                        (int)ALEN(invalid_frames));
    tcase_add_test(tcase, truncated_frame_is_dropped);
    tcase_add_test(tcase, malformed_and_oversized_headers_are_rejected);
    tcase_add_test(tcase, incomplete_request_header_times_out);
    tcase_add_test(tcase, oversized_request_body_gets_413);
    tcase_add_test(tcase, responses_have_standard_reason_phrases);
    tcase_add_test(tcase, connections_above_the_limit_are_closed);
    tcase_add_test(tcase, truncated_response_is_reported_as_lost);
    tcase_add_test(tcase, refused_connection_reports_nothing_sent);
    tcase_add_test(tcase, http_target_is_freed_with_its_pool);
    suite_add_tcase(suite, tcase);
    return suite;
}
