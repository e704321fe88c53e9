/* View relay: what an instance sends a peer of its views, and what it asks for. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sys/socket.h>

#include "base/counter.h"
#include "base/tcp.h"
#include "base/xmalloc.h"
#include "gateway/membership/members.h"
#include "gateway/state/view_message.h"
#include "peer/link.h"
#include "test/gateway/site.h"
#include "test/suites.h"

enum {
    HEARTBEAT_MS = 100,
    SOCKET_BYTES = 4096, /* that a peer takes which does not read */
    GATEWAYS_MAX = 16,
};

/* A scripted instance: it sends heartbeats, and counts what it is asked for. */
typedef struct {
    site_t *site;
    peer_hub_t *hub;
    addr_t to[GATEWAYS_MAX]; /* the gateways; changes go to the first */
    size_t to_count;
    addr_t address; /* where the gateway reaches the peer */
    uv_timer_t timer;
    uint64_t at;          /* revision of the configuration that its heartbeats tell */
    uint64_t late;        /* revision up to which it sends changes, one a heartbeat; 0: none */
    size_t requests;      /* for the configuration, of a view that is known already */
    size_t pushes;        /* changes of the configuration that it was sent */
    uint64_t from;        /* of the last one: the changes came after this revision */
    uint64_t up_to;       /* and led up to this one */
    unsigned version;     /* of the configuration that it brought */
    bool unpacks;         /* its messages say that it takes packed bodies */
    size_t sent_away;     /* answers that told it to read the store */
    size_t packed;        /* changes and answers that came so */
    bool silent;          /* it sends no heartbeats any more */
    bool reads_lists;     /* its messages say that it takes lists packed together */
    size_t lists;         /* changes that came so */
    size_t departed;      /* backend servers that it was told of ahead of a change */
    bool announced;       /* it says that the store has its entry */
    uint64_t life;        /* its incarnation; 0: the first */
    bool heard_announced; /* it was told that it said so in an earlier life */
    size_t addresses;     /* of instances that it was told */
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
    heartbeat.incarnation = 1 + peer->life;
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

/* The configuration as of a revision: whole, or as a change since `from`. */
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

/* Asks for the whole configuration. */
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

/* The version that stands in a configuration. */
static unsigned
version_of(const Iris__ViewItem *item)
{
    json_t *object = json_loadb((const char *)item->body.data, item->body.len, 0, NULL);
    const json_t *version = json_object_get(json_object_get(object, "spec"), "version");
    const char *text = json_string_value(version);
    ck_assert_ptr_nonnull(text);
    const unsigned number = (unsigned)strtoul(text, NULL, 16);
    json_decref(object);
    return number;
}

/* Packed bodies come in a kind of message that an older instance leaves, and only there. */
static Iris__ViewUpdate *
update_of(peer_t *peer, const Iris__Envelope *message)
{
    if (message->body_case == IRIS__ENVELOPE__BODY_PACKED_UPDATE) {
        ck_assert(peer->unpacks);
        ck_assert_uint_gt(message->packed_update->items[0]->unpacked_bytes, 0);
        peer->packed++;
        return message->packed_update;
    }
    if (message->body_case == IRIS__ENVELOPE__BODY_LIST_UPDATE) {
        ck_assert(peer->reads_lists);
        ck_assert_uint_eq(message->list_update->n_items, 0);
        ck_assert(view_message_unpack(message->list_update));
        peer->lists++;
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
        peer->departed += message->departures->n_items;
    if (message->body_case == IRIS__ENVELOPE__BODY_GATEWAY) {
        peer->heard_announced |= message->gateway->was_announced;
        peer->addresses += message->gateway->n_peers;
    }
    Iris__ViewUpdate *update = update_of(peer, message);
    if (update == NULL || update->kind != VIEW_CONFIG)
        return;
    if (update->at == 0) {
        peer->sent_away++;
        return;
    }
    peer->pushes++;
    peer->from = update->from;
    peer->up_to = update->at;
    ck_assert_uint_eq(update->n_items, 1);
    ck_assert(view_message_unpack(update));
    peer->version = version_of(update->items[0]);
}

static void
on_peer_timer(uv_timer_t *timer)
{
    peer_t *peer = timer->data;
    send_heartbeat(peer);
    if (peer->late == 0)
        return;
    send_change(peer, peer->late, peer->late + 1);
    peer->late++;
}

static peer_t *
new_peer(site_t *site, gateway_t *gateway)
{
    err_t err = {0};
    peer_t *peer = xcalloc(1, sizeof(*peer));
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

/* Takes the connection and leaves its bytes in a small socket. */
static void
on_accept_and_stall(uv_stream_t *listener, int status)
{
    uv_tcp_t *conn = xcalloc(1, sizeof(*conn));
    ck_assert_int_eq(status, 0);
    uv_tcp_init(listener->loop, conn);
    ck_assert_int_eq(uv_accept(listener, (uv_stream_t *)conn), 0);
}

/* From now on the gateway reaches the peer where nobody reads. */
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
waiting_bytes(void)
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
on_time(uv_timer_t *timer)
{
    *(bool *)timer->data = true;
}

/* Runs the loop for that long. */
static void
run_for(site_t *site, uint64_t ms)
{
    static uv_timer_t timer;
    bool over = false;
    uv_timer_init(&site->loop, &timer);
    timer.data = &over;
    uv_timer_start(&timer, on_time, ms, 0);
    while (!over)
        uv_run(&site->loop, UV_RUN_ONCE);
}

/* Changes in quick succession, each a version of the one configuration object. */
START_TEST(changes_do_not_queue_for_a_peer_that_reads_slowly)
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
        if (waiting_bytes() > most)
            most = waiting_bytes();
    }
    /* One change, begun when little enough waited, and what that was (peer/link.c). */
    ck_assert_msg(most <= one_change + WAITING, "%lld bytes wait, a change has %lld",
                  (long long)most, (long long)one_change);
}
END_TEST

/* The peer knows revision 1000; what reaches the instance are changes of long ago. */
START_TEST(late_changes_do_not_keep_an_instance_from_asking)
{
    enum { NEWEST = 1000, FIRST = 100 };
    site_t *site = new_site(1);
    standin_store_set_mode(site->store, STANDIN_STORE_BUSY);
    gateway_t *gateway = start_gateway(site, "g-1", &site->store_port, NULL);
    peer_t *peer = new_peer(site, gateway);
    send_change(peer, 0, FIRST);
    peer->late = FIRST;
    peer->at = NEWEST;
    RUN_UNTIL(site, peer->requests > 0);
}
END_TEST

/* A route that is not known here may stand in the configuration that the peer holds. */
START_TEST(no_route_is_denied_while_a_peer_has_a_newer_configuration)
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

/* Nobody has the newer configuration any more. */
START_TEST(a_lost_peer_leaves_nobody_behind)
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

/* Versions that follow each other go out together, at a pace. */
START_TEST(changes_keep_to_a_pace)
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
    /* What came last goes out after the pause, though nothing changes any more. */
    RUN_UNTIL(site, peer->version == site->version);
}
END_TEST

