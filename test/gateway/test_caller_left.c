/* Callers that close their connection before they have a response. */
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "gateway/gateway_state.h"
#include "gateway/policy/retry.h"
#include "test/gateway/site.h"
#include "test/suites.h"

enum {
    END_MAX_MS = 500, /* from a close to the end of the run */
    SETTLE_MS = 300,  /* in which what was sent reaches a backend server */
    BLOCKED_MS = 200, /* above the pause before a retry */
};

static int
connect_caller(const site_t *site)
{
    const addr_t *addr = &gateway_settings(site->gateway)->callers;
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert_int_eq(connect(fd, &addr->sa, addr_len(addr)), 0);
    return fd;
}

static void
send_get(int fd)
{
    static const char text[] = "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: left-1\r\n"
                               "Affinity-Key: 3\r\nDeadline-Ms: 800\r\n\r\n";
    ck_assert_int_eq(send(fd, text, strlen(text), MSG_NOSIGNAL), (ssize_t)strlen(text));
}

static size_t
total_arrivals(const site_t *site)
{
    size_t arrivals = 0;
    for (size_t i = 0; i < BACKENDS_MAX; i++)
        arrivals += site->backends[i].arrival_count;
    return arrivals;
}

/* Opens a connection to each backend server, over which a request is sent at once. */
static void
open_backend_connections(site_t *site)
{
    for (unsigned object = 0; object < OBJECTS; object++)
        ck_assert_int_eq(ask_about(site, "GET", "/safe/x", object).status, 200);
}

/* The close lies behind the request: the instance reads the request first. */
START_TEST(request_of_caller_that_left_is_not_sent)
{
    site_t *site = new_ready_site(2);
    open_backend_connections(site);
    const size_t before = total_arrivals(site);
    const int fd = connect_caller(site);
    send_get(fd);
    close(fd);
    run_loop_ms(site, SETTLE_MS);
    ck_assert_uint_eq(total_arrivals(site), before);
    ck_assert_uint_eq(gateway_active(site->gateway), 0);
    ck_assert_int_eq(ask(site, "GET", "/safe/x").status, 200);
}
END_TEST

static void
close_backend_connections(site_t *site)
{
    run_loop_ms(site, SETTLE_MS);
    for (size_t i = 0; i < site->gateway->router.catalog.backends.count; i++)
        wire_pool_close_idle(site->gateway->router.catalog.backends.items[i]->pool, 0);
}

static void
leave_when_polled(uv_poll_t *poll, int status, int events)
{
    (void)status;
    (void)events;
    uv_poll_stop(poll);
    close(*(int *)poll->data);
}

/* The caller leaves while the loop handles a batch of events in which the connection to the backend
 * server comes up. */
START_TEST(request_of_caller_that_left_while_connecting_is_not_sent)
{
    site_t *site = new_ready_site(2);
    int signal[2];
    uv_poll_t poll;
    ck_assert_int_eq(pipe(signal), 0);
    uv_poll_init(&site->loop, &poll, signal[0]);
    uv_poll_start(&poll, UV_READABLE, leave_when_polled);
    close_backend_connections(site);
    const size_t before = total_arrivals(site);
    int fd = connect_caller(site);
    poll.data = &fd;
    send_get(fd);
    RUN_UNTIL(site, gateway_active(site->gateway) == 1);
    ck_assert_int_eq(write(signal[1], "x", 1), 1);
    run_loop_ms(site, SETTLE_MS);
    ck_assert_uint_eq(total_arrivals(site), before);
    ck_assert_uint_eq(gateway_active(site->gateway), 0);
    ck_assert_int_eq(ask(site, "GET", "/safe/x").status, 200);
}
END_TEST

static void
leave_while_loop_is_blocked(uv_timer_t *timer)
{
    close(*(int *)timer->data);
    usleep(BLOCKED_MS * 1000);
}

