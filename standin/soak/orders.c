#include "standin/soak/orders.h"

#include <inttypes.h>
#include <string.h>

#include "base/rng.h"
#include "base/xmalloc.h"

enum {
    FIRST_AT_MS = 6000, /* the instances serve and know each other */
    GAP_MS = 2500,      /* from the end of one to the order of the next */
    DURATION_S = 8,
    GIVEN_UP_MS = 8000, /* after the deadline, for an order that is not decided */
    DRAIN_AFTER_MS = 2000,
    BOUND_MS = 5000, /* from the 50th bad response until nothing more arrives */
    BAD_RESPONSES = 50,
    EXPOSE_SLACK = 50,
    STORE_CALM_MS = 4000,
    FAIL_PERCENT = 30,
    SLOW_MULTIPLE = 6,
    SLOW_MORE_MS = 150, /* for the shortest work */
    MS_PER_S = 1000,
};

#define EXPOSE_SHARE 0.1

typedef enum { STAGE_REST, STAGE_ORDERED, STAGE_ROLLED_BACK } stage_t;

typedef enum { END_COMPLETED, END_ROLLED_BACK, END_GIVEN_UP, ENDS } end_t;

struct orders {
    orders_conf_t conf;
    rng_t rng;
    unsigned version; /* last ordered one */
    order_kind_t kind;
    stage_t stage;
    uint64_t next_ms; /* of the next order */
    uint64_t ordered_ms;
    uint64_t drain_ms;
    uint64_t requests; /* of the service, from the order to its deadline */
    uint64_t exposed;  /* of these, at the ordered version, from instances in touch */
    unsigned bad;      /* bad responses */
    uint64_t bad_ms;   /* of the 50th; 0 before */
    bool judged;       /* the exposure, at the deadline */
    unsigned ordered[ORDER_KINDS];
    unsigned ended[ORDER_KINDS][ENDS];
};

orders_t *
orders_new(const orders_conf_t *conf)
{
    orders_t *orders = xcalloc(1, sizeof(*orders));
    orders->conf = *conf;
    orders->rng = (rng_t){conf->seed ^ 0x726f6c6c};
    orders->version = 1;
    orders->next_ms = FIRST_AT_MS;
    return orders;
}

static void
order(orders_t *orders, uint64_t now_ms)
{
    char version[16];
    orders->version++;
    orders->kind = (order_kind_t)rng_below(&orders->rng, ORDER_KINDS);
    orders->stage = STAGE_ORDERED;
    orders->ordered_ms = now_ms;
    orders->requests = 0;
    orders->exposed = 0;
    orders->bad = 0;
    orders->bad_ms = 0;
    orders->judged = false;
    orders->ordered[orders->kind]++;
    snprintf(version, sizeof(version), "v%u", orders->version);
    standin_store_put(orders->conf.store, "rollouts", ORDERS_SERVICE,
                      json_pack("{s:s, s:s, s:i}", "service", ORDERS_SERVICE, "targetVersion",
                                version, "durationS", DURATION_S),
                      NULL);
    orders->conf.start(orders->conf.ctx, orders->version);
}

static bool
recorded_as(const orders_t *orders, const char *state)
{
    const char *recorded =
        standin_store_status(orders->conf.store, "rollouts", ORDERS_SERVICE, "state");
    return recorded != NULL && strcmp(recorded, state) == 0;
}

static void
end_order(orders_t *orders, end_t how, uint64_t now_ms)
{
    orders->ended[orders->kind][how]++;
    orders->stage = STAGE_REST;
    orders->next_ms = now_ms + GAP_MS;
}

static void
on_completed(orders_t *orders, uint64_t now_ms)
{
    judge_t *judge = orders->conf.judge;
    judge_examine(judge, RULE_ROLLOUT);
    if (orders->kind != ORDER_GOOD)
        judge_break(judge, RULE_ROLLOUT, "bad version v%u (kind %d) is completed", orders->version,
                    orders->kind);
    orders->conf.end_others(orders->conf.ctx, orders->version, now_ms);
    end_order(orders, END_COMPLETED, now_ms);
}

static void
on_rolled_back(orders_t *orders, uint64_t now_ms)
{
    judge_t *judge = orders->conf.judge;
    judge_examine(judge, RULE_ROLLOUT);
    if (orders->kind == ORDER_GOOD)
        judge_break(judge, RULE_ROLLOUT, "good version v%u is rolled back after %" PRIu64 " ms",
                    orders->version, now_ms - orders->ordered_ms);
    orders->stage = STAGE_ROLLED_BACK;
    orders->drain_ms = now_ms + DRAIN_AFTER_MS;
}

