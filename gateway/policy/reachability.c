#include "gateway/policy/reachability.h"

enum {
    /* Failures further apart are not taken together. */
    FAILURES_WITHIN_MS = 2000,
    /* Silence of all backend servers after which one failure suffices. */
    SILENT_MS = 1000,
    NEEDED_MIN = 2,
    NEEDED_MAX = 16,
    RELAPSE_MS = 10000,
    RETURN_MS = 1500,
    /* Age of the last response up to which open connections count as alive. */
    HEARD_MS = 1000,
};

static void
forget_failures(reachability_t *reach)
{
    reach->failed_count = 0;
}

/* Adds a backend server that failed, once each. */
static void
remember_failure(reachability_t *reach, uint64_t backend_key, uint64_t now_ms)
{
    if (now_ms - reach->failed_ms > FAILURES_WITHIN_MS)
        forget_failures(reach);
    reach->failed_ms = now_ms;
    for (size_t i = 0; i < reach->failed_count; i++) {
        if (reach->failed[i] == backend_key)
            return;
    }
    if (reach->failed_count < REACHABILITY_FAILED_MAX)
        reach->failed[reach->failed_count++] = backend_key;
}

static bool
is_silent(const reachability_t *reach, uint64_t now_ms)
{
    const uint64_t last_ms =
        reach->heard_ms > reach->connected_ms ? reach->heard_ms : reach->connected_ms;
    return now_ms - last_ms >= SILENT_MS;
}

bool
reachability_add_failure(reachability_t *reach, uint64_t backend_key, uint64_t now_ms)
{
    if (reach->state != REACH_NORMAL)
        return false;
    remember_failure(reach, backend_key, now_ms);
    if (reach->failed_count < REACHABILITY_FAILED_MAX && !is_silent(reach, now_ms))
        return false;
    reach->state = REACH_SUSPECTED;
    reach->probes_left = REACHABILITY_PROBES;
    return true;
}

void
reachability_set_probes(reachability_t *reach, unsigned count)
{
    reach->probes_left = count;
    if (count == 0)
        reach->state = REACH_NORMAL;
}

void
reachability_add_send(reachability_t *reach, uint64_t now_ms)
{
    if (reach->unanswered_since_ms == 0)
        reach->unanswered_since_ms = now_ms;
}

bool
reachability_wants_probe(const reachability_t *reach, uint64_t now_ms)
{
    if (reach->state == REACH_NORMAL)
        return reach->unanswered_since_ms > 0 && now_ms - reach->unanswered_since_ms >= SILENT_MS;
    return reach->state == REACH_LOST;
}

void
reachability_add_connection(reachability_t *reach, uint64_t at_ms)
{
    if (at_ms > reach->connected_ms)
        reach->connected_ms = at_ms;
    if (at_ms > reach->unanswered_since_ms)
        reach->unanswered_since_ms = 0;
    if (reach->state == REACH_NORMAL && at_ms > reach->failed_ms)
        forget_failures(reach);
}

void
reachability_add_response(reachability_t *reach, uint64_t now_ms)
{
    reach->heard_ms = now_ms;
    reach->unanswered_since_ms = 0;
}

static void
lose(reachability_t *reach, uint64_t now_ms)
{
    const bool relapsed = reach->returned_ms > 0 && now_ms - reach->returned_ms < RELAPSE_MS;
    const unsigned doubled = reach->needed < NEEDED_MAX ? 2 * reach->needed : NEEDED_MAX;
    reach->needed = relapsed ? doubled : NEEDED_MIN;
    reach->state = REACH_LOST;
    reach->lost_ms = now_ms;
    reach->successes = 0;
    reach->unanswered_since_ms = 0;
    forget_failures(reach);
}

static void
end_suspicion(reachability_t *reach, bool connected, uint64_t now_ms)
{
    if (connected) {
        reach->state = REACH_NORMAL;
        forget_failures(reach);
    } else if (--reach->probes_left == 0) {
        lose(reach, now_ms);
    }
}

static void
count_while_lost(reachability_t *reach, bool connected, uint64_t now_ms)
{
    reach->successes = connected ? reach->successes + 1 : 0;
    if (reach->successes < reach->needed)
        return;
    reach->state = REACH_NORMAL;
    reach->returned_ms = now_ms;
}

void
reachability_add_probe(reachability_t *reach, bool connected, uint64_t now_ms)
{
    if (connected)
        reachability_add_connection(reach, now_ms);
    if (reach->state == REACH_SUSPECTED)
        end_suspicion(reach, connected, now_ms);
    else if (reach->state == REACH_LOST)
        count_while_lost(reach, connected, now_ms);
}

double
reachability_direct_share(const reachability_t *reach, uint64_t now_ms)
{
    if (reach->state == REACH_LOST)
        return 0;
    if (reach->returned_ms == 0 || now_ms - reach->returned_ms >= RETURN_MS)
        return 1;
    return (double)(now_ms - reach->returned_ms) / RETURN_MS;
}

bool
reachability_is_doubtful(const reachability_t *reach)
{
    return reach->state != REACH_NORMAL;
}

bool
reachability_hears_responses(const reachability_t *reach, uint64_t now_ms)
{
    return now_ms - reach->heard_ms <= HEARD_MS && reach->heard_ms > reach->lost_ms;
}
