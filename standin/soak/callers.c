#include <inttypes.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "standin/soak/asks.h"
#include "standin/soak/callers.h"
#include "standin/soak/outcomes.h"

enum {
    READ_SIZE = 65536,
    EARLY_MAX = 512,    /* bytes kept that arrive while no request is waiting */
    PATIENCE_MS = 9000, /* of a caller: above the longest pause with the deadline */
    CONNECT_AGAIN_MS = 200,
    NEWS_LATE_MS = 1000, /* callers learn so late of a new limit on idle connections */
    LINK_MS = 500,       /* and up to so late of a close, as over a long and narrow link */
    /* A quiet caller uses its connection again so long after its instance was asked to stop, at the
     * earliest, and by the span later: about when the directory's answers from before run out. */
    LATE_USE_MS = 1700,
    LATE_USE_SPAN_MS = 1000,
    /* After a close a caller waits so long for a reset, which tells that its request was unread. */
    RESET_WAIT_MS = 400,
    DIRECTORY_MS = 1000, /* so long callers still connect to an instance that is asked to stop */
    REST_SHORT_MS = 300, /* most rests are up to this, the others up to the limit */
    REST_LONG_EVERY = 4,
    QUIET_EVERY = 3,   /* one caller of so many has long rests only */
    LEAVES_EVERY = 12, /* one request of so many is left by its caller, */
    LEAVES_MS = 300,   /* up to so long after it was sent */
    NEW_EVERY = 4,     /* one caller of so many opens a connection for each request */
    STATUS_MAX = 600,
    /* From the start of a cut from all backend servers until its callers must be served; then they
     * must be served two thirds as often as others, but for so many that fail. */
    CUT_KNOWN_MS = 3000,
    CUT_FAILED_MAX = 10,
    CUT_FAILED_PART = 50,
};

typedef struct caller caller_t;

typedef struct {
    uv_tcp_t tcp;
    uv_connect_t connect;
    caller_t *caller; /* NULL once the caller has left it */
    life_t *life;
    uint64_t answers;
    bool late;         /* its next use is put off into the planned stop */
    bool gone;         /* the process, when the connection ended */
    uint64_t rest_ms;  /* for which the instance said that it may rest */
    uint64_t ended_ms; /* when the other side ended it; 0 if not */
    char early[EARLY_MAX];
    size_t early_len;
    answer_t answer;
} link_t;

typedef enum { CALLER_ABSENT, CALLER_CONNECTS, CALLER_RESTS, CALLER_WAITS } caller_state_t;

struct caller {
    callers_t *callers;
    uint32_t instance;
    bool keeps; /* its connection */
    bool quiet; /* long rests only */
    uint64_t link_ms;
    caller_state_t state;
    link_t *link;
    uint64_t since_ms;  /* of the state */
    uint64_t due_ms;    /* of the next connection or request */
    uint64_t leaves_ms; /* when it leaves its request; 0: it does not */
    soak_request_t *request;
    bool crossed; /* the request: the connection had been closed when it was sent */
    uint64_t marker;
};

/* First attempts, and those of them that were served. */
typedef struct {
    uint64_t sent;
    uint64_t served;
} served_t;

struct callers {
    callers_conf_t conf;
    outcomes_conf_t outcomes;
    asks_t asks;
    caller_t *items;
    size_t count;
    rng_t rng;
    uint64_t now_ms;
    served_t at_cut;               /* requests at instances cut from all backend servers */
    served_t elsewhere;            /* requests at instances that are not */
    uint64_t statuses[STATUS_MAX]; /* 0: closed; 1: given up; 2: not sent */
};

typedef struct {
    uv_write_t req;
    char *bytes;
} write_t;

static char read_buffer[READ_SIZE]; /* one read at a time on the loop */

static void
set_state(caller_t *caller, caller_state_t state)
{
    caller->state = state;
    caller->since_ms = caller->callers->now_ms;
}

/* ---- connections ---- */

static void
on_link_closed(uv_handle_t *handle)
{
    free(handle->data);
}

