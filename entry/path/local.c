#include <math.h>

#include "base/xmalloc.h"
#include "entry/path/attempt.h"
#include "entry/path/local.h"

/* Rows of one region that are looked at. Chosen, not measured. */
enum { PLACES_PER_REGION_MAX = 64 };

/* A sibling place this many times as fast is tried first, within its cap. */
#define SLOW_PLACE_FACTOR 2.0

/* A region's rows that take traffic now, the first one drawn by their shares. */
static size_t
list_local_rows(const exchange_t *x, const service_t *service, size_t *rows)
{
    node_t *node = x->node;
    const size_t region = topology_region(node->steer->topology, name_str(&node->settings.region));
    size_t count = 0;
    double sum = 0;
    for (size_t r = 0; r < service->table->row_count && count < PLACES_PER_REGION_MAX; r++) {
        if (service->regions[r] != region || service->shares[r] <= 0)
            continue;
        sum += service->shares[r];
        rows[count++] = r;
    }
    double draw = rng_unit(&node->rng) * sum;
    for (size_t i = 0; i < count; i++) {
        draw -= service->shares[rows[i]];
        if (draw < 0) {
            const size_t first = rows[i];
            rows[i] = rows[0];
            rows[0] = first;
            break;
        }
    }
    return count;
}

static void
ask_for_credits(node_t *node)
{
    node->credits_short = true;
    node_watch_queue(node);
}

/* Admits and sends to a server of one place; false leaves the reason in x->refusal. */
static bool
try_place(exchange_t *x, service_t *service, size_t row, bool moved)
{
    node_t *node = x->node;
    const uint64_t now = node_now(node);
    const table_row_t *row_ = &service->table->rows[row];
    limiter_row_t *entered =
        limiter_row(&node->gate, name_str(&x->service), name_str(&row_->place));
    const bool is_long = x->deadline_ms > now + CREDIT_SHORT_MS;
    const limiter_result_t result = limiter_acquire(&node->gate, entered, is_long, now);
    if (result != LIMITER_ADMITTED) {
        x->refusal = limiter_result_name(result);
        if (result == LIMITER_REGION_FULL)
            ask_for_credits(node);
        return false;
    }
    const choice_t choice = {.service = name_str(&x->service),
                             .place = name_str(&row_->place),
                             .except = x->tried,
                             .policy = node->settings.policy};
    backend_t *backend = backend_choose(&node->backends, &choice, now, &node->rng, &node->turn);
    if (backend == NULL || (moved && !steer_take_request_spill(service, row, node_now(x->node)))) {
        limiter_release(&node->gate, entered, is_long);
        x->refusal = backend == NULL ? "no_server_free" : "shift_cap";
        return false;
    }
    if (moved)
        counter_add(node->counters.spilled, 1);
    history_write(&node->history, "admit",
                  "\"id\":\"%s\",\"entry\":\"%s\",\"service\":\"%s\",\"place\":\"%s\","
                  "\"moved\":%d,\"version\":%lu",
                  x->id, node->settings.name.ptr, x->service.ptr, row_->place.ptr, moved,
                  (unsigned long)service->table->version);
    const attempt_conf_t conf = {
        .backend = backend, .row = entered, .is_long = is_long, .place = entered->place.ptr};
    attempt_start(x, &conf);
    return true;
}

/* Index of a place of the region that is far faster than the first one now, else 0. */
static size_t
faster_sibling(const exchange_t *x, const service_t *service, const size_t *rows, size_t count)
{
    const node_t *node = x->node;
    if (node->settings.policy != POLICY_IRIS || count < 2)
        return 0;
    double first_ms = 0;
    double best_ms = HUGE_VAL;
    size_t best = 0;
    for (size_t i = 0; i < count; i++) {
        const choice_t choice = {.service = name_str(&x->service),
                                 .place = name_str(&service->table->rows[rows[i]].place),
                                 .except = x->tried,
                                 .policy = POLICY_IRIS};
        const double ms = backend_best_ms(&node->backends, &choice, node_now(node));
        if (i == 0)
            first_ms = ms;
        if (ms < best_ms) {
            best_ms = ms;
            best = i;
        }
    }
    return first_ms > best_ms * SLOW_PLACE_FACTOR ? best : 0;
}

bool
local_try(exchange_t *x, service_t *service)
{
    size_t rows[PLACES_PER_REGION_MAX];
    const size_t count = list_local_rows(x, service, rows);
    if (count == 0)
        x->refusal = "no_share_here";
    const size_t fast = faster_sibling(x, service, rows, count);
    if (fast != 0 && try_place(x, service, rows[fast], true))
        return true;
    for (size_t i = 0; i < count; i++) {
        if ((fast == 0 || i != fast) && try_place(x, service, rows[i], i > 0))
            return true;
    }
    return false;
}
