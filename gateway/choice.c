#include <math.h>

#include "gateway/choice.h"

/* Load, in slots, up to which an upstream takes requests without waiting. */
#define LOAD_FREE 1.0
/* Load up to which requests may wait there, by urgency. */
#define LOAD_WAIT_URGENT 2.2
#define LOAD_WAIT 1.6

enum { URGENT_PRIORITY = 1, CANDIDATES_MAX = 512 };

typedef struct {
    backend_t *backend;
    double score;
} candidate_t;

static double
unit(uint64_t hash)
{
    return ((double)(hash >> 11) + 0.5) * 0x1.0p-53;
}

static double
rendezvous_score(const choice_input_t *input, const backend_t *backend)
{
    const uint64_t pair[] = {input->object, backend->key};
    const uint64_t hash = str_hash((str_t){(const char *)pair, sizeof(pair)}, 0);
    return (double)backend->info.capacity / -log(unit(hash));
}

static bool
was_tried(const choice_input_t *input, const backend_t *backend)
{
    for (size_t i = 0; i < input->tried_count; i++) {
        if (input->tried[i] == backend)
            return true;
    }
    return false;
}

static bool
may_use(const choice_input_t *input, backend_t *backend)
{
    if (!name_eq(&backend->info.service, input->service) ||
        !backend_is_usable(backend, input->now_ms) || was_tried(input, backend))
        return false;
    if (backend->region < input->topology->region_count &&
        !config_allows_region(input->route,
                              name_str(&input->topology->regions[backend->region])))
        return false;
    if (!backend_is_cold(backend, input->now_ms))
        return true;
    return input->peers_settled && cold_may_take(backend, input->now_ms) &&
           cold_is_user(backend->key, backend->region, input->own_key, input->peers,
                        input->peer_count);
}

static size_t
collect(const choice_input_t *input, candidate_t *out)
{
    size_t count = 0;
    for (size_t i = 0; i < input->backends->count && count < CANDIDATES_MAX; i++) {
        backend_t *backend = input->backends->items[i];
        if (may_use(input, backend))
            out[count++] = (candidate_t){backend, rendezvous_score(input, backend)};
    }
    return count;
}

typedef struct {
    size_t region;
    bool own_zone_only;
} area_t;

static bool
in_area(const choice_input_t *input, const backend_t *backend, const area_t *area)
{
    if (backend->region != area->region)
        return false;
    return !area->own_zone_only || name_eq(&backend->info.zone, input->own_zone);
}

/* The best-scored candidate of an area with room; `first` tells if it is the very first. */
static backend_t *
first_with_room(const choice_input_t *input, const candidate_t *candidates, size_t count,
                const area_t *area, bool *first)
{
    const candidate_t *best = NULL;
    double top = 0;
    for (size_t i = 0; i < count; i++) {
        const candidate_t *candidate = &candidates[i];
        if (!in_area(input, candidate->backend, area))
            continue;
        if (candidate->score > top)
            top = candidate->score;
        const double load = backend_load(candidate->backend, input->now_ms);
        if (load + 1 > LOAD_FREE * candidate->backend->info.capacity)
            continue;
        if (best == NULL || candidate->score > best->score)
            best = candidate;
    }
    *first = best != NULL && best->score >= top;
    return best != NULL ? best->backend : NULL;
}

/* The least loaded candidate of a region that may still queue one more. */
static backend_t *
shortest_queue(const choice_input_t *input, const candidate_t *candidates, size_t count,
               size_t region)
{
    const double bound =
        input->route->priority <= URGENT_PRIORITY ? LOAD_WAIT_URGENT : LOAD_WAIT;
    backend_t *best = NULL;
    double least = bound;
    for (size_t i = 0; i < count; i++) {
        backend_t *backend = candidates[i].backend;
        if (region != TOPOLOGY_NO_REGION && backend->region != region)
            continue;
        const double load =
            (backend_load(backend, input->now_ms) + 1) / backend->info.capacity;
        if (load < least) {
            least = load;
            best = backend;
        }
    }
    return best;
}

static size_t
list_areas(const choice_input_t *input, area_t *areas)
{
    size_t count = 0;
    if (input->route->large) {
        areas[count++] = (area_t){input->own_region, true};
        areas[count++] = (area_t){input->own_region, false};
        return count;
    }
    const size_t planned = plan_region(input->plan, unit(input->object));
    areas[count++] = (area_t){planned, false};
    if (planned != input->own_region)
        areas[count++] = (area_t){input->own_region, false};
    for (size_t i = 0; i < input->topology->region_count; i++) {
        if (i != planned && i != input->own_region)
            areas[count++] = (area_t){i, false};
    }
    return count;
}

backend_t *
choice_pick(const choice_input_t *input, choice_reason_t *reason)
{
    static candidate_t candidates[CANDIDATES_MAX];
    area_t areas[TOPOLOGY_REGIONS_MAX + 2];
    const size_t count = collect(input, candidates);
    *reason = CHOICE_NONE;
    if (count == 0)
        return NULL;
    const size_t area_count = list_areas(input, areas);
    for (size_t i = 0; i < area_count; i++) {
        bool first;
        backend_t *backend = first_with_room(input, candidates, count, &areas[i], &first);
        if (backend == NULL)
            continue;
        *reason = areas[i].region != areas[0].region ? CHOICE_ELSEWHERE
                  : first && i == 0                  ? CHOICE_FIRST
                                                     : CHOICE_LATER;
        return backend;
    }
    *reason = CHOICE_QUEUED;
    backend_t *backend = shortest_queue(input, candidates, count, areas[0].region);
    if (backend == NULL)
        backend = shortest_queue(input, candidates, count, TOPOLOGY_NO_REGION);
    if (backend == NULL)
        *reason = CHOICE_FULL;
    return backend;
}

const char *
choice_reason_name(choice_reason_t reason)
{
    static const char *const names[] = {
        [CHOICE_FIRST] = "first",   [CHOICE_LATER] = "later", [CHOICE_ELSEWHERE] = "elsewhere",
        [CHOICE_QUEUED] = "queued", [CHOICE_FULL] = "full",   [CHOICE_NONE] = "none",
    };
    return names[reason];
}
