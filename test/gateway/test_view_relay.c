/* View relay: what an instance sends to a peer, and what it requests. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sys/socket.h>

#include "base/counter.h"
#include "base/tcp.h"
#include "base/xmalloc.h"
#include "gateway/gateway_state.h"
#include "gateway/membership/members.h"
#include "gateway/state/view_message.h"
#include "peer/link.h"
#include "test/gateway/site.h"
#include "test/leak.h"
#include "test/suites.h"

enum {
    HEARTBEAT_MS = 100,
    SOCKET_BYTES = 4096, /* receive buffer of a peer that does not read */
    GATEWAYS_MAX = 16,
};

/* A scripted peer that sends heartbeats and counts the messages it receives. */
typedef struct {
    site_t *site;
    peer_hub_t *hub;
    addr_t to[GATEWAYS_MAX]; /* the gateways; changes are sent to the first */
    size_t to_count;
    addr_t address; /* address at which the gateways reach the peer */
    uv_timer_t timer;
    uint64_t at;               /* configuration revision reported in heartbeats */
    uint64_t next_change_from; /* base of the change sent with the next heartbeat; 0: none */
    size_t requests;        /* requests received for a configuration already known to the gateway */
    size_t pushes;          /* configuration updates received */
    uint64_t from_received; /* base revision of the last one */
    uint64_t at_received;   /* revision of the last one */
    unsigned version;       /* version in the last configuration received */
    bool unpacks;           /* announces support for compressed bodies */
    size_t store_referrals; /* answers that referred it to the store */
    size_t packed_bodies;   /* updates received with compressed bodies */
    bool silent;            /* sends no heartbeats */
    bool reads_lists;       /* announces support for compressed lists */
    size_t packed_lists;    /* updates received as compressed lists */
    size_t departures_received; /* departing backend servers received ahead of a change */
    bool announced;             /* claims to have an entry in the store */
    uint64_t restarts;          /* added to the incarnation */
    bool heard_announced;       /* a peer reported its announcement in an earlier incarnation */
    size_t addresses_received;  /* instance addresses received */
} peer_t;

static void
send_heartbeat(peer_t *peer)
{
    if (peer->silent)
        return;
    char address[ADDR_TEXT_MAX];
    Iris__Envelope envelope = IRIS__ENVELOPE__INIT;
    Iris__GatewayHeartbeat heartbeat = IRIS__GATEWAY_HEARTBEAT__INIT;
    Iris__ViewState state = IRIS__VIEW_STATE__INIT;
    Iris__ViewState *states[] = {&state};
    envelope.schema = PEER_SCHEMA;
    envelope.body_case = IRIS__ENVELOPE__BODY_GATEWAY;
    envelope.gateway = &heartbeat;
    addr_format(&peer->address, address);
    heartbeat.instance = "p-1";
    heartbeat.place = "a1";
    heartbeat.incarnation = 1 + peer->restarts;
    heartbeat.announced = peer->announced;
    heartbeat.was_announced = peer->announced;
    heartbeat.reads_lists = peer->reads_lists;
    heartbeat.peer_address = address;
    heartbeat.caller_address = "127.0.0.1:9";
    heartbeat.store_age_ms = STORE_AGE_NONE;
    heartbeat.interval_ms = HEARTBEAT_MIN_MS;
    state.known = peer->at > 0;
    state.at = peer->at;
    state.digest = peer->at;
    heartbeat.unpacks = peer->unpacks;
    heartbeat.n_views = ALEN(states);
    heartbeat.views = states;
    for (size_t i = 0; i < peer->to_count; i++)
        peer_send(peer->hub, &peer->to[i], &envelope);
}

/* Fills in the configuration at revision `at`: whole if `from` is 0, else as a change since
 * `from`. */
static void
fill_update(Iris__ViewUpdate *update, Iris__ViewItem *item, uint64_t from, uint64_t at)
{
    iris__view_update__init(update);
    iris__view_item__init(item);
    item->name = "main";
    item->revision = at;
    item->body.data = (uint8_t *)"{}";
    item->body.len = 2;
    update->kind = VIEW_CONFIG;
    update->whole = from == 0;
    update->from = from;
    update->at = at;
    update->n_items = 1;
}

