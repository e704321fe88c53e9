#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <http_parser.h>

#include "base/xmalloc.h"
#include "standin/store.h"
#include "wire/listener.h"

enum { KIND_MAX = 160, PAGE_DEFAULT = 500 };

static const char *const path_prefix = "/v1/objects/";

typedef struct object {
    char kind[KIND_MAX];
    json_t *value;
    uint64_t revision;
    bool gone; /* kept as an event */
    bool past; /* a newer version has replaced it; kept as an event */
    struct object *next;
} object_t;

typedef struct watch {
    standin_store_t *store;
    wire_request_t *req;
    uv_timer_t timer;
    char kind[KIND_MAX];
    uint64_t from;
    struct watch *next;
} watch_t;

/* A call that waits before it is looked at. */
typedef struct {
    standin_store_t *store;
    wire_request_t *req;
    uv_timer_t timer;
} delayed_t;

/* An answer that goes out in pieces. */
typedef struct {
    standin_store_t *store;
    wire_request_t *req;
    uv_timer_t timer;
    char *text;
    size_t len;
    size_t sent;
} paced_t;

struct standin_store {
    uv_loop_t *loop;
    wire_listener_t *listener;
    addr_t addr;
    standin_store_mode_t mode;
    object_t *objects; /* newest change first; an entry a version, since watches give each */
    watch_t *watches;
    uint64_t revision;
    uint64_t oldest; /* watches from before get 410 */
    uint64_t calls;
    uint64_t delay_ms;
    size_t piece; /* bytes of answers sent at once, 0: all */
    uint64_t pause_ms;
    size_t page;
    char refused_kind[KIND_MAX];
    unsigned refused_lists;
    char held_kind[KIND_MAX];
    int watch_status;
    uint64_t era; /* 0: answers do not name it */
};

/* Returns the header lines of an answer. */
static str_t
fields_of(const standin_store_t *store)
{
    static char text[96];
    const int len =
        store->era == 0
            ? snprintf(text, sizeof(text), "Content-Type: application/json\r\n")
            : snprintf(text, sizeof(text), "Content-Type: application/json\r\nStore-Era: %llu\r\n",
                       (unsigned long long)store->era);
    return (str_t){text, (size_t)len};
}

static void
respond(const standin_store_t *store, wire_request_t *req, int status, str_t body)
{
    wire_respond(req, status, fields_of(store), body);
}

static const char *
name_of(const object_t *object)
{
    return json_string_value(json_object_get(json_object_get(object->value, "metadata"), "name"));
}

static object_t *
find(const standin_store_t *store, const char *kind, const char *name)
{
    for (object_t *object = store->objects; object != NULL; object = object->next) {
        if (strcmp(object->kind, kind) == 0 && strcmp(name_of(object), name) == 0)
            return object;
    }
    return NULL;
}

static void
on_paced_closed(uv_handle_t *handle)
{
    paced_t *paced = handle->data;
    free(paced->text);
    free(paced);
}

static void
drop_paced(void *ctx)
{
    paced_t *paced = ctx;
    uv_close((uv_handle_t *)&paced->timer, on_paced_closed);
}

static void
on_pace(uv_timer_t *timer)
{
    paced_t *paced = timer->data;
    const size_t left = paced->len - paced->sent;
    const size_t piece = left < paced->store->piece ? left : paced->store->piece;
    wire_respond_data(paced->req, paced->text + paced->sent, piece);
    wire_respond_flush(paced->req);
    paced->sent += piece;
    if (paced->sent < paced->len)
        return;
    wire_respond_end(paced->req);
    drop_paced(paced);
}

/* Takes over the text. */
static void
respond_in_pieces(standin_store_t *store, wire_request_t *req, str_t fields, char *text)
{
    paced_t *paced = xcalloc(1, sizeof(*paced));
    paced->store = store;
    paced->req = req;
    paced->text = text;
    paced->len = strlen(text);
    req->ctx = paced;
    req->on_disconnect = drop_paced;
    wire_respond_head(req, HTTP_STATUS_OK, fields, (int64_t)paced->len);
    uv_timer_init(store->loop, &paced->timer);
    paced->timer.data = paced;
    uv_timer_start(&paced->timer, on_pace, 0, store->pause_ms);
}

