#include "test/gateway/rollout_model.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "base/xmalloc.h"
#include "gateway/membership/rollout_gossip.h"

enum {
    REGIONS = 3,
    SERVERS = 60, /* of each version */
    OBJECTS = 200,
    ROUTES = 3,
    STEP_MS = 5,
    TICK_MS = 200,
    WARM_UP_MS = 3000, /* before the order */
    TAIL_MS = 8000,    /* after the deadline */
    HORIZON_MS = 16384,
    WARM_MS = 240, /* time of a request whose object the backend server has in memory */
    COLD_MULTIPLE = 3,
    BAD_MULTIPLE = 4,
    FAULT_FROM_MS = 4000, /* after the order */
    FAULT_MS = 4000,
    VIEW_DELAY_MS = 300, /* from the store to all instances */
    RECORD_MS = 500,
    BAD_ANSWERS = 50,
};

typedef struct {
    backend_t backend;
    bool is_target;
    bool failing; /* by ROLLOUT_FAULT_BAD_SERVERS */
    bool knows[OBJECTS];
    unsigned in_flight;
} server_t;

typedef struct {
    rollouts_t rollouts;
    services_t services;
    uint64_t heartbeat_ms; /* next one */
    bool faulty;           /* cut off or restarted by the fault */
    unsigned at_old;       /* requests under way at the old version */
} instance_t;

typedef struct {
    size_t instance;
    size_t server;
    unsigned route;
    unsigned object;
    uint64_t sent_ms;
    bool failed;
    uint64_t life; /* of the instance */
} end_t;

typedef struct {
    end_t *items;
    size_t count;
    size_t size;
} ends_t;

typedef struct {
    rollout_model_conf_t conf;
    rng_t rng;
    uint64_t now_ms;
    uint64_t ordered_ms;
    server_t servers[2 * SERVERS];
    backend_t *list[2 * SERVERS];
    backends_t backends;
    instance_t *instances;
    uint64_t *lives;
    members_t members;
    view_t view;
    unsigned loaded_in_flight; /* requests at once under which VERSION_LOADED fails */
    rollout_state_t recorded;
    uint64_t recorded_ms;
    bool told; /* the recorded state has reached the instances */
    ends_t ends[HORIZON_MS];
    unsigned bad_answers;
    uint64_t bad_ms; /* of the 50th */
    rollout_model_result_t result;
} model_t;

static const str_t service = {"svc", 3};

/* ---- set-up ---- */

/* The body of the modelled object is the order itself. */
static bool
decode(str_t body, rollout_order_t *out, err_t *err)
{
    xassert(body.len == sizeof(*out));
    memcpy(out, body.ptr, sizeof(*out));
    return true;
}

static const decoder_port_t decoder = {.rollout = decode};

static void
on_verdict(void *ctx)
{
    ((instance_t *)ctx)->heartbeat_ms = 0;
}

static void
start_instance(model_t *model, size_t index)
{
    instance_t *instance = &model->instances[index];
    rollouts_free(&instance->rollouts);
    services_free(&instance->services);
    instance->rollouts = (rollouts_t){
        .decoder = &decoder,
        .exposure = {.share = ROLLOUT_MODEL_SHARE, .slack = ROLLOUT_MODEL_SLACK},
        .on_verdict = on_verdict,
        .ctx = instance,
    };
    instance->services = (services_t){0};
    instance->at_old = 0;
    model->lives[index]++;
    services_get(&instance->services, service)->plan.measured_peak = SERVERS * 2;
    model->members.items[index].incarnation = rng_next(&model->rng);
}

static void
add_member(model_t *model, unsigned index)
{
    char text[ADDR_TEXT_MAX];
    addr_t addr;
    snprintf(text, sizeof(text), "10.0.%u.%u:1", index / 200, index % 200 + 1);
    xassert(addr_parse(str_from(text), &addr));
    member_t *member = members_find_or_add(&model->members, &addr);
    member->heard = true;
    member->region = index % REGIONS;
}

static void
add_server(model_t *model, size_t index)
{
    server_t *server = &model->servers[index];
    server->is_target = index >= SERVERS;
    server->failing = model->conf.fault == ROLLOUT_FAULT_BAD_SERVERS && index % 10 == 3;
    server->backend.key = rng_next(&model->rng);
    server->backend.info.version = server->is_target ? 2 : 1;
    server->backend.info.capacity = 4;
    server->backend.listed = true;
    name_set(&server->backend.info.service, service);
    server->backend.service_key = backend_service_key(service);
    model->list[index] = &server->backend;
}