static void
send_change(peer_t *peer, uint64_t from, uint64_t at)
{
    Iris__Envelope envelope = IRIS__ENVELOPE__INIT;
    Iris__ViewUpdate update;
    Iris__ViewItem item;
    Iris__ViewItem *items[] = {&item};
    fill_update(&update, &item, from, at);
    update.items = items;
    envelope.schema = PEER_SCHEMA;
    envelope.body_case = IRIS__ENVELOPE__BODY_VIEW_UPDATE;
    envelope.view_update = &update;
    peer_send(peer->hub, &peer->to[0], &envelope);
}

/* Requests the whole configuration. */
static void
send_request(peer_t *peer)
{
    Iris__Envelope envelope = IRIS__ENVELOPE__INIT;
    Iris__ViewRequest request = IRIS__VIEW_REQUEST__INIT;
    request.kind = VIEW_CONFIG;
    request.unpacks = peer->unpacks;
    envelope.schema = PEER_SCHEMA;
    envelope.body_case = IRIS__ENVELOPE__BODY_VIEW_REQUEST;
    envelope.view_request = &request;
    peer_send(peer->hub, &peer->to[0], &envelope);
}

/* Extracts the version field of a configuration. */
static unsigned
config_version(const Iris__ViewItem *item)
{
    json_t *object = json_loadb((const char *)item->body.data, item->body.len, 0, NULL);
    const json_t *version = json_object_get(json_object_get(object, "spec"), "version");
    const char *text = json_string_value(version);
    ck_assert_ptr_nonnull(text);
    const unsigned number = (unsigned)strtoul(text, NULL, 16);
    json_decref(object);
    return number;
}

/* Compressed bodies must come only in envelope types that older instances ignore. */
static Iris__ViewUpdate *
decode_update(peer_t *peer, const Iris__Envelope *message)
{
    if (message->body_case == IRIS__ENVELOPE__BODY_PACKED_UPDATE) {
        ck_assert(peer->unpacks);
        ck_assert_uint_gt(message->packed_update->items[0]->unpacked_bytes, 0);
        peer->packed_bodies++;
        return message->packed_update;
    }
    if (message->body_case == IRIS__ENVELOPE__BODY_LIST_UPDATE) {
        ck_assert(peer->reads_lists);
        ck_assert_uint_eq(message->list_update->n_items, 0);
        ck_assert(view_message_unpack(message->list_update));
        peer->packed_lists++;
        return message->list_update;
    }
    if (message->body_case != IRIS__ENVELOPE__BODY_VIEW_UPDATE)
        return NULL;
    for (size_t i = 0; i < message->view_update->n_items; i++)
        ck_assert_uint_eq(message->view_update->items[i]->unpacked_bytes, 0);
    return message->view_update;
}

static void
on_peer_message(void *ctx, peer_conn_t *conn, const Iris__Envelope *message)
{
    (void)conn;
    peer_t *peer = ctx;
    if (message->body_case == IRIS__ENVELOPE__BODY_VIEW_REQUEST &&
        message->view_request->kind == VIEW_CONFIG && message->view_request->have > 0)
        peer->requests++;
    if (message->body_case == IRIS__ENVELOPE__BODY_DEPARTURES)
        peer->departures_received += message->departures->n_items;
    if (message->body_case == IRIS__ENVELOPE__BODY_GATEWAY) {
        peer->heard_announced |= message->gateway->was_announced;
        peer->addresses_received += message->gateway->n_peers;
    }
    Iris__ViewUpdate *update = decode_update(peer, message);
    if (update == NULL || update->kind != VIEW_CONFIG)
        return;
    if (update->at == 0) {
        peer->store_referrals++;
        return;
    }
    peer->pushes++;
    peer->from_received = update->from;
    peer->at_received = update->at;
    ck_assert_uint_eq(update->n_items, 1);
    ck_assert(view_message_unpack(update));
    peer->version = config_version(update->items[0]);
}

static void
on_peer_timer(uv_timer_t *timer)
{
    peer_t *peer = timer->data;
    send_heartbeat(peer);
    if (peer->next_change_from == 0)
        return;
    send_change(peer, peer->next_change_from, peer->next_change_from + 1);
    peer->next_change_from++;
}

