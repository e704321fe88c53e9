#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <http_parser.h>
#include <jansson.h>

#include "base/xmalloc.h"
#include "standin/soak/servers.h"
#include "wire/listener.h"

enum {
    SLOTS = 8,
    QUEUE = 16,
    ID_MAX = 32,
    REPLACED_AFTER_MS = 700, /* from the end of a backend server to the start of the next */
    WORK_SHORT_MS = 30,      /* most requests take up to this, */
    WORK_MIDDLE_MS = 200,    /* one in five up to this, */
    WORK_LONG_MS = 600,      /* and one in 12 up to this: well below the least time limit */
    MIDDLE_EVERY = 5,
    LONG_EVERY = 12,
    REFUSE_EVERY = 9, /* a backend server refuses one request of so many, by its id */
    CUT_EVERY = 41,   /* one answer of so many breaks off in its middle */
    FRAMINGS =
        8, /* of answers: one in chunks, one up to the connection's end, the rest with a length */
    PIECE = 16384, /* bytes of an answer that are made at once */
    STORE_CALM_MS = 4000,
    POISON_UNLIST_MS = 1500, /* from the end under a poison request until the entry goes */
    BORN_BASE_MS = 1000,     /* the lives of a backend server begin after this time */
    SAYS_MAX = 128,          /* bytes of what a backend server says of itself */
    SAME_ID_EVERY = 2,       /* one exchange of so many starts again under its id */
};

/* Limits that backend servers name, in requests a second. */
static const double limits_per_s[] = {0.5, 1.3, 2, 5, 10};

/* Rests that they ask for. */
static const uint64_t rests_ms[] = {700, 1500, 3000, 5000};

/* Names that no backend server has: those of entries of another writer begin so. */
#define FOREIGN "foreign"

typedef enum { SERVER_LIVES, SERVER_LEAVES, SERVER_DEAD } server_state_t;

typedef struct server server_t;

typedef struct work {
    struct work *next;
    uv_timer_t timer;
    server_t *server;
    wire_request_t *req;
    uint64_t number;
    bool running; /* in a slot; else it waits for one */
} work_t;

struct server {
    servers_t *servers;
    uint32_t place;
    uint32_t start; /* how many there were at this place */
    char id[ID_MAX];
    uint64_t born_ms; /* when its life began */
    wire_listener_t *listener;
    addr_t addr;
    server_state_t state;
    bool listed;
    uint64_t told_ms; /* that it leaves, or its entry went; 0 if not */
    uint64_t unlist_ms;
    uint64_t end_ms;
    uint64_t replace_ms;
    bool bound_examined;
    unsigned running;
    work_t *works; /* in the order of their arrival */
    says_t *says;
};

struct servers {
    servers_conf_t conf;
    server_t *items;
    uint64_t now_ms;
    uint64_t runs;
};

static const char *const halls[] = {"toledo-hall",   "alpena-hall", "gary-hall",
                                    "sandusky-hall", "sarnia-hall", "racine-hall"};

/* ---- work ---- */

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
static void end(server_t *server, uint64_t now_ms);

