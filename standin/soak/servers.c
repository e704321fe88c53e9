#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "base/xmalloc.h"
#include "standin/soak/server.h"

enum {
    REPLACED_AFTER_MS = 700, /* from the end of a backend server to the start of the next */
    POISON_UNLIST_MS = 1500, /* from the end under a poison request until the entry goes */
    BORN_BASE_MS = 1000,     /* the lives of a backend server begin after this time */
    /* Heartbeats reach a returned store one after the other, within two seconds. */
    AGAIN_STEP_MS = 270,
    AGAIN_SPAN_MS = 2000,
    SAME_ID_EVERY = 2, /* one exchange of so many starts again under its id */
};

/* Limits that backend servers name, in requests a second. */
static const double limits_per_s[] = {0.5, 1.3, 2, 5, 10};

/* Rests that they ask for. */
static const uint64_t rests_ms[] = {700, 1500, 3000, 5000};

static const char *const halls[] = {"toledo-hall",   "alpena-hall", "gary-hall",
                                    "sandusky-hall", "sarnia-hall", "racine-hall"};

static const char *
server_service(const server_t *server)
{
    return server->place % 2 == 0 ? ORDERS_SERVICE : "right";
}

static json_t *
spec_of(const server_t *server)
{
    char text[ADDR_TEXT_MAX];
    char version[16];
    snprintf(version, sizeof(version), "v%u", server->version);
    return json_pack("{s:s, s:I, s:{s:s, s:s, s:s, s:i}}", "address",
                     addr_format(&server->addr, text), "born", (json_int_t)server->born_ms, "info",
                     "service", server_service(server), "version", version, "zone",
                     halls[server->place / 2 % ALEN(halls)], "capacity", SERVER_SLOTS);
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
    server->entry_state = state;
    standin_store_put(server->servers->conf.store, "servers", server->id, spec_of(server),
                      status_of(state));
}

/* Another writer's entries, which name the server's address and break one thing each. */
static void
put_foreign_entries(const server_t *server)
{
    enum { FORMS = 4 };
    char id[SERVER_ID_MAX];
    json_t *specs[FORMS] = {spec_of(server), spec_of(server), spec_of(server), json_integer(7)};
    json_t *states[FORMS] = {status_of("resting"), status_of("ready"), json_string("ready"),
                             status_of("ready")};
    json_object_set_new(json_object_get(specs[1], "info"), "capacity", json_string("8"));
    for (unsigned form = 0; form < FORMS; form++) {
        snprintf(id, sizeof(id), SERVER_FOREIGN "-%u-%u", server->place, form);
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
                                           server_on_request, server, &err);
    xassert(server->listener != NULL);
    addr_set_port(&server->addr, wire_listener_port(server->listener));
}

void
server_end(server_t *server, uint64_t now_ms)
{
    server->state = SERVER_DEAD;
    server->end_ms = 0;
    server->replace_ms = now_ms + REPLACED_AFTER_MS;
    server_break_off(server);
    wire_listener_stop_accepting(server->listener);
    wire_listener_close_idle(server->listener, 0);
    server->listener = NULL; /* its memory goes with the process */
}

void
server_end_poisoned(server_t *server)
{
    const uint64_t now_ms = server->servers->now_ms;
    server_end(server, now_ms);
    server->unlist_ms = now_ms + POISON_UNLIST_MS;
    server->replace_ms = server->unlist_ms + REPLACED_AFTER_MS;
}

