/*
 * fake-platform: a small stand-in for the entry's object store, for make run and the fault
 * campaign.
 *
 * Objects with versions, conditional writes, a watch, an instance list that lags, and the
 * store's call rates. POST /control switches faults: outage, delay_ms, lose_answers, list_lag_ms.
 */
#include <getopt.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <h2o.h>
#include <jansson.h>

#define LOG_MODULE "fake-platform"
#include "base/bucket.h"
#include "base/clock.h"
#include "base/history.h"
#include "base/log.h"
#include "base/rng.h"
#include "base/xmalloc.h"
#include "entry/http/server.h"
#include "standin/process.h"

enum {
    EXIT_USAGE = 2,
    VALUE_MAX = 1 << 20,
    HEAD_TIMEOUT_MS = 10000,
    CONNECTIONS_MAX = 8192,
    NAME_SIZE = 192,
    WATCH_MAX_MS = 60000,
    TICK_MS = 20,
    TABLE_SIZE = 1 << 16, /* hash buckets */
};

typedef struct object object_t;
struct object {
    char kind[NAME_SIZE];
    char name[NAME_SIZE];
    uint64_t version;
    char *body;
    size_t len;
    bool deleted;
    object_t *next;  /* in its hash bucket */
    object_t *later; /* in order of creation, claims excepted */
};

typedef struct watch watch_t;
struct watch {
    h2o_req_t *req;
    uint64_t since;
    uint64_t until_ms;
    watch_t *next;
    bool gone;
};

/* A whole answer kept back for `delay_ms`. */
typedef struct {
    uv_timer_t timer;
    h2o_req_t *req;
    bool *gone;
    int status;
    uint64_t etag;
    char *body;
    size_t len;
} delayed_t;

static struct {
    uv_loop_t *loop;
    object_t *buckets[TABLE_SIZE];
    object_t *listed;
    object_t **listed_tail;
    watch_t *watches;
    uint64_t revision;
    uint64_t watched_revision; /* of the newest change that watches report */
    json_t *instances;
    char *published; /* the list as callers see it */
    uint64_t published_revision;
    uint64_t instances_revision;
    uint64_t publish_at_ms;
    uint64_t list_lag_ms;
    uint64_t delay_ms;
    double lose_answers;
    bool outage;
    bucket_t reads;
    bucket_t writes;
    uint64_t calls_read;
    uint64_t calls_write;
    uint64_t calls_refused;
    rng_t rng;
    history_t history;
} state = {.listed_tail = &state.listed};

static uint64_t
now_ms(void)
{
    return clock_steady_ms(clock_system());
}

static object_t **
find_slot(const char *kind, const char *name)
{
    const uint64_t hash = str_hash(str_from(name), str_hash(str_from(kind), 0));
    object_t **slot = &state.buckets[hash % TABLE_SIZE];
    while (*slot != NULL && (strcmp((*slot)->kind, kind) != 0 || strcmp((*slot)->name, name) != 0))
        slot = &(*slot)->next;
    return slot;
}

static void
send_answer(h2o_req_t *req, int status, uint64_t etag, const char *body, size_t len)
{
    char text[32];
    snprintf(text, sizeof(text), "%" PRIu64, etag);
    http_add_header(req, "etag", str_from(text));
    http_reply(req, status, "application/json", body, len);
}

static void
on_delayed_closed(uv_handle_t *handle)
{
    delayed_t *delayed = handle->data;
    free(delayed->body);
    free(delayed);
}

static void
on_delay_over(uv_timer_t *timer)
{
    delayed_t *delayed = timer->data;
    if (!*delayed->gone)
        send_answer(delayed->req, delayed->status, delayed->etag, delayed->body, delayed->len);
    h2o_mem_release_shared(delayed->gone);
    uv_close((uv_handle_t *)timer, on_delayed_closed);
}

