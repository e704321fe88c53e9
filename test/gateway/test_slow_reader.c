/* Slow readers: what is held for callers that do not read, and for the bodies that they send, must
 * stay bounded over all connections, whatever their number. */
#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/counter.h"
#include "base/xmalloc.h"
#include "gateway/gateway_state.h"
#include "gateway/policy/slow_reader.h"
#include "test/gateway/site.h"
#include "test/suites.h"
#include "wire/server_conn.h"

enum {
    CALLERS = 150,
    SMALL_BUFFER = 4096,
    RESPONSE_LEN = 100000, /* of a backend server that DOES_LARGE */
    SETTLE_MS = 100,
    GIVE_UP_MS = 1000,
    SWEEP_MS = 400, /* longer than the listener's sweep interval */
    BODY_LEN = 3 << 20,
};

/* A caller with its own non-blocking socket, not on the loop. */
typedef struct {
    int fd;
    size_t received;
    bool closed;
    char text[512]; /* start of the received bytes */
} reader_t;

/* Guards against a sum that grows with the number of responses. */
START_TEST(allowances_of_many_responses_stay_within_the_total)
{
    enum { RESPONSES_MAX = 3000, ROUNDS = 64 };
    ck_assert_uint_eq(slow_reader_allowance(0), SLOW_READER_MAX);
    ck_assert_uint_eq(slow_reader_allowance(SIZE_MAX), SLOW_READER_MIN);
    for (size_t responses = 1; responses <= RESPONSES_MAX; responses *= 2) {
        size_t held[RESPONSES_MAX] = {0};
        size_t total = 0;
        for (size_t i = 0; i < ROUNDS * responses; i++) {
            size_t *own = &held[i % responses];
            const size_t allowance = slow_reader_allowance(total);
            if (*own >= allowance)
                continue;
            total += allowance - *own;
            *own = allowance;
        }
        ck_assert_uint_le(total, SLOW_READER_TOTAL_MAX + responses * SLOW_READER_MIN);
    }
}
END_TEST

/* Makes the kernel hold little for the callers, so that the instance has to. */
static void
shrink_send_buffers(const site_t *site)
{
    int size = SMALL_BUFFER;
    uv_send_buffer_size((uv_handle_t *)&site->gateway->listeners.callers->tcp, &size);
}