/* Another backend server has the address from now on, or the same one starts again there. */
static void
exchange(server_t *server)
{
    server_break_off(server);
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
        server_end(server, now_ms);
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

void
servers_write_again(servers_t *servers, uint64_t now_ms)
{
    for (uint32_t i = 0; i < servers->count; i++)
        servers->items[i].again_ms = now_ms + 1 + (uint64_t)i * AGAIN_STEP_MS % AGAIN_SPAN_MS;
}

/* Entries of ended lives that the copy holds lapse. */
static void
remove_earlier_entries(const server_t *server)
{
    standin_store_t *store = server->servers->conf.store;
    char id[SERVER_ID_MAX];
    for (uint32_t start = 1; start <= server->start; start++) {
        snprintf(id, sizeof(id), "i-%u-%u", server->place, start);
        const bool is_own = server->listed && strcmp(id, server->id) == 0;
        if (!is_own && standin_store_has(store, "servers", id))
            standin_store_remove(store, "servers", id);
    }
}

static void
write_again(server_t *server)
{
    server->again_ms = 0;
    if (server->listed)
        put_entry(server, server->entry_state);
    remove_earlier_entries(server);
}

static void
tick(server_t *server, uint64_t now_ms)
{
    if (server->again_ms > 0 && now_ms >= server->again_ms)
        write_again(server);
    const servers_conf_t *conf = &server->servers->conf;
    const bool past_bound =
        server->told_ms > 0 && now_ms > server->told_ms + conf->leaving_bound_ms;
    if (past_bound && !server->bound_examined) {
        server->bound_examined = true;
        if (server_store_was_calm(server))
            judge_examine(conf->judge, RULE_LEAVING);
    }
    if (server->unlist_ms > 0 && now_ms >= server->unlist_ms)
        remove_entry(server);
    if (server->state == SERVER_LEAVES && now_ms >= server->end_ms) {
        remove_entry(server);
        server_end(server, now_ms);
    }
    if (server->state == SERVER_DEAD && !server->retired && now_ms >= server->replace_ms) {
        addr_set_port(&server->addr, 0);
        open_listener(server);
        begin(server);
    }
}

void
servers_tick(servers_t *servers, uint64_t now_ms)
{
    servers->now_ms = now_ms;
    for (uint32_t i = 0; i < servers->count; i++)
        tick(&servers->items[i], now_ms);
}

static void
add_server(servers_t *servers, uint32_t place, unsigned version)
{
    const servers_conf_t *conf = &servers->conf;
    const says_conf_t says = {conf->judge, conf->fleet, conf->instances, conf->slack};
    server_t *server = &servers->items[servers->count++];
    char text[ADDR_TEXT_MAX];
    server->servers = servers;
    server->place = place;
    server->version = version;
    server->says = says_new(&says);
    snprintf(text, sizeof(text), "%s:0", conf->host);
    xassert(addr_parse(str_from(text), &server->addr));
    open_listener(server);
    begin(server);
}

servers_t *
servers_new(const servers_conf_t *conf)
{
    servers_t *servers = xcalloc(1, sizeof(*servers));
    servers->conf = *conf;
    servers->items = xcalloc((SERVERS_ROLLOUTS_MAX + 1) * conf->count, sizeof(servers->items[0]));
    for (uint32_t i = 0; i < conf->count; i++)
        add_server(servers, i, 1);
    put_foreign_entries(&servers->items[0]);
    return servers;
}

/* ---- roll-outs ---- */

void
servers_set_orders(servers_t *servers, orders_t *orders)
{
    servers->orders = orders;
}

static bool
is_ordered_service(const server_t *server)
{
    return server->place % 2 == 0;
}

void
servers_start_version(void *ctx, unsigned version)
{
    servers_t *servers = ctx;
    if (servers->count + servers->conf.count > (SERVERS_ROLLOUTS_MAX + 1) * servers->conf.count)
        return; /* an order for a version without backend servers */
    for (uint32_t place = 0; place < servers->conf.count; place += 2)
        add_server(servers, place + servers->count - servers->count % 2, version);
}

void
servers_end_others(void *ctx, unsigned version, uint64_t now_ms)
{
    servers_t *servers = ctx;
    for (uint32_t i = 0; i < servers->count; i++) {
        server_t *server = &servers->items[i];
        if (!is_ordered_service(server) || server->version == version || server->retired)
            continue;
        server->retired = true;
        remove_entry(server);
        if (server->state != SERVER_DEAD)
            server_end(server, now_ms);
    }
}

void
servers_drain_version(void *ctx, unsigned version, uint64_t now_ms)
{
    enum { DRAIN_MS = 5000 };
    servers_t *servers = ctx;
    for (uint32_t i = 0; i < servers->count; i++) {
        server_t *server = &servers->items[i];
        if (!is_ordered_service(server) || server->version != version || server->retired)
            continue;
        server->retired = true;
        if (server->state == SERVER_DEAD)
            continue;
        put_entry(server, "draining");
        server->state = SERVER_LEAVES;
        server->told_ms = now_ms;
        server->end_ms = now_ms + DRAIN_MS;
    }
}

/* ---- report ---- */

uint64_t
servers_runs(const servers_t *servers)
{
    return servers->runs;
}

void
servers_print(const servers_t *servers, FILE *out)
{
    says_use_t sum = {0};
    for (uint32_t i = 0; i < servers->count; i++) {
        const says_use_t use = says_use(servers->items[i].says);
        sum.offered += use.offered;
        sum.got += use.got;
    }
    fprintf(out, "limits: offered %.0f requests, got %.0f\n", sum.offered, sum.got);
    if (servers->conf.interference)
        fprintf(out, "interference: slowed runs %" PRIu64 ", probes %" PRIu64 "\n",
                servers->slowed_runs, servers->probes);
}
