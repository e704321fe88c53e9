#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "standin/soak/says.h"

enum {
    WINDOW_MS = 4000,     /* over which a limit is judged */
    LIMIT_FROM_MS = 4000, /* after it was first said: as operators bear it */
    KNOWN_MS = 500,       /* an instance is held to an answer from then on */
    ARRIVALS_MAX = 4096,  /* in a window */
    REST_BORNE = 2,       /* requests in a time of rest, as operators bear it */
};

/* Beyond what the limit allows, as operators bear it. */
#define LIMIT_FACTOR 1.5
#define LIMIT_SLACK 5

typedef struct {
    uint64_t at_ms;
    uint32_t instance;
} arrival_t;

struct says {
    says_conf_t conf;
    const char *id;
    double limit_per_s;
    uint64_t limit_since_ms; /* 0: it says none */
    uint64_t limit_until_ms;
    uint64_t *limit_told_ms; /* by instance, when an answer said so first; 0: none did */
    says_use_t use;
    uint64_t now_ms;         /* of the last request */
    uint64_t rest_ms;        /* that it asks for */
    uint64_t rests_until_ms; /* it turns away until then */
    uint64_t *rest_told_ms;  /* by instance, when it was last asked to leave it alone; 0: never */
    uint64_t *rest_end_ms;   /* by instance, until when */
    unsigned *rest_arrivals; /* by instance, in that time */
    bool leaves;
    uint64_t *leaves_told_ms; /* by instance, when an answer said so first; 0: none did */
    arrival_t arrivals[ARRIVALS_MAX];
    size_t arrival_count; /* of all time: the last ones are kept */
};

says_t *
says_new(const says_conf_t *conf)
{
    says_t *says = xcalloc(1, sizeof(*says));
    says->conf = *conf;
    says->limit_told_ms = xcalloc(conf->instances, sizeof(*says->limit_told_ms));
    says->rest_told_ms = xcalloc(conf->instances, sizeof(*says->rest_told_ms));
    says->rest_end_ms = xcalloc(conf->instances, sizeof(*says->rest_end_ms));
    says->rest_arrivals = xcalloc(conf->instances, sizeof(*says->rest_arrivals));
    says->leaves_told_ms = xcalloc(conf->instances, sizeof(*says->leaves_told_ms));
    return says;
}

static uint64_t
limit_from_ms(const says_t *says)
{
    return says->limit_since_ms + (uint64_t)(LIMIT_FROM_MS * says->conf.slack);
}

/* A limit ends, or its server does. */
static void
sum_up_limit(says_t *says, uint64_t now_ms)
{
    const uint64_t end_ms = now_ms < says->limit_until_ms ? now_ms : says->limit_until_ms;
    if (says->limit_since_ms > 0 && end_ms > limit_from_ms(says))
        says->use.offered += says->limit_per_s * (double)(end_ms - limit_from_ms(says)) / 1000;
}

static void
forget_limit(says_t *says)
{
    says->limit_since_ms = 0;
    memset(says->limit_told_ms, 0, says->conf.instances * sizeof(*says->limit_told_ms));
}

void
says_reset(says_t *says, const char *id)
{
    says->id = id;
    sum_up_limit(says, says->now_ms);
    forget_limit(says);
    says->arrival_count = 0;
    says->rests_until_ms = 0;
    says->leaves = false;
    memset(says->rest_told_ms, 0, says->conf.instances * sizeof(*says->rest_told_ms));
    memset(says->rest_end_ms, 0, says->conf.instances * sizeof(*says->rest_end_ms));
    memset(says->leaves_told_ms, 0, says->conf.instances * sizeof(*says->leaves_told_ms));
}

void
says_limit(says_t *says, double per_s, uint64_t now_ms, uint64_t until_ms)
{
    sum_up_limit(says, now_ms);
    forget_limit(says);
    says->limit_per_s = per_s;
    says->limit_since_ms = now_ms;
    says->limit_until_ms = until_ms;
}

void
says_rest(says_t *says, uint64_t rest_ms, uint64_t until_ms)
{
    says->rest_ms = rest_ms;
    says->rests_until_ms = until_ms;
}

void
says_leave(says_t *says)
{
    says->leaves = true;
}

bool
says_turns_away(const says_t *says, uint64_t now_ms)
{
    return now_ms < says->rests_until_ms;
}

static bool
names_limit(const says_t *says, uint64_t now_ms)
{
    return says->limit_since_ms > 0 && now_ms < says->limit_until_ms;
}

static void
append(char *out, size_t size, const char *name, double value)
{
    const size_t len = strlen(out);
    snprintf(out + len, size - len, "%s: %g\r\n", name, value);
}

void
says_write(says_t *says, uint32_t instance, uint64_t now_ms, char *out, size_t size)
{
    out[0] = '\0';
    if (names_limit(says, now_ms)) {
        append(out, size, "Server-Limit", says->limit_per_s);
        if (says->limit_told_ms[instance] == 0)
            says->limit_told_ms[instance] = now_ms;
    }
    if (says->leaves) {
        append(out, size, "Server-Leaving", 1);
        if (says->leaves_told_ms[instance] == 0) {
            judge_examine(says->conf.judge, RULE_TOLD);
            says->leaves_told_ms[instance] = now_ms;
        }
    }
}