/* Many that ask at once do not fill the link of one. */
START_TEST(answers_keep_to_a_rate)
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

/* Routes pack about ten times; an older instance gets them as they are. */
START_TEST(large_bodies_go_packed_to_who_takes_them)
{
    enum { ROUTES = 500, ROUTES_BYTES = 80000 };
    site_t *site = new_ready_site(1);
    peer_t *peer = new_peer(site, site->gateway);
    RUN_UNTIL(site, gateway_live_instances(site->gateway) == 2);
    site->extra_routes = ROUTES;
    int64_t before = changed_bytes();
    put_config(site, NULL);
    RUN_UNTIL(site, peer->version == site->version);
    ck_assert_uint_eq(peer->packed, 0);
    ck_assert_int_gt(changed_bytes() - before, ROUTES_BYTES);
    peer->unpacks = true;
    run_for(site, 5 * HEARTBEAT_MS);
    before = changed_bytes();
    put_config(site, NULL);
    RUN_UNTIL(site, peer->version == site->version);
    ck_assert_uint_eq(peer->packed, 1);
    ck_assert_int_lt(changed_bytes() - before, ROUTES_BYTES / 4);
}
END_TEST

START_TEST(answers_are_packed_for_who_takes_them)
{
    /* More than a peer is sent that can read the store, unless it is packed. */
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
    RUN_UNTIL(site, peer->sent_away == 1);
    ck_assert_int_eq(requested_bytes(), before);
    peer->unpacks = true;
    send_request(peer);
    RUN_UNTIL(site, peer->version == site->version);
    ck_assert_uint_eq(peer->packed, 1);
    /* Those beyond the rate are not sent to the store: they ask somebody else. */
    for (int i = 0; i < REQUESTS; i++)
        send_request(peer);
    run_for(site, 3 * HEARTBEAT_MS);
    ck_assert_uint_eq(peer->sent_away, 1);
    ck_assert_uint_lt(peer->packed, REQUESTS);
}
END_TEST

