#include "gateway/path/load_probes.h"

#include <stdio.h>
#include <stdlib.h>

#define LOG_MODULE "probe"
#include "base/counter.h"
#include "base/log.h"
#include "base/loop_time.h"
#include "base/xmalloc.h"
#include "gateway/policy/backend_skip.h"
#include "wire/client.h"

enum {
    /* as for attempts that may be repeated (attempt.c) */
    IDLE_MAX_MS = 6000,
};

typedef enum {
    PROBE_FAILED,       /* no response */
    PROBE_ANSWERED,     /* load and pace */
    PROBE_WITHOUT_PACE, /* a response without these */
    PROBE_WRONG_ID,     /* a response of another backend server */
    PROBE_OUTCOME_COUNT,
} probe_outcome_t;

struct load_probe {
    load_probes_t *owner;
    backend_t *backend;
    probe_outcome_t outcome;
    load_probe_wait_t *waits;
    load_probe_t *next;
};

void
load_probes_init(load_probes_t *probes, router_t *router, const dialect_port_t *dialect)
{
    *probes =
        (load_probes_t){.router = router, .dialect = dialect, .budget = load_probe_budget_new()};
}

static uint64_t
now(const load_probes_t *probes)
{
    return loop_now(probes->router->loop);
}

void
load_probes_count_request(load_probes_t *probes, const service_t *service)
{
    if (service_has_pace_report(service, now(probes)))
        load_probe_budget_add_request(&probes->budget);
}

static load_probe_candidate_t
describe(const load_probes_t *probes, const backend_t *backend)
{
    const router_t *router = probes->router;
    const uint64_t now_ms = now(probes);
    return (load_probe_candidate_t){
        .record = backend->probes,
        .slowdown = backend_slowdown(backend, now_ms),
        .load_per_slot = backend_load(backend, now_ms) / backend->info.capacity,
        .gets_requests = backend_is_usable(backend, now_ms) && !backend->limit.is_set &&
                         backend_skip_reason(backend, true, now_ms) == SKIP_NONE,
        .cold = backend_is_cold(backend, now_ms),
        .avoided = health_is_avoided(&backend->health, now_ms),
        .in_own_region = backend->region == router->region,
        .in_own_hall = name_eq(&backend->info.hall, name_str(&router->hall)),
    };
}

/* ---- a probe ---- */

static const char *const outcome_names[PROBE_OUTCOME_COUNT] = {
    [PROBE_FAILED] = "failed",
    [PROBE_ANSWERED] = "answered",
    [PROBE_WITHOUT_PACE] = "no_pace",
    [PROBE_WRONG_ID] = "wrong_id",
};

static void
count_outcome(probe_outcome_t outcome)
{
    char labels[32];
    snprintf(labels, sizeof(labels), "outcome=\"%s\"", outcome_names[outcome]);
    counter_add(counter_get("irisstall_load_probes_total", labels,
                            "Probes of the load of backend servers."),
                1);
}

static str_t
stated_id(const load_probe_t *probe, const wire_head_t *head)
{
    return wire_head_find(head, probe->owner->dialect->probed_id);
}

/* A reused connection may still deliver a response to an earlier request, which has no such id. */
static bool
on_match(void *ctx, const wire_head_t *head)
{
    return stated_id(ctx, head).len > 0;
}

static void
on_head(void *ctx, const wire_head_t *head, int64_t length)
{
    load_probe_t *probe = ctx;
    backend_t *backend = probe->backend;
    const dialect_port_t *dialect = probe->owner->dialect;
    reported_load_t load;
    (void)length;
    if (!str_eq(stated_id(probe, head), name_str(&backend->info.id))) {
        probe->outcome = PROBE_WRONG_ID;
        backend_forget_slowdown(backend);
        return;
    }
    const bool has_load = dialect->load(head, &load);
    if (has_load)
        backend_report_load(backend, &load, now(probe->owner));
    probe->outcome = has_load && load.pace_percent > 0 ? PROBE_ANSWERED : PROBE_WITHOUT_PACE;
}

static void
on_data(void *ctx, const char *ptr, size_t len)
{
    (void)ctx;
    (void)ptr;
    (void)len;
}

static void
remove_outstanding(load_probe_t *probe)
{
    load_probe_t **slot = &probe->owner->outstanding;
    while (*slot != probe)
        slot = &(*slot)->next;
    *slot = probe->next;
    probe->owner->budget.outstanding--;
}

/* Wakes the requests in the order in which they began to wait. */
static void
wake(load_probe_t *probe)
{
    while (probe->waits != NULL) {
        load_probe_wait_t *wait = probe->waits;
        load_probes_cancel(wait);
        wait->cb(wait->ctx);
    }
}

