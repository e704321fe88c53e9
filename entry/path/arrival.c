#include <ctype.h>
#include <stdio.h>
#include <string.h>

#include "base/xmalloc.h"
#include "entry/path/answer.h"
#include "entry/path/arrival.h"
#include "entry/path/claims.h"
#include "entry/path/headers.h"
#include "entry/path/outcome.h"
#include "entry/path/route.h"
#include "entry/readiness.h"

static void
on_request_disposed(void *ptr)
{
    responder_t *responder = ptr;
    if (responder->exchange != NULL)
        outcome_caller_left(responder->exchange);
}

static void
on_proceed(h2o_generator_t *generator, h2o_req_t *req)
{
    (void)req;
    exchange_t *x = ((responder_t *)generator)->exchange;
    if (x == NULL)
        return;
    outcome_caller_ready(x);
}

static void
on_stop(h2o_generator_t *generator, h2o_req_t *req)
{
    (void)req;
    responder_t *responder = (responder_t *)generator;
    exchange_t *x = responder->exchange;
    responder->exchange = NULL;
    if (x != NULL)
        outcome_caller_left(x);
}

static str_t
service_of(const h2o_req_t *req)
{
    const str_t named = http_header(req, STR("x-irisstall-service"));
    if (named.len > 0)
        return named;
    str_t host = {req->authority.base, req->authority.len};
    size_t len = 0;
    while (len < host.len && host.ptr[len] != '.' && host.ptr[len] != ':')
        len++;
    host.len = len;
    return host;
}

static void
set_deadline(exchange_t *x)
{
    const uint64_t wall = node_wall(x->node);
    uint64_t left = x->class_.deadline_ms;
    uint64_t asked;
    if (str_to_u64(http_header(x->req, STR("x-irisstall-deadline")), &asked)) {
        const uint64_t asked_left = asked > wall ? asked - wall : 0;
        left = asked_left < left ? asked_left : left;
    }
    x->deadline_wall_ms = wall + left;
    x->deadline_ms = x->started_ms + left;
}

static void
set_id(exchange_t *x)
{
    const str_t id = http_header(x->req, STR("x-request-id"));
    bool clean = id.len > 0 && id.len < sizeof(x->id);
    for (size_t i = 0; clean && i < id.len; i++)
        clean = isalnum((unsigned char)id.ptr[i]) || strchr("-_.:~", id.ptr[i]) != NULL;
    if (clean)
        snprintf(x->id, sizeof(x->id), "%.*s", STR_ARG(id));
    else
        snprintf(x->id, sizeof(x->id), "%016lx", (unsigned long)rng_next(&x->node->rng));
}

/* The request's end is told by its memory pool, which is freed with it. */
static void
watch_caller(exchange_t *x)
{
    responder_t *responder =
        h2o_mem_alloc_shared(&x->req->pool, sizeof(*responder), on_request_disposed);
    *responder =
        (responder_t){.generator = {.proceed = on_proceed, .stop = on_stop}, .exchange = x};
    x->responder = responder;
}

static hop_t
hop_of(const h2o_req_t *req)
{
    const str_t hop = http_header(req, STR("x-irisstall-hop"));
    if (str_eq(hop, STR("entry")))
        return HOP_ENTRY;
    return str_eq(hop, STR("owner")) ? HOP_OWNER : HOP_CALLER;
}

static exchange_t *
new_exchange(node_t *node, h2o_req_t *req)
{
    exchange_t *x = exchange_new(node, req);
    x->attempt_cbs = &outcome_cbs;
    watch_caller(x);
    set_id(x);
    x->trace = trace_continue(http_header(req, STR("traceparent")), &node->rng);
    x->hop = hop_of(req);
    return x;
}

static void
copy_request(exchange_t *x)
{
    const h2o_req_t *req = x->req;
    x->line = xasprintf("%.*s %.*s HTTP/1.1\r\n", (int)req->method.len, req->method.base,
                        (int)req->path.len, req->path.base);
    x->head = headers_copy_request(req);
    x->body = xmemdup0(req->entity.base, req->entity.len);
    x->body_len = req->entity.len;
    x->head_method = str_eq((str_t){req->method.base, req->method.len}, STR("HEAD"));
}

/* It arrived after its deadline, perhaps because this process stood still. Then an earlier copy of
 * a keyed request may have run, or may still wait unread in another connection and run yet. */
static void
refuse_late(exchange_t *x, str_t key)
{
    if (key.len > 0 && !x->class_.repeatable)
        answer_unknown(x, 504, "deadline");
    else
        answer_refuse(x, 504, "deadline");
}

/* An instance that is not ready does not look at its keys, and asks no owner. An earlier copy of a
 * keyed request may have run then; only the key's owner, who sends a copy on, knows all of them. */
static void
refuse_unready(exchange_t *x, str_t key)
{
    if (key.len > 0 && x->hop != HOP_ENTRY)
        answer_unknown(x, 503, "not_ready");
    else
        answer_refuse(x, 503, "not_ready");
}

void
arrival_start(node_t *node, h2o_req_t *req)
{
    exchange_t *x = new_exchange(node, req);
    counter_add(node->counters.requests, 1);
    attempt_budget_deposit(&node->extra);
    const str_t key = http_header(req, STR("idempotency-key"));
    const str_t name = service_of(req);
    service_t *service = steer_find(node->steer, name);
    if (!node_ready(node)) {
        refuse_unready(x, key);
        return;
    }
    if (service == NULL) {
        counter_add(node->counters.bad_requests, 1);
        answer_refuse(x, 404, "service_not_in_table");
        return;
    }
    x->service = service->table->service;
    const table_class_t *class_ = table_class_match(
        service->table, (str_t){req->method.base, req->method.len}, http_path(req));
    if (class_ == NULL) {
        counter_add(node->counters.bad_requests, 1);
        answer_refuse(x, 404, "no_class_matches");
        return;
    }
    x->class_ = *class_;
    set_deadline(x);
    copy_request(x);
    if (x->deadline_ms <= x->started_ms) {
        refuse_late(x, key);
        return;
    }
    if (x->hop == HOP_CALLER)
        spill_record_decision(service->request_spill, x->started_ms);
    if (class_->repeatable || x->hop == HOP_ENTRY)
        route_request(x);
    else
        claims_resolve(x, key);
}
