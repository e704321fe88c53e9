#include "standin/soak/poison.h"
#include "standin/soak/accounts.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/addr.h"
#include "base/xmalloc.h"
#include "standin/soak/answer.h"

enum {
    CASES_MAX = 256,
    EVERY_MIN_MS = 200, /* between two tries of a request */
    EVERY_SPAN_MS = 300,
    PATIENCE_MS = 4000, /* of its caller */
    ENDS_FREE = 3,      /* backend servers that it may end before it must be known */
    LATE_FREE = 3,      /* tries that may reach one after that */
    /* From the third end until instances in touch must know: as long as they count as cut off. */
    KNOWN_AFTER_MS = 4000,
    READ_SIZE = 4096,
    CALLERS_FROM = 201, /* the first of the addresses of a caller that changes its own */
    CALLERS = 40,
};

typedef struct {
    uint64_t until_ms;
    uint64_t due_ms;   /* of the next try */
    uint64_t third_ms; /* when the third backend server ended; 0: not yet */
    unsigned tries;
    unsigned ends;
    unsigned late;
} case_t;

struct poison {
    poison_conf_t conf;
    rng_t rng;
    uint64_t now_ms;
    case_t cases[CASES_MAX];
    uint32_t count;
};

typedef struct {
    uv_tcp_t tcp;
    uv_connect_t connect;
    uv_write_t write;
    uv_timer_t patience;
    int open_handles;
    bool closing;
    poison_t *poison;
    uint64_t number;
    char *bytes;
    answer_t answer;
} try_t;

poison_t *
poison_new(const poison_conf_t *conf)
{
    poison_t *poison = xcalloc(1, sizeof(*poison));
    poison->conf = *conf;
    poison->rng = (rng_t){conf->seed};
    return poison;
}

void
poison_trouble(poison_t *poison, const trouble_t *trouble, uint64_t now_ms)
{
    if (poison->count == CASES_MAX)
        return;
    poison->cases[poison->count++] =
        (case_t){.until_ms = now_ms + trouble->length_ms, .due_ms = now_ms};
}

/* ---- one try ---- */

static void
on_closed(uv_handle_t *handle)
{
    try_t *try = handle->data;
    if (--try->open_handles > 0)
        return;
    free(try->bytes);
    free(try);
}

static void
leave(try_t *try)
{
    if (try->closing)
        return;
    try->closing = true;
    uv_close((uv_handle_t *)&try->tcp, on_closed);
    uv_close((uv_handle_t *)&try->patience, on_closed);
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    static char bytes[READ_SIZE]; /* one read at a time on the loop */
    (void)handle;
    (void)suggested;
    *buf = uv_buf_init(bytes, sizeof(bytes));
}

/* What the answer promises is kept with the request: servers.c judges whether it runs later. */
static void
on_answered(const try_t *try)
{
    char id[32];
    snprintf(id, sizeof(id), "%" PRIu64, try->number);
    soak_request_t *request = requests_find(try->poison->conf.requests, str_from(id));
    const int status = answer_status(&try->answer);
    if (request == NULL || status != HTTP_STATUS_SERVICE_UNAVAILABLE)
        return;
    judge_examine(try->poison->conf.judge, RULE_REFUSED);
    request->refused = status;
    request->refused_ms = try->poison->now_ms;
    if (request->runs > 0)
        judge_break(try->poison->conf.judge, RULE_REFUSED,
                    "%" PRIu64 " was refused with %d after it had begun to run", request->number,
                    status);
}

static void
on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
    try_t *try = stream->data;
    if (n == 0)
        return;
    if (n > 0)
        answer_feed(&try->answer, buf->base, (size_t)n);
    if (n > 0 && !try->answer.whole)
        return;
    if (try->answer.whole)
        on_answered(try);
    leave(try);
}

static void
on_written(uv_write_t *write, int status)
{
    if (status != 0)
        leave(write->data);
}

static void
on_connected(uv_connect_t *connect, int status)
{
    try_t *try = connect->data;
    if (try->closing)
        return;
    if (status != 0) {
        leave(try);
        return;
    }
    uv_buf_t buf = uv_buf_init(try->bytes, (unsigned)strlen(try->bytes));
    uv_read_start((uv_stream_t *)&try->tcp, on_alloc, on_read);
    if (uv_write(&try->write, (uv_stream_t *)&try->tcp, &buf, 1, on_written) != 0)
        leave(try);
}

static void
on_patience(uv_timer_t *timer)
{
    leave(timer->data);
}

