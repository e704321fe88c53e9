#include "gateway/policy/load_probe.h"

#include <math.h>

/* Slowdown from which the second candidate may be the better one. Below it, no other backend server
 * makes up for having to load the object. */
#define SLOWED 1.25
/* Requests per slot from which a request queues. */
#define FULL 1.0

load_probe_budget_t
load_probe_budget_new(void)
{
    return (load_probe_budget_t){.saved = LOAD_PROBES_SAVED_MAX};
}

void
load_probe_budget_add_request(load_probe_budget_t *budget)
{
    budget->saved += LOAD_PROBES_PER_REQUEST;
    if (budget->saved > LOAD_PROBES_SAVED_MAX)
        budget->saved = LOAD_PROBES_SAVED_MAX;
}

void
load_probe_budget_take(load_probe_budget_t *budget)
{
    budget->saved -= 1;
    budget->outstanding++;
}

bool
load_probe_is_known(const load_probe_candidate_t *candidate)
{
    return candidate->slowdown > 0 && candidate->record.uses < LOAD_PROBE_USES_MAX;
}

static bool
is_busy(const load_probe_candidate_t *candidate)
{
    return candidate->slowdown >= SLOWED || candidate->load_per_slot >= FULL;
}

/* A probe that was not answered for as long as a request waits is likely to stay so. */
static bool
may_join(const load_probe_candidate_t *candidate, uint64_t now_ms)
{
    const uint64_t sent_ms = candidate->record.sent_ms;
    return sent_ms != 0 && now_ms - sent_ms < LOAD_PROBE_WAIT_MAX_MS;
}

static bool
may_send(const load_probe_candidate_t *candidate, const load_probe_budget_t *budget,
         uint64_t now_ms)
{
    const unsigned places =
        LOAD_PROBES_OUTSTANDING_MAX - (candidate->in_own_hall ? 0 : LOAD_PROBES_OWN_HALL);
    return candidate->gets_requests && !candidate->cold && !candidate->avoided &&
           candidate->in_own_region && candidate->record.sent_ms == 0 &&
           now_ms >= candidate->record.pause_until_ms && budget->saved >= 1 &&
           budget->outstanding < places;
}

load_probe_decision_t
load_probe_decide(const load_probe_candidate_t *candidates, size_t count,
                  const load_probe_budget_t *budget, uint64_t now_ms)
{
    for (size_t i = 0; i < count && i < LOAD_PROBE_CANDIDATES_MAX; i++) {
        const load_probe_candidate_t *candidate = &candidates[i];
        if (load_probe_is_known(candidate)) {
            if (is_busy(candidate))
                continue;
            break;
        }
        if (may_join(candidate, now_ms))
            return (load_probe_decision_t){LOAD_PROBE_JOIN, i};
        if (may_send(candidate, budget, now_ms))
            return (load_probe_decision_t){LOAD_PROBE_SEND, i};
        break;
    }
    return (load_probe_decision_t){LOAD_PROBE_NONE, 0};
}

uint32_t
load_probe_wait_ms(uint32_t left_ms, double run_ms)
{
    const double spare_ms = fmax(0, left_ms - run_ms);
    return spare_ms < LOAD_PROBE_WAIT_MAX_MS ? (uint32_t)spare_ms : LOAD_PROBE_WAIT_MAX_MS;
}

uint32_t
load_probe_pause_ms(bool answered, bool has_pace)
{
    if (!answered)
        return LOAD_PROBE_PAUSE_MS;
    return has_pace ? 0 : LOAD_PROBE_NO_PACE_PAUSE_MS;
}