static peer_t *
new_peer(site_t *site, gateway_t *gateway)
{
    err_t err = {0};
    peer_t *peer = xcalloc(1, sizeof(*peer));
    leak_ignore(peer);
    peer->site = site;
    peer->to[peer->to_count++] = gateway_settings(gateway)->peer;
    peer->hub = peer_hub_start(&site->loop, &site->any, on_peer_message, peer, &err);
    ck_assert_msg(peer->hub != NULL, "%s", err.detail);
    peer->address = site->any;
    addr_set_port(&peer->address, peer_hub_port(peer->hub));
    uv_timer_init(&site->loop, &peer->timer);
    peer->timer.data = peer;
    uv_timer_start(&peer->timer, on_peer_timer, 0, HEARTBEAT_MS);
    return peer;
}

/* Accepts the connection but never reads from it. */
static void
on_accept_and_stall(uv_stream_t *listener, int status)
{
    uv_tcp_t *conn = xcalloc(1, sizeof(*conn));
    leak_ignore(conn);
    ck_assert_int_eq(status, 0);
    uv_tcp_init(listener->loop, conn);
    ck_assert_int_eq(uv_accept(listener, (uv_stream_t *)conn), 0);
}

/* Redirects the gateway's connection to a listener that does not read. */
static void
stall(peer_t *peer)
{
    static uv_tcp_t listener;
    err_t err = {0};
    uint16_t port;
    int size = SOCKET_BYTES;
    addr_t addr = peer->site->any;
    uv_tcp_init_ex(&peer->site->loop, &listener, AF_INET);
    ck_assert_int_eq(uv_recv_buffer_size((uv_handle_t *)&listener, &size), 0);
    ck_assert_msg(tcp_listen(&listener, &addr, 8, on_accept_and_stall, &port, &err), "%s",
                  err.detail);
    addr_set_port(&peer->address, port);
}

static int64_t
queued_bytes(void)
{
    return counter_value(counter_get("irisstall_peer_waiting_bytes", NULL, ""));
}

static int64_t
requested_bytes(void)
{
    return counter_value(counter_get("irisstall_view_bytes_total", "reason=\"request\"", ""));
}

static int64_t
changed_bytes(void)
{
    return counter_value(counter_get("irisstall_view_bytes_total", "reason=\"change\"", ""));
}

static void
on_run_timer(uv_timer_t *timer)
{
    *(bool *)timer->data = true;
}

/* Runs the loop for `ms`. */
static void
run_for(site_t *site, uint64_t ms)
{
    static uv_timer_t timer;
    bool expired = false;
    uv_timer_init(&site->loop, &timer);
    timer.data = &expired;
    uv_timer_start(&timer, on_run_timer, ms, 0);
    while (!expired)
        uv_run(&site->loop, UV_RUN_ONCE);
}

/* Changes in quick succession, each a version of the same configuration object. */
START_TEST(changes_do_not_queue_for_a_slow_peer)
{
    enum { ROUTES = 500, ROUNDS = 6, BURST = 10, ROUND_MS = 210, WAITING = 40000 };
    site_t *site = new_ready_site(1);
    peer_t *peer = new_peer(site, site->gateway);
    stall(peer);
    RUN_UNTIL(site, gateway_live_instances(site->gateway) == 2);
    site->extra_routes = ROUTES;
    const int64_t before = changed_bytes();
    put_config(site, NULL);
    RUN_UNTIL(site, changed_bytes() > before);
    const int64_t one_change = changed_bytes() - before;
    int64_t most = 0;
    for (int round = 0; round < ROUNDS; round++) {
        for (int i = 0; i < BURST; i++)
            put_config(site, NULL);
        run_for(site, ROUND_MS);
        if (queued_bytes() > most)
            most = queued_bytes();
    }
    /* At most one change beyond the threshold of peer/link.c may be queued. */
    ck_assert_msg(most <= one_change + WAITING, "%lld bytes wait, a change has %lld",
                  (long long)most, (long long)one_change);
}
END_TEST

/* The peer holds revision 1000, while the instance receives only much older changes. */
START_TEST(outdated_changes_do_not_suppress_view_requests)
{
    enum { NEWEST = 1000, FIRST = 100 };
    site_t *site = new_site(1);
    standin_store_set_mode(site->store, STANDIN_STORE_BUSY);
    gateway_t *gateway = start_gateway(site, "g-1", &site->store_port, NULL);
    peer_t *peer = new_peer(site, gateway);
    send_change(peer, 0, FIRST);
    peer->next_change_from = FIRST;
    peer->at = NEWEST;
    RUN_UNTIL(site, peer->requests > 0);
}
END_TEST

