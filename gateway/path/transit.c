#include "gateway/path/transit.h"

#include <stdio.h>
#include <stdlib.h>

#define LOG_MODULE "transit"
#include "base/counter.h"
#include "base/log.h"
#include "base/loop_time.h"
#include "base/xmalloc.h"
#include "gateway/path/completion.h"
#include "gateway/path/dispatch.h"
#include "gateway/policy/transit.h"
#include "wire/client.h"

enum {
    PEER_CONNECTIONS_MAX = 256,
    PEER_IDLE_MS = 3000, /* of connections; a peer without any is forgotten */
    /* The peer's own deadline is earlier by this, so that its report arrives before ours. */
    REPORT_MARGIN_MS = 40,
};

/* ---- peers ---- */

static backend_t *
find_peer(const transit_t *transit, const addr_t *addr)
{
    for (size_t i = 0; i < transit->peer_count; i++) {
        if (addr_eq(wire_pool_addr(transit->peers[i]->pool), addr))
            return transit->peers[i];
    }
    return NULL;
}

static backend_t *
add_peer(transit_t *transit, const member_t *member)
{
    const backend_info_t info = {
        .id = member->instance, .hall = member->hall, .addr = member->transit, .capacity = 1};
    backend_t *peer =
        backend_new(&info, member->region,
                    wire_pool_new(transit->loop, &member->transit, PEER_CONNECTIONS_MAX));
    peer->listed = true;
    transit->peers = xrealloc(transit->peers, (transit->peer_count + 1) * sizeof(*transit->peers));
    transit->peers[transit->peer_count++] = peer;
    return peer;
}

void
transit_tick(transit_t *transit)
{
    size_t kept = 0;
    for (size_t i = 0; i < transit->peer_count; i++) {
        backend_t *peer = transit->peers[i];
        wire_pool_close_idle(peer->pool, PEER_IDLE_MS);
        if (peer->refs == 1 && wire_pool_is_empty(peer->pool))
            backend_unref(peer);
        else
            transit->peers[kept++] = peer;
    }
    transit->peer_count = kept;
}

static bool
is_allowed(const exchange_t *ex, const member_t *member)
{
    const topology_t *topology = ex->owner->router->topology;
    const config_regions_t *account = ex->account != NULL ? &ex->account->regions : NULL;
    if (member->region >= topology->region_count)
        return ex->route->regions.count == 0 && (account == NULL || account->count == 0);
    const str_t region = name_str(&topology->regions[member->region]);
    return config_allows_region(&ex->route->regions, region) &&
           (account == NULL || config_allows_region(account, region));
}

static bool
was_tried(const exchange_t *ex, const backend_t *peer)
{
    for (size_t i = 0; i < ex->tried_count; i++) {
        if (ex->tried[i] == peer)
            return true;
    }
    return false;
}

static bool
may_take(const exchange_t *ex, const member_t *member, const backend_t *peer, uint64_t now_ms)
{
    const transit_t *transit = ex->owner->transit;
    return member->heard && member->ready && !member->leaving && !member->backends_lost &&
           addr_port(&member->transit) != 0 && !addr_eq(&member->peer, &transit->own_peer) &&
           member_alive(member, now_ms) && is_allowed(ex, member) &&
           (peer == NULL || (!was_tried(ex, peer) && breaker_allows(&peer->breaker, now_ms)));
}

/* Returns NULL if no peer may take the request. */
static backend_t *
choose_peer(const exchange_t *ex)
{
    transit_t *transit = ex->owner->transit;
    const router_t *router = transit->router;
    rng_t *rng = &transit->router->rng;
    const members_t *members = transit->members;
    transit_peer_t *peers = xcalloc(members->count + 1, sizeof(*peers));
    const member_t **at = xcalloc(members->count + 1, sizeof(*at));
    size_t count = 0;
    for (size_t i = 0; i < members->count; i++) {
        const member_t *member = &members->items[i];
        const backend_t *peer = find_peer(transit, &member->transit);
        if (!may_take(ex, member, peer, exchange_now_ms(ex)))
            continue;
        at[count] = member;
        peers[count++] = (transit_peer_t){
            .own_hall = name_eq(&member->hall, name_str(&router->hall)),
            .own_region = member->region == router->region,
            .in_flight = peer != NULL ? peer->in_flight : 0,
        };
    }
    const size_t chosen = transit_choose(peers, count, rng_next(rng), rng_next(rng));
    const member_t *member = chosen < count ? at[chosen] : NULL;
    free(peers);
    free(at);
    if (member == NULL)
        return NULL;
    backend_t *peer = find_peer(transit, &member->transit);
    return peer != NULL ? peer : add_peer(transit, member);
}

/* ---- sending ---- */

static void
count_request(const char *direction, transit_result_t result)
{
    char labels[48];
    snprintf(labels, sizeof(labels), "direction=\"%s\",result=\"%s\"", direction,
             transit_result_name(result));
    counter_add(counter_get("irisstall_transit_requests_total", labels,
                            "Requests sent by way of a peer, and taken from peers."),
                1);
}

static void
send_to(exchange_t *ex, backend_t *peer)
{
    const uint64_t left_ms = exchange_remaining_ms(ex);
    wire_text_t fields = {0};
    const transit_terms_t terms = {
        .service = name_str(&ex->service->name),
        .account = ex->account != NULL ? name_str(&ex->account->name) : STR(""),
        .caller = ex->req->caller,
        .revision = ex->config->revision,
        .sends = ex->sends,
    };
    transit_terms_write(&terms, &fields);
    ex->tried[ex->tried_count++] = backend_ref(peer);
    ex->transits++;
    ex->in_transit = true;
    backend_attempt_started(peer);
    const attempt_conf_t conf = {
        .backend = peer,
        .left_ms = left_ms > REPORT_MARGIN_MS + 1 ? (uint32_t)left_ms - REPORT_MARGIN_MS : 1,
        .repeatable = ex->route->repeatable,
        .is_retry = ex->tried_count > 1,
        .via_peer = true,
        .fields = {fields.ptr, fields.len},
    };
    attempt_start(&ex->attempt, &conf);
    free(fields.ptr);
    ex->overdue_at_ms = 0;
    exchange_set_timer(ex);
}