static void
on_end(void *ctx, const wire_call_result_t *result)
{
    load_probe_t *probe = ctx;
    backend_t *backend = probe->backend;
    const bool answered = probe->outcome == PROBE_ANSWERED || probe->outcome == PROBE_WITHOUT_PACE;
    const uint32_t pause_ms = load_probe_pause_ms(answered, probe->outcome == PROBE_ANSWERED);
    remove_outstanding(probe);
    count_outcome(probe->outcome);
    probe->owner->answered += probe->outcome == PROBE_ANSWERED;
    probe->owner->without_result += probe->outcome != PROBE_ANSWERED;
    backend->probes.sent_ms = 0;
    backend->probes.pause_until_ms = now(probe->owner) + pause_ms;
    if (probe->outcome != PROBE_ANSWERED)
        LOG_INFO("load probe without result: id=%s outcome=%s err=%s pause_ms=%u",
                 backend->info.id.ptr, outcome_names[probe->outcome], err_name(result->err.code),
                 pause_ms);
    wake(probe);
    backend_unref(backend);
    free(probe);
}

static load_probe_t *
send_probe(load_probes_t *probes, str_t health_path, backend_t *backend)
{
    static const wire_call_cbs_t cbs = {
        .matches = on_match, .on_head = on_head, .on_data = on_data, .on_end = on_end};
    wire_text_t text = {0};
    char host[ADDR_TEXT_MAX];
    load_probe_t *probe = xcalloc(1, sizeof(*probe));
    *probe = (load_probe_t){
        .owner = probes, .backend = backend_ref(backend), .next = probes->outstanding};
    probes->outstanding = probe;
    load_probe_budget_take(&probes->budget);
    backend->probes.sent_ms = now(probes);
    wire_text_printf(&text, "GET %.*s HTTP/1.1\r\nHost: %s\r\n\r\n", STR_ARG(health_path),
                     addr_format(wire_pool_addr(backend->pool), host));
    const wire_call_conf_t call = {
        .request = text.ptr,
        .request_len = text.len,
        .connect_timeout_ms = LOAD_PROBE_TIMEOUT_MS,
        .timeout_ms = LOAD_PROBE_TIMEOUT_MS,
        .idle_max_ms = IDLE_MAX_MS,
    };
    wire_call_start(backend->pool, &call, &cbs, probe);
    return probe;
}

static load_probe_t *
find_outstanding(const load_probes_t *probes, const backend_t *backend)
{
    load_probe_t *probe = probes->outstanding;
    while (probe != NULL && probe->backend != backend)
        probe = probe->next;
    return probe;
}

/* ---- requests ---- */

bool
load_probes_await(load_probes_t *probes, str_t health_path, backend_t *const *candidates,
                  size_t count, load_probe_wait_t *wait)
{
    load_probe_candidate_t described[LOAD_PROBE_CANDIDATES_MAX];
    xassert(count <= LOAD_PROBE_CANDIDATES_MAX && wait->probe == NULL);
    for (size_t i = 0; i < count; i++)
        described[i] = describe(probes, candidates[i]);
    const load_probe_decision_t decision =
        load_probe_decide(described, count, &probes->budget, now(probes));
    if (decision.step == LOAD_PROBE_NONE)
        return false;
    backend_t *backend = candidates[decision.candidate];
    load_probe_t *probe = decision.step == LOAD_PROBE_SEND
                              ? send_probe(probes, health_path, backend)
                              : find_outstanding(probes, backend);
    load_probe_wait_t **slot = &probe->waits;
    while (*slot != NULL)
        slot = &(*slot)->next;
    *slot = wait;
    wait->next = NULL;
    wait->probe = probe;
    return true;
}

void
load_probes_cancel(load_probe_wait_t *wait)
{
    if (wait->probe == NULL)
        return;
    load_probe_wait_t **slot = &wait->probe->waits;
    while (*slot != wait)
        slot = &(*slot)->next;
    *slot = wait->next;
    wait->probe = NULL;
}

void
load_probes_count_choice(load_probes_t *probes, backend_t *const *candidates, size_t count)
{
    bool first_known = false;
    for (size_t i = 0; i < count; i++) {
        const load_probe_candidate_t candidate = describe(probes, candidates[i]);
        if (!load_probe_is_known(&candidate))
            continue;
        candidates[i]->probes.uses++;
        first_known |= i == 0;
    }
    probes->choices++;
    probes->choices_known += first_known;
    counter_add(counter_get("irisstall_load_known_total",
                            first_known ? "known=\"yes\"" : "known=\"no\"",
                            "Choices by whether the load of the first candidate was known."),
                1);
}