/* The newer configuration of the peer may contain the route. */
START_TEST(unknown_route_gets_503_while_configuration_is_stale)
{
    enum { NEWER = 1000 };
    site_t *site = new_ready_site(1);
    peer_t *peer = new_peer(site, site->gateway);
    RUN_UNTIL(site, gateway_live_instances(site->gateway) == 2);
    ck_assert_int_eq(ask(site, "GET", "/none/x").status, 404);
    peer->at = NEWER;
    run_for(site, 3 * HEARTBEAT_MS);
    const reply_t reply = ask(site, "GET", "/none/x");
    ck_assert_int_eq(reply.status, 503);
    ck_assert_str_ne(reply.retry_after, "");
    ck_assert_int_eq(ask(site, "GET", "/safe/x").status, 200);
}
END_TEST

/* A cut-off instance cannot know whether operators have added the route. */
START_TEST(unknown_route_gets_503_while_neither_peers_nor_store_are_heard)
{
    site_t *site = new_ready_site(1);
    peer_t *peer = new_peer(site, site->gateway);
    RUN_UNTIL(site, gateway_live_instances(site->gateway) == 2);
    ck_assert_int_eq(ask(site, "GET", "/none/x").status, 404);
    standin_store_set_mode(site->store, STANDIN_STORE_SILENT);
    run_for(site, 2 * HEARTBEAT_MS); /* the peer is heard last */
    peer->silent = true;
    RUN_UNTIL(site, gateway_live_instances(site->gateway) == 1);
    run_for(site, GATEWAY_TICK_MS);
    const reply_t reply = ask(site, "GET", "/none/x");
    ck_assert_int_eq(reply.status, 503);
    ck_assert_str_ne(reply.retry_after, "");
    ck_assert_int_eq(ask(site, "GET", "/safe/x").status, 200);
    peer->silent = false;
    RUN_UNTIL(site, gateway_live_instances(site->gateway) == 2);
    run_for(site, GATEWAY_TICK_MS);
    ck_assert_int_eq(ask(site, "GET", "/none/x").status, 404);
}
END_TEST

/* The store alone, and a peer that ends as planned, leave nothing in doubt. */
START_TEST(unknown_route_gets_404_while_the_store_is_heard)
{
    site_t *site = new_ready_site(1);
    peer_t *peer = new_peer(site, site->gateway);
    RUN_UNTIL(site, gateway_live_instances(site->gateway) == 2);
    peer->silent = true;
    run_for(site, 3 * HEARTBEAT_MS);
    put_config(site, NULL); /* the store answers the watch */
    RUN_UNTIL(site, gateway_live_instances(site->gateway) == 1);
    run_for(site, GATEWAY_TICK_MS);
    ck_assert_int_eq(ask(site, "GET", "/none/x").status, 404);
}
END_TEST

/* No live instance holds the newer configuration any more. */
START_TEST(lost_peer_ends_the_stale_configuration_state)
{
    enum { NEWER = 1000 };
    site_t *site = new_ready_site(1);
    peer_t *peer = new_peer(site, site->gateway);
    RUN_UNTIL(site, gateway_live_instances(site->gateway) == 2);
    peer->at = NEWER;
    run_for(site, 3 * HEARTBEAT_MS);
    ck_assert_int_eq(ask(site, "GET", "/none/x").status, 503);
    peer->silent = true;
    RUN_UNTIL(site, gateway_live_instances(site->gateway) == 1);
    run_for(site, 3 * HEARTBEAT_MS);
    ck_assert_int_eq(ask(site, "GET", "/none/x").status, 404);
}
END_TEST

/* Successive versions are combined and rate-limited. */
START_TEST(large_changes_are_rate_limited)
{
    /* A change of about 260 kB is followed by a pause of 1 s. */
    enum { ROUTES = 1500, ROUNDS = 14, ROUND_MS = 210, PUSHES_MAX = 5 };
    site_t *site = new_ready_site(1);
    peer_t *peer = new_peer(site, site->gateway);
    RUN_UNTIL(site, gateway_live_instances(site->gateway) == 2);
    site->extra_routes = ROUTES;
    for (int round = 0; round < ROUNDS; round++) {
        put_config(site, NULL);
        run_for(site, ROUND_MS);
    }
    ck_assert_uint_ge(peer->pushes, 2);
    ck_assert_uint_le(peer->pushes, PUSHES_MAX);
    /* The last version is sent after the pause without any further change. */
    RUN_UNTIL(site, peer->version == site->version);
}
END_TEST