static void
run_waiting(server_t *server)
{
    for (work_t *work = server->works; work != NULL && server->running < SLOTS; work = work->next) {
        if (work->running)
            continue;
        char id[ID_MAX];
        snprintf(id, sizeof(id), "%" PRIu64, work->number);
        work->running = true;
        server->running++;
        soak_request_t *request = requests_find(server->servers->conf.requests, str_from(id));
        if (request != NULL)
            judge_run(server->servers, request, server);
        uv_timer_start(&work->timer, on_worked, work_ms(work->number), 0);
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
    const bool cut = request->number % CUT_EVERY == 0;
    says_write(server->says, request->instance, server->servers->now_ms, said, sizeof(said));
    const int len = snprintf(fields, sizeof(fields),
                             "Attempt-Id: %" PRIu64 "\r\nResponse-Signature: s%" PRIu64 "\r\n"
                             "Server-Load: %u,0,%d\r\n%s",
                             request->number, request->number, server->running, SLOTS, said);
    wire_respond_head(req, HTTP_STATUS_OK, (str_t){fields, (size_t)len}, framing(request));
    send_body(req, request->number, cut ? request->answer_len / 2 : request->answer_len);
    if (cut) {
        request->server_left = true;
        wire_respond_abort(req);
    } else {
        wire_respond_end(req);
    }
}

/* True if the request has ended the backend server. */
static bool
ends_server(server_t *server, const soak_request_t *request)
{
    servers_t *servers = server->servers;
    if (request == NULL || request->kind != REQUEST_POISON)
        return false;
    poison_ended(servers->conf.poison, request);
    end(server, servers->now_ms);
    server->unlist_ms = servers->now_ms + POISON_UNLIST_MS;
    server->replace_ms = server->unlist_ms + REPLACED_AFTER_MS;
    return true;
}

static void
on_worked(uv_timer_t *timer)
{
    work_t *work = timer->data;
    server_t *server = work->server;
    wire_request_t *req = work->req;
    char id[ID_MAX];
    snprintf(id, sizeof(id), "%" PRIu64, work->number);
    soak_request_t *request = requests_find(server->servers->conf.requests, str_from(id));
    if (ends_server(server, request))
        return;
    drop_work(work);
    req->on_gone = NULL;
    req->ctx = NULL;
    if (request != NULL)
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

/* The rule on leaving holds instances to what a store that served them said. */
static bool
store_was_calm(const server_t *server)
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
    if (fleet_in_touch(conf->fleet, request->instance, servers->now_ms) && store_was_calm(server))
        judge_break(conf->judge, RULE_LEAVING,
                    "%" PRIu64 " from gateway-%" PRIu32 " arrives at %s, %" PRIu64
                    " ms after its entry said that it leaves",
                    request->number, request->instance + 1, server->id,
                    servers->now_ms - server->told_ms);
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

static void
on_request(void *ctx, wire_request_t *req)
{
    server_t *server = ctx;
    const str_t expected = wire_head_find(&req->head, STR("Expect-Instance"));
    const str_t id = wire_head_find(&req->head, STR("Attempt-Id"));
    soak_request_t *request = requests_find(server->servers->conf.requests, id);
    if (server->state == SERVER_DEAD) {
        wire_respond_abort(req); /* on a connection that the end has not closed yet */
        return;
    }
    if (str_starts_with(expected, STR(FOREIGN)))
        judge_break(server->servers->conf.judge, RULE_FOREIGN, "%.*s is sent for %.*s", STR_ARG(id),
                    STR_ARG(expected));
    if (!str_eq(expected, str_from(server->id)) && expected.len > 0) {
        refuse(req, HTTP_STATUS_MISDIRECTED_REQUEST, "");
        return;
    }
    if (request != NULL)
        says_arrived(server->says, request, server->servers->now_ms);
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
    req->on_gone = on_work_gone;
    work_t **slot = &server->works;
    while (*slot != NULL)
        slot = &(*slot)->next;
    *slot = work;
    run_waiting(server);
}

/* ---- life ---- */

static json_t *
spec_of(const server_t *server)
{
    char text[ADDR_TEXT_MAX];
    return json_pack("{s:s, s:I, s:{s:s, s:s, s:s, s:i}}", "address",
                     addr_format(&server->addr, text), "born", (json_int_t)server->born_ms, "info",
                     "service", server->place % 2 == 0 ? "left" : "right", "version", "v1", "zone",
                     halls[server->place / 2 % ALEN(halls)], "capacity", SLOTS);
}

static json_t *
status_of(const char *state)
{
    return json_pack("{s:s, s:i, s:i}", "state", state, "callSeq", 1, "coldRemainingMs", 0);
}

static void
put_entry(server_t *server, const char *state)
{
    server->listed = true;
    standin_store_put(server->servers->conf.store, "servers", server->id, spec_of(server),
                      status_of(state));
}

/* Another writer's entries, which name the server's address and break one thing each. */
static void
put_foreign_entries(const server_t *server)
{
    enum { FORMS = 4 };
    char id[ID_MAX];
    json_t *specs[FORMS] = {spec_of(server), spec_of(server), spec_of(server), json_integer(7)};
    json_t *states[FORMS] = {status_of("resting"), status_of("ready"), json_string("ready"),
                             status_of("ready")};
    json_object_set_new(json_object_get(specs[1], "info"), "capacity", json_string("8"));
    for (unsigned form = 0; form < FORMS; form++) {
        snprintf(id, sizeof(id), FOREIGN "-%u-%u", server->place, form);
        judge_examine(server->servers->conf.judge, RULE_FOREIGN);
        standin_store_put(server->servers->conf.store, "servers", id, specs[form], states[form]);
    }
}

static void
remove_entry(server_t *server)
{
    if (server->listed)
        standin_store_remove(server->servers->conf.store, "servers", server->id);
    server->listed = false;
    server->unlist_ms = 0;
}

/* A life under the id that the server has. */
static void
live(server_t *server)
{
    server->born_ms = BORN_BASE_MS + server->servers->now_ms;
    server->state = SERVER_LIVES;
    server->told_ms = 0;
    server->bound_examined = false;
    says_reset(server->says, server->id);
    put_entry(server, "ready");
}

static void
begin(server_t *server)
{
    server->start++;
    snprintf(server->id, sizeof(server->id), "i-%u-%u", server->place, server->start);
    live(server);
}

static void
open_listener(server_t *server)
{
    static const wire_limits_t limits = {
        .max_head = 16384,
        .max_body = 1 << 20,
        .head_timeout_ms = 60000,
        .idle_timeout_ms = 60000,
        .max_connections = 1000,
    };
    err_t err = {0};
    server->listener = wire_listener_start(server->servers->conf.loop, &server->addr, &limits,
                                           on_request, server, &err);
    xassert(server->listener != NULL);
    addr_set_port(&server->addr, wire_listener_port(server->listener));
}

static void
break_off(server_t *server)
{
    char id[ID_MAX];
    while (server->works != NULL) {
        work_t *work = server->works;
        wire_request_t *req = work->req;
        snprintf(id, sizeof(id), "%" PRIu64, work->number);
        soak_request_t *request = requests_find(server->servers->conf.requests, str_from(id));
        if (request != NULL)
            request->server_left = true;
        drop_work(work);
        req->on_gone = NULL;
        wire_respond_abort(req);
    }
}

static void
end(server_t *server, uint64_t now_ms)
{
    server->state = SERVER_DEAD;
    server->end_ms = 0;
    server->replace_ms = now_ms + REPLACED_AFTER_MS;
    break_off(server);
    wire_listener_stop_accepting(server->listener);
    wire_listener_close_idle(server->listener, 0);
    server->listener = NULL; /* its memory goes with the process */
}

/* Another backend server has the address from now on, or the same one starts again there. */
static void
exchange(server_t *server)
{
    break_off(server);
    put_foreign_entries(server);
    if (server->start++ % SAME_ID_EVERY == 0) {
        live(server);
        return;
    }
    remove_entry(server);
    begin(server);
}

void
servers_trouble(servers_t *servers, const trouble_t *trouble, uint64_t now_ms)
{
    server_t *server = &servers->items[trouble->target];
    if (server->state != SERVER_LIVES)
        return;
    switch (trouble->kind) {
    case TROUBLE_SERVER_LEAVES:
        put_entry(server, "draining");
        break;
    case TROUBLE_SERVER_GOES:
        remove_entry(server);
        break;
    case TROUBLE_SERVER_DIES:
        end(server, now_ms);
        server->unlist_ms = now_ms + trouble->length_ms;
        server->replace_ms = server->unlist_ms + REPLACED_AFTER_MS;
        return;
    case TROUBLE_SERVER_EXCHANGED:
        exchange(server);
        return;
    case TROUBLE_SERVER_LIMITS:
        says_limit(server->says, limits_per_s[trouble->variant % ALEN(limits_per_s)], now_ms,
                   now_ms + trouble->length_ms);
        return;
    case TROUBLE_SERVER_RESTS:
        says_rest(server->says, rests_ms[trouble->variant % ALEN(rests_ms)],
                  now_ms + trouble->length_ms);
        return;
    case TROUBLE_SERVER_TELLS:
        says_leave(server->says);
        server->state = SERVER_LEAVES;
        server->end_ms = now_ms + trouble->length_ms;
        return;
    default:
        BUG("no trouble of a backend server");
    }
    server->state = SERVER_LEAVES;
    server->told_ms = now_ms;
    server->end_ms = now_ms + trouble->length_ms;
}

static void
tick(server_t *server, uint64_t now_ms)
{
    const servers_conf_t *conf = &server->servers->conf;
    const bool past_bound =
        server->told_ms > 0 && now_ms > server->told_ms + conf->leaving_bound_ms;
    if (past_bound && !server->bound_examined) {
        server->bound_examined = true;
        if (store_was_calm(server))
            judge_examine(conf->judge, RULE_LEAVING);
    }
    if (server->unlist_ms > 0 && now_ms >= server->unlist_ms)
        remove_entry(server);
    if (server->state == SERVER_LEAVES && now_ms >= server->end_ms) {
        remove_entry(server);
        end(server, now_ms);
    }
    if (server->state == SERVER_DEAD && now_ms >= server->replace_ms) {
        addr_set_port(&server->addr, 0);
        open_listener(server);
        begin(server);
    }
}

void
servers_tick(servers_t *servers, uint64_t now_ms)
{
    servers->now_ms = now_ms;
    for (uint32_t i = 0; i < servers->conf.count; i++)
        tick(&servers->items[i], now_ms);
}

servers_t *
servers_new(const servers_conf_t *conf)
{
    servers_t *servers = xcalloc(1, sizeof(*servers));
    servers->conf = *conf;
    servers->items = xcalloc(conf->count, sizeof(servers->items[0]));
    const says_conf_t says = {conf->judge, conf->fleet, conf->instances, conf->slack};
    for (uint32_t i = 0; i < conf->count; i++) {
        server_t *server = &servers->items[i];
        char text[ADDR_TEXT_MAX];
        server->servers = servers;
        server->place = i;
        server->says = says_new(&says);
        snprintf(text, sizeof(text), "%s:0", conf->host);
        xassert(addr_parse(str_from(text), &server->addr));
        open_listener(server);
        begin(server);
        if (i == 0)
            put_foreign_entries(server);
    }
    return servers;
}

uint64_t
servers_runs(const servers_t *servers)
{
    return servers->runs;
}

void
servers_print(const servers_t *servers, FILE *out)
{
    says_use_t sum = {0};
    for (uint32_t i = 0; i < servers->conf.count; i++) {
        const says_use_t use = says_use(servers->items[i].says);
        sum.offered += use.offered;
        sum.got += use.got;
    }
    fprintf(out, "limits: offered %.0f requests, got %.0f\n", sum.offered, sum.got);
}
