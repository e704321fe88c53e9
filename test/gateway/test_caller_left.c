/* Callers that close their connection before they have a response. */
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "gateway/policy/retry.h"
#include "test/gateway/site.h"
#include "test/suites.h"

enum {
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

Suite *
suite_gateway_caller_left(void)
{
    Suite *suite = suite_create("gateway_caller_left");
    TCase *tc = tcase_create("caller left");
    tcase_set_timeout(tc, 60);
    tcase_add_test(tc, request_of_caller_that_left_is_not_sent);
    tcase_add_test(tc, retry_of_caller_that_left_is_not_sent);
    suite_add_tcase(suite, tc);
    return suite;
}