static void
respond_json(standin_store_t *store, wire_request_t *req, json_t *body)
{
    const str_t fields = fields_of(store);
    char *text = json_dumps(body, JSON_COMPACT);
    if (store->piece > 0) {
        respond_in_pieces(store, req, fields, text);
    } else {
        wire_respond(req, HTTP_STATUS_OK, fields, str_from(text));
        free(text);
    }
    json_decref(body);
}

/* The events of a kind after `from`; NULL if there are none. */
static json_t *
events_after(const standin_store_t *store, const char *kind, uint64_t from)
{
    json_t *events = json_array();
    for (const object_t *object = store->objects; object != NULL; object = object->next) {
        if (object->revision <= from || strcmp(object->kind, kind) != 0)
            continue;
        json_array_insert_new(
            events, 0, json_pack("{s:b, s:O}", "gone", object->gone, "object", object->value));
    }
    if (json_array_size(events) > 0)
        return events;
    json_decref(events);
    return NULL;
}

static void
on_watch_closed(uv_handle_t *handle)
{
    free(handle->data);
}

static void
drop_watch(watch_t *watch)
{
    watch_t **slot = &watch->store->watches;
    while (*slot != watch)
        slot = &(*slot)->next;
    *slot = watch->next;
    uv_close((uv_handle_t *)&watch->timer, on_watch_closed);
}

static void
answer_watch(watch_t *watch, json_t *events)
{
    standin_store_t *store = watch->store;
    wire_request_t *req = watch->req;
    drop_watch(watch);
    respond_json(store, req,
                 json_pack("{s:o, s:I}", "events", events != NULL ? events : json_array(), "at",
                           (json_int_t)store->revision));
}

static void
wake_watches(standin_store_t *store)
{
    watch_t *next;
    for (watch_t *watch = store->watches; watch != NULL; watch = next) {
        next = watch->next;
        json_t *events = events_after(store, watch->kind, watch->from);
        if (events != NULL)
            answer_watch(watch, events);
    }
}

static void
on_watch_timeout(uv_timer_t *timer)
{
    answer_watch(timer->data, NULL);
}

static void
on_watcher_gone(void *ctx)
{
    drop_watch(ctx);
}

static void
change(standin_store_t *store, const char *kind, const char *name, json_t *spec, json_t *status,
       bool gone)
{
    object_t *last = find(store, kind, name);
    if (last != NULL)
        last->past = true;
    object_t *object = xcalloc(1, sizeof(*object));
    snprintf(object->kind, sizeof(object->kind), "%s", kind);
    object->revision = ++store->revision;
    object->gone = gone;
    object->value = json_pack("{s:{s:s, s:I, s:[], s:b}, s:o, s:o}", "metadata", "name", name,
                              "revision", (json_int_t)object->revision, "finalizers", "deleting",
                              false, "spec", spec, "status", status != NULL ? status : json_null());
    object->next = store->objects;
    store->objects = object;
    wake_watches(store);
}

void
standin_store_put(standin_store_t *store, const char *kind, const char *name, json_t *spec,
                  json_t *status)
{
    change(store, kind, name, spec, status, false);
}

void
standin_store_remove(standin_store_t *store, const char *kind, const char *name)
{
    change(store, kind, name, json_object(), NULL, true);
}

static int
by_name(const void *left, const void *right)
{
    return strcmp(name_of(*(object_t *const *)left), name_of(*(object_t *const *)right));
}