/* The same path and body each time; every other try has its body in chunks. */
static char *
write_request(const soak_request_t *request, bool chunked)
{
    return xasprintf("POST /first/0/poison-%" PRIu32 " HTTP/1.1\r\nHost: soak.example\r\n"
                     "Attempt-Id: %" PRIu64 "\r\nDeadline-Ms: %d\r\nCredential: %s\r\n%s",
                     request->poison, request->number, PATIENCE_MS, SOAK_KEY_STEADY,
                     chunked ? "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n"
                             : "Content-Length: 5\r\n\r\nabcde");
}

/* Every other request comes from another address each time. */
static void
set_address(poison_t *poison, uint32_t index, uv_tcp_t *tcp)
{
    char text[ADDR_TEXT_MAX];
    addr_t addr;
    if (index % 2 == 0)
        return;
    snprintf(text, sizeof(text), "%s%u:0", poison->conf.net,
             CALLERS_FROM + (unsigned)rng_below(&poison->rng, CALLERS));
    xassert(addr_parse(str_from(text), &addr));
    uv_tcp_bind(tcp, &addr.sa, 0);
}

static void
send_try(poison_t *poison, uint32_t index)
{
    const poison_conf_t *conf = &poison->conf;
    const uint32_t instance = (uint32_t)rng_below(&poison->rng, conf->instances);
    char text[ADDR_TEXT_MAX];
    addr_t addr;
    snprintf(text, sizeof(text), "%s%" PRIu32 ":%u", conf->net, instance + 1, conf->port);
    xassert(addr_parse(str_from(text), &addr));
    soak_request_t *request = requests_add(conf->requests, REQUEST_POISON, instance);
    request->sent_ms = poison->now_ms;
    request->poison = index;
    try_t *try = xcalloc(1, sizeof(*try));
    try->poison = poison;
    try->number = request->number;
    try->bytes = write_request(request, poison->cases[index].tries++ % 2 == 0);
    try->open_handles = 2;
    answer_expect(&try->answer, request->number);
    uv_tcp_init(conf->loop, &try->tcp);
    uv_timer_init(conf->loop, &try->patience);
    set_address(poison, index, &try->tcp);
    try->tcp.data = try;
    try->patience.data = try;
    try->connect.data = try;
    try->write.data = try;
    uv_timer_start(&try->patience, on_patience, PATIENCE_MS, 0);
    if (uv_tcp_connect(&try->connect, &try->tcp, &addr.sa, on_connected) != 0)
        leave(try);
}

void
poison_tick(poison_t *poison, uint64_t now_ms)
{
    poison->now_ms = now_ms;
    for (uint32_t i = 0; i < poison->count; i++) {
        case_t *item = &poison->cases[i];
        if (now_ms < item->due_ms || now_ms >= item->until_ms)
            continue;
        item->due_ms = now_ms + EVERY_MIN_MS + rng_below(&poison->rng, EVERY_SPAN_MS);
        send_try(poison, i);
    }
}

/* ---- what backend servers see ---- */

void
poison_arrived(poison_t *poison, const soak_request_t *request)
{
    case_t *item = &poison->cases[request->poison];
    const uint64_t known_ms = item->third_ms + (uint64_t)(KNOWN_AFTER_MS * poison->conf.slack);
    judge_examine(poison->conf.judge, RULE_POISON);
    if (item->third_ms == 0 || request->sent_ms <= known_ms ||
        !fleet_in_touch(poison->conf.fleet, request->instance, poison->now_ms))
        return;
    if (++item->late > LATE_FREE)
        judge_break(poison->conf.judge, RULE_POISON,
                    "poison-%" PRIu32 " comes from gateway-%" PRIu32 " the %uth time, %" PRIu64
                    " ms after the third end; %u ended",
                    request->poison, request->instance + 1, item->late,
                    poison->now_ms - item->third_ms, item->ends);
}

void
poison_ended(poison_t *poison, const soak_request_t *request)
{
    case_t *item = &poison->cases[request->poison];
    if (++item->ends == ENDS_FREE)
        item->third_ms = poison->now_ms;
}

void
poison_print(const poison_t *poison, FILE *out)
{
    for (uint32_t i = 0; i < poison->count; i++) {
        const case_t *item = &poison->cases[i];
        fprintf(out, "poison-%" PRIu32 ": tries %u, ended %u, late %u\n", i, item->tries,
                item->ends, item->late);
    }
}
