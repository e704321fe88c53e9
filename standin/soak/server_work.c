#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <http_parser.h>

#include "base/xmalloc.h"
#include "standin/soak/server.h"

enum {
    QUEUE = 16,
    WORK_SHORT_MS = 30,   /* most requests take up to this, */
    WORK_MIDDLE_MS = 200, /* one in five up to this, */
    WORK_LONG_MS = 600,   /* and one in 12 up to this: well below the least time limit */
    MIDDLE_EVERY = 5,
    LONG_EVERY = 12,
    REFUSE_EVERY = 9, /* a backend server refuses one request of so many, by its id */
    CUT_EVERY = 41,   /* one answer of so many breaks off in its middle */
    FRAMINGS =
        8, /* of answers: one in chunks, one up to the connection's end, the rest with a length */
    PIECE = 16384, /* bytes of an answer that are made at once */
    STORE_CALM_MS = 4000,
    GONE_MS = 500, /* from a caller's end until nothing arrives for it any more */
    /* Others on the same machine slow a backend server down for this long, one of so many at any
     * moment, and work then takes this long. */
    SLOWED_MS = 600,
    SLOWED_EVERY = 7,
    SLOWED_PERCENT = 250,
    USUAL_PERCENT = 100,
    PROBES_SAVED = 16, /* that an instance may send before requests come */
    SAYS_MAX = 128,    /* bytes of what a backend server says of itself */
};

static void
on_work_closed(uv_handle_t *handle)
{
    free(handle->data);
}

static void
drop_work(work_t *work)
{
    work_t **slot = &work->server->works;
    while (*slot != work)
        slot = &(*slot)->next;
    *slot = work->next;
    work->server->running -= work->running;
    uv_close((uv_handle_t *)&work->timer, on_work_closed);
}

static uint64_t
work_ms(uint64_t number)
{
    const uint64_t draw = str_hash((str_t){(const char *)&number, sizeof(number)}, 1);
    const uint64_t limit_ms = draw % LONG_EVERY == 0     ? WORK_LONG_MS
                              : draw % MIDDLE_EVERY == 0 ? WORK_MIDDLE_MS
                                                         : WORK_SHORT_MS;
    return (draw >> 32) % limit_ms;
}

/* How long work takes at present, in percent of its usual time. */
static unsigned
pace_percent(const server_t *server)
{
    const servers_t *servers = server->servers;
    if (!servers->conf.interference)
        return USUAL_PERCENT;
    const uint64_t span = servers->now_ms / SLOWED_MS;
    return str_hash(str_from(server->id), span) % SLOWED_EVERY == 0 ? SLOWED_PERCENT
                                                                    : USUAL_PERCENT;
}

/* Writes the header line with the load. */
static void
write_load(const server_t *server, char *out, size_t size)
{
    if (server->servers->conf.interference)
        snprintf(out, size, "Server-Load: %u,0,%d,%u\r\n", server->running, SERVER_SLOTS,
                 pace_percent(server));
    else
        snprintf(out, size, "Server-Load: %u,0,%d\r\n", server->running, SERVER_SLOTS);
}

static void
judge_run(servers_t *servers, soak_request_t *request, const server_t *server)
{
    judge_t *judge = servers->conf.judge;
    request->runs++;
    servers->runs++;
    if (request->kind != REQUEST_POISON)
        accounts_ran(servers->conf.accounts, request, servers->now_ms);
    if (request->refused != 0)
        judge_break(judge, RULE_REFUSED, "%" PRIu64 " runs at %s, %" PRIu64 " ms after a %d",
                    request->number, server->id, servers->now_ms - request->refused_ms,
                    request->refused);
    if (request->kind != REQUEST_UNSAFE)
        return;
    judge_examine(judge, RULE_TWICE);
    if (request->runs > 1)
        judge_break(judge, RULE_TWICE, "%" PRIu64 " runs at %s for the %uth time, sent at %.3f",
                    request->number, server->id, request->runs, (double)request->sent_ms / 1000);
}

