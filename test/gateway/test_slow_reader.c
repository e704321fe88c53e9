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
    GIVE_UP_MS = 600,
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
    for (unsigned i = 0; i < 4; i++) {
        run_loop_ms(site, GIVE_UP_MS / 2);
        char part[SMALL_BUFFER];
        slow.received += (size_t)recv(slow.fd, part, sizeof(part), 0);
    }
    run_loop_ms(site, SWEEP_MS);
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

/* Guards against uploads that together take more memory than there is: those that do not fit are
 * refused before they are read, and room comes back when an upload ends. */
START_TEST(uploads_beyond_the_bound_are_refused_unread)
{
    enum { UPLOADS = 3, FIT = SLOW_READER_BODIES_MAX / BODY_LEN };
    site_t *site = new_ready_site(1);
    reader_t readers[UPLOADS + 1];
    callers_of(site)->limits.max_body = 2 * BODY_LEN;
    for (unsigned i = 0; i < UPLOADS; i++) {
        readers[i] = connect_reader(site);
        begin_upload(&readers[i], BODY_LEN);
        run_loop_ms(site, 20);
    }
    receive(&readers[FIT]);
    ck_assert_ptr_nonnull(strstr(readers[FIT].text, "HTTP/1.1 503"));
    ck_assert_ptr_nonnull(strstr(readers[FIT].text, "Retry-After: "));
    ck_assert_uint_le(wire_listener_bodies(callers_of(site)), SLOW_READER_BODIES_MAX);
    close(readers[0].fd);
    run_loop_ms(site, 20);
    readers[UPLOADS] = connect_reader(site);
    begin_upload(&readers[UPLOADS], BODY_LEN);
    run_loop_ms(site, 20);
    receive(&readers[UPLOADS]);
    ck_assert_uint_eq(readers[UPLOADS].received, 0);
    ck_assert_uint_eq(total_runs(site), 0);
    for (unsigned i = 1; i <= UPLOADS; i++)
        close(readers[i].fd);
    RUN_UNTIL(site, wire_listener_bodies(callers_of(site)) == 0);
}
END_TEST

/* Guards against a bound over all that forbids a single body which the configuration allows. */
START_TEST(single_large_upload_is_taken)
{
    site_t *site = new_ready_site(1);
    callers_of(site)->limits.max_body = 2 * SLOW_READER_BODIES_MAX;
    reader_t reader = connect_reader(site);
    begin_upload(&reader, SLOW_READER_BODIES_MAX + 1);
    run_loop_ms(site, 20);
    receive(&reader);
    ck_assert_uint_eq(reader.received, 0);
    ck_assert(!reader.closed);
    close(reader.fd);
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
    suite_add_tcase(suite, tests);
    return suite;
}
