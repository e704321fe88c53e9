/* The listener and a caller's connection: how it ends, and what becomes of requests around the end.
 */
#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/addr.h"
#include "base/counter.h"
#include "base/xmalloc.h"
#include "test/suites.h"
#include "wire/listener.h"

enum {
    PATIENCE_MS = 5000,
    SHORT_IDLE_MS = 100,
    LONG_IDLE_MS = 8000,
    SWEEP_MS = 300,    /* longer than the listener's own check interval */
    STALLED_MS = 5000, /* listener.c's WRITE_STALLED_MS */
    LARGE = 4 << 20,
    SMALL_BUFFER = 16384,
};

typedef struct {
    uv_loop_t loop;
    uv_timer_t timer;
    bool timer_fired;
    wire_listener_t *listener;
    addr_t addr;
    size_t requests;
    size_t answer_len;
    bool until_close; /* answers have no length */
    bool unended;     /* their end is still to come */
} host_t;

/* A caller's socket, apart from the loop. */
typedef struct {
    int fd;
    char text[4096]; /* the beginning of what has come */
    size_t len;
    size_t total;
    bool ended;
    bool reset;
} caller_t;

static void
on_timer(uv_timer_t *timer)
{
    ((host_t *)timer->data)->timer_fired = true;
}

static void
on_request(void *ctx, wire_request_t *req)
{
    host_t *host = ctx;
    host->requests++;
    char *body = xcalloc(1, host->answer_len + 1);
    memset(body, 'b', host->answer_len);
    wire_respond_head(req, 200, STR(""),
                      host->until_close ? WIRE_UNTIL_CLOSE : (int64_t)host->answer_len);
    wire_respond_data(req, body, host->answer_len);
    if (host->unended)
        wire_respond_flush(req);
    else
        wire_respond_end(req);
    free(body);
}

static wire_limits_t
limits_with_idle(uint64_t idle_ms)
{
    return (wire_limits_t){.max_head = 4096,
                           .max_body = 4096,
                           .head_timeout_ms = PATIENCE_MS,
                           .idle_timeout_ms = idle_ms,
                           .max_connections = 10};
}

static host_t *
new_host(uint64_t idle_ms)
{
    host_t *host = xcalloc(1, sizeof(*host));
    err_t err = {0};
    host->answer_len = 5;
    uv_loop_init(&host->loop);
    uv_timer_init(&host->loop, &host->timer);
    host->timer.data = host;
    ck_assert(addr_parse(STR("127.0.0.1:0"), &host->addr));
    const wire_limits_t limits = limits_with_idle(idle_ms);
    host->listener = wire_listener_start(&host->loop, &host->addr, &limits, on_request, host, &err);
    ck_assert_msg(host->listener != NULL, "%s", err.detail);
    addr_set_port(&host->addr, wire_listener_port(host->listener));
    return host;
}

static void
run_loop_ms(host_t *host, uint64_t ms)
{
    host->timer_fired = false;
    uv_timer_start(&host->timer, on_timer, ms, 0);
    while (!host->timer_fired)
        uv_run(&host->loop, UV_RUN_ONCE);
}