static reader_t
connect_reader(const site_t *site)
{
    reader_t reader = {.fd = socket(AF_INET, SOCK_STREAM, 0)};
    const int size = SMALL_BUFFER;
    const addr_t *addr = &gateway_settings(site->gateway)->callers;
    setsockopt(reader.fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    ck_assert_int_eq(connect(reader.fd, &addr->sa, addr_len(addr)), 0);
    ck_assert_int_eq(fcntl(reader.fd, F_SETFL, O_NONBLOCK), 0);
    return reader;
}

static void
send_text(const reader_t *reader, const char *text)
{
    ck_assert_int_eq(send(reader->fd, text, strlen(text), MSG_NOSIGNAL), (ssize_t)strlen(text));
}

static void
send_request(const reader_t *reader, unsigned number)
{
    char *text = xasprintf("GET /safe/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: slow-%u\r\n"
                           "Affinity-Key: %u\r\nDeadline-Ms: 30000\r\n\r\n",
                           number, number % OBJECTS);
    send_text(reader, text);
    free(text);
}

/* Lets the caller read at full speed from now on. */
static void
widen_receive_buffer(const reader_t *reader)
{
    const int size = RESPONSE_LEN;
    setsockopt(reader->fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
}

static void
receive(reader_t *reader)
{
    char part[4096];
    ssize_t n;
    while ((n = recv(reader->fd, part, sizeof(part), 0)) > 0) {
        if (reader->received + (size_t)n < sizeof(reader->text))
            memcpy(reader->text + reader->received, part, (size_t)n);
        reader->received += (size_t)n;
    }
    reader->closed |= n == 0 || errno != EAGAIN;
}

/* Number of callers that have got their whole responses. */
static size_t
count_served(reader_t *readers, size_t count)
{
    size_t served = 0;
    for (size_t i = 0; i < count; i++) {
        receive(&readers[i]);
        served += readers[i].received > RESPONSE_LEN;
    }
    return served;
}

/* Number of callers that were refused because all slots are taken. */
static size_t
count_refused(const reader_t *readers)
{
    size_t refused = 0;
    for (size_t i = 0; i < CALLERS; i++)
        refused += strncmp(readers[i].text, "HTTP/1.1 503", 12) == 0;
    return refused;
}

static wire_listener_t *
callers_of(const site_t *site)
{
    return site->gateway->listeners.callers;
}

/* Guards against memory that grows with the number of slow callers, and against responses cut for
 * them: 150 hold back 15 MB, of which the instance keeps at most its bound; then all read on. */
START_TEST(many_slow_callers_are_held_within_the_bound_and_served)
{
    static reader_t readers[CALLERS];
    site_t *site = new_ready_site(4);
    set_all_behaviours(site, DOES_LARGE);
    shrink_send_buffers(site);
    for (unsigned i = 0; i < CALLERS; i++) {
        readers[i] = connect_reader(site);
        send_request(&readers[i], i);
        run_loop_ms(site, 1);
    }
    run_loop_ms(site, SETTLE_MS);
    const size_t held = wire_listener_held(callers_of(site));
    ck_assert_uint_gt(held, SLOW_READER_TOTAL_MAX / 4);
    ck_assert_uint_le(held, SLOW_READER_TOTAL_MAX + CALLERS * SLOW_READER_MIN);
    for (unsigned i = 0; i < CALLERS; i++)
        widen_receive_buffer(&readers[i]);
    RUN_UNTIL(site, count_served(readers, CALLERS) + count_refused(readers) == CALLERS);
    ck_assert_uint_gt(count_served(readers, CALLERS), CALLERS / 2);
    ck_assert_uint_eq(wire_listener_held(callers_of(site)), 0);
    for (unsigned i = 0; i < CALLERS; i++)
        close(readers[i].fd);
}
END_TEST

/* Guards against slots and memory that a caller keeps by not reading, and against holding what it
 * does against the backend server. */
START_TEST(response_that_nobody_reads_is_given_up)
{
    site_t *site = new_ready_site(1);
    const int64_t before =
        counter_value(counter_get("irisstall_responses_given_up_total", NULL, ""));
    set_all_behaviours(site, DOES_LARGE);
    shrink_send_buffers(site);
    callers_of(site)->limits.stall_timeout_ms = GIVE_UP_MS;
    reader_t silent = connect_reader(site);
    reader_t slow = connect_reader(site);
    send_request(&silent, 1);
    send_request(&slow, 2);
    for (unsigned i = 0; i < 5; i++) {
        run_loop_ms(site, GIVE_UP_MS / 4);
        char part[SMALL_BUFFER];
        const ssize_t n = recv(slow.fd, part, sizeof(part), 0);
        slow.received += n > 0 ? (size_t)n : 0;
    }
    run_loop_ms(site, 2 * SWEEP_MS);
    ck_assert_int_eq(counter_value(counter_get("irisstall_responses_given_up_total", NULL, "")),
                     before + 1);
    RUN_UNTIL(site, count_served(&slow, 1) == 1);
    receive(&silent);
    ck_assert(silent.closed);
    ck_assert_uint_eq(gateway_active(site->gateway), 0);
    ck_assert(!gateway_avoids(site->gateway, str_from(site->backends[0].id)));
    close(silent.fd);
    close(slow.fd);
}
END_TEST

static void
begin_upload(reader_t *reader, size_t len)
{
    char *text = xasprintf("POST /once/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: upload\r\n"
                           "Deadline-Ms: 30000\r\nContent-Length: %zu\r\n\r\nx",
                           len);
    send_text(reader, text);
    free(text);
}

/* Sends all of the body but its last byte. */
static void
upload(site_t *site, reader_t *reader, size_t len)
{
    char *part = xcalloc(1, len);
    begin_upload(reader, len);
    for (size_t sent = 2; sent < len;) {
        const ssize_t n = send(reader->fd, part, len - sent, MSG_NOSIGNAL);
        sent += n > 0 ? (size_t)n : 0;
        uv_run(&site->loop, UV_RUN_NOWAIT);
    }
    run_loop_ms(site, 20);
    free(part);
}

/* Guards against uploads that together take more memory than there is: those that do not fit are
 * refused before they are read, and room comes back when an upload ends. Small ones go on. */
START_TEST(uploads_beyond_the_bound_are_refused_unread)
{
    enum { FIT = SLOW_READER_BODIES_MAX / BODY_LEN };
    site_t *site = new_ready_site(1);
    reader_t readers[FIT];
    callers_of(site)->limits.max_body = 2 * BODY_LEN;
    callers_of(site)->limits.head_timeout_ms = PATIENCE_MS;
    for (unsigned i = 0; i < FIT; i++) {
        readers[i] = connect_reader(site);
        upload(site, &readers[i], BODY_LEN);
    }
    ck_assert_uint_le(wire_listener_bodies(callers_of(site)), SLOW_READER_BODIES_MAX);
    reader_t refused = connect_reader(site);
    begin_upload(&refused, BODY_LEN);
    run_loop_ms(site, 20);
    receive(&refused);
    ck_assert_ptr_nonnull(strstr(refused.text, "HTTP/1.1 503"));
    ck_assert_ptr_nonnull(strstr(refused.text, "Retry-After: "));
    ck_assert_int_eq(ask(site, "POST", "/once/x").status, 200);
    close(readers[0].fd);
    run_loop_ms(site, 20);
    reader_t taken = connect_reader(site);
    upload(site, &taken, BODY_LEN);
    receive(&taken);
    ck_assert_uint_eq(taken.received, 0);
    ck_assert_uint_eq(total_runs(site), 1);
    close(refused.fd);
    close(taken.fd);
    for (unsigned i = 1; i < FIT; i++)
        close(readers[i].fd);
    RUN_UNTIL(site, wire_listener_bodies(callers_of(site)) == 0);
}
END_TEST

/* Guards against a bound over all that forbids a single body which the configuration allows, and
 * against a body that is only announced and keeps others out. */
START_TEST(single_large_upload_is_taken)
{
    site_t *site = new_ready_site(1);
    callers_of(site)->limits.max_body = 2 * SLOW_READER_BODIES_MAX;
    callers_of(site)->limits.head_timeout_ms = PATIENCE_MS;
    reader_t announced = connect_reader(site);
    begin_upload(&announced, 2 * SLOW_READER_BODIES_MAX);
    reader_t reader = connect_reader(site);
    upload(site, &reader, SLOW_READER_BODIES_MAX + 1);
    receive(&reader);
    ck_assert_uint_eq(reader.received, 0);
    ck_assert(!reader.closed);
    close(announced.fd);
    close(reader.fd);
}
END_TEST

/* Guards against memory of a caller that sends one request after the other and reads nothing. */
START_TEST(caller_that_only_sends_is_held_to_its_backlog)
{
    enum { REQUESTS = 60, EACH_MS = 5 };
    site_t *site = new_ready_site(1);
    set_all_behaviours(site, DOES_LARGE);
    shrink_send_buffers(site);
    reader_t reader = connect_reader(site);
    for (unsigned i = 0; i < REQUESTS; i++) {
        send_request(&reader, i);
        run_loop_ms(site, EACH_MS);
    }
    ck_assert_uint_le(wire_listener_held(callers_of(site)), 2 * RESPONSE_LEN);
    ck_assert_uint_le(total_runs(site), 3);
    RUN_UNTIL(site, count_served(&reader, 1) == 1 && reader.received > 2 * RESPONSE_LEN);
    close(reader.fd);
}
END_TEST

/* Guards against slots of backend servers that callers keep by not reading, and against holding
 * what these do against the backend servers. */
START_TEST(silent_callers_free_their_slots_and_blame_nobody)
{
    enum { CALLS = 120 };
    static reader_t readers[CALLS];
    site_t *site = new_ready_site(4);
    set_all_behaviours(site, DOES_LARGE);
    shrink_send_buffers(site);
    callers_of(site)->limits.stall_timeout_ms = GIVE_UP_MS;
    for (unsigned i = 0; i < CALLS; i++) {
        readers[i] = connect_reader(site);
        send_request(&readers[i], i);
        run_loop_ms(site, 1);
    }
    ck_assert_uint_gt(gateway_active(site->gateway), 0);
    RUN_UNTIL(site, gateway_active(site->gateway) == 0);
    for (size_t i = 0; i < 4; i++) {
        const backend_t *backend = gateway_backend(site->gateway, str_from(site->backends[i].id));
        ck_assert_double_lt(backend->health.failure_rate, 0.01);
        ck_assert_double_lt(backend->service_time_ms, GIVE_UP_MS / 2.0);
    }
    for (unsigned i = 0; i < CALLS; i++)
        close(readers[i].fd);
}
END_TEST

Suite *
suite_gateway_slow_reader(void)
{
    Suite *suite = suite_create("gateway: slow readers");
    TCase *tests = tcase_create("slow readers");
    tcase_set_timeout(tests, 60);
    tcase_add_test(tests, allowances_of_many_responses_stay_within_the_total);
    tcase_add_test(tests, many_slow_callers_are_held_within_the_bound_and_served);
    tcase_add_test(tests, response_that_nobody_reads_is_given_up);
    tcase_add_test(tests, uploads_beyond_the_bound_are_refused_unread);
    tcase_add_test(tests, single_large_upload_is_taken);
    tcase_add_test(tests, caller_that_only_sends_is_held_to_its_backlog);
    tcase_add_test(tests, silent_callers_free_their_slots_and_blame_nobody);
    suite_add_tcase(suite, tests);
    return suite;
}