/* Decodes the percent-encoded bytes of a query; the caller frees the result. */
static char *
decode_query(str_t query)
{
    char *text = xcalloc(1, query.len + 1);
    size_t len = 0;
    for (size_t i = 0; i < query.len; i++) {
        const bool encoded = query.ptr[i] == '%' && i + 2 < query.len;
        const char digits[] = {query.ptr[i + encoded], query.ptr[i + 2 * encoded], '\0'};
        text[len++] = encoded ? (char)strtoul(digits, NULL, 16) : query.ptr[i];
        i += 2 * encoded;
    }
    return text;
}

static void
answer_list(standin_store_t *store, wire_request_t *req, const char *kind)
{
    size_t count = 0;
    static object_t *found[4096];
    char *after = decode_query(wire_head_query(&req->head, STR("after")));
    for (object_t *object = store->objects; object != NULL; object = object->next) {
        if (!object->gone && !object->past && strcmp(object->kind, kind) == 0 &&
            count < ALEN(found) && strcmp(name_of(object), after) > 0)
            found[count++] = object;
    }
    free(after);
    qsort(found, count, sizeof(found[0]), by_name);
    json_t *items = json_array();
    for (size_t i = 0; i < count && i < store->page; i++)
        json_array_append(items, found[i]->value);
    respond_json(store, req,
                 json_pack("{s:o, s:b, s:I}", "items", items, "more", count > store->page, "at",
                           (json_int_t)store->revision));
}

static void
start_watch(standin_store_t *store, wire_request_t *req, const char *kind, uint64_t from)
{
    uint64_t wait_ms = 0;
    str_to_u64(wire_head_query(&req->head, STR("waitMs")), &wait_ms);
    if (store->watch_status != 0 || from < store->oldest || from > store->revision) {
        const int status = store->watch_status != 0 ? store->watch_status : HTTP_STATUS_GONE;
        respond(store, req, status, STR(""));
        return;
    }
    watch_t *watch = xcalloc(1, sizeof(*watch));
    watch->store = store;
    watch->req = req;
    watch->from = from;
    snprintf(watch->kind, sizeof(watch->kind), "%s", kind);
    watch->next = store->watches;
    store->watches = watch;
    uv_timer_init(store->loop, &watch->timer);
    watch->timer.data = watch;
    req->ctx = watch;
    req->on_disconnect = on_watcher_gone;
    json_t *events = events_after(store, kind, from);
    if (events != NULL)
        answer_watch(watch, events);
    else
        uv_timer_start(&watch->timer, on_watch_timeout, wait_ms, 0);
}

static void
answer_post(standin_store_t *store, wire_request_t *req, const char *kind)
{
    json_t *root = json_loadb(req->body, req->body_len, 0, NULL);
    const char *name =
        json_string_value(json_object_get(json_object_get(root, "metadata"), "name"));
    if (name == NULL) {
        respond(store, req, HTTP_STATUS_BAD_REQUEST, STR(""));
    } else if (find(store, kind, name) != NULL && !find(store, kind, name)->gone) {
        respond(store, req, HTTP_STATUS_CONFLICT, STR("{}"));
    } else {
        json_t *spec = json_object_get(root, "spec");
        change(store, kind, name, json_incref(spec), NULL, false);
        if (store->mode == STANDIN_STORE_LOSES)
            wire_respond_abort(req);
        else
            respond(store, req, HTTP_STATUS_OK, STR("{}"));
    }
    json_decref(root);
}