static caller_t
connect_caller(const host_t *host, int receive_buffer)
{
    caller_t caller = {.fd = socket(AF_INET, SOCK_STREAM, 0)};
    ck_assert_int_ge(caller.fd, 0);
    if (receive_buffer > 0)
        setsockopt(caller.fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
    ck_assert_int_eq(connect(caller.fd, &host->addr.sa, addr_len(&host->addr)), 0);
    ck_assert_int_eq(fcntl(caller.fd, F_SETFL, O_NONBLOCK), 0);
    return caller;
}

static void
send_request(caller_t *caller)
{
    static const char request[] = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
    const ssize_t n = send(caller->fd, request, sizeof(request) - 1, MSG_NOSIGNAL);
    ck_assert(n == (ssize_t)sizeof(request) - 1);
}

/* Takes what has come. */
static void
receive(caller_t *caller)
{
    char part[65536];
    ssize_t n;
    while ((n = recv(caller->fd, part, sizeof(part), 0)) > 0) {
        const size_t room = sizeof(caller->text) - 1 - caller->len;
        const size_t kept = (size_t)n < room ? (size_t)n : room;
        memcpy(caller->text + caller->len, part, kept);
        caller->len += kept;
        caller->total += (size_t)n;
    }
    caller->ended |= n == 0;
    /* After the other side's end, a reset is told as an error of the socket only. */
    int error = n < 0 && errno != EAGAIN ? errno : 0;
    socklen_t size = sizeof(error);
    if (error == 0)
        getsockopt(caller->fd, SOL_SOCKET, SO_ERROR, &error, &size);
    caller->reset |= error == ECONNRESET || error == EPIPE;
}

/* True once that many answers of the usual kind have come. */
static bool
has_answers(caller_t *caller, size_t count)
{
    size_t seen = 0;
    receive(caller);
    for (const char *at = caller->text; (at = strstr(at, "bbbbb")) != NULL; at += 5)
        seen++;
    return seen >= count;
}

static bool
has_ended(caller_t *caller)
{
    receive(caller);
    return caller->ended || caller->reset;
}

#define RUN_UNTIL(host, condition)                                                                 \
    do {                                                                                           \
        (host)->timer_fired = false;                                                               \
        uv_timer_start(&(host)->timer, on_timer, PATIENCE_MS, 0);                                  \
        while (!(condition) && !(host)->timer_fired)                                               \
            uv_run(&(host)->loop, UV_RUN_NOWAIT);                                                  \
        uv_timer_stop(&(host)->timer);                                                             \
        ck_assert_msg(condition, "not reached: %s", #condition);                                   \
    } while (0)

/* A connection on which one request has been answered. */
static caller_t
answered_caller(host_t *host)
{
    caller_t caller = connect_caller(host, 0);
    send_request(&caller);
    RUN_UNTIL(host, has_answers(&caller, 1));
    return caller;
}

static int64_t
late_inputs(void)
{
    return counter_value(counter_get("irisstall_late_input_total", NULL, ""));
}

/* A caller may repeat what was certainly not read; what was read and dropped is lost to it. */
START_TEST(a_request_that_crosses_the_close_of_a_resting_connection_is_not_read)
{
    host_t *host = new_host(SHORT_IDLE_MS);
    caller_t caller = answered_caller(host);
    const int64_t before = late_inputs();
    RUN_UNTIL(host, has_ended(&caller));
    send_request(&caller);
    RUN_UNTIL(host, has_ended(&caller) && (caller.reset || late_inputs() != before));
    ck_assert(caller.reset);
    ck_assert_int_eq(late_inputs(), before);
    ck_assert_uint_eq(host->requests, 1);
    close(caller.fd);
}
END_TEST

/* The process was held up: the request came in time and lies in the socket. */
START_TEST(a_request_that_has_come_is_answered_though_the_connection_is_due)
{
    host_t *host = new_host(SHORT_IDLE_MS);
    caller_t caller = answered_caller(host);
    send_request(&caller);
    usleep(2 * SWEEP_MS * 1000);
    RUN_UNTIL(host, has_answers(&caller, 2));
    close(caller.fd);
}
END_TEST

START_TEST(a_shorter_idle_limit_spares_connections_that_rest_already)
{
    host_t *host = new_host(LONG_IDLE_MS);
    caller_t caller = answered_caller(host);
    const wire_limits_t shorter = limits_with_idle(SHORT_IDLE_MS);
    wire_listener_set_limits(host->listener, &shorter);
    run_loop_ms(host, 2 * SWEEP_MS);
    ck_assert(!has_ended(&caller));
    send_request(&caller);
    RUN_UNTIL(host, has_answers(&caller, 2));
    /* From this answer on the new limit holds. */
    RUN_UNTIL(host, has_ended(&caller));
    close(caller.fd);
}
END_TEST

START_TEST(answers_announce_less_than_the_time_that_their_connection_is_kept)
{
    static const struct {
        uint64_t idle_ms;
        const char *field;
    } rows[] = {{1999, NULL}, {2000, "timeout=1\r\n"}, {8900, "timeout=7\r\n"}};
    for (size_t i = 0; i < ALEN(rows); i++) {
        host_t *host = new_host(rows[i].idle_ms);
        caller_t caller = answered_caller(host);
        const char *field = strstr(caller.text, "Keep-Alive: ");
        ck_assert((field != NULL) == (rows[i].field != NULL));
        if (field != NULL)
            ck_assert(strstr(field, rows[i].field) == field + strlen("Keep-Alive: "));
        /* None on an answer that ends its connection. */
        wire_listener_drain(host->listener);
        send_request(&caller);
        RUN_UNTIL(host, has_answers(&caller, 2));
        const char *last = strstr(caller.text, "bbbbb");
        ck_assert(strstr(last, "Connection: close") != NULL);
        ck_assert(strstr(last, "Keep-Alive") == NULL);
        close(caller.fd);
    }
}
END_TEST

/* The link is narrow: the answer takes longer than a caller is given to close its side. */
static void
takes_slowly(host_t *host, const char *request)
{
    enum { PAUSE_MS = 1500 };
    const int64_t before =
        counter_value(counter_get("irisstall_answers_cut_by_close_total", NULL, ""));
    host->answer_len = LARGE;
    caller_t caller = connect_caller(host, SMALL_BUFFER);
    ck_assert_int_gt(send(caller.fd, request, strlen(request), MSG_NOSIGNAL), 0);
    RUN_UNTIL(host, host->requests == 1);
    run_loop_ms(host, PAUSE_MS);
    RUN_UNTIL(host, has_ended(&caller));
    ck_assert_uint_gt(caller.total, LARGE);
    ck_assert(!caller.reset);
    ck_assert_int_eq(counter_value(counter_get("irisstall_answers_cut_by_close_total", NULL, "")),
                     before);
    close(caller.fd);
}

START_TEST(the_last_answer_is_written_to_its_end)
{
    takes_slowly(new_host(LONG_IDLE_MS), "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
}
END_TEST

START_TEST(a_connection_does_not_rest_while_its_answer_is_written)
{
    takes_slowly(new_host(SHORT_IDLE_MS), "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
}
END_TEST

/* A caller that does not read gets a part of an answer without a length. */
static void
takes_a_part(host_t *host, caller_t *caller)
{
    host->answer_len = LARGE;
    host->until_close = true;
    *caller = connect_caller(host, SMALL_BUFFER);
    send_request(caller);
    RUN_UNTIL(host, host->requests == 1);
}

/* Has the listener look at its connections now: before its own check is due, or when that is late.
 * What it had been asked for earlier is done first; one that comes late is put off to the next
 * poll. */
static void
sweep(host_t *host)
{
    enum { POLLS_MAX = 2 };
    for (unsigned i = 0; i < POLLS_MAX; i++)
        uv_run(&host->loop, UV_RUN_NOWAIT);
    wire_listener_close_idle(host->listener, UINT64_MAX); /* as it is from the start */
    for (unsigned i = 0; i < POLLS_MAX; i++)
        uv_run(&host->loop, UV_RUN_NOWAIT);
}

/* Runs the loop until its clock has passed the time for which output may stand still, and expects
 * that the connection is kept until then. `begun_ms` is before the output stood still. */
static void
stand_still(host_t *host, uint64_t begun_ms)
{
    host->timer_fired = false;
    uv_timer_start(&host->timer, on_timer, STALLED_MS + 1, 0);
    while (!host->timer_fired) {
        ck_assert(wire_listener_connections(host->listener) == 1 ||
                  uv_now(&host->loop) - begun_ms > STALLED_MS);
        uv_run(&host->loop, UV_RUN_ONCE);
    }
}

/* The caller reads nothing before the connection is given up: the output moves again if it does. */
START_TEST(an_answer_without_a_length_that_stalls_does_not_look_whole)
{
    host_t *host = new_host(LONG_IDLE_MS);
    const uint64_t begun_ms = uv_now(&host->loop);
    caller_t caller;
    takes_a_part(host, &caller);
    sweep(host);
    stand_still(host, begun_ms);
    sweep(host);
    ck_assert_uint_eq(wire_listener_connections(host->listener), 0);
    RUN_UNTIL(host, has_ended(&caller));
    ck_assert(caller.reset);
    ck_assert_uint_lt(caller.total, LARGE);
    close(caller.fd);
}
END_TEST

START_TEST(an_answer_without_a_length_that_a_stop_cuts_does_not_look_whole)
{
    host_t *host = new_host(LONG_IDLE_MS);
    caller_t caller;
    takes_a_part(host, &caller);
    wire_listener_cut(host->listener);
    RUN_UNTIL(host, has_ended(&caller));
    ck_assert(caller.reset);
    ck_assert_uint_lt(caller.total, LARGE);
    close(caller.fd);
}
END_TEST

/* A caller that ends its side counts as one that has left, but may still read. */
static void
ends_its_side(host_t *host, caller_t *caller)
{
    ck_assert_int_eq(shutdown(caller->fd, SHUT_WR), 0);
    RUN_UNTIL(host, wire_listener_connections(host->listener) == 0);
    RUN_UNTIL(host, has_ended(caller));
    ck_assert(caller->reset);
    close(caller->fd);
}

START_TEST(an_answer_without_a_length_does_not_look_whole_to_a_caller_that_ended_its_side)
{
    host_t *host = new_host(LONG_IDLE_MS);
    caller_t caller;
    if (_i == 0) { /* it is not written to its end */
        takes_a_part(host, &caller);
    } else { /* what there is of it has come */
        host->until_close = true;
        host->unended = true;
        caller = answered_caller(host);
    }
    ends_its_side(host, &caller);
    ck_assert_uint_lt(caller.total, LARGE);
}
END_TEST

/* It was made in time, and its first request is on its way. */
START_TEST(a_stop_leaves_a_new_connection_time_for_its_first_request)
{
    host_t *host = new_host(LONG_IDLE_MS);
    caller_t caller = connect_caller(host, 0);
    RUN_UNTIL(host, wire_listener_connections(host->listener) == 1);
    wire_listener_drain(host->listener);
    wire_listener_stop_accepting(host->listener);
    wire_listener_close_idle(host->listener, LONG_IDLE_MS);
    run_loop_ms(host, SWEEP_MS);
    ck_assert(!has_ended(&caller));
    send_request(&caller);
    RUN_UNTIL(host, has_answers(&caller, 1));
    ck_assert(strstr(caller.text, "Connection: close") != NULL);
    close(caller.fd);
}
END_TEST

START_TEST(a_stop_closes_connections_that_have_rested)
{
    host_t *host = new_host(LONG_IDLE_MS);
    caller_t caller = answered_caller(host);
    wire_listener_close_idle(host->listener, SHORT_IDLE_MS);
    run_loop_ms(host, 2 * SWEEP_MS);
    ck_assert(has_ended(&caller));
    ck_assert_uint_eq(wire_listener_connections(host->listener), 0);
    close(caller.fd);
}
END_TEST

START_TEST(a_connection_that_waits_to_be_accepted_is_served_though_the_port_closes)
{
    host_t *host = new_host(LONG_IDLE_MS);
    run_loop_ms(host, 1);
    caller_t caller = connect_caller(host, 0);
    send_request(&caller);
    wire_listener_drain(host->listener);
    wire_listener_stop_accepting(host->listener);
    wire_listener_close_idle(host->listener, SWEEP_MS);
    RUN_UNTIL(host, has_answers(&caller, 1));
    close(caller.fd);
}
END_TEST

Suite *
suite_gateway_listener(void)
{
    Suite *suite = suite_create("gateway: listener");
    TCase *tests = tcase_create("listener");
    tcase_set_timeout(tests, 30);
    tcase_add_test(tests, a_request_that_crosses_the_close_of_a_resting_connection_is_not_read);
    tcase_add_test(tests, a_request_that_has_come_is_answered_though_the_connection_is_due);
    tcase_add_test(tests, a_shorter_idle_limit_spares_connections_that_rest_already);
    tcase_add_test(tests, answers_announce_less_than_the_time_that_their_connection_is_kept);
    tcase_add_test(tests, the_last_answer_is_written_to_its_end);
    tcase_add_test(tests, a_connection_does_not_rest_while_its_answer_is_written);
    tcase_add_test(tests, an_answer_without_a_length_that_stalls_does_not_look_whole);
    tcase_add_test(tests, an_answer_without_a_length_that_a_stop_cuts_does_not_look_whole);
    tcase_add_loop_test(
        tests, an_answer_without_a_length_does_not_look_whole_to_a_caller_that_ended_its_side, 0,
        2);
    tcase_add_test(tests, a_stop_leaves_a_new_connection_time_for_its_first_request);
    tcase_add_test(tests, a_stop_closes_connections_that_have_rested);
    tcase_add_test(tests, a_connection_that_waits_to_be_accepted_is_served_though_the_port_closes);
    suite_add_tcase(suite, tests);
    return suite;
}
