#include "gateway/path/end_check.h"

#include <stdlib.h>

#define LOG_MODULE "quarantine"
#include "base/counter.h"
#include "base/log.h"
#include "base/loop_time.h"
#include "base/xmalloc.h"
#include "wire/client.h"
#include "wire/tcp_probe.h"

enum {
    /* A process that ends closes its sockets one after the other, within milliseconds as a rule:
     * the sooner it is known, the fewer tries come meanwhile. One that still listens is asked once
     * more. Chosen. */
    FIRST_MS = 5,
    AGAIN_MS = 50,
    /* Several round trips between regions (70 ms on the users' sites). Chosen, not measured. */
    TIMEOUT_MS = 400,
};

typedef struct {
    uv_loop_t *loop;
    suspects_t *suspects;
    backend_t *backend;
    bool again; /* this is the second look */
} check_t;

static void
count(const char *labels)
{
    counter_add(counter_get("irisstall_end_checks_total", labels,
                            "Checks whether a backend server ended when a connection to it broke."),
                1);
}

static void on_outcome(void *ctx, tcp_probe_result_t outcome);

static void
look(check_t *check, uint64_t delay_ms)
{
    wire_tcp_probe(check->loop, wire_pool_addr(check->backend->pool), delay_ms, TIMEOUT_MS,
                   on_outcome, check);
}

static void
on_outcome(void *ctx, tcp_probe_result_t outcome)
{
    check_t *check = ctx;
    backend_t *backend = check->backend;
    const uint64_t life = backend_life_key(backend);
    if (outcome == TCP_PROBE_CONNECTED && !check->again) {
        check->again = true;
        look(check, AGAIN_MS);
        return;
    }
    backend->end_check = false;
    if (outcome == TCP_PROBE_REFUSED) {
        const size_t requests = suspects_confirm(check->suspects, life, loop_now(check->loop));
        count("outcome=\"ended\"");
        LOG_INFO("backend ended: id=%s requests=%zu", backend->info.id.ptr, requests);
    } else {
        suspects_take_back(check->suspects, life);
        count(outcome == TCP_PROBE_CONNECTED ? "outcome=\"lives\"" : "outcome=\"unknown\"");
    }
    backend_unref(backend);
    free(check);
}

void
end_check_begin(uv_loop_t *loop, suspects_t *suspects, backend_t *backend,
                const fingerprint_t *fingerprint, str_t text)
{
    if (backend_is_leaving(backend) || !backend->listed || backend->remove_at_ms != 0)
        return;
    suspects_add_end(suspects, fingerprint, text, backend_life_key(backend), backend->info.version,
                     loop_now(loop));
    if (backend->end_check)
        return;
    check_t *check = xcalloc(1, sizeof(*check));
    *check = (check_t){.loop = loop, .suspects = suspects, .backend = backend_ref(backend)};
    backend->end_check = true;
    look(check, FIRST_MS);
}