/* The loop is late: the retry is due, and the close unread. */
START_TEST(retry_of_caller_that_left_is_not_sent)
{
    site_t *site = new_ready_site(2);
    open_backend_connections(site);
    set_all_behaviours(site, DOES_RESET);
    const size_t before = total_arrivals(site);
    int fd = connect_caller(site);
    uv_timer_t timer;
    uv_timer_init(&site->loop, &timer);
    timer.data = &fd;
    send_get(fd);
    RUN_UNTIL(site, total_arrivals(site) == before + 1);
    uv_timer_start(&timer, leave_while_loop_is_blocked, retry_after_ms(true) / 2, 0);
    run_loop_ms(site, BLOCKED_MS + SETTLE_MS);
    ck_assert_uint_eq(total_arrivals(site), before + 1);
    ck_assert_uint_eq(gateway_active(site->gateway), 0);
}
END_TEST

/* Milliseconds from the caller's close until the backend server has seen the connection end. */
static uint64_t
close_delay_ms(site_t *site, int fd)
{
    const standin_backend_t *backend = site->backends[0].standin;
    const size_t ended = standin_backend_ended(backend);
    close(fd);
    uv_update_time(&site->loop);
    const uint64_t from_ms = uv_now(&site->loop);
    RUN_UNTIL(site, standin_backend_ended(backend) > ended);
    return uv_now(&site->loop) - from_ms;
}

START_TEST(run_of_caller_that_left_ends_soon)
{
    site_t *site = new_ready_site(1);
    set_all_behaviours(site, DOES_HOLD);
    const int fd = connect_caller(site);
    send_get(fd);
    RUN_UNTIL(site, total_runs(site) == 1);
    ck_assert_uint_lt(close_delay_ms(site, fd), END_MAX_MS);
}
END_TEST

START_TEST(run_of_caller_that_left_a_stopping_instance_ends_soon)
{
    site_t *site = new_ready_site(1);
    set_all_behaviours(site, DOES_HOLD);
    const int fd = connect_caller(site);
    send_get(fd);
    RUN_UNTIL(site, total_runs(site) == 1);
    gateway_stop(site->gateway);
    run_loop_ms(site, SETTLE_MS);
    ck_assert_uint_lt(close_delay_ms(site, fd), END_MAX_MS);
}
END_TEST

/* The first attempt was refused, the second is running. */
START_TEST(retried_run_of_caller_that_left_ends_soon)
{
    site_t *site = new_ready_site(2);
    scripted_t *first = first_backend(site, "/safe/x");
    set_all_behaviours(site, DOES_HOLD);
    first->behaviour = DOES_REFUSE;
    const scripted_t *second =
        first == &site->backends[0] ? &site->backends[1] : &site->backends[0];
    const size_t before = second->runs;
    const size_t ended = standin_backend_ended(second->standin);
    reply_t reply;
    wire_call_t *running = call(site, &reply,
                                "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: left-2\r\n"
                                "Affinity-Key: 1\r\nDeadline-Ms: 5000\r\n\r\n");
    RUN_UNTIL(site, second->runs > before);
    const uint64_t from_ms = uv_now(&site->loop);
    wire_call_cancel(running);
    RUN_UNTIL(site, standin_backend_ended(second->standin) > ended);
    ck_assert_uint_lt(uv_now(&site->loop) - from_ms, END_MAX_MS);
}
END_TEST

Suite *
suite_gateway_caller_left(void)
{
    Suite *suite = suite_create("gateway_caller_left");
    TCase *tc = tcase_create("caller left");
    tcase_set_timeout(tc, 60);
    tcase_add_test(tc, request_of_caller_that_left_is_not_sent);
    tcase_add_test(tc, request_of_caller_that_left_while_connecting_is_not_sent);
    tcase_add_test(tc, retry_of_caller_that_left_is_not_sent);
    tcase_add_test(tc, run_of_caller_that_left_ends_soon);
    tcase_add_test(tc, run_of_caller_that_left_a_stopping_instance_ends_soon);
    tcase_add_test(tc, retried_run_of_caller_that_left_ends_soon);
    suite_add_tcase(suite, tc);
    return suite;
}