static bool
sends_itself(const exchange_t *ex)
{
    const reachability_t *reach = &ex->owner->reach->state;
    /* Refused connections may exhaust the attempts of a request before the probes have a result. */
    if (reach->state == REACH_SUSPECTED && ex->tried_count > 0)
        return false;
    const double share = reachability_direct_share(reach, exchange_now_ms(ex));
    return share >= 1 || (share > 0 && rng_unit(&ex->owner->router->rng) < share);
}

bool
transit_dispatch(exchange_t *ex)
{
    const reachability_t *reach = &ex->owner->reach->state;
    if (sends_itself(ex))
        return false;
    const bool may_hop =
        !ex->from_peer && ex->transits < TRANSIT_PEERS_MAX && ex->tried_count < RETRY_BACKENDS_MAX;
    backend_t *peer = may_hop ? choose_peer(ex) : NULL;
    if (peer != NULL) {
        if (attempt_end_if_abandoned(&ex->attempt))
            return true;
        exchange_end_probe_wait(ex);
        send_to(ex, peer);
        return true;
    }
    /* Attempts at unreachable backend servers would only delay the refusal. */
    if (reach->state != REACH_LOST || reachability_hears_responses(reach, exchange_now_ms(ex)))
        return false;
    ex->choice = (choice_t){.reason = CHOICE_NONE};
    router_count_refused(ex->owner->router, ex->service);
    completion_refuse(ex, OUTCOME_NO_BACKEND);
    return true;
}

/* ---- the end of an attempt at a peer ---- */

static void
finish_attempt(exchange_t *ex)
{
    backend_attempt_finished(exchange_last_tried(ex));
    ex->in_transit = false;
}

void
transit_cancel(exchange_t *ex)
{
    attempt_cancel(&ex->attempt);
    const bool may_have_run = ex->attempt.sent && !attempt_says_not_run(&ex->attempt);
    ex->sends += ex->attempt.sent;
    ex->may_have_run |= may_have_run;
    ex->possible_runs += may_have_run;
    finish_attempt(ex);
}

static transit_result_t
result_of(const exchange_t *ex, attempt_outcome_t outcome)
{
    switch (outcome) {
    case ATTEMPT_ANSWERED:
    case ATTEMPT_TRUNCATED:
        return TRANSIT_FORWARDED;
    case ATTEMPT_UNKNOWN:
        return TRANSIT_UNKNOWN;
    case ATTEMPT_NOT_RUN:
        return ex->attempt.head_seen ? ex->attempt.report.result : TRANSIT_DECLINED;
    }
    BUG("outcome");
}

static void
refuse_as_reported(exchange_t *ex)
{
    const uint32_t after_ms = ex->attempt.report.retry_after_ms;
    if (ex->may_have_run || after_ms == 0) {
        completion_refuse(ex, OUTCOME_NOT_RUN);
        return;
    }
    const return_time_t time = {.after_ms = after_ms};
    completion_refuse_no_room(ex, OUTCOME_NOT_RUN, &time);
}

/* Tries another way if the rule of retries allows it. */
static void
retry_or_refuse(exchange_t *ex)
{
    if (dispatch_may_retry(ex))
        dispatch_next(ex);
    else
        completion_refuse(ex, OUTCOME_NOT_RUN);
}

void
transit_on_attempt_end(exchange_t *ex, attempt_outcome_t outcome)
{
    const transit_result_t result = result_of(ex, outcome);
    const transit_report_t *report = &ex->attempt.report;
    finish_attempt(ex);
    count_request("sent", result);
    switch (result) {
    case TRANSIT_FORWARDED:
        ex->sends++;
        ex->possible_runs++;
        if (outcome == ATTEMPT_TRUNCATED) {
            completion_abort(ex, OUTCOME_CUT_BY_BACKEND);
            return;
        }
        router_count_answer(ex->owner->router, ex->route, ex->service,
                            (double)attempt_elapsed_ms(&ex->attempt));
        completion_forward(ex);
        break;
    case TRANSIT_UNKNOWN:
        ex->sends = report->sends > ex->sends ? report->sends : ex->sends + 1;
        ex->possible_runs++;
        ex->may_have_run = true;
        retry_or_refuse(ex);
        break;
    case TRANSIT_NOT_RUN:
        ex->sends = report->sends > ex->sends ? report->sends : ex->sends;
        refuse_as_reported(ex);
        break;
    case TRANSIT_DECLINED:
        retry_or_refuse(ex);
        break;
    case TRANSIT_RESULT_COUNT:
        BUG("result");
    }
}

/* ---- requests of peers ---- */

transit_verdict_t
transit_accept(const transit_t *transit, const transit_terms_t *terms, size_t active)
{
    const config_t *config = transit->router->catalog.config;
    if (!router_is_ready(transit->router) || config->revision < terms->revision)
        return TRANSIT_NOT_READY;
    if (transit->reach->state.state == REACH_LOST)
        return TRANSIT_UNREACHABLE;
    return transit_admits(transit->received, active) ? TRANSIT_ACCEPTED : TRANSIT_FULL;
}

void
transit_count_received(transit_result_t result)
{
    count_request("received", result);
}