/* Many requests at once must not saturate the link. */
START_TEST(view_answers_are_rate_limited)
{
    enum { ROUTES = 500, REQUESTS = 10, CONFIG_BYTES = 90000, BURST = 256000, RUN_MS = 300 };
    site_t *site = new_ready_site(1);
    peer_t *peer = new_peer(site, site->gateway);
    RUN_UNTIL(site, gateway_live_instances(site->gateway) == 2);
    site->extra_routes = ROUTES;
    put_config(site, NULL);
    RUN_UNTIL(site, peer->version == site->version);
    const int64_t before = requested_bytes();
    for (int i = 0; i < REQUESTS; i++)
        send_request(peer);
    run_for(site, RUN_MS);
    const int64_t answered = requested_bytes() - before;
    ck_assert_int_gt(answered, 0);
    ck_assert_int_le(answered, BURST + CONFIG_BYTES);
}
END_TEST

/* Only peers that support compression get compressed bodies. */
START_TEST(large_bodies_are_compressed_if_the_peer_supports_it)
{
    enum { ROUTES = 500, ROUTES_BYTES = 80000 };
    site_t *site = new_ready_site(1);
    peer_t *peer = new_peer(site, site->gateway);
    RUN_UNTIL(site, gateway_live_instances(site->gateway) == 2);
    site->extra_routes = ROUTES;
    int64_t before = changed_bytes();
    put_config(site, NULL);
    RUN_UNTIL(site, peer->version == site->version);
    ck_assert_uint_eq(peer->packed_bodies, 0);
    ck_assert_int_gt(changed_bytes() - before, ROUTES_BYTES);
    peer->unpacks = true;
    run_for(site, 5 * HEARTBEAT_MS);
    before = changed_bytes();
    put_config(site, NULL);
    RUN_UNTIL(site, peer->version == site->version);
    ck_assert_uint_eq(peer->packed_bodies, 1);
    ck_assert_int_lt(changed_bytes() - before, ROUTES_BYTES / 4);
}
END_TEST

START_TEST(view_answers_are_compressed_if_the_peer_supports_it)
{
    /* Uncompressed, too large for a peer that can read the store. */
    enum { ROUTES = 1500, REQUESTS = 40 };
    site_t *site = new_site(1);
    site->extra_routes = ROUTES;
    put_config(site, NULL);
    use_gateway(site, start_gateway(site, "g-1", &site->store_port, NULL));
    RUN_UNTIL(site, is_ready(site));
    peer_t *peer = new_peer(site, site->gateway);
    RUN_UNTIL(site, gateway_live_instances(site->gateway) == 2);
    const int64_t before = requested_bytes();
    send_request(peer);
    RUN_UNTIL(site, peer->store_referrals == 1);
    ck_assert_int_eq(requested_bytes(), before);
    peer->unpacks = true;
    send_request(peer);
    RUN_UNTIL(site, peer->version == site->version);
    ck_assert_uint_eq(peer->packed_bodies, 1);
    /* Requests beyond the rate are dropped, not referred to the store. */
    for (int i = 0; i < REQUESTS; i++)
        send_request(peer);
    run_for(site, 3 * HEARTBEAT_MS);
    ck_assert_uint_eq(peer->store_referrals, 1);
    ck_assert_uint_lt(peer->packed_bodies, REQUESTS);
}
END_TEST

START_TEST(invalid_compressed_body_is_rejected)
{
    static const struct {
        const char *body;
        uint32_t unpacked_bytes;
    } rows[] = {{"no zlib", 100}, {"", 1}, {"no zlib", UINT32_MAX}};
    for (size_t i = 0; i < ALEN(rows); i++) {
        Iris__ViewUpdate update = IRIS__VIEW_UPDATE__INIT;
        Iris__ViewItem item = IRIS__VIEW_ITEM__INIT;
        Iris__ViewItem *items[] = {&item};
        item.body.len = strlen(rows[i].body);
        item.body.data = (uint8_t *)xmemdup0(rows[i].body, item.body.len);
        item.unpacked_bytes = rows[i].unpacked_bytes;
        update.items = items;
        update.n_items = ALEN(items);
        ck_assert(!view_message_unpack(&update));
        ck_assert_uint_eq(item.body.len, strlen(rows[i].body));
        free(item.body.data);
    }
}
END_TEST