static void on_worked(uv_timer_t *timer);

static void
run_waiting(server_t *server)
{
    for (work_t *work = server->works; work != NULL && server->running < SERVER_SLOTS;
         work = work->next) {
        if (work->running)
            continue;
        char id[SERVER_ID_MAX];
        snprintf(id, sizeof(id), "%" PRIu64, work->number);
        work->running = true;
        server->running++;
        soak_request_t *request = requests_find(server->servers->conf.requests, str_from(id));
        uint64_t ms = work_ms(work->number);
        if (request != NULL)
            judge_run(server->servers, request, server);
        if (request != NULL && server->servers->orders != NULL && server->place % 2 == 0)
            work->fails = orders_run(server->servers->orders, request, server->version, &ms,
                                     server->servers->now_ms);
        const unsigned percent = pace_percent(server);
        server->servers->slowed_runs += percent > USUAL_PERCENT;
        uv_timer_start(&work->timer, on_worked, ms * percent / USUAL_PERCENT, 0);
    }
}

/* A body with a length, in chunks, or up to the connection's end. */
static int64_t
framing(const soak_request_t *request)
{
    const uint64_t draw = str_hash((str_t){(const char *)&request->number, sizeof(uint64_t)}, 2);
    switch (draw % FRAMINGS) {
    case 0:
        return WIRE_CHUNKED;
    case 1:
        return WIRE_UNTIL_CLOSE;
    default:
        return (int64_t)request->answer_len;
    }
}

static void
send_body(wire_request_t *req, uint64_t number, size_t len)
{
    char piece[PIECE];
    for (size_t at = 0; at < len; at += sizeof(piece)) {
        const size_t part = len - at < sizeof(piece) ? len - at : sizeof(piece);
        requests_fill(number, at, piece, part);
        wire_respond_data(req, piece, part);
    }
}

static void
answer(const server_t *server, wire_request_t *req, soak_request_t *request)
{
    char fields[256];
    char said[SAYS_MAX];
    char load[64];
    const bool cut = request->number % CUT_EVERY == 0;
    says_write(server->says, request->instance, server->servers->now_ms, said, sizeof(said));
    write_load(server, load, sizeof(load));
    const int len = snprintf(fields, sizeof(fields),
                             "Attempt-Id: %" PRIu64 "\r\nResponse-Signature: s%" PRIu64 "\r\n"
                             "%s%s",
                             request->number, request->number, load, said);
    wire_respond_head(req, HTTP_STATUS_OK, (str_t){fields, (size_t)len}, framing(request));
    send_body(req, request->number, cut ? request->answer_len / 2 : request->answer_len);
    if (cut) {
        request->server_left = true;
        wire_respond_abort(req);
    } else {
        wire_respond_end(req);
    }
}

/* The software fails: the request has run. */
static void
answer_failure(wire_request_t *req, const soak_request_t *request)
{
    char fields[128];
    const int len = snprintf(fields, sizeof(fields),
                             "Attempt-Id: %" PRIu64 "\r\nResponse-Signature: s%" PRIu64 "\r\n",
                             request->number, request->number);
    wire_respond(req, HTTP_STATUS_INTERNAL_SERVER_ERROR, (str_t){fields, (size_t)len}, STR(""));
}

/* True if the request has ended the backend server. */
static bool
ends_server(server_t *server, const soak_request_t *request)
{
    servers_t *servers = server->servers;
    if (request == NULL || request->kind != REQUEST_POISON)
        return false;
    poison_ended(servers->conf.poison, request);
    server_end_poisoned(server);
    return true;
}