static double
requests_per_s(const rollout_model_conf_t *conf)
{
    return conf->instances < 30 ? 150 : 600;
}

static model_t *
new_model(const rollout_model_conf_t *conf)
{
    model_t *model = xcalloc(1, sizeof(*model));
    model->conf = *conf;
    model->rng = (rng_t){.state = conf->seed};
    model->ordered_ms = 100000 + WARM_UP_MS;
    model->now_ms = 100000;
    model->instances = xcalloc(conf->instances, sizeof(*model->instances));
    model->lives = xcalloc(conf->instances, sizeof(*model->lives));
    /* A little above the mean at all traffic. */
    model->loaded_in_flight = 2 + (unsigned)(1.1 * requests_per_s(conf) * WARM_MS / 1000 / SERVERS);
    for (unsigned i = 0; i < conf->instances; i++)
        add_member(model, i);
    for (size_t i = 0; i < conf->instances; i++) {
        start_instance(model, i);
        model->instances[i].faulty = rng_unit(&model->rng) < 1.0 / 3;
    }
    for (size_t i = 0; i < ALEN(model->servers); i++)
        add_server(model, i);
    model->backends = (backends_t){.items = model->list, .count = ALEN(model->list)};
    return model;
}

static void
free_model(model_t *model)
{
    for (size_t i = 0; i < model->conf.instances; i++) {
        rollouts_free(&model->instances[i].rollouts);
        services_free(&model->instances[i].services);
    }
    for (size_t i = 0; i < HORIZON_MS; i++)
        free(model->ends[i].items);
    view_free(&model->view);
    members_free(&model->members);
    free(model->instances);
    free(model->lives);
    free(model);
}

/* ---- faults and the store ---- */

static uint64_t
since_order(const model_t *model)
{
    return model->now_ms > model->ordered_ms ? model->now_ms - model->ordered_ms : 0;
}

static bool
fault_active(const model_t *model)
{
    const uint64_t since_ms = since_order(model);
    return since_ms >= FAULT_FROM_MS && since_ms < FAULT_FROM_MS + FAULT_MS;
}

static bool
is_cut(const model_t *model, size_t instance)
{
    return model->conf.fault == ROLLOUT_FAULT_CUT && fault_active(model) &&
           model->instances[instance].faulty;
}

static bool
store_is_down(const model_t *model)
{
    return model->conf.fault == ROLLOUT_FAULT_STORE_DOWN && fault_active(model);
}

static void
put_order(model_t *model)
{
    rollout_order_t order = {
        .version = 2, .duration_ms = ROLLOUT_MODEL_DURATION_MS, .recorded = model->recorded};
    name_set(&order.service, service);
    snprintf(order.version_name, sizeof(order.version_name), "v2");
    view_t *view = &model->view;
    const store_item_t item = {
        .name = service,
        .revision = view->at + 1,
        .body = {(const char *)&order, sizeof(order)},
    };
    view_replace(view, &item, 1, view->at + 1);
    model->recorded_ms = model->now_ms;
    model->told = false;
}

static void
tell_view(model_t *model)
{
    if (model->told || model->recorded_ms == 0 || store_is_down(model) ||
        model->now_ms - model->recorded_ms < VIEW_DELAY_MS)
        return;
    bool all = true;
    for (size_t i = 0; i < model->conf.instances; i++) {
        all &= !is_cut(model, i);
        if (!is_cut(model, i))
            rollouts_apply(&model->instances[i].rollouts, &model->view, model->now_ms);
    }
    model->told = all;
}

/* An instance that is served records what it knows. */
static void
record_state(model_t *model, size_t index, const rollout_gossip_t *gossip, rollout_t *rollout)
{
    const bool is_final =
        model->recorded == ROLLOUT_COMPLETED || model->recorded == ROLLOUT_ROLLED_BACK;
    if (is_final || store_is_down(model) || is_cut(model, index))
        return;
    if (rollout->state == ROLLOUT_ROLLED_BACK) {
        model->recorded = ROLLOUT_ROLLED_BACK;
        model->result.rolled_back_ms = since_order(model);
    } else if (rollout_gossip_all_moved(gossip, rollout)) {
        model->recorded = ROLLOUT_COMPLETED;
        model->result.completed_ms = since_order(model);
        for (size_t i = 0; i < model->conf.instances; i++)
            model->result.at_stopped += model->instances[i].at_old;
    } else {
        return;
    }
    put_order(model);
}

static void
restart_faulty(model_t *model)
{
    if (model->conf.fault != ROLLOUT_FAULT_RESTARTS || since_order(model) != FAULT_FROM_MS)
        return;
    for (size_t i = 0; i < model->conf.instances; i++) {
        if (!model->instances[i].faulty)
            continue;
        start_instance(model, i);
        rollouts_apply(&model->instances[i].rollouts, &model->view, model->now_ms);
    }
}