void
says_write_refusal(says_t *says, uint32_t instance, uint64_t now_ms, char *out, size_t size)
{
    says_write(says, instance, now_ms, out, size);
    if (!says_turns_away(says, now_ms))
        return;
    append(out, size, "Retry-After", (double)says->rest_ms / 1000);
    if (now_ms < says->rest_end_ms[instance])
        return; /* it was asked before, and has sent all the same */
    if (fleet_uses_peers(says->conf.fleet, instance, now_ms))
        return; /* the wish is to the instance that sent it, which is not known here */
    judge_examine(says->conf.judge, RULE_REST);
    says->rest_told_ms[instance] = now_ms;
    says->rest_end_ms[instance] = now_ms + says->rest_ms;
    says->rest_arrivals[instance] = 0;
}

/* True if the instance is held to what it was told at that time. */
static bool
is_bound(const says_t *says, uint32_t instance, uint64_t told_ms, uint64_t now_ms)
{
    const uint64_t known_ms = (uint64_t)(KNOWN_MS * says->conf.slack);
    return told_ms > 0 && now_ms >= told_ms + known_ms &&
           fleet_in_touch(says->conf.fleet, instance, now_ms);
}

/* Requests of the last window from instances that were told at the time of their arrival. */
static unsigned
count_window(const says_t *says, uint64_t now_ms)
{
    unsigned count = 0;
    const uint64_t known_ms = (uint64_t)(KNOWN_MS * says->conf.slack);
    const size_t kept = says->arrival_count < ARRIVALS_MAX ? says->arrival_count : ARRIVALS_MAX;
    for (size_t i = 0; i < kept; i++) {
        const arrival_t *arrival = &says->arrivals[(says->arrival_count - 1 - i) % ARRIVALS_MAX];
        const uint64_t told_ms = says->limit_told_ms[arrival->instance];
        if (arrival->at_ms + WINDOW_MS <= now_ms)
            break;
        count += told_ms > 0 && arrival->at_ms >= told_ms + known_ms &&
                 fleet_in_touch(says->conf.fleet, arrival->instance, now_ms);
    }
    return count;
}

static void
judge_limit(says_t *says, const soak_request_t *request, uint64_t now_ms)
{
    const uint64_t from_ms =
        says->limit_since_ms + (uint64_t)((LIMIT_FROM_MS + WINDOW_MS) * says->conf.slack);
    const double most = LIMIT_FACTOR * says->limit_per_s * WINDOW_MS / 1000 + LIMIT_SLACK;
    if (!names_limit(says, now_ms) || now_ms < from_ms ||
        !is_bound(says, request->instance, says->limit_told_ms[request->instance], now_ms))
        return;
    const unsigned count = count_window(says, now_ms);
    judge_examine(says->conf.judge, RULE_LIMIT);
    if (count > most)
        judge_break(
            says->conf.judge, RULE_LIMIT,
            "%s, which takes %g a second, got %u requests in %d ms, %g are borne; the last, "
            "%" PRIu64 ", from gateway-%" PRIu32,
            says->id, says->limit_per_s, count, WINDOW_MS, most, request->number,
            request->instance + 1);
}

/* True if its process is the one that was told, and has not stood still since. */
static bool
still_knows(const says_t *says, uint32_t instance, uint64_t told_ms)
{
    const life_t *life = fleet_life(says->conf.fleet, instance);
    return life != NULL && life->started_ms < told_ms && life->paused_ms < told_ms;
}

static void
judge_rest(says_t *says, const soak_request_t *request, uint64_t now_ms)
{
    const uint32_t instance = request->instance;
    const uint64_t told_ms = says->rest_told_ms[instance];
    if (!is_bound(says, instance, told_ms, now_ms) || now_ms >= says->rest_end_ms[instance] ||
        fleet_uses_peers(says->conf.fleet, instance, now_ms))
        return;
    if (++says->rest_arrivals[instance] > REST_BORNE)
        judge_break(says->conf.judge, RULE_REST,
                    "%" PRIu64 " from gateway-%" PRIu32
                    " arrives at %s, which had asked for %" PRIu64 " ms of rest %" PRIu64
                    " ms before; %u in that time",
                    request->number, instance + 1, says->id, says->rest_ms, now_ms - told_ms,
                    says->rest_arrivals[instance]);
}

/* Whether the instance is in touch does not matter: it was told to its face. */
static void
judge_leaving(says_t *says, const soak_request_t *request, uint64_t now_ms)
{
    const uint64_t told_ms = says->leaves_told_ms[request->instance];
    const uint64_t known_ms = (uint64_t)(KNOWN_MS * says->conf.slack);
    if (told_ms == 0 || request->sent_ms <= told_ms + known_ms ||
        !still_knows(says, request->instance, told_ms))
        return;
    judge_break(says->conf.judge, RULE_TOLD,
                "%" PRIu64 " from gateway-%" PRIu32 " arrives at %s, %" PRIu64
                " ms after an answer told it that this leaves",
                request->number, request->instance + 1, says->id, now_ms - told_ms);
}

says_use_t
says_use(const says_t *says)
{
    says_t copy = *says;
    sum_up_limit(&copy, says->now_ms);
    return copy.use;
}

void
says_arrived(says_t *says, const soak_request_t *request, uint64_t now_ms)
{
    says->now_ms = now_ms;
    says->use.got += names_limit(says, now_ms) && now_ms >= limit_from_ms(says);
    says->arrivals[says->arrival_count++ % ARRIVALS_MAX] = (arrival_t){now_ms, request->instance};
    judge_limit(says, request, now_ms);
    judge_rest(says, request, now_ms);
    judge_leaving(says, request, now_ms);
}