static Iris__ViewUpdate *
encode_and_decode(view_message_t *message)
{
    const size_t len = iris__envelope__get_packed_size(&message->envelope);
    uint8_t *bytes = xmalloc(len);
    iris__envelope__pack(&message->envelope, bytes);
    Iris__Envelope *copy = iris__envelope__unpack(NULL, len, bytes);
    free(bytes);
    ck_assert_ptr_nonnull(copy);
    ck_assert_int_eq(copy->body_case, IRIS__ENVELOPE__BODY_LIST_UPDATE);
    leak_ignore(copy);
    return copy->list_update;
}

/* Entries of backend servers are too small to compress individually; a list compresses at least
 * fourfold. */
START_TEST(view_list_is_compressed_as_a_whole)
{
    enum { ENTRIES = 500, PACKED_PART = 4 };
    static char names[ENTRIES][16];
    static char bodies[ENTRIES][200];
    store_item_t items[ENTRIES];
    for (unsigned i = 0; i < ENTRIES; i++) {
        snprintf(names[i], sizeof(names[i]), "i-%08x", i * 2654435761U);
        snprintf(bodies[i], sizeof(bodies[i]),
                 "{\"metadata\":{\"name\":\"i-%08x\",\"revision\":%u},\"spec\":{\"address\":"
                 "\"10.1.%u.%u:8080\",\"info\":{\"service\":\"svc\",\"version\":\"v1\"}}}",
                 i * 2654435761U, 1000 + i, i / 250, i % 250);
        items[i] = (store_item_t){
            .name = str_from(names[i]), .revision = 1000 + i, .body = str_from(bodies[i])};
    }
    view_message_t message;
    view_message_fill(&message, items, ENTRIES);
    const size_t plain = message.bytes;
    message.update.at = 1500;
    view_message_pack(&message, VIEW_FORMAT_PACKED_BODIES);
    ck_assert_uint_eq(message.bytes, plain);
    view_message_pack(&message, VIEW_FORMAT_PACKED_LIST);
    ck_assert_uint_lt(message.bytes, plain / PACKED_PART);
    Iris__ViewUpdate *update = encode_and_decode(&message);
    ck_assert(view_message_unpack(update));
    ck_assert_uint_eq(update->n_items, ENTRIES);
    ck_assert_str_eq(update->items[7]->name, names[7]);
    ck_assert_uint_eq(update->items[7]->body.len, strlen(bodies[7]));
    ck_assert_uint_eq(view_update_bytes(update), plain);
    ck_assert_uint_eq(view_update_wire_bytes(update), message.bytes);
    /* The list is forwarded as received. */
    view_message_t again;
    ck_assert(view_message_fill_list(&again, update));
    ck_assert_uint_eq(again.bytes, message.bytes);
    ck_assert_uint_eq(again.update.at, 1500);
    Iris__ViewUpdate *further = encode_and_decode(&again);
    ck_assert(view_message_unpack(further));
    ck_assert_uint_eq(further->n_items, ENTRIES);
    view_message_free(&again);
    view_message_free(&message);
}
END_TEST

START_TEST(invalid_compressed_list_is_rejected)
{
    static const struct {
        const char *list;
        uint32_t unpacked_bytes;
    } rows[] = {{"no zlib", 100}, {"", 1}, {"no zlib", UINT32_MAX}};
    for (size_t i = 0; i < ALEN(rows); i++) {
        Iris__ViewUpdate update = IRIS__VIEW_UPDATE__INIT;
        update.packed_items.len = strlen(rows[i].list);
        update.packed_items.data = (uint8_t *)(uintptr_t)rows[i].list;
        update.unpacked_bytes = rows[i].unpacked_bytes;
        ck_assert(!view_message_unpack(&update));
        ck_assert_uint_eq(update.n_items, 0);
    }
}
END_TEST