START_TEST(a_body_that_cannot_be_unpacked_changes_nothing)
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
through_the_wire(view_message_t *message)
{
    const size_t len = iris__envelope__get_packed_size(&message->envelope);
    uint8_t *bytes = xmalloc(len);
    iris__envelope__pack(&message->envelope, bytes);
    Iris__Envelope *copy = iris__envelope__unpack(NULL, len, bytes);
    free(bytes);
    ck_assert_ptr_nonnull(copy);
    ck_assert_int_eq(copy->body_case, IRIS__ENVELOPE__BODY_LIST_UPDATE);
    return copy->list_update; /* the test's process ends with it */
}

/* Entries of backend servers are too small to pack alone; together they pack five times. */
START_TEST(a_list_is_packed_together)
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
    view_message_pack(&message, VIEW_READS_BODIES);
    ck_assert_uint_eq(message.bytes, plain);
    view_message_pack(&message, VIEW_READS_LISTS);
    ck_assert_uint_lt(message.bytes, plain / PACKED_PART);
    Iris__ViewUpdate *update = through_the_wire(&message);
    ck_assert(view_message_unpack(update));
    ck_assert_uint_eq(update->n_items, ENTRIES);
    ck_assert_str_eq(update->items[7]->name, names[7]);
    ck_assert_uint_eq(update->items[7]->body.len, strlen(bodies[7]));
    ck_assert_uint_eq(view_update_bytes(update), plain);
    ck_assert_uint_eq(view_update_wire_bytes(update), message.bytes);
    /* It is sent on as it came. */
    view_message_t again;
    ck_assert(view_message_fill_list(&again, update));
    ck_assert_uint_eq(again.bytes, message.bytes);
    ck_assert_uint_eq(again.update.at, 1500);
    Iris__ViewUpdate *further = through_the_wire(&again);
    ck_assert(view_message_unpack(further));
    ck_assert_uint_eq(further->n_items, ENTRIES);
    view_message_free(&again);
    view_message_free(&message);
}
END_TEST

START_TEST(a_list_that_cannot_be_unpacked_changes_nothing)
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

/* The instance has got these changes before, from another watcher; those behind it in this tree may
 * not have. */
START_TEST(a_change_goes_on_though_it_is_no_news)
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
    /* In the order of a revision the peer is behind the instance half of the times; each goes on
     * once. */
    ck_assert_uint_gt(peer->pushes, before);
    ck_assert_uint_le(peer->pushes, before + CHANGES);
    free(body);
}
END_TEST

