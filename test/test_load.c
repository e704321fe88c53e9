/* Tests of the load generator: the reported outcome of a request after several attempts. */
#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include "base/clock.h"
#include "base/xmalloc.h"
#include "load/request.h"
#include "test/leak.h"
#include "test/suites.h"

enum { WAIT_MAX_MS = 10000, TIMEOUT_MS = 200, TEXT_SIZE = 512 };

/* How the fake entry handles a request; the last action is repeated. */
typedef enum { DROP_RESPONSE, REFUSE_CONNECTION, RESPOND_NOT_RUN, RESPOND_RAN } action_t;

/* A fake entry that answers lookups and handles requests according to a list of actions. */
typedef struct {
    uv_loop_t loop;
    uv_tcp_t listener;
    addr_t addr;
    const action_t *actions;
    size_t action_count;
    size_t requests;
    load_t load;
} fake_entry_t;

typedef struct {
    uv_tcp_t tcp;
    uv_write_t write;
    fake_entry_t *entry;
    char answer[TEXT_SIZE];
    char input[TEXT_SIZE];
} peer_t;

static void
send_answer(peer_t *peer, int status, const char *outcome, const char *body)
{
    const int len = snprintf(peer->answer, sizeof(peer->answer),
                             "HTTP/1.1 %d -\r\nx-irisstall-outcome: %s\r\nx-request-id: 7-0\r\n"
                             "connection: close\r\ncontent-length: %zu\r\n\r\n%s",
                             status, outcome, strlen(body), body);
    uv_buf_t buf = uv_buf_init(peer->answer, (unsigned)len);
    uv_write(&peer->write, (uv_stream_t *)&peer->tcp, &buf, 1, NULL);
}

static action_t
action_at(const fake_entry_t *entry, size_t request)
{
    return entry->actions[request < entry->action_count ? request : entry->action_count - 1];
}

static void
close_if_next_is_refused(fake_entry_t *entry)
{
    if (action_at(entry, entry->requests) == REFUSE_CONNECTION &&
        !uv_is_closing((uv_handle_t *)&entry->listener))
        uv_close((uv_handle_t *)&entry->listener, NULL);
}

static void
answer(peer_t *peer)
{
    fake_entry_t *entry = peer->entry;
    if (strstr(peer->input, "/v1/lookup") != NULL) {
        char addr[ADDR_TEXT_MAX];
        char body[TEXT_SIZE / 2];
        addr_format(&entry->addr, addr);
        snprintf(body, sizeof(body), "{\"ttl_ms\":60000,\"entries\":[\"%s\"]}", addr);
        send_answer(peer, 200, "ran", body);
    } else {
        const action_t action = action_at(entry, entry->requests++);
        if (action == RESPOND_NOT_RUN)
            send_answer(peer, 503, "not_run", "");
        else if (action == RESPOND_RAN)
            send_answer(peer, 200, "ran", "");
    }
    close_if_next_is_refused(entry);
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    (void)suggested;
    peer_t *peer = handle->data;
    *buf = uv_buf_init(peer->input, sizeof(peer->input) - 1);
}

static void
on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
    (void)buf;
    peer_t *peer = stream->data;
    if (len < 0) {
        uv_close((uv_handle_t *)stream, NULL);
        return;
    }
    peer->input[len] = '\0';
    if (strstr(peer->input, "\r\n\r\n") != NULL)
        answer(peer);
}

static void
on_connection(uv_stream_t *listener, int status)
{
    ck_assert_int_eq(status, 0);
    fake_entry_t *entry = listener->data;
    peer_t *peer = xcalloc(1, sizeof(*peer));
    leak_ignore(peer);
    peer->entry = entry;
    uv_tcp_init(&entry->loop, &peer->tcp);
    peer->tcp.data = peer;
    ck_assert_int_eq(uv_accept(listener, (uv_stream_t *)&peer->tcp), 0);
    uv_read_start((uv_stream_t *)&peer->tcp, on_alloc, on_read);
}