/* The instance already has these changes, but its children in this tree may not. */
START_TEST(known_change_is_still_forwarded_once)
{
    enum { CHANGES = 24, FIRST = 1, BODY_BYTES = 8000 };
    const str_t text = STR("{\"spec\":{\"version\":\"1\"}}");
    site_t *site = new_ready_site(1);
    for (int i = 0; i < CHANGES; i++)
        put_config(site, NULL);
    peer_t *peer = new_peer(site, site->gateway);
    RUN_UNTIL(site, gateway_live_instances(site->gateway) == 2);
    run_for(site, 10 * HEARTBEAT_MS);
    const size_t before = peer->pushes;
    char *body = xmalloc(BODY_BYTES);
    memset(body, ' ', BODY_BYTES);
    memcpy(body, text.ptr, text.len);
    for (uint64_t at = FIRST; at < FIRST + CHANGES; at++) {
        Iris__Envelope envelope = IRIS__ENVELOPE__INIT;
        Iris__ViewUpdate update;
        Iris__ViewItem item;
        Iris__ViewItem *items[] = {&item};
        fill_update(&update, &item, at, at + 1);
        item.body = (ProtobufCBinaryData){BODY_BYTES, (uint8_t *)body};
        update.items = items;
        envelope.schema = PEER_SCHEMA;
        envelope.body_case = IRIS__ENVELOPE__BODY_VIEW_UPDATE;
        envelope.view_update = &update;
        for (int twice = 0; twice < 2; twice++)
            peer_send(peer->hub, &peer->to[0], &envelope);
    }
    run_for(site, 5 * HEARTBEAT_MS);
    /* The peer ranks after the instance for about half of the revisions. Each change is forwarded
     * at most once. */
    ck_assert_uint_gt(peer->pushes, before);
    ck_assert_uint_le(peer->pushes, before + CHANGES);
    free(body);
}
END_TEST

/* Departures precede a change of many entries, for peers that support them. */
START_TEST(departures_are_sent_before_a_large_change)
{
    enum { ENTRIES = 60 };
    for (int reads_lists = 0; reads_lists <= 1; reads_lists++) {
        site_t *site = new_ready_site(2);
        peer_t *peer = new_peer(site, site->gateway);
        peer->unpacks = peer->reads_lists = reads_lists != 0;
        RUN_UNTIL(site, gateway_live_instances(site->gateway) == 2);
        run_for(site, 5 * HEARTBEAT_MS);
        standin_store_set_delay(site->store, 300); /* so that one watch answer holds all changes */
        for (int i = 0; i < ENTRIES; i++) {
            char id[16];
            snprintf(id, sizeof(id), "other-%d", i);
            standin_store_put(
                site->store, "servers", id,
                json_pack("{s:s, s:{s:s, s:s, s:s, s:i}}", "address", "127.0.0.1:9", "info",
                          "service", "another", "version", "v1", "zone", "a1", "capacity", 4),
                json_pack("{s:s, s:i, s:i}", "state", "ready", "callSeq", 1, "coldRemainingMs", 0));
        }
        put_backend(site, &site->backends[0], "draining");
        standin_store_remove(site->store, "servers", "i-1");
        run_for(site, 15 * HEARTBEAT_MS);
        ck_assert_uint_eq(peer->departures_received, reads_lists ? 2 : 0);
    }
}
END_TEST

/* A restarted instance learns the addresses and its announcement from peers, without the store. */
START_TEST(restarted_peer_gets_a_prompt_reply)
{
    site_t *site = new_ready_site(1);
    peer_t *peer = new_peer(site, site->gateway);
    peer->announced = true;
    RUN_UNTIL(site, peer->addresses_received > 0);
    ck_assert(!peer->heard_announced);
    peer->restarts = 1;
    RUN_UNTIL(site, peer->heard_announced);
}
END_TEST

START_TEST(announced_instance_is_not_announced_again)
{
    site_t *site = new_site(1);
    gateway_t *gateway = start_gateway(site, "g-1", &site->store_port, NULL);
    peer_t *peer = new_peer(site, gateway);
    peer->announced = true; /* makes its heartbeats report the gateway as announced */
    use_gateway(site, gateway);
    RUN_UNTIL(site, is_ready(site));
    run_for(site, 1000);
    ck_assert(!standin_store_has(site->store, "irisstall-instances", "g-1"));
}
END_TEST

/* A peer that missed some changes can still apply the next one. */
START_TEST(change_starts_from_the_earliest_base)
{
    enum { CHANGES = 4 };
    site_t *site = new_ready_site(1);
    peer_t *peer = new_peer(site, site->gateway);
    RUN_UNTIL(site, gateway_live_instances(site->gateway) == 2);
    uint64_t first_from = 0;
    for (size_t i = 1; i <= CHANGES; i++) {
        put_config(site, NULL);
        RUN_UNTIL(site, peer->pushes == i);
        if (i == 1)
            first_from = peer->from_received;
    }
    ck_assert_uint_eq(peer->from_received, first_from);
    ck_assert_uint_gt(peer->at_received, first_from);
}
END_TEST

