#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/xmalloc.h"
#include "standin/soak/asks.h"

enum {
    PROBE_EVERY = 4,   /* one request of so many is a probe, */
    LARGE_EVERY = 8,   /* one of so many of the others has a large answer, */
    UNSAFE_EVERY = 2,  /* and of the rest one of so many may not be repeated */
    BODY_MAX = 4000,   /* bytes of a request's body */
    ANSWER_MAX = 2000, /* bytes of most answers' bodies */
    LARGE_MIN = 40000, /* bytes of a large answer's body */
    LARGE_SPAN = 80000,
    MARKERS_NEAR = 4, /* probes ask for one of so many next to the edge */
    OBJECTS = 87,     /* as in fake-site */
    ROUTE_KINDS = 3,  /* the first routes are of these in turn */
};

/* The version whose route a probe asks for: one that must be there, one that must be gone, or the
 * newest, which proves how far the instance is. */
static uint64_t
draw_marker(const asks_t *asks, uint64_t now_ms)
{
    const uint64_t newest = operator_version(asks->ops);
    const uint64_t bound_ms = asks->config_bound_ms;
    const uint64_t held = now_ms > bound_ms ? operator_version_at(asks->ops, now_ms - bound_ms) : 1;
    const uint64_t back = rng_below(asks->rng, MARKERS_NEAR);
    switch (rng_below(asks->rng, 3)) {
    case 0:
        return held > back ? held - back : 1;
    case 1:
        return held > OPERATOR_MARKERS + back ? held - OPERATOR_MARKERS - back : newest;
    default:
        return newest;
    }
}

static request_kind_t
draw_kind(rng_t *rng)
{
    if (rng_below(rng, PROBE_EVERY) == 0)
        return REQUEST_PROBE;
    if (rng_below(rng, LARGE_EVERY) == 0)
        return REQUEST_LARGE;
    return rng_below(rng, UNSAFE_EVERY) == 0 ? REQUEST_UNSAFE : REQUEST_SAFE;
}

static void
write_path(const asks_t *asks, const ask_t *ask, char *out, size_t size)
{
    static const unsigned first_of[] = {
        [REQUEST_SAFE] = 0, [REQUEST_UNSAFE] = 1, [REQUEST_LARGE] = 2};
    const soak_request_t *request = ask->request;
    if (request->kind == REQUEST_PROBE) {
        snprintf(out, size, "/marker/%" PRIu64 "/%" PRIu64, ask->marker, request->number);
        return;
    }
    const unsigned turn = (unsigned)rng_below(asks->rng, OPERATOR_FIRST_ROUTES / ROUTE_KINDS);
    snprintf(out, size, "/first/%u/%" PRIu64, first_of[request->kind] + ROUTE_KINDS * turn,
             request->number);
}

static void
write_request(const asks_t *asks, ask_t *ask)
{
    const soak_request_t *request = ask->request;
    char path[64];
    char key[128];
    write_path(asks, ask, path, sizeof(path));
    char *head = xasprintf("%s %s HTTP/1.1\r\nHost: soak.example\r\nAttempt-Id: %" PRIu64
                           "\r\nAffinity-Key: %" PRIu64
                           "\r\nDeadline-Ms: %d\r\n%sContent-Length: %zu\r\n\r\n",
                           request->kind == REQUEST_UNSAFE ? "POST" : "GET", path, request->number,
                           request->number % OBJECTS, ASK_DEADLINE_MS,
                           accounts_fields(request, key, sizeof(key)), request->body_len);
    const size_t head_len = strlen(head);
    ask->len = head_len + request->body_len;
    ask->bytes = xrealloc(head, ask->len);
    requests_fill(request->number, 0, ask->bytes + head_len, request->body_len);
}

ask_t
ask_draw(const asks_t *asks, uint32_t instance, uint64_t now_ms)
{
    const request_kind_t kind = draw_kind(asks->rng);
    ask_t ask = {.request = requests_add(asks->requests, kind, instance)};
    ask.request->sent_ms = now_ms;
    accounts_draw(asks->accounts, ask.request, asks->rng, now_ms, asks->config_bound_ms);
    if (kind == REQUEST_UNSAFE)
        ask.request->body_len = rng_below(asks->rng, BODY_MAX);
    ask.request->answer_len = kind == REQUEST_LARGE ? LARGE_MIN + rng_below(asks->rng, LARGE_SPAN)
                                                    : rng_below(asks->rng, ANSWER_MAX);
    if (kind == REQUEST_PROBE)
        ask.marker = draw_marker(asks, now_ms);
    write_request(asks, &ask);
    return ask;
}
