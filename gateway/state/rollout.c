#include "gateway/state/rollout.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "rollout"
#include "base/log.h"
#include "base/xmalloc.h"

enum { REPORTS_MAX = 4096 }; /* members and meshes */

const char *
rollout_state_name(rollout_state_t state)
{
    static const char *const names[] = {
        [ROLLOUT_NONE] = "none",
        [ROLLOUT_RUNNING] = "running",
        [ROLLOUT_COMPLETED] = "completed",
        [ROLLOUT_ROLLED_BACK] = "rolled back",
    };
    return names[state];
}

const char *
rollout_reason_name(rollout_reason_t reason)
{
    static const char *const names[] = {
        [ROLLOUT_REASON_NONE] = "-",
        [ROLLOUT_REASON_FAILING] = "responses fail",
        [ROLLOUT_REASON_SLOW] = "responses are slow",
        [ROLLOUT_REASON_SUSPECT] = "suspect on one part of its backend servers after the other",
        [ROLLOUT_REASON_NO_BACKEND] = "no backend server until the deadline",
        [ROLLOUT_REASON_INVALID] = "invalid order",
        [ROLLOUT_REASON_RECORDED] = "recorded in the store",
    };
    return names[reason];
}

void
rollout_free_counts(rollout_t *rollout)
{
    free(rollout->reports);
    rollout->reports = NULL;
    rollout->report_count = 0;
    rollout->is_counting = false;
}

void
rollout_decide(rollout_t *rollout, rollout_state_t state, rollout_reason_t reason, uint64_t now_ms)
{
    const rollout_group_t target = rollout_sum_groups(&rollout->merged.all);
    rollout->state = state;
    rollout->reason = reason;
    rollout->decided_ms = now_ms;
    rollout->share = state == ROLLOUT_COMPLETED ? 1 : 0;
    LOG_INFO("roll-out %s: service=%s version=%s reason=\"%s\" route=%016" PRIx64
             " after_ms=%llu responses=%u failures=%u slow=%u backends=%u",
             rollout_state_name(state), rollout->order.service.ptr, rollout->order.version_name,
             rollout_reason_name(reason), rollout->bad_route,
             (unsigned long long)(now_ms - rollout->started_ms), target.responses, target.failures,
             target.slow, rollout->target_servers);
}

/* ---- requests ---- */

bool
rollout_is_target(const rollout_t *rollout, const backend_t *backend)
{
    return backend->info.version == rollout->order.version;
}

static bool
is_just_completed(const rollout_t *rollout)
{
    return rollout->state == ROLLOUT_COMPLETED && rollout->share == 1;
}

/* Versions other than the target and those superseded. A service that has no other is not left
 * without backend servers once its order is rolled back: an invalid order says nothing against its
 * target, a verdict against the target says nothing against the superseded ones. */
static choice_versions_t
other_versions(const rollout_t *rollout)
{
    choice_versions_t others = {.except = {rollout->order.version}};
    const bool rolled_back = rollout->state == ROLLOUT_ROLLED_BACK;
    if (rolled_back && rollout->lacks_others && rollout->reason != ROLLOUT_REASON_INVALID)
        return others;
    memcpy(&others.except[1], rollout->superseded, sizeof(rollout->superseded));
    if (rolled_back && rollout->lacks_others)
        others.except[0] = 0;
    return others;
}

rollout_versions_t
rollout_versions(const rollout_t *rollout, double point, bool tried_target)
{
    const uint64_t target = rollout->order.version;
    const choice_versions_t others = other_versions(rollout);
    const choice_versions_t only_target = {
        .only = target, .server_turn = rollout->suspicions, .server_cut = rollout->server_cut};
    if (rollout->state == ROLLOUT_ROLLED_BACK)
        return (rollout_versions_t){.first = others};
    if (rollout->state == ROLLOUT_COMPLETED && !is_just_completed(rollout))
        return (rollout_versions_t){0};
    if (rollout->committed || is_just_completed(rollout))
        return (rollout_versions_t){.first = only_target};
    const bool first_target = !tried_target && point < rollout->share;
    return (rollout_versions_t){
        .first = first_target ? only_target : others,
        .second = first_target ? others : only_target,
        .has_second = first_target || !tried_target,
    };
}

bool
rollout_counts_room(const rollout_t *rollout, const backend_t *backend)
{
    const bool target = rollout_is_target(rollout, backend);
    if (rollout->state == ROLLOUT_COMPLETED)
        return true;
    if (rollout->state == ROLLOUT_ROLLED_BACK)
        return !target || (rollout->lacks_others && rollout->reason == ROLLOUT_REASON_INVALID);
    return target == rollout->committed;
}

/* ---- counting ---- */