static void
mark_gone(void *ptr)
{
    **(bool **)ptr = true;
    h2o_mem_release_shared(*(bool **)ptr);
}

/* A flag that turns true when the request is disposed of; the caller releases it. */
static bool *
watch_request(h2o_req_t *req)
{
    bool *gone = h2o_mem_alloc_shared(NULL, sizeof(*gone), NULL);
    *gone = false;
    bool **guard = h2o_mem_alloc_shared(&req->pool, sizeof(*guard), mark_gone);
    *guard = gone;
    h2o_mem_addref_shared(gone);
    return gone;
}

static void
answer(h2o_req_t *req, int status, uint64_t etag, const char *body, size_t len)
{
    if (state.delay_ms == 0) {
        send_answer(req, status, etag, body, len);
        return;
    }
    delayed_t *delayed = xcalloc(1, sizeof(*delayed));
    delayed->req = req;
    delayed->gone = watch_request(req);
    delayed->status = status;
    delayed->etag = etag;
    delayed->body = xmemdup0(body, len);
    delayed->len = len;
    uv_timer_init(state.loop, &delayed->timer);
    delayed->timer.data = delayed;
    uv_timer_start(&delayed->timer, on_delay_over, state.delay_ms, 0);
}

static void
answer_error(h2o_req_t *req, int status, uint64_t etag, const char *what)
{
    char body[128];
    snprintf(body, sizeof(body), "{\"error\":\"%s\"}", what);
    answer(req, status, etag, body, strlen(body));
}

/* Closes the connection in place of an answer. */
static void
drop_answer(h2o_req_t *req)
{
    h2o_socket_t *sock = req->conn->callbacks->get_socket(req->conn);
    shutdown(h2o_socket_get_fd(sock), SHUT_RDWR);
}

static char *
changes_since(uint64_t since, size_t *count)
{
    json_t *list = json_array();
    for (const object_t *o = state.listed; o != NULL; o = o->later) {
        if (o->version > since && !o->deleted)
            json_array_append_new(list, json_pack("{s:s, s:s, s:I}", "kind", o->kind, "name",
                                                  o->name, "version", (json_int_t)o->version));
    }
    *count = json_array_size(list);
    json_t *root = json_pack("{s:I, s:o}", "revision", (json_int_t)state.revision, "objects", list);
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}

static void
answer_changes(h2o_req_t *req, uint64_t since)
{
    size_t count;
    char *text = changes_since(since, &count);
    answer(req, 200, state.revision, text, strlen(text));
    free(text);
}

static void
check_watches(void)
{
    watch_t **slot = &state.watches;
    while (*slot != NULL) {
        watch_t *watch = *slot;
        const bool due = now_ms() >= watch->until_ms || state.watched_revision > watch->since;
        if (!watch->gone && !due) {
            slot = &watch->next;
            continue;
        }
        *slot = watch->next;
        if (!watch->gone) {
            if (state.outage)
                answer_error(watch->req, 503, 0, "outage");
            else
                answer_changes(watch->req, watch->since);
        }
        h2o_mem_release_shared(watch);
    }
}

static void
on_watch_disposed(void *ptr)
{
    watch_t *watch = *(watch_t **)ptr;
    watch->gone = true;
    h2o_mem_release_shared(watch);
}

static void
start_watch(h2o_req_t *req)
{
    str_t value;
    uint64_t since = 0;
    uint64_t wait_ms = 0;
    if (http_query(req, STR("since"), &value))
        str_to_u64(value, &since);
    if (http_query(req, STR("wait_ms"), &value))
        str_to_u64(value, &wait_ms);
    watch_t *watch = h2o_mem_alloc_shared(NULL, sizeof(*watch), NULL);
    *watch = (watch_t){.req = req,
                       .since = since,
                       .until_ms = now_ms() + (wait_ms < WATCH_MAX_MS ? wait_ms : WATCH_MAX_MS),
                       .next = state.watches};
    watch_t **guard = h2o_mem_alloc_shared(&req->pool, sizeof(*guard), on_watch_disposed);
    *guard = watch;
    h2o_mem_addref_shared(watch);
    state.watches = watch;
    check_watches();
}

