#include <math.h>

#include "gateway/policy/choice.h"

/* Room kept free for urgent requests, as a share of an upstream's slots. */
#define RESERVED_SHARE 0.1
/* Share of its slots up to which an upstream takes requests for which it is not the first: they
 * run longer there, and its own objects come first. */
#define LATER_SHARE 0.6

/* The most upstreams of a region, as a share, that are avoided for their failures; and the use of
 * the others' slots that this may lead to. */
#define IMPAIRED_MAX_SHARE 0.6
#define IMPAIRED_MAX_USE 0.9
/* Brings an impaired upstream's score below that of every other. */
#define IMPAIRED_FACTOR 1e-9

enum {
    URGENT_PRIORITY = 1,
    CANDIDATES_MAX = 8192,
    REPLICAS = 2,     /* upstreams of a region that share an object */
    REPLICAS_ANY = 8, /* looked at in a region for a request without an object */
};

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
        !config_allows_region(input->route, name_str(&input->topology->regions[backend->region])))
        return false;
    if (!backend_is_cold(backend, input->now_ms))
        return true;
    return input->peers_settled && cold_may_take(backend, input->now_ms) &&
           cold_is_user(backend->key, backend->region, input->own_key, input->peers,
                        input->peer_count);
}

/* Puts impaired upstreams behind all others of their region, unless too many there are impaired:
 * then the fault lies elsewhere, or the others could not carry the load. */
static void
demote_impaired(const choice_input_t *input, candidate_t *candidates, size_t count)
{
    unsigned total[TOPOLOGY_REGIONS_MAX + 1] = {0};
    unsigned impaired[TOPOLOGY_REGIONS_MAX + 1] = {0};
    for (size_t i = 0; i < count; i++) {
        const backend_t *backend = candidates[i].backend;
        total[backend->region]++;
        impaired[backend->region] += health_is_impaired(&backend->health, input->now_ms);
    }
    const double spare = 1 - plan_use(input->plan) / IMPAIRED_MAX_USE;
    const double share = spare < IMPAIRED_MAX_SHARE ? spare : IMPAIRED_MAX_SHARE;
    for (size_t i = 0; i < count; i++) {
        const backend_t *backend = candidates[i].backend;
        if (impaired[backend->region] <= share * total[backend->region] &&
            health_is_impaired(&backend->health, input->now_ms))
            candidates[i].score *= IMPAIRED_FACTOR;
    }
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
    demote_impaired(input, out, count);
    return count;
}

typedef struct {
    size_t region;
    bool own_hall_only;
} area_t;

static bool
in_area(const choice_input_t *input, const backend_t *backend, const area_t *area)
{
    if (backend->region != area->region)
        return false;
    return !area->own_hall_only || name_eq(&backend->info.hall, input->own_hall);
}

/* The object's replicas in an area, the first in its order first; returns their number. */
static size_t
find_replicas(const choice_input_t *input, const candidate_t *candidates, size_t count,
              const area_t *area, candidate_t *out, size_t most)
{
    size_t found = 0;
    for (size_t i = 0; i < count; i++) {
        if (!in_area(input, candidates[i].backend, area))
            continue;
        size_t at = found;
        while (at > 0 && out[at - 1].score < candidates[i].score)
            at--;
        if (at == most)
            continue;
        if (found < most)
            found++;
        for (size_t k = found - 1; k > at; k--)
            out[k] = out[k - 1];
        out[at] = candidates[i];
    }
    return found;
}

/* `rank` is the replica's place in the object's order over all areas. */
static bool
has_room(const choice_input_t *input, const backend_t *backend, size_t rank)
{
    const double slots = backend->info.capacity;
    double usable = slots;
    if (rank > 0 && input->has_object)
        usable = LATER_SHARE * slots;
    else if (input->route->priority > URGENT_PRIORITY)
        usable = (1 - RESERVED_SHARE) * slots;
    return backend_load(backend, input->now_ms) + 1 <= usable;
}

/* Expected time until a request sent now would be answered, in milliseconds. */
static double
expected_ms(const choice_input_t *input, const backend_t *backend)
{
    const double load = (backend_load(backend, input->now_ms) + 1) / backend->info.capacity;
    return backend->work_ms * (load > 1 ? load : 1);
}

static bool
may_wait(const choice_input_t *input, const backend_t *backend)
{
    const double load = (backend_load(backend, input->now_ms) + 1) / backend->info.capacity;
    return load <= input->load_max && expected_ms(input, backend) <= input->wait_ms;
}

/* Where to look, in this order. */
static size_t
list_areas(const choice_input_t *input, area_t *areas)
{
    size_t count = 0;
    const bool large = input->route->large;
    const double point = unit(input->object);
    const size_t planned =
        large ? plan_region_large(input->plan, point) : plan_region(input->plan, point);
    if (large && planned == input->own_region)
        areas[count++] = (area_t){planned, true};
    areas[count++] = (area_t){planned, false};
    if (planned != input->own_region)
        areas[count++] = (area_t){input->own_region, false};
    for (size_t i = 0; i < input->topology->region_count; i++) {
        if (i != planned && i != input->own_region)
            areas[count++] = (area_t){i, false};
    }
    /* Backend servers of data halls that the settings do not list come last. */
    areas[count++] = (area_t){TOPOLOGY_NO_REGION, false};
    return count;
}

/* The index of the replica to use, `count` if there is none. `rank` is the first one's place in
 * the order over all areas. */
static size_t
pick_replica(const choice_input_t *input, const candidate_t *replicas, size_t count, size_t rank,
             bool *waits)
{
    *waits = false;
    for (size_t i = 0; i < count; i++) {
        backend_t *backend = replicas[i].backend;
        if (has_room(input, backend, rank + i))
            return i;
        /* An object's request waits where its object is rather than run cold. */
        *waits = input->has_object && may_wait(input, backend);
        if (*waits)
            return i;
    }
    for (size_t i = 0; i < count; i++) {
        *waits = may_wait(input, replicas[i].backend);
        if (*waits)
            return i;
    }
    return count;
}

backend_t *
choice_pick(const choice_input_t *input, choice_reason_t *reason)
{
    static candidate_t candidates[CANDIDATES_MAX];
    area_t areas[TOPOLOGY_REGIONS_MAX + 3];
    candidate_t replicas[REPLICAS_ANY];
    const size_t most = input->has_object ? REPLICAS : REPLICAS_ANY;
    const size_t count = collect(input, candidates);
    const size_t area_count = list_areas(input, areas);
    size_t rank = 0;
    for (size_t i = 0; i < area_count; i++) {
        bool waits;
        const size_t found = find_replicas(input, candidates, count, &areas[i], replicas, most);
        const bool spills = areas[i].region != areas[0].region && rank > 0;
        const bool too_far = input->route->large && areas[i].region != input->own_region;
        if (spills && (!input->may_spill || too_far))
            break;
        const size_t picked = pick_replica(input, replicas, found, rank, &waits);
        rank += found;
        if (picked == found)
            continue;
        *reason = spills       ? CHOICE_ELSEWHERE
                  : waits      ? CHOICE_QUEUED
                  : picked > 0 ? CHOICE_LATER
                               : CHOICE_FIRST;
        return replicas[picked].backend;
    }
    *reason = count == 0 ? CHOICE_NONE : CHOICE_FULL;
    return NULL;
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