static void
on_worked(uv_timer_t *timer)
{
    work_t *work = timer->data;
    server_t *server = work->server;
    wire_request_t *req = work->req;
    char id[SERVER_ID_MAX];
    snprintf(id, sizeof(id), "%" PRIu64, work->number);
    soak_request_t *request = requests_find(server->servers->conf.requests, str_from(id));
    if (ends_server(server, request))
        return;
    const bool fails = work->fails;
    drop_work(work);
    req->on_disconnect = NULL;
    req->ctx = NULL;
    if (request != NULL && fails)
        answer_failure(req, request);
    else if (request != NULL)
        answer(server, req, request);
    else
        wire_respond_abort(req);
    run_waiting(server);
}

/* The instance has left; like most backend servers this one then drops the work. */
static void
on_work_gone(void *ctx)
{
    work_t *work = ctx;
    server_t *server = work->server;
    drop_work(work);
    run_waiting(server);
}

/* ---- arrivals ---- */

static void
refuse(wire_request_t *req, int status, const char *said)
{
    char fields[256];
    const str_t id = wire_head_find(&req->head, STR("Attempt-Id"));
    const int len = snprintf(fields, sizeof(fields), "Not-Executed: 1\r\nAttempt-Id: %.*s\r\n%s",
                             STR_ARG(id), said);
    wire_respond(req, status, (str_t){fields, (size_t)len}, STR(""));
}

/* A 503 with what the server says of itself; `request` may be NULL. */
static void
turn_away(const server_t *server, wire_request_t *req, const soak_request_t *request)
{
    char said[SAYS_MAX] = "";
    if (request != NULL)
        says_write_refusal(server->says, request->instance, server->servers->now_ms, said,
                           sizeof(said));
    refuse(req, HTTP_STATUS_SERVICE_UNAVAILABLE, said);
}

bool
server_store_was_calm(const server_t *server)
{
    const uint64_t told_ms = server->told_ms;
    return operator_store_calm_since(server->servers->conf.ops,
                                     told_ms > STORE_CALM_MS ? told_ms - STORE_CALM_MS : 0);
}

static void
judge_arrival(server_t *server, const soak_request_t *request, const wire_request_t *req)
{
    servers_t *servers = server->servers;
    const servers_conf_t *conf = &servers->conf;
    judge_examine(conf->judge, RULE_MIXED);
    if (req->body_len != request->body_len ||
        !requests_holds(request->number, 0, req->body, req->body_len))
        judge_break(conf->judge, RULE_MIXED, "%" PRIu64 " arrives at %s with another body",
                    request->number, server->id);
    const uint64_t bound_ms = server->told_ms + conf->leaving_bound_ms;
    if (server->told_ms == 0 || servers->now_ms <= bound_ms || request->sent_ms <= bound_ms)
        return;
    if (fleet_in_touch(conf->fleet, request->instance, servers->now_ms) &&
        server_store_was_calm(server))
        judge_break(conf->judge, RULE_LEAVING,
                    "%" PRIu64 " from gateway-%" PRIu32 " arrives at %s, %" PRIu64
                    " ms after its entry said that it leaves",
                    request->number, request->instance + 1, server->id,
                    servers->now_ms - server->told_ms);
}

/* A request that its caller has left is not sent any more, whatever befell its instance. One that
 * has stood still since then cannot tell the peer that it had handed the request to. */
static void
judge_left(const server_t *server, const soak_request_t *request)
{
    const servers_t *servers = server->servers;
    const fleet_t *fleet = servers->conf.fleet;
    if (request->left_ms == 0 || fleet_stalled_since(fleet, request->left_ms) ||
        fleet_stands_still_since(fleet, request->instance, request->left_ms))
        return;
    const uint64_t after_ms = servers->now_ms - request->left_ms;
    if (after_ms > (uint64_t)(GONE_MS * servers->conf.slack))
        judge_break(servers->conf.judge, RULE_GONE,
                    "%" PRIu64 " from gateway-%" PRIu32 " arrives at %s, %" PRIu64
                    " ms after its caller left",
                    request->number, request->instance + 1, server->id, after_ms);
}

static size_t
waiting(const server_t *server)
{
    size_t count = 0;
    for (const work_t *work = server->works; work != NULL; work = work->next)
        count += !work->running;
    return count;
}