/* PUT of KIND/NAME/status; holds only for the revision in the metadata, if one is given. */
static void
answer_put_status(standin_store_t *store, wire_request_t *req, const char *path)
{
    char kind[KIND_MAX];
    char name[KIND_MAX];
    char rest[KIND_MAX];
    if (sscanf(path, "%159[^/]/%159[^/]/%159s", kind, name, rest) != 3 ||
        strcmp(rest, "status") != 0) {
        respond(store, req, HTTP_STATUS_NOT_FOUND, STR(""));
        return;
    }
    json_t *root = json_loadb(req->body, req->body_len, 0, NULL);
    json_t *wanted = json_object_get(json_object_get(root, "metadata"), "revision");
    object_t *object = find(store, kind, name);
    if (object == NULL || object->gone) {
        respond(store, req, HTTP_STATUS_NOT_FOUND, STR(""));
    } else if (wanted != NULL && (uint64_t)json_integer_value(wanted) != object->revision) {
        respond(store, req, HTTP_STATUS_CONFLICT, STR("{}"));
    } else {
        json_t *status = json_object_get(root, "status");
        if (!json_equal(status, json_object_get(object->value, "status")))
            change(store, kind, name, json_incref(json_object_get(object->value, "spec")),
                   json_incref(status), false);
        if (store->mode == STANDIN_STORE_LOSES)
            wire_respond_abort(req);
        else
            respond(store, req, HTTP_STATUS_OK, STR("{}"));
    }
    json_decref(root);
}

static void
refuse_list(standin_store_t *store, wire_request_t *req)
{
    store->refused_lists--;
    respond(store, req, HTTP_STATUS_SERVICE_UNAVAILABLE, STR(""));
}

static void
serve(standin_store_t *store, wire_request_t *req)
{
    char kind[KIND_MAX];
    const str_t path = wire_head_path(&req->head);
    const size_t skip = strlen(path_prefix);
    if (path.len <= skip || memcmp(path.ptr, path_prefix, skip) != 0) {
        respond(store, req, HTTP_STATUS_NOT_FOUND, STR(""));
        return;
    }
    snprintf(kind, sizeof(kind), "%.*s", (int)(path.len - skip), path.ptr + skip);
    uint64_t from;
    if (strcmp(kind, store->held_kind) == 0)
        return;
    if (req->head.method == HTTP_PUT)
        answer_put_status(store, req, kind);
    else if (req->head.method == HTTP_POST)
        answer_post(store, req, kind);
    else if (str_to_u64(wire_head_query(&req->head, STR("watch")), &from))
        start_watch(store, req, kind, from);
    else if (store->refused_lists > 0 && strcmp(kind, store->refused_kind) == 0)
        refuse_list(store, req);
    else
        answer_list(store, req, kind);
}

static void
look_at(standin_store_t *store, wire_request_t *req)
{
    switch (store->mode) {
    case STANDIN_STORE_BUSY:
        respond(store, req, HTTP_STATUS_SERVICE_UNAVAILABLE, STR(""));
        break;
    case STANDIN_STORE_MANY:
        respond(store, req, HTTP_STATUS_TOO_MANY_REQUESTS, STR(""));
        break;
    case STANDIN_STORE_SILENT:
        break;
    case STANDIN_STORE_RESETS:
        wire_respond_abort(req);
        break;
    case STANDIN_STORE_GARBLES:
        respond(store, req, HTTP_STATUS_OK, STR("{\"items\":[{\"metadata\":7}"));
        break;
    case STANDIN_STORE_SERVES:
    case STANDIN_STORE_LOSES:
        serve(store, req);
        break;
    }
}

static void
on_delayed_closed(uv_handle_t *handle)
{
    free(handle->data);
}

static void
on_delayed_gone(void *ctx)
{
    delayed_t *delayed = ctx;
    uv_close((uv_handle_t *)&delayed->timer, on_delayed_closed);
}

static void
on_delay(uv_timer_t *timer)
{
    delayed_t *delayed = timer->data;
    delayed->req->on_disconnect = NULL;
    delayed->req->ctx = NULL;
    look_at(delayed->store, delayed->req);
    uv_close((uv_handle_t *)timer, on_delayed_closed);
}

static void
on_request(void *ctx, wire_request_t *req)
{
    standin_store_t *store = ctx;
    store->calls++;
    if (store->delay_ms == 0) {
        look_at(store, req);
        return;
    }
    delayed_t *delayed = xcalloc(1, sizeof(*delayed));
    delayed->store = store;
    delayed->req = req;
    uv_timer_init(store->loop, &delayed->timer);
    delayed->timer.data = delayed;
    req->ctx = delayed;
    req->on_disconnect = on_delayed_gone;
    uv_timer_start(&delayed->timer, on_delay, store->delay_ms, 0);
}