static void
record_write(const object_t *object)
{
    if (strcmp(object->kind, "claim") == 0) {
        history_write(&state.history, "store_write",
                      "\"kind\":\"%s\",\"name\":\"%s\",\"version\":%" PRIu64, object->kind,
                      object->name, object->version);
        return;
    }
    json_t *value = json_loadb(object->body, object->len, 0, NULL);
    char *text = value != NULL ? json_dumps(value, JSON_COMPACT) : xmemdup0("null", 4);
    history_write(&state.history, "store_write",
                  "\"kind\":\"%s\",\"name\":\"%s\",\"version\":%" PRIu64 ",\"value\":%s",
                  object->kind, object->name, object->version, text);
    free(text);
    json_decref(value);
}

static object_t *
add_object(object_t **slot, const char *kind, const char *name)
{
    object_t *object = xcalloc(1, sizeof(*object));
    snprintf(object->kind, sizeof(object->kind), "%s", kind);
    snprintf(object->name, sizeof(object->name), "%s", name);
    *slot = object;
    if (strcmp(kind, "claim") != 0) {
        *state.listed_tail = object;
        state.listed_tail = &object->later;
    }
    return object;
}

static void
write_object(h2o_req_t *req, const char *kind, const char *name, bool remove)
{
    object_t **slot = find_slot(kind, name);
    object_t *object = *slot;
    uint64_t expected;
    if (!str_to_u64(http_header(req, STR("if-match")), &expected)) {
        answer_error(req, 400, 0, "if_match_missing");
        return;
    }
    const uint64_t current = object != NULL && !object->deleted ? object->version : 0;
    if (current != expected) {
        answer_error(req, 409, current, "conflict");
        return;
    }
    if (remove && current == 0) {
        answer_error(req, 404, 0, "not_found");
        return;
    }
    if (object == NULL)
        object = add_object(slot, kind, name);
    free(object->body);
    object->body = xmemdup0(req->entity.base, remove ? 0 : req->entity.len);
    object->len = remove ? 0 : req->entity.len;
    object->deleted = remove;
    object->version = ++state.revision;
    if (strcmp(kind, "claim") != 0)
        state.watched_revision = object->version;
    record_write(object);
    if (rng_unit(&state.rng) < state.lose_answers)
        drop_answer(req);
    else
        answer(req, 200, object->version, "{}", 2);
    if (strcmp(kind, "claim") != 0)
        check_watches();
}

static void
read_object(h2o_req_t *req, const char *kind, const char *name)
{
    const object_t *object = *find_slot(kind, name);
    if (object == NULL || object->deleted)
        answer_error(req, 404, 0, "not_found");
    else
        answer(req, 200, object->version, object->body, object->len);
}

static void
publish_instances(void)
{
    free(state.published);
    state.published = json_dumps(state.instances, JSON_COMPACT);
    state.published_revision = state.instances_revision;
    state.publish_at_ms = 0;
}

static void
instances_changed(void)
{
    state.instances_revision = ++state.revision;
    state.publish_at_ms = now_ms() + state.list_lag_ms;
    if (state.list_lag_ms == 0)
        publish_instances();
}

static json_t *
find_instance(const char *name, size_t *index)
{
    for (size_t i = 0; i < json_array_size(state.instances); i++) {
        json_t *item = json_array_get(state.instances, i);
        if (strcmp(json_string_value(json_object_get(item, "name")), name) == 0) {
            *index = i;
            return item;
        }
    }
    return NULL;
}