/* As if it were full for a moment; another backend server may take the same request. */
static bool
refuses(const server_t *server, const soak_request_t *request)
{
    return str_hash(str_from(server->id), request->number) % REFUSE_EVERY == 0;
}

/* Answers a request on the health path. */
static void
on_probe(const server_t *server, wire_request_t *req)
{
    servers_t *servers = server->servers;
    const servers_conf_t *conf = &servers->conf;
    char fields[128];
    char load[64];
    judge_examine(conf->judge, RULE_PROBED);
    servers->probes++;
    if (!conf->interference)
        judge_break(conf->judge, RULE_PROBED, "%s is asked, and never told its pace", server->id);
    if (servers->probes > requests_count(conf->requests) + PROBES_SAVED * fleet_lives(conf->fleet))
        judge_break(conf->judge, RULE_PROBED, "%" PRIu64 " probes for %" PRIu64 " requests",
                    servers->probes, requests_count(conf->requests));
    write_load(server, load, sizeof(load));
    const int len = snprintf(fields, sizeof(fields), "Instance-Id: %s\r\n%s", server->id, load);
    wire_respond(req, HTTP_STATUS_OK, (str_t){fields, (size_t)len}, STR(""));
}

void
server_on_request(void *ctx, wire_request_t *req)
{
    server_t *server = ctx;
    const str_t expected = wire_head_find(&req->head, STR("Expect-Instance"));
    const str_t id = wire_head_find(&req->head, STR("Attempt-Id"));
    soak_request_t *request = requests_find(server->servers->conf.requests, id);
    if (server->state == SERVER_DEAD) {
        wire_respond_abort(req); /* on a connection that the end has not closed yet */
        return;
    }
    if (str_eq(wire_head_path(&req->head), STR("/health"))) {
        on_probe(server, req);
        return;
    }
    if (str_starts_with(expected, STR(SERVER_FOREIGN)))
        judge_break(server->servers->conf.judge, RULE_FOREIGN, "%.*s is sent for %.*s", STR_ARG(id),
                    STR_ARG(expected));
    if (!str_eq(expected, str_from(server->id)) && expected.len > 0) {
        refuse(req, HTTP_STATUS_MISDIRECTED_REQUEST, "");
        return;
    }
    if (request != NULL) {
        judge_left(server, request);
        extra_sends_arrived(server->servers->conf.extra_sends, request, server->servers->now_ms);
        says_arrived(server->says, request, server->servers->now_ms);
    }
    if (request == NULL || waiting(server) >= QUEUE || refuses(server, request) ||
        says_turns_away(server->says, server->servers->now_ms)) {
        turn_away(server, req, request);
        return;
    }
    if (request->kind == REQUEST_POISON) {
        poison_arrived(server->servers->conf.poison, request);
    } else {
        judge_arrival(server, request, req);
        accounts_arrived(server->servers->conf.accounts, request, &req->head);
    }
    work_t *work = xcalloc(1, sizeof(*work));
    work->server = server;
    work->req = req;
    work->number = request->number;
    uv_timer_init(server->servers->conf.loop, &work->timer);
    work->timer.data = work;
    req->ctx = work;
    req->on_disconnect = on_work_gone;
    work_t **slot = &server->works;
    while (*slot != NULL)
        slot = &(*slot)->next;
    *slot = work;
    run_waiting(server);
}

void
server_break_off(server_t *server)
{
    char id[SERVER_ID_MAX];
    while (server->works != NULL) {
        work_t *work = server->works;
        wire_request_t *req = work->req;
        snprintf(id, sizeof(id), "%" PRIu64, work->number);
        soak_request_t *request = requests_find(server->servers->conf.requests, str_from(id));
        if (request != NULL)
            request->server_left = true;
        drop_work(work);
        req->on_disconnect = NULL;
        wire_respond_abort(req);
    }
}