static void
leave(caller_t *caller, uint64_t again_ms)
{
    caller->link->caller = NULL;
    uv_close((uv_handle_t *)&caller->link->tcp, on_link_closed);
    caller->link = NULL;
    caller->request = NULL;
    set_state(caller, CALLER_ABSENT);
    caller->due_ms = caller->callers->now_ms + again_ms;
}

static void
rest(caller_t *caller)
{
    callers_t *callers = caller->callers;
    const uint64_t known_ms = callers->now_ms > NEWS_LATE_MS ? callers->now_ms - NEWS_LATE_MS : 0;
    const uint64_t limit_ms = operator_idle_ms(callers->conf.ops, known_ms) * 4 / 5;
    const bool is_long = caller->quiet || rng_below(&callers->rng, REST_LONG_EVERY) == 0;
    set_state(caller, CALLER_RESTS);
    caller->due_ms =
        callers->now_ms + 1 + rng_below(&callers->rng, is_long ? limit_ms : REST_SHORT_MS);
}

/* True if the other side has reset the connection, before its end or after. */
static bool
is_reset(const link_t *link)
{
    uv_os_fd_t fd;
    struct tcp_info info = {0};
    socklen_t len = sizeof(info);
    return uv_fileno((const uv_handle_t *)&link->tcp, &fd) != 0 ||
           getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len) != 0 || info.tcpi_state == TCP_CLOSE;
}

static outcome_t
outcome_of(const caller_t *caller)
{
    return (outcome_t){
        .request = caller->request,
        .life = caller->link->life,
        .answer = &caller->link->answer,
        .marker = caller->marker,
        .deadline_ms = ASK_DEADLINE_MS,
        .answers_before = caller->link->answers,
        .crossed = caller->crossed,
        .reset = is_reset(caller->link),
        .gone = caller->link->gone,
        .closed_ms =
            caller->link->ended_ms > caller->since_ms ? caller->link->ended_ms : caller->since_ms,
        .now_ms = caller->callers->now_ms,
    };
}

/* Counts an ended request for callers_judge_cuts(). A key that is refused tells nothing. */
static void
count_served(callers_t *callers, const soak_request_t *request, int status)
{
    const bool tells = request->kind != REQUEST_PROBE && status != HTTP_STATUS_UNAUTHORIZED &&
                       status != HTTP_STATUS_TOO_MANY_REQUESTS;
    if (!request->touched || !tells)
        return;
    const uint64_t cut_ms = fleet_cut_ms(callers->conf.fleet, request->instance, request->sent_ms);
    served_t *tally = request->cut ? &callers->at_cut : &callers->elsewhere;
    if (!request->cut && cut_ms > 0)
        return; /* not yet due to be served */
    tally->sent++;
    tally->served += status == HTTP_STATUS_OK;
}

void
callers_judge_cuts(const callers_t *callers)
{
    const served_t *cut = &callers->at_cut;
    const served_t *others = &callers->elsewhere;
    const uint64_t failed = cut->sent - cut->served;
    if (cut->sent == 0)
        return;
    judge_examine(callers->conf.judge, RULE_CUT);
    if (failed > CUT_FAILED_MAX + cut->sent / CUT_FAILED_PART &&
        3 * cut->served * others->sent < 2 * others->served * cut->sent)
        judge_break(callers->conf.judge, RULE_CUT,
                    "cut instances served %" PRIu64 " of %" PRIu64 " requests, others %" PRIu64
                    " of %" PRIu64,
                    cut->served, cut->sent, others->served, others->sent);
}

static void
on_answered(caller_t *caller)
{
    callers_t *callers = caller->callers;
    link_t *link = caller->link;
    const outcome_t outcome = outcome_of(caller);
    callers->statuses[answer_status(&link->answer) % STATUS_MAX]++;
    outcome_answered(&callers->outcomes, &outcome);
    count_served(callers, caller->request, answer_status(&link->answer));
    link->answers++;
    link->rest_ms = answer_rest_ms(&link->answer);
    caller->request = NULL;
    if (link->answer.keep && caller->keeps && link->ended_ms == 0)
        rest(caller);
    else
        leave(caller, 1 + rng_below(&callers->rng, REST_SHORT_MS));
}

