#include <stdlib.h>

#define LOG_MODULE "probe"
#include "base/log.h"
#include "base/xmalloc.h"
#include "entry/probe.h"
#include "entry/http/fetch.h"

/* Chosen; none was measured alone. */
enum {
    PROBE_TIMEOUT_MS = 1000, /* of one probe */
    PROBE_BODY_MAX = 1024,   /* bytes of an answer */
    QUIET_MS = 10000,        /* without an answer, after which a server is probed */
    STATUS_OK = 200,
};

typedef struct {
    node_t *node;
    name_t backend;
    uint64_t asked_ms;
    bool leaving;
} probe_t;

static bool
is_ours(const node_t *node, const backend_t *backend)
{
    const uint64_t now = node_now(node);
    const uint64_t seed = str_hash(name_str(&backend->name), 0);
    const uint64_t own = str_hash(name_str(&node->settings.name), seed);
    for (size_t i = 0; i < node->members.count; i++) {
        const member_t *member = &node->members.items[i];
        if (member_alive(member, now) && str_hash(name_str(&member->name), seed) < own)
            return false;
    }
    return true;
}

static void
on_head(void *ctx, const http_head_t *head)
{
    probe_t *probe = ctx;
    probe->leaving = str_eq(http_head_find(head, STR("x-irisstall-draining")), STR("1"));
}

static void
on_probe(void *ctx, const fetch_answer_t *answer)
{
    probe_t *probe = ctx;
    node_t *node = probe->node;
    backend_t *backend = backends_find(&node->backends, name_str(&probe->backend));
    const uint64_t now = node_now(node);
    if (backend != NULL) {
        backend->probe_pending = false;
        backend_status_received(backend, probe->leaving, probe->asked_ms, now);
        const bool well =
            answer->result->err.code == ERR_NONE && answer->result->status == STATUS_OK;
        if (well && backend_is_ejected(backend, now))
            backend->ejected_until_ms = now;
        else if (answer->result->err.code != ERR_NONE)
            backend_failed(backend, now);
        backend->latency_at_ms = backend->latency_at_ms == 0 ? now : backend->latency_at_ms;
    }
    free(probe);
}

static void
send_probe(node_t *node, backend_t *backend)
{
    backend->probe_requested = false;
    if (backend->probe_pending)
        return;
    backend->probe_pending = true;
    probe_t *probe = xmalloc(sizeof(*probe));
    *probe = (probe_t){.node = node, .backend = backend->name, .asked_ms = node_now(node)};
    const fetch_conf_t conf = {.target = node_backend_target(node, backend),
                               .method = "GET",
                               .path = "/health",
                               .body = STR(""),
                               .timeout_ms = PROBE_TIMEOUT_MS,
                               .max_body = PROBE_BODY_MAX,
                               .on_head = on_head};
    counter_add(node->counters.probes, 1);
    fetch_start(&conf, on_probe, probe);
}

void
probe_wanted(node_t *node)
{
    for (size_t i = 0; i < node->backends.count; i++) {
        if (node->backends.items[i]->probe_requested)
            send_probe(node, node->backends.items[i]);
    }
}

void
probe_round(node_t *node)
{
    probe_wanted(node);
    const uint64_t now = node_now(node);
    for (size_t i = 0; i < node->backends.count; i++) {
        backend_t *backend = node->backends.items[i];
        const bool quiet = backend->outstanding == 0 && now > backend->latency_at_ms + QUIET_MS;
        if (!backend->listed || !(backend_is_ejected(backend, now) || quiet))
            continue;
        if (backend_is_ejected(backend, now) || is_ours(node, backend))
            send_probe(node, backend);
    }
}