/* What binds goes ahead of a change of hundreds of entries, and only to who takes it. */
START_TEST(departures_go_ahead_of_a_large_change)
{
    enum { ENTRIES = 60 };
    for (int reads_lists = 0; reads_lists <= 1; reads_lists++) {
        site_t *site = new_ready_site(2);
        peer_t *peer = new_peer(site, site->gateway);
        peer->unpacks = peer->reads_lists = reads_lists != 0;
        RUN_UNTIL(site, gateway_live_instances(site->gateway) == 2);
        run_for(site, 5 * HEARTBEAT_MS);
        standin_store_set_delay(site->store, 300); /* so that one watch brings all */
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
        ck_assert_uint_eq(peer->departed, reads_lists ? 2 : 0);
    }
}
END_TEST

/* A started instance need not ask the store who there is, nor announce itself again. */
START_TEST(an_instance_heard_anew_is_answered_at_once)
{
    site_t *site = new_ready_site(1);
    peer_t *peer = new_peer(site, site->gateway);
    peer->announced = true;
    RUN_UNTIL(site, peer->addresses > 0);
    ck_assert(!peer->heard_announced);
    peer->life = 1;
    RUN_UNTIL(site, peer->heard_announced);
}
END_TEST

START_TEST(an_instance_that_was_announced_is_not_again)
{
    site_t *site = new_site(1);
    gateway_t *gateway = start_gateway(site, "g-1", &site->store_port, NULL);
    peer_t *peer = new_peer(site, gateway);
    peer->announced = true; /* so that its messages say that the other was, too */
    use_gateway(site, gateway);
    RUN_UNTIL(site, is_ready(site));
    run_for(site, 1000);
    ck_assert(!standin_store_has(site->store, "irisstall-instances", "g-1"));
}
END_TEST

/* A peer that missed some changes can still apply the next one. */
START_TEST(a_change_reaches_back_to_earlier_ones)
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
            first_from = peer->from;
    }
    ck_assert_uint_eq(peer->from, first_from);
    ck_assert_uint_gt(peer->up_to, first_from);
}
END_TEST

/* A large configuration travels along a tree of instances. The scripted peer, one of them, sends
 * nothing on: those behind it ask for what they lack, all others get it unasked. */
START_TEST(a_large_change_reaches_all_past_a_silent_instance)
{
    /* The peer has at most four of fourteen behind it; a busy machine may let more ask. */
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
    tcase_add_test(tests, changes_do_not_queue_for_a_peer_that_reads_slowly);
    tcase_add_test(tests, late_changes_do_not_keep_an_instance_from_asking);
    tcase_add_test(tests, no_route_is_denied_while_a_peer_has_a_newer_configuration);
    tcase_add_test(tests, a_lost_peer_leaves_nobody_behind);
    tcase_add_test(tests, changes_keep_to_a_pace);
    tcase_add_test(tests, answers_keep_to_a_rate);
    tcase_add_test(tests, large_bodies_go_packed_to_who_takes_them);
    tcase_add_test(tests, answers_are_packed_for_who_takes_them);
    tcase_add_test(tests, a_body_that_cannot_be_unpacked_changes_nothing);
    tcase_add_test(tests, a_list_is_packed_together);
    tcase_add_test(tests, a_list_that_cannot_be_unpacked_changes_nothing);
    tcase_add_test(tests, a_change_goes_on_though_it_is_no_news);
    tcase_add_test(tests, departures_go_ahead_of_a_large_change);
    tcase_add_test(tests, an_instance_heard_anew_is_answered_at_once);
    tcase_add_test(tests, an_instance_that_was_announced_is_not_again);
    tcase_add_test(tests, a_change_reaches_back_to_earlier_ones);
    tcase_add_test(tests, a_large_change_reaches_all_past_a_silent_instance);
    suite_add_tcase(suite, tests);
    return suite;
}