standin_store_t *
standin_store_start(uv_loop_t *loop, const addr_t *addr)
{
    static const wire_limits_t limits = {
        .max_head = 16384,
        .max_body = 4 << 20,
        .head_timeout_ms = 60000,
        .idle_timeout_ms = 60000,
        .max_connections = 1000,
    };
    standin_store_t *store = xcalloc(1, sizeof(*store));
    err_t err = {0};
    store->loop = loop;
    store->page = PAGE_DEFAULT;
    store->listener = wire_listener_start(loop, addr, &limits, on_request, store, &err);
    xassert(store->listener != NULL);
    store->addr = *addr;
    store->addr.v4.sin_port = htons(wire_listener_port(store->listener));
    return store;
}

addr_t
standin_store_addr(const standin_store_t *store)
{
    return store->addr;
}

void
standin_store_set_mode(standin_store_t *store, standin_store_mode_t mode)
{
    store->mode = mode;
    while (mode != STANDIN_STORE_SERVES && mode != STANDIN_STORE_LOSES && store->watches != NULL) {
        wire_request_t *req = store->watches->req;
        drop_watch(store->watches);
        wire_respond_abort(req);
    }
}

void
standin_store_set_delay(standin_store_t *store, uint64_t delay_ms)
{
    store->delay_ms = delay_ms;
}

void
standin_store_set_pace(standin_store_t *store, size_t piece, uint64_t pause_ms)
{
    store->piece = piece;
    store->pause_ms = pause_ms;
}

static void
abort_watches(standin_store_t *store)
{
    while (store->watches != NULL) {
        wire_request_t *req = store->watches->req;
        drop_watch(store->watches);
        wire_respond_abort(req);
    }
}

void
standin_store_forget(standin_store_t *store)
{
    store->oldest = store->revision + 1;
    store->revision++;
    abort_watches(store);
}

void
standin_store_set_era(standin_store_t *store, uint64_t era)
{
    store->era = era;
}

/* The newest versions that are left of each object count again. */
static void
revive_objects(const standin_store_t *store)
{
    for (object_t *object = store->objects; object != NULL; object = object->next)
        object->past = find(store, object->kind, name_of(object)) != object;
}

void
standin_store_return(standin_store_t *store, uint64_t revision)
{
    while (store->objects != NULL && store->objects->revision > revision) {
        object_t *lost = store->objects;
        store->objects = lost->next;
        json_decref(lost->value);
        free(lost);
    }
    revive_objects(store);
    store->revision = revision;
    store->era += store->era > 0;
    abort_watches(store);
}

void
standin_store_set_page(standin_store_t *store, size_t items)
{
    store->page = items;
}

void
standin_store_refuse_lists(standin_store_t *store, const char *kind, unsigned count)
{
    snprintf(store->refused_kind, sizeof(store->refused_kind), "%s", kind);
    store->refused_lists = count;
}

void
standin_store_hold(standin_store_t *store, const char *kind)
{
    snprintf(store->held_kind, sizeof(store->held_kind), "%s", kind);
}

void
standin_store_fail_watches(standin_store_t *store, int status)
{
    store->watch_status = status;
}

uint64_t
standin_store_calls(const standin_store_t *store)
{
    return store->calls;
}

bool
standin_store_has(const standin_store_t *store, const char *kind, const char *name)
{
    const object_t *object = find(store, kind, name);
    return object != NULL && !object->gone;
}

uint64_t
standin_store_revision(const standin_store_t *store)
{
    return store->revision;
}

const char *
standin_store_status(const standin_store_t *store, const char *kind, const char *name,
                     const char *field)
{
    const object_t *object = find(store, kind, name);
    if (object == NULL || object->gone)
        return NULL;
    return json_string_value(json_object_get(json_object_get(object->value, "status"), field));
}