/* Adds or replaces the instances of a JSON list; state "gone" removes one. */
static void
update_instances(h2o_req_t *req)
{
    json_t *list = json_loadb(req->entity.base, req->entity.len, 0, NULL);
    size_t i;
    json_t *item;
    json_array_foreach(list, i, item)
    {
        size_t at;
        const char *name = json_string_value(json_object_get(item, "name"));
        const char *status = json_string_value(json_object_get(item, "state"));
        json_t *known = name != NULL ? find_instance(name, &at) : NULL;
        if (name == NULL)
            continue;
        if (status != NULL && strcmp(status, "gone") == 0 && known != NULL)
            json_array_remove(state.instances, at);
        else if (known != NULL)
            json_object_update(known, item);
        else if (status == NULL || strcmp(status, "gone") != 0)
            json_array_append(state.instances, item);
        history_write(&state.history, "instance",
                      "\"name\":\"%s\",\"state\":\"%s\",\"version\":%" PRIu64, name,
                      status != NULL ? status : "live", state.revision + 1);
    }
    json_decref(list);
    instances_changed();
    answer(req, 200, state.instances_revision, "{}", 2);
}

static void
control(h2o_req_t *req)
{
    str_t value;
    uint64_t number;
    if (http_query(req, STR("outage"), &value))
        state.outage = str_eq(value, STR("1"));
    if (http_query(req, STR("delay_ms"), &value) && str_to_u64(value, &number))
        state.delay_ms = number;
    if (http_query(req, STR("lose_answers"), &value) && str_to_u64(value, &number))
        state.lose_answers = (double)number / 100.0;
    if (http_query(req, STR("list_lag_ms"), &value) && str_to_u64(value, &number))
        state.list_lag_ms = number;
    history_write(&state.history, "store_control",
                  "\"outage\":%d,\"delay_ms\":%" PRIu64 ",\"lose_answers\":%g", state.outage,
                  state.delay_ms, state.lose_answers);
    char body[256];
    const int len =
        snprintf(body, sizeof(body),
                 "{\"reads\":%" PRIu64 ",\"writes\":%" PRIu64 ",\"refused\":%" PRIu64
                 ",\"revision\":%" PRIu64 "}\n",
                 state.calls_read, state.calls_write, state.calls_refused, state.revision);
    http_reply(req, 200, "application/json", body, (size_t)len);
    if (state.outage)
        for (watch_t *w = state.watches; w != NULL; w = w->next)
            w->until_ms = 0;
    check_watches();
}

static bool
split_path(str_t path, char kind[NAME_SIZE], char name[NAME_SIZE])
{
    const str_t prefix = STR("/v1/objects/");
    if (!str_starts_with(path, prefix))
        return false;
    const char *at = path.ptr + prefix.len;
    const char *end = path.ptr + path.len;
    const char *slash = memchr(at, '/', (size_t)(end - at));
    if (slash == NULL || slash - at >= NAME_SIZE || end - slash > NAME_SIZE || slash + 1 == end)
        return false;
    snprintf(kind, NAME_SIZE, "%.*s", (int)(slash - at), at);
    snprintf(name, NAME_SIZE, "%.*s", (int)(end - slash - 1), slash + 1);
    return true;
}

static bool
admit(h2o_req_t *req, bool is_write)
{
    if (state.outage) {
        answer_error(req, 503, 0, "outage");
        return false;
    }
    bucket_t *bucket = is_write ? &state.writes : &state.reads;
    if (!bucket_take(bucket, 1, now_ms())) {
        state.calls_refused++;
        answer_error(req, 429, 0, "rate");
        return false;
    }
    if (is_write)
        state.calls_write++;
    else
        state.calls_read++;
    return true;
}