/* ---- requests ---- */

static bool
is_bad_now(const model_t *model, const server_t *server, unsigned route)
{
    switch (model->conf.kind) {
    case VERSION_FAILING:
    case VERSION_SLOW:
        return true;
    case VERSION_LATE:
        return (double)since_order(model) >= 0.45 * ROLLOUT_MODEL_DURATION_MS;
    case VERSION_ONE_ROUTE:
        return route == 0;
    case VERSION_LOADED:
        return server->in_flight >= model->loaded_in_flight;
    case VERSION_GOOD:
    case VERSION_KINDS:
        break;
    }
    return false;
}

static bool
fits(const choice_versions_t *versions, const server_t *server)
{
    const uint64_t version = server->backend.info.version;
    if (versions->only != 0)
        return version == versions->only &&
               (versions->server_cut == 0 ||
                rollout_server_hash(server->backend.key, versions->server_turn) <=
                    versions->server_cut);
    return version != versions->except[0];
}

/* Returns the backend server for the object among those that fit, -1 if there is none. */
static int
pick_server(const model_t *model, const choice_versions_t *versions, unsigned object)
{
    int fitting[2 * SERVERS];
    int count = 0;
    for (size_t i = 0; i < ALEN(model->servers); i++) {
        if (fits(versions, &model->servers[i]))
            fitting[count++] = (int)i;
    }
    return count > 0 ? fitting[(object * 2654435761u) % (unsigned)count] : -1;
}

static void
count_exposure(model_t *model, size_t instance, bool is_target)
{
    const uint64_t since_ms = since_order(model);
    model->result.requests += since_ms > 0 && since_ms <= ROLLOUT_MODEL_DURATION_MS;
    if (!is_target || is_cut(model, instance))
        return;
    model->result.exposed += since_ms > 0 && since_ms <= ROLLOUT_MODEL_DURATION_MS;
    model->result.late_exposed +=
        model->bad_ms > 0 && model->now_ms > model->bad_ms + ROLLOUT_MODEL_BOUND_MS;
}

static void
post(model_t *model, uint64_t at_ms, const end_t *end)
{
    ends_t *ends = &model->ends[at_ms / STEP_MS % HORIZON_MS];
    if (ends->count == ends->size) {
        ends->size = ends->size > 0 ? 2 * ends->size : 4;
        ends->items = xrealloc(ends->items, ends->size * sizeof(*ends->items));
    }
    ends->items[ends->count++] = *end;
}

static void
send_request(model_t *model)
{
    const size_t index = rng_next(&model->rng) % model->conf.instances;
    instance_t *instance = &model->instances[index];
    const unsigned object = (unsigned)(rng_next(&model->rng) % OBJECTS);
    const unsigned route = object % ROUTES;
    const rollout_t *rollout = rollouts_find(&instance->rollouts, service);
    rollout_versions_t versions = {.first = {.except = {2}}};
    if (rollout != NULL)
        versions = rollout_versions(rollout, rng_unit(&model->rng), false);
    int picked = pick_server(model, &versions.first, object);
    if (picked < 0 && versions.has_second)
        picked = pick_server(model, &versions.second, object);
    if (picked < 0)
        return;
    server_t *server = &model->servers[picked];
    count_exposure(model, index, server->is_target);
    server->in_flight++;
    instance->at_old += !server->is_target;
    const bool cold = !server->knows[object];
    const bool bad = server->is_target && is_bad_now(model, server, route);
    const bool bad_share = bad && rng_unit(&model->rng) < 0.3;
    double ms = WARM_MS * (0.8 + 0.4 * rng_unit(&model->rng)) * (cold ? COLD_MULTIPLE : 1);
    ms *= bad && model->conf.kind == VERSION_SLOW ? BAD_MULTIPLE : 1;
    const end_t end = {
        .instance = index,
        .server = (size_t)picked,
        .route = route,
        .object = object,
        .sent_ms = model->now_ms,
        .life = model->lives[index],
        .failed = (bad_share && model->conf.kind != VERSION_SLOW) ||
                  rng_unit(&model->rng) < (server->failing ? 0.5 : 0.002),
    };
    model->bad_answers += bad_share || (bad && model->conf.kind == VERSION_SLOW);
    if (model->bad_answers >= BAD_ANSWERS && model->bad_ms == 0)
        model->bad_ms = model->now_ms + (uint64_t)ms;
    server->knows[object] = true;
    post(model, model->now_ms + (uint64_t)ms, &end);
}