static void
on_closed(caller_t *caller, const char *how)
{
    const outcome_t outcome = outcome_of(caller);
    caller->callers->statuses[0]++;
    outcome_closed(&caller->callers->outcomes, &outcome, how);
    count_served(caller->callers, caller->request, 0);
    leave(caller, CONNECT_AGAIN_MS);
}

static void
keep_early(link_t *link, const char *ptr, size_t len)
{
    const size_t room = sizeof(link->early) - link->early_len;
    const size_t part = len < room ? len : room;
    memcpy(link->early + link->early_len, ptr, part);
    link->early_len += part;
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
    (void)handle;
    (void)suggested;
    *buf = uv_buf_init(read_buffer, sizeof(read_buffer));
}

/* The connection has ended while a request waits: its answer is whole now, or never will be. A
 * caller that got nothing waits for a reset first, see tick_waiting(). */
static void
end_waiting(caller_t *caller)
{
    link_t *link = caller->link;
    const bool reset = is_reset(link);
    if (!reset)
        answer_end(&link->answer);
    if (link->answer.whole)
        on_answered(caller);
    else if (reset || link->answer.begun)
        on_closed(caller, reset ? "reset" : "closed");
}

static void
on_ended(caller_t *caller)
{
    link_t *link = caller->link;
    link->ended_ms = caller->callers->now_ms;
    link->gone = fleet_is_gone(link->life);
    if (caller->state == CALLER_WAITS)
        end_waiting(caller); /* else the caller learns of it later */
}

static void
on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
    link_t *link = stream->data;
    caller_t *caller = link->caller;
    if (caller == NULL || n == 0)
        return;
    if (n < 0) {
        uv_read_stop(stream);
        on_ended(caller);
        return;
    }
    if (caller->state != CALLER_WAITS) {
        keep_early(link, buf->base, (size_t)n);
        return;
    }
    answer_feed(&link->answer, buf->base, (size_t)n);
    if (link->answer.whole)
        on_answered(caller);
    else if (link->answer.garbage)
        on_closed(caller, "left");
}

static void
on_connected(uv_connect_t *connect, int status)
{
    link_t *link = connect->data;
    caller_t *caller = link->caller;
    if (caller == NULL)
        return;
    if (status != 0) {
        leave(caller, CONNECT_AGAIN_MS);
        return;
    }
    uv_tcp_nodelay(&link->tcp, 1);
    uv_read_start((uv_stream_t *)&link->tcp, on_alloc, on_read);
    set_state(caller, CALLER_RESTS);
    caller->due_ms = caller->callers->now_ms;
}

static void
connect_to(caller_t *caller, life_t *life)
{
    callers_t *callers = caller->callers;
    char text[ADDR_TEXT_MAX];
    addr_t addr;
    snprintf(text, sizeof(text), "%s%" PRIu32 ":%u", callers->conf.net, caller->instance + 1,
             callers->conf.port);
    xassert(addr_parse(str_from(text), &addr));
    link_t *link = xcalloc(1, sizeof(*link));
    link->caller = caller;
    link->life = life;
    link->rest_ms = UINT64_MAX;
    uv_tcp_init(callers->conf.loop, &link->tcp);
    link->tcp.data = link;
    link->connect.data = link;
    caller->link = link;
    set_state(caller, CALLER_CONNECTS);
    if (uv_tcp_connect(&link->connect, &link->tcp, &addr.sa, on_connected) != 0)
        leave(caller, CONNECT_AGAIN_MS);
}

/* ---- requests ---- */

static void
on_written(uv_write_t *req, int status)
{
    write_t *write = (write_t *)req;
    link_t *link = req->data;
    free(write->bytes);
    free(write);
    caller_t *caller = link->caller;
    if (status == 0 || caller == NULL || caller->state != CALLER_WAITS)
        return;
    caller->callers->statuses[2]++; /* the request did not get out whole: nothing to judge */
    leave(caller, CONNECT_AGAIN_MS);
}