static void
on_request(void *ctx, h2o_req_t *req)
{
    (void)ctx;
    const str_t path = http_path(req);
    const str_t method = {req->method.base, req->method.len};
    const bool get = str_eq(method, STR("GET"));
    char kind[NAME_SIZE];
    char name[NAME_SIZE];
    if (str_eq(path, STR("/control"))) {
        control(req);
    } else if (str_eq(path, STR("/v1/instances")) && !get) {
        update_instances(req);
    } else if (!admit(req, !get)) {
        return;
    } else if (str_eq(path, STR("/v1/instances"))) {
        answer(req, 200, state.published_revision, state.published, strlen(state.published));
    } else if (str_eq(path, STR("/v1/objects"))) {
        answer_changes(req, 0);
    } else if (str_eq(path, STR("/v1/watch"))) {
        start_watch(req);
    } else if (!split_path(path, kind, name)) {
        answer_error(req, 404, 0, "no_such_path");
    } else if (get) {
        read_object(req, kind, name);
    } else if (str_eq(method, STR("PUT")) || str_eq(method, STR("DELETE"))) {
        write_object(req, kind, name, str_eq(method, STR("DELETE")));
    } else {
        answer_error(req, 405, 0, "method");
    }
}

static void
on_tick(void)
{
    if (state.publish_at_ms != 0 && now_ms() >= state.publish_at_ms)
        publish_instances();
    check_watches();
}

static void
print_help(void)
{
    puts("Usage: fake-platform --listen=IP:PORT [--history=FILE] [--reads=N] [--writes=N]\n"
         "A stand-in for the platform's object API, for tests and demos.");
}

typedef struct {
    bool has_addr;
    addr_t addr;
    const char *history;
    double reads;  /* calls a second */
    double writes; /* the same */
} options_t;

/* True if the program goes on; else `*status` is its exit status. */
static bool
parse_options(int argc, char **argv, options_t *out, int *status)
{
    static const struct option options[] = {
        {"listen", required_argument, NULL, 'l'}, {"history", required_argument, NULL, 'y'},
        {"reads", required_argument, NULL, 'r'},  {"writes", required_argument, NULL, 'w'},
        {"help", no_argument, NULL, 'h'},         {NULL, 0, NULL, 0}};
    int opt;
    while ((opt = getopt_long(argc, argv, "h", options, NULL)) != -1) {
        switch (opt) {
        case 'l':
            out->has_addr = addr_parse(str_from(optarg), &out->addr);
            break;
        case 'y':
            out->history = optarg;
            break;
        case 'r':
            out->reads = strtod(optarg, NULL);
            break;
        case 'w':
            out->writes = strtod(optarg, NULL);
            break;
        case 'h':
            print_help();
            *status = EXIT_SUCCESS;
            return false;
        default:
            *status = EXIT_USAGE;
            return false;
        }
    }
    if (out->has_addr)
        return true;
    print_help();
    *status = EXIT_USAGE;
    return false;
}

int
main(int argc, char *argv[])
{
    options_t options = {.history = "", .reads = 2000, .writes = 100};
    err_t err = {0};
    int status;
    if (!parse_options(argc, argv, &options, &status))
        return status;
    const http_server_conf_t conf = {.addr = options.addr,
                                     .max_body = VALUE_MAX,
                                     .head_timeout_ms = HEAD_TIMEOUT_MS,
                                     .max_connections = CONNECTIONS_MAX};
    signal(SIGPIPE, SIG_IGN);
    state.loop = uv_default_loop();
    state.rng = rng_system();
    state.instances = json_array();
    publish_instances();
    bucket_init(&state.reads, options.reads, options.reads, now_ms());
    bucket_init(&state.writes, options.writes, options.writes, now_ms());
    if (!log_open(NULL, LOG_LEVEL_INFO, &err) ||
        !history_open(&state.history, options.history, &err) ||
        http_server_start(state.loop, &conf, on_request, NULL, &err) == NULL) {
        fprintf(stderr, "fake-platform: %s\n", err.detail);
        return EXIT_FAILURE;
    }
    standin_process_t process = {
        .loop = state.loop, .history = &state.history, .tick_ms = TICK_MS, .on_tick = on_tick};
    standin_run(&process);
    return EXIT_SUCCESS;
}
