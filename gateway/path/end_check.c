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
    /* A terminating process closes its sockets within milliseconds of each other; an early result
     * limits the retries of the request in the meantime. A backend that still accepts is
     * probed once more. */
    FIRST_PROBE_DELAY_MS = 5,
    SECOND_PROBE_DELAY_MS = 50,
    /* several round trips between regions */
    PROBE_TIMEOUT_MS = 400,
};

typedef struct {
    reach_monitor_t *reach;
    suspects_t *suspects;
    backend_t *backend;
    bool is_second_probe;
    reach_wait_t settled; /* refused while the link was in doubt */
} check_t;

static void
count_outcome(const char *labels)
{
    counter_add(counter_get("irisstall_end_checks_total", labels,
                            "Checks whether a backend server ended when a connection to it broke."),
                1);
}

static void on_outcome(void *ctx, tcp_probe_result_t outcome);

static void
probe(check_t *check, uint64_t delay_ms)
{
    wire_tcp_probe(check->reach->conf.loop, wire_pool_addr(check->backend->pool), delay_ms,
                   PROBE_TIMEOUT_MS, on_outcome, check);
}

static void
finish(check_t *check)
{
    check->backend->end_check_running = false;
    backend_unref(check->backend);
    free(check);
}

/* The process refuses connections; it has ended unless the link is cut. */
static void
on_settled(void *ctx)
{
    check_t *check = ctx;
    const uint64_t incarnation = backend_incarnation_key(check->backend);
    if (reach_monitor_is_cut(check->reach)) {
        suspects_retract(check->suspects, incarnation);
        count_outcome("outcome=\"unknown\"");
    } else {
        const size_t requests =
            suspects_confirm(check->suspects, incarnation, loop_now(check->reach->conf.loop));
        count_outcome("outcome=\"ended\"");
        LOG_INFO("backend process ended: id=%s requests=%zu", check->backend->info.id.ptr,
                 requests);
    }
    finish(check);
}

static void
on_outcome(void *ctx, tcp_probe_result_t outcome)
{
    check_t *check = ctx;
    if (outcome == TCP_PROBE_CONNECTED && !check->is_second_probe) {
        check->is_second_probe = true;
        probe(check, SECOND_PROBE_DELAY_MS);
        return;
    }
    if (outcome == TCP_PROBE_REFUSED) {
        reach_monitor_add_refusal(check->reach, check->backend);
        if (!reach_monitor_await(check->reach, &check->settled))
            on_settled(check);
        return;
    }
    suspects_retract(check->suspects, backend_incarnation_key(check->backend));
    count_outcome(outcome == TCP_PROBE_CONNECTED ? "outcome=\"lives\"" : "outcome=\"unknown\"");
    finish(check);
}

void
end_check_begin(reach_monitor_t *reach, suspects_t *suspects, backend_t *backend,
                const fingerprint_t *fingerprint, str_t text, bool is_trial)
{
    const suspects_run_t run = {
        .incarnation = backend_incarnation_key(backend),
        .version = backend->info.version,
        .is_trial = is_trial,
    };
    if (backend_is_leaving(backend) || !backend->listed || backend->remove_at_ms != 0)
        return;
    suspects_add_end(suspects, fingerprint, text, &run, loop_now(reach->conf.loop));
    if (backend->end_check_running)
        return;
    check_t *check = xcalloc(1, sizeof(*check));
    *check = (check_t){.reach = reach, .suspects = suspects, .backend = backend_ref(backend)};
    check->settled = (reach_wait_t){.cb = on_settled, .ctx = check};
    backend->end_check_running = true;
    probe(check, FIRST_PROBE_DELAY_MS);
}