/* Bytes that came before the request answer it, as far as the caller can tell. */
static void
take_early(caller_t *caller)
{
    link_t *link = caller->link;
    if (link->early_len > 0)
        answer_feed(&link->answer, link->early, link->early_len);
    link->early_len = 0;
    if (link->answer.whole)
        on_answered(caller);
    else if (link->answer.begun && link->ended_ms > 0)
        on_closed(caller, "closed");
}

static void
send_request(caller_t *caller)
{
    callers_t *callers = caller->callers;
    const ask_t ask = ask_draw(&callers->asks, caller->instance, callers->now_ms);
    write_t *write = xmalloc(sizeof(*write));
    write->bytes = ask.bytes;
    write->req.data = caller->link;
    caller->request = ask.request;
    caller->marker = ask.marker;
    caller->crossed = caller->link->ended_ms > 0;
    caller->request->touched =
        fleet_in_touch(callers->conf.fleet, caller->instance, callers->now_ms);
    caller->request->cut = fleet_cut_ms(callers->conf.fleet, caller->instance, callers->now_ms) >=
                               (uint64_t)(CUT_KNOWN_MS * callers->conf.slack) &&
                           fleet_reaches_servers(callers->conf.fleet, callers->now_ms);
    uv_buf_t buf = uv_buf_init(ask.bytes, (unsigned)ask.len);
    answer_expect(&caller->link->answer, caller->request->number);
    set_state(caller, CALLER_WAITS);
    caller->leaves_ms = rng_below(&callers->rng, LEAVES_EVERY) == 0
                            ? callers->now_ms + 1 + rng_below(&callers->rng, LEAVES_MS)
                            : 0;
    if (uv_write(&write->req, (uv_stream_t *)&caller->link->tcp, &buf, 1, on_written) != 0) {
        free(write->bytes);
        free(write);
        callers->statuses[2]++;
        leave(caller, CONNECT_AGAIN_MS);
        return;
    }
    take_early(caller);
}

/* ---- regular work ---- */

static void
judge_early(const caller_t *caller)
{
    static const char *const allowed[] = {"HTTP/1.1 408", "HTTP/1.1 503"};
    const link_t *link = caller->link;
    for (size_t i = 0; i < ALEN(allowed); i++) {
        const size_t len = strlen(allowed[i]);
        if (link->early_len == 0 ||
            (link->early_len >= len && memcmp(link->early, allowed[i], len) == 0))
            return;
    }
    judge_examine(caller->callers->conf.judge, RULE_MIXED);
    judge_break(caller->callers->conf.judge, RULE_MIXED,
                "gateway-%" PRIu32 " sent '%.*s' where no request was waiting",
                caller->instance + 1, link->early_len < 60 ? (int)link->early_len : 60,
                link->early);
}

/* Has a quiet caller use its connection late in a planned stop. */
static void
put_off(caller_t *caller)
{
    link_t *link = caller->link;
    if (!caller->quiet || link->late || link->life->asked_ms == 0)
        return;
    link->late = true;
    caller->due_ms =
        link->life->asked_ms + LATE_USE_MS + rng_below(&caller->callers->rng, LATE_USE_SPAN_MS);
}

static void
tick_resting(caller_t *caller)
{
    callers_t *callers = caller->callers;
    const uint64_t now_ms = callers->now_ms;
    const link_t *link = caller->link;
    put_off(caller);
    if (link->ended_ms > 0 && now_ms >= link->ended_ms + caller->link_ms) {
        judge_early(caller);
        leave(caller, CONNECT_AGAIN_MS);
        return;
    }
    if (now_ms < caller->due_ms)
        return;
    const uint64_t known_ms = now_ms > NEWS_LATE_MS ? now_ms - NEWS_LATE_MS : 0;
    const uint64_t rested_ms = now_ms - caller->since_ms;
    if (rested_ms > link->rest_ms ||
        rested_ms * 5 > operator_idle_ms(callers->conf.ops, known_ms) * 4)
        leave(caller, 1);
    else
        send_request(caller);
}