static void
judge_exposure(orders_t *orders)
{
    judge_t *judge = orders->conf.judge;
    orders->judged = true;
    if (orders->kind == ORDER_GOOD)
        return;
    judge_examine(judge, RULE_EXPOSED);
    if ((double)orders->exposed > EXPOSE_SHARE * (double)orders->requests + EXPOSE_SLACK)
        judge_break(judge, RULE_EXPOSED,
                    "bad version v%u (kind %d) gets %" PRIu64 " of %" PRIu64 " requests",
                    orders->version, orders->kind, orders->exposed, orders->requests);
}

void
orders_tick(orders_t *orders, uint64_t now_ms)
{
    const uint64_t deadline_ms = orders->ordered_ms + DURATION_S * MS_PER_S;
    if (orders->ordered_ms > 0 && !orders->judged && now_ms > deadline_ms)
        judge_exposure(orders);
    switch (orders->stage) {
    case STAGE_REST:
        if (now_ms >= orders->next_ms && (orders->judged || orders->ordered_ms == 0) &&
            operator_store_calm_since(orders->conf.ops, now_ms))
            order(orders, now_ms);
        break;
    case STAGE_ORDERED:
        if (recorded_as(orders, "completed")) {
            on_completed(orders, now_ms);
        } else if (recorded_as(orders, "rolled_back")) {
            on_rolled_back(orders, now_ms);
        } else if (now_ms > deadline_ms + GIVEN_UP_MS) {
            /* Troubles may hold up a good version; a bad one must not be left running. */
            if (orders->kind != ORDER_GOOD &&
                operator_store_calm_since(orders->conf.ops, deadline_ms))
                judge_break(orders->conf.judge, RULE_ROLLOUT, "bad version v%u is not rolled back",
                            orders->version);
            orders->conf.drain(orders->conf.ctx, orders->version, now_ms);
            end_order(orders, END_GIVEN_UP, now_ms);
        }
        break;
    case STAGE_ROLLED_BACK:
        if (now_ms < orders->drain_ms)
            break;
        orders->conf.drain(orders->conf.ctx, orders->version, now_ms);
        end_order(orders, END_ROLLED_BACK, now_ms);
        break;
    }
}

/* True if the response is to be a bad one. */
static bool
is_bad(const orders_t *orders, const soak_request_t *request, unsigned version)
{
    if (version != orders->version || version == 1 || orders->kind == ORDER_GOOD)
        return false;
    const uint64_t draw = str_hash((str_t){(const char *)&request->number, sizeof(uint64_t)}, 9);
    return orders->kind == ORDER_SLOW || draw % 100 < FAIL_PERCENT;
}

static void
judge_late(const orders_t *orders, const soak_request_t *request, uint64_t now_ms)
{
    const uint64_t bound_ms = orders->bad_ms + (uint64_t)(BOUND_MS * orders->conf.slack);
    if (orders->bad_ms == 0 || request->sent_ms <= bound_ms)
        return;
    if (fleet_in_touch(orders->conf.fleet, request->instance, now_ms) &&
        operator_store_calm_since(orders->conf.ops, orders->ordered_ms - STORE_CALM_MS))
        judge_break(orders->conf.judge, RULE_EXPOSED,
                    "%" PRIu64 " from gateway-%" PRIu32 " runs at bad version v%u, %" PRIu64
                    " ms after its 50th bad response",
                    request->number, request->instance + 1, orders->version,
                    now_ms - orders->bad_ms);
}

bool
orders_run(orders_t *orders, const soak_request_t *request, unsigned version, uint64_t *work_ms,
           uint64_t now_ms)
{
    const bool in_time =
        orders->ordered_ms > 0 && now_ms <= orders->ordered_ms + DURATION_S * MS_PER_S;
    const bool in_touch = fleet_in_touch(orders->conf.fleet, request->instance, now_ms);
    orders->requests += in_time;
    orders->exposed += in_time && version == orders->version && in_touch;
    if (!is_bad(orders, request, version))
        return false;
    judge_late(orders, request, now_ms);
    if (orders->kind == ORDER_SLOW)
        *work_ms = *work_ms * SLOW_MULTIPLE + SLOW_MORE_MS;
    if (++orders->bad == BAD_RESPONSES)
        orders->bad_ms = now_ms + *work_ms;
    return orders->kind == ORDER_FAILING;
}

void
orders_print(const orders_t *orders, FILE *out)
{
    static const char *const names[] = {"good", "failing", "slow"};
    for (size_t i = 0; i < ORDER_KINDS; i++)
        fprintf(out, "roll-outs, %s: ordered %u, completed %u, rolled back %u, given up %u\n",
                names[i], orders->ordered[i], orders->ended[i][END_COMPLETED],
                orders->ended[i][END_ROLLED_BACK], orders->ended[i][END_GIVEN_UP]);
}