/* The change is distributed along a tree. The scripted peer does not forward it: only the instances
 * behind it may have to request it. */
START_TEST(large_change_reaches_all_despite_a_non_forwarding_peer)
{
    /* At most four of fourteen instances are behind the peer. The best round counts, as requests
     * may be more on a loaded machine. */
    enum { INSTANCES = 12, ROUTES = 500, CONFIG_BYTES = 90000, BEHIND_MAX = 4, ROUNDS = 3 };
    gateway_t *others[INSTANCES];
    site_t *site = new_ready_site(1);
    gateway_t *first = site->gateway;
    standin_store_t *closed = standin_store_start(&site->loop, &site->any);
    standin_store_set_mode(closed, STANDIN_STORE_BUSY);
    const addr_t addr = standin_store_addr(closed);
    const store_port_t port = platform_store_port(platform_store_new(&site->loop, &addr));
    for (size_t i = 0; i < ALEN(others); i++) {
        char name[16];
        snprintf(name, sizeof(name), "g-%zu", i + 2);
        others[i] = start_gateway(site, name, &port, &gateway_settings(first)->peer);
    }
    peer_t *peer = new_peer(site, first);
    for (size_t i = 0; i < ALEN(others); i++)
        peer->to[peer->to_count++] = gateway_settings(others[i])->peer;
    for (size_t i = 0; i < ALEN(others); i++) {
        RUN_UNTIL(site, gateway_live_instances(others[i]) == INSTANCES + 2);
        use_gateway(site, others[i]);
        RUN_UNTIL(site, is_ready(site));
    }
    site->extra_routes = ROUTES;
    int64_t least = INT64_MAX;
    for (int round = 0; round < ROUNDS; round++) {
        char prefix[16];
        snprintf(prefix, sizeof(prefix), "/new%d/", round);
        const int64_t before = requested_bytes();
        put_config(site, prefix);
        for (size_t i = 0; i < ALEN(others); i++) {
            use_gateway(site, others[i]);
            RUN_UNTIL(site, ask(site, "GET", prefix).status == 200);
        }
        if (requested_bytes() - before < least)
            least = requested_bytes() - before;
    }
    ck_assert_msg(least <= BEHIND_MAX * CONFIG_BYTES, "%lld bytes were asked for",
                  (long long)least);
}
END_TEST

Suite *
suite_gateway_view_relay(void)
{
    Suite *suite = suite_create("gateway: view relay");
    TCase *tests = tcase_create("relay");
    tcase_set_timeout(tests, 60);
    tcase_add_test(tests, changes_do_not_queue_for_a_slow_peer);
    tcase_add_test(tests, outdated_changes_do_not_suppress_view_requests);
    tcase_add_test(tests, unknown_route_gets_503_while_configuration_is_stale);
    tcase_add_test(tests, lost_peer_ends_the_stale_configuration_state);
    tcase_add_test(tests, unknown_route_gets_503_while_neither_peers_nor_store_are_heard);
    tcase_add_test(tests, unknown_route_gets_404_while_the_store_is_heard);
    tcase_add_test(tests, large_changes_are_rate_limited);
    tcase_add_test(tests, view_answers_are_rate_limited);
    tcase_add_test(tests, large_bodies_are_compressed_if_the_peer_supports_it);
    tcase_add_test(tests, view_answers_are_compressed_if_the_peer_supports_it);
    tcase_add_test(tests, invalid_compressed_body_is_rejected);
    tcase_add_test(tests, view_list_is_compressed_as_a_whole);
    tcase_add_test(tests, invalid_compressed_list_is_rejected);
    tcase_add_test(tests, known_change_is_still_forwarded_once);
    tcase_add_test(tests, departures_are_sent_before_a_large_change);
    tcase_add_test(tests, restarted_peer_gets_a_prompt_reply);
    tcase_add_test(tests, announced_instance_is_not_announced_again);
    tcase_add_test(tests, change_starts_from_the_earliest_base);
    tcase_add_test(tests, large_change_reaches_all_despite_a_non_forwarding_peer);
    suite_add_tcase(suite, tests);
    return suite;
}