/* The caller leaves without an answer. */
static void
leave_request(caller_t *caller)
{
    const callers_t *callers = caller->callers;
    caller->request->left_ms = callers->now_ms;
    judge_examine(callers->conf.judge, RULE_GONE);
    leave(caller, CONNECT_AGAIN_MS);
}

static void
tick_waiting(caller_t *caller)
{
    const uint64_t now_ms = caller->callers->now_ms;
    const link_t *link = caller->link;
    if (caller->leaves_ms > 0 && now_ms >= caller->leaves_ms && link->ended_ms == 0) {
        leave_request(caller);
        return;
    }
    const uint64_t closed_ms =
        link->ended_ms > caller->since_ms ? link->ended_ms : caller->since_ms;
    if (link->ended_ms > 0 && is_reset(link)) {
        on_closed(caller, "closed and reset");
    } else if (link->ended_ms > 0 && now_ms >= closed_ms + RESET_WAIT_MS) {
        on_closed(caller, "read and closed");
    } else if (now_ms >= caller->since_ms + PATIENCE_MS) {
        caller->callers->statuses[1]++;
        leave(caller, CONNECT_AGAIN_MS);
    }
}

static void
tick(caller_t *caller)
{
    callers_t *callers = caller->callers;
    const uint64_t now_ms = callers->now_ms;
    switch (caller->state) {
    case CALLER_ABSENT: {
        life_t *life = fleet_life(callers->conf.fleet, caller->instance);
        if (now_ms < caller->due_ms || life == NULL || life->killed ||
            (life->asked_ms > 0 && now_ms >= life->asked_ms + DIRECTORY_MS))
            break;
        connect_to(caller, life);
        break;
    }
    case CALLER_CONNECTS:
        break;
    case CALLER_RESTS:
        tick_resting(caller);
        break;
    case CALLER_WAITS:
        tick_waiting(caller);
        break;
    }
}

void
callers_tick(callers_t *callers, uint64_t now_ms)
{
    callers->now_ms = now_ms;
    for (size_t i = 0; i < callers->count; i++)
        tick(&callers->items[i]);
}

callers_t *
callers_new(const callers_conf_t *conf)
{
    callers_t *callers = xcalloc(1, sizeof(*callers));
    callers->conf = *conf;
    callers->outcomes = (outcomes_conf_t){conf->judge,           conf->ops,      conf->accounts,
                                          conf->config_bound_ms, conf->grace_ms, conf->slack};
    callers->rng = (rng_t){conf->seed};
    callers->asks =
        (asks_t){conf->requests, conf->ops, conf->accounts, conf->config_bound_ms, &callers->rng};
    callers->count = (size_t)conf->instances * conf->each;
    callers->items = xcalloc(callers->count, sizeof(callers->items[0]));
    for (size_t i = 0; i < callers->count; i++) {
        callers->items[i] = (caller_t){
            .callers = callers,
            .instance = (uint32_t)(i / conf->each),
            .keeps = i % NEW_EVERY != 0,
            .quiet = i % QUIET_EVERY == 1,
            .link_ms = rng_below(&callers->rng, LINK_MS),
        };
    }
    return callers;
}

void
callers_print(const callers_t *callers, FILE *out)
{
    fprintf(out, "requests: closed %" PRIu64 ", given up %" PRIu64 ", not sent %" PRIu64,
            callers->statuses[0], callers->statuses[1], callers->statuses[2]);
    for (size_t i = 3; i < STATUS_MAX; i++) {
        if (callers->statuses[i] > 0)
            fprintf(out, ", %zu: %" PRIu64, i, callers->statuses[i]);
    }
    fprintf(out,
            "\nserved by cut instances: %" PRIu64 " of %" PRIu64 ", by others: %" PRIu64
            " of %" PRIu64 "\n",
            callers->at_cut.served, callers->at_cut.sent, callers->elsewhere.served,
            callers->elsewhere.sent);
}