static void
count_target(rollout_route_t *route, const rollout_attempt_t *attempt, bool slow)
{
    rollout_group_t *group = &route->target[attempt->backend->key % ROLLOUT_GROUPS];
    if (!attempt->failed && !attempt->comparable)
        return;
    group->responses++;
    group->failures += attempt->failed;
    group->slow += !attempt->failed && slow;
}

static void
count_base(rollout_route_t *route, const rollout_attempt_t *attempt)
{
    route->base.responses++;
    route->base.failures += attempt->failed;
    if (!attempt->failed && attempt->comparable)
        route->base.latency[rollout_bucket(attempt->latency_ms)]++;
}

/* Latency beyond which a response on the route is slow; 0 while unknown. */
static double
slow_ms(const rollout_t *rollout, uint64_t route)
{
    for (size_t i = 0; i < rollout->merged.route_count; i++) {
        if (rollout->merged.routes[i].route == route)
            return rollout_slow_ms(&rollout->merged.routes[i]);
    }
    return 0;
}

static bool
is_slow(const rollout_attempt_t *attempt, double limit_ms)
{
    return limit_ms > 0 && attempt->latency_ms > limit_ms;
}

void
rollout_record(rollout_t *rollout, const rollout_attempt_t *attempt)
{
    if (rollout->state != ROLLOUT_RUNNING)
        return;
    const bool target = rollout_is_target(rollout, attempt->backend);
    /* Each count is compared with the other versions' on the same requests. */
    const bool slow[] = {is_slow(attempt, rollout_slow_ms(&rollout->merged.all)),
                         is_slow(attempt, slow_ms(rollout, attempt->route))};
    if (attempt->cancelled && !(target && (slow[0] || slow[1])))
        return;
    rollout_counts_t *counts = &rollout->window[0];
    rollout_route_t *route = rollout_counts_route(counts, attempt->route);
    counts->all.has_objects |= attempt->has_object;
    if (route != NULL)
        route->has_objects |= attempt->has_object;
    rollout_route_t *routes[] = {&counts->all, route};
    for (size_t i = 0; i < ALEN(routes); i++) {
        if (routes[i] != NULL && target)
            count_target(routes[i], attempt, slow[i]);
        else if (routes[i] != NULL)
            count_base(routes[i], attempt);
    }
}

void
rollout_own_counts(const rollout_t *rollout, rollout_counts_t *out)
{
    *out = (rollout_counts_t){0};
    rollout_counts_add(out, &rollout->window[0]);
    rollout_counts_add(out, &rollout->window[1]);
}

void
rollout_add_report(rollout_t *rollout, const rollout_report_t *report)
{
    for (size_t i = 0; i < rollout->report_count; i++) {
        rollout_report_t *known = &rollout->reports[i];
        const bool same = report->is_sum ? known->is_sum && known->mesh == report->mesh
                                         : !known->is_sum && known->source == report->source;
        if (!same)
            continue;
        *known = *report;
        return;
    }
    if (rollout->report_count == REPORTS_MAX || rollout->state != ROLLOUT_RUNNING)
        return;
    rollout->reports =
        xrealloc(rollout->reports, (rollout->report_count + 1) * sizeof(*rollout->reports));
    rollout->reports[rollout->report_count++] = *report;
}

void
rollout_adopt_suspicions(rollout_t *rollout, unsigned suspicions, uint64_t now_ms)
{
    if (rollout->state == ROLLOUT_RUNNING && suspicions > rollout->suspicions)
        rollout_suspect(rollout, suspicions, now_ms);
}

void
rollout_suspect(rollout_t *rollout, unsigned suspicions, uint64_t now_ms)
{
    rollout->suspicions = suspicions;
    rollout->suspect_until_ms = now_ms + ROLLOUT_WINDOW_MS;
    rollout->ramp_from_ms = 0;
    rollout->judged = false;
    rollout->committed = false;
    for (size_t i = 0; i < ALEN(rollout->window); i++)
        rollout_clear_target(&rollout->window[i]);
    for (size_t i = 0; i < rollout->report_count; i++)
        rollout_clear_target(&rollout->reports[i].counts);
}

void
rollout_adopt_times(rollout_t *rollout, uint64_t elapsed_ms, uint64_t ramp_ms, uint64_t now_ms)
{
    if (elapsed_ms < now_ms && now_ms - elapsed_ms < rollout->started_ms)
        rollout->started_ms = now_ms - elapsed_ms;
    if (ramp_ms == 0 || ramp_ms >= now_ms || now_ms < rollout->suspect_until_ms)
        return;
    if (rollout->ramp_from_ms == 0 || now_ms - ramp_ms < rollout->ramp_from_ms)
        rollout->ramp_from_ms = now_ms - ramp_ms;
}