static fake_entry_t *
start_entry(const action_t *actions, size_t action_count)
{
    fake_entry_t *entry = xcalloc(1, sizeof(*entry));
    leak_ignore(entry);
    entry->actions = actions;
    entry->action_count = action_count;
    uv_loop_init(&entry->loop);
    uv_tcp_init(&entry->loop, &entry->listener);
    entry->listener.data = entry;
    ck_assert(addr_parse(STR("127.0.0.1:0"), &entry->addr));
    ck_assert_int_eq(uv_tcp_bind(&entry->listener, &entry->addr.sa, 0), 0);
    ck_assert_int_eq(uv_listen((uv_stream_t *)&entry->listener, 8, on_connection), 0);
    int len = sizeof(entry->addr.v4);
    uv_tcp_getsockname(&entry->listener, &entry->addr.sa, &len);
    return entry;
}

/* Sends one keyed request, retried while its outcome is unknown, and returns its result. */
static load_result_t
result_of_request(fake_entry_t *entry)
{
    load_t *load = &entry->load;
    load_config_t *config = &load->config;
    load_class_t *class_ = &config->classes[0];
    name_set(&class_->name, STR("order"));
    name_set(&class_->service, STR("banco"));
    name_set(&class_->method, STR("POST"));
    strcpy(class_->path, "/orders");
    class_->timeout_ms = TIMEOUT_MS;
    class_->keys = KEYS_OWN;
    class_->repeat_unknown = true;
    config->class_count = 1;
    config->entries[0] = entry->addr;
    config->entry_count = config->clients = config->concurrency = 1;
    load->loop = &entry->loop;
    load->run_id = 7;
    load->rng.state = 1;
    load->steering = steering_new(&entry->loop, http_client_new(&entry->loop), config, &load->rng);
    report_init(&load->report, config);
    request_start(load, 0, clock_wall_us());
    const uint64_t deadline_ms = clock_steady_ms(clock_system()) + WAIT_MAX_MS;
    while (load->in_flight > 0 && clock_steady_ms(clock_system()) < deadline_ms)
        uv_run(&entry->loop, UV_RUN_NOWAIT);
    ck_assert_uint_eq(load->in_flight, 0);
    for (size_t i = 0; i < RESULT_COUNT; i++) {
        if (load->report.classes[0].results[i] > 0)
            return (load_result_t)i;
    }
    return RESULT_COUNT;
}

static const struct {
    action_t actions[2];
    load_result_t result;
} cases[] = {
    /* The first attempt may still run, whatever the outcome of the second. */
    {{DROP_RESPONSE, REFUSE_CONNECTION}, RESULT_UNKNOWN},
    /* An outcome reported by the entry covers all attempts; the checker detects false ones. */
    {{DROP_RESPONSE, RESPOND_NOT_RUN}, RESULT_NOT_RUN},
    {{DROP_RESPONSE, RESPOND_RAN}, RESULT_WHOLE},
    {{DROP_RESPONSE, DROP_RESPONSE}, RESULT_UNKNOWN},
    {{RESPOND_NOT_RUN, RESPOND_RAN}, RESULT_NOT_RUN},
};

START_TEST(lost_attempt_counts_in_result)
{
    fake_entry_t *entry = start_entry(cases[_i].actions, ALEN(cases[_i].actions));
    ck_assert_int_eq(result_of_request(entry), cases[_i].result);
}
END_TEST

START_TEST(unsent_request_is_not_run)
{
    static const action_t actions[] = {REFUSE_CONNECTION};
    fake_entry_t *entry = start_entry(actions, ALEN(actions));
    ck_assert_int_eq(result_of_request(entry), RESULT_NOT_RUN);
    ck_assert_uint_eq(entry->requests, 0);
}
END_TEST

Suite *
suite_load(void)
{
    Suite *suite = suite_create("load");
    TCase *tcase = tcase_create("outcomes");
    tcase_set_timeout(tcase, 30);
    tcase_add_loop_test(tcase, lost_attempt_counts_in_result, 0, ALEN(cases));
    tcase_add_test(tcase, unsent_request_is_not_run);
    suite_add_tcase(suite, tcase);
    return suite;
}