static void
end_requests(model_t *model)
{
    ends_t *ends = &model->ends[model->now_ms / STEP_MS % HORIZON_MS];
    for (size_t i = 0; i < ends->count; i++) {
        const end_t *end = &ends->items[i];
        server_t *server = &model->servers[end->server];
        instance_t *instance = &model->instances[end->instance];
        server->in_flight--;
        if (end->life != model->lives[end->instance])
            continue;
        instance->at_old -= !server->is_target;
        const rollout_attempt_t attempt = {
            .backend = &server->backend,
            .route = end->route + 1,
            .has_object = true,
            .failed = end->failed,
            .comparable = true,
            .latency_ms = (double)(model->now_ms - end->sent_ms),
        };
        rollout_t *rollout = rollouts_find(&instance->rollouts, service);
        if (rollout != NULL)
            rollout_record(rollout, &attempt);
    }
    ends->count = 0;
}

/* ---- instances ---- */

static void
send_heartbeat(model_t *model, size_t index)
{
    static rollout_message_t messages[ROLLOUT_REPORTS_MAX];
    const rollout_gossip_t gossip = {
        .members = &model->members,
        .rollouts = &model->instances[index].rollouts,
        .self = &model->members.items[index],
        .now_ms = model->now_ms,
    };
    const size_t count = rollout_gossip_fill(&gossip, messages);
    Iris__RolloutReport *list[ROLLOUT_REPORTS_MAX];
    for (size_t i = 0; i < count; i++)
        list[i] = &messages[i].message;
    for (size_t to = 0; to < model->conf.instances && count > 0; to++) {
        const bool same_region = to % REGIONS == index % REGIONS;
        /* One of each other region, in turn. */
        const bool in_turn = rng_unit(&model->rng) < (double)REGIONS / model->conf.instances;
        if (to == index || is_cut(model, to) || is_cut(model, index) || (!same_region && !in_turn))
            continue;
        const rollout_gossip_t receiver = {
            .members = &model->members,
            .rollouts = &model->instances[to].rollouts,
            .self = &model->members.items[to],
            .now_ms = model->now_ms,
        };
        rollout_gossip_merge(&receiver, gossip.self, list, count);
    }
}

static void
tick_instance(model_t *model, size_t index)
{
    instance_t *instance = &model->instances[index];
    /* The modelled list is shared: this instance's part of it is set for the tick. */
    model->servers[0].backend.in_flight = instance->at_old;
    rollouts_tick(&instance->rollouts, &model->backends, &instance->services, model->now_ms);
    if (model->now_ms >= instance->heartbeat_ms) {
        const uint64_t scaled = 20 * model->conf.instances / REGIONS;
        const uint64_t interval_ms = scaled < 400 ? 400 : scaled < 1200 ? scaled : 1200;
        instance->heartbeat_ms = model->now_ms + interval_ms;
        model->members.items[index].interval_ms = (uint32_t)interval_ms;
        model->members.items[index].heard_ms = model->now_ms;
        send_heartbeat(model, index);
    }
    rollout_t *rollout = rollouts_find(&instance->rollouts, service);
    const rollout_gossip_t gossip = {
        .members = &model->members,
        .rollouts = &instance->rollouts,
        .self = &model->members.items[index],
        .now_ms = model->now_ms,
    };
    if (rollout != NULL && index < 8 && model->now_ms % RECORD_MS < TICK_MS)
        record_state(model, index, &gossip, rollout);
}

static void
step(model_t *model, double per_step)
{
    if (model->now_ms == model->ordered_ms)
        put_order(model);
    tell_view(model);
    restart_faulty(model);
    end_requests(model);
    double wanted = per_step;
    while (wanted >= 1 || rng_unit(&model->rng) < wanted) {
        send_request(model);
        wanted -= 1;
    }
    for (size_t i = 0; i < model->conf.instances; i++) {
        /* Instances tick at different times. */
        if ((model->now_ms + i * STEP_MS) % TICK_MS == 0)
            tick_instance(model, i);
    }
    model->now_ms += STEP_MS;
}

rollout_model_result_t
rollout_model_run(const rollout_model_conf_t *conf)
{
    model_t *model = new_model(conf);
    const double per_s = requests_per_s(conf);
    const uint64_t end_ms = model->ordered_ms + ROLLOUT_MODEL_DURATION_MS + TAIL_MS;
    while (model->now_ms < end_ms)
        step(model, per_s * STEP_MS / 1000);
    const rollout_model_result_t result = model->result;
    free_model(model);
    return result;
}
