#include <math.h>

#include "gateway/policy/choice_areas.h"
#include "gateway/policy/replicas.h"

/* At most this share of a region's backends is avoided. Chosen, not measured. */
#define AVOIDED_MAX_SHARE 0.6
/* And no more than leaves the use of the others' slots below this, at the highest demand measured:
 * a slow backend is better than a refusal. Avoiding whatever the load lowered padana-ricambi
 * scale-1 from 0.462 to 0.435 (commit 28ac3e3). */
#define AVOIDED_MAX_USE 0.9
/* Added to a cold backend's requests a slot where the least loaded is looked for: above any load
 * that is admitted. */
#define COLD_LOAD 100.0
/* Brings an avoided backend's score below that of every other. */
#define AVOIDED_FACTOR 1e-9

enum {
    /* Backends of a service that are looked at; the largest site swept had 3,000 (commit 59548b9).
     */
    CANDIDATES_MAX = 8192,
    /* Looked at in a region for a request without an object. Chosen, not measured. */
    REPLICAS_ANY = REPLICAS_MAX,
};

typedef struct {
    backend_t *backend;
    double score;
    bool avoided; /* from health_is_avoided() */
} candidate_t;

static double
rendezvous_score(const choice_input_t *input, const backend_t *backend)
{
    const uint64_t pair[] = {input->object, backend->key};
    const uint64_t hash = str_hash((str_t){(const char *)pair, sizeof(pair)}, 0);
    return (double)backend->info.capacity / -log(choice_unit(hash));
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

/* True if the request may go to the backend, whatever state that is in. */
static bool
serves(const choice_input_t *input, const backend_t *backend)
{
    return name_eq(&backend->info.service, input->service) && !was_tried(input, backend) &&
           (input->version == 0 || backend->info.version == input->version) &&
           choice_allows_region(input, backend->region);
}

/* True if the backend is warm, or this instance may send a cold one a request now. */
static bool
is_in_pace(const choice_input_t *input, backend_t *backend)
{
    if (!backend_is_cold(backend, input->now_ms))
        return true;
    return input->senders_settled && cold_start_may_send(&backend->cold_tokens, input->now_ms) &&
           cold_start_is_sender(backend->key, backend->region, input->own_key, input->senders,
                                input->sender_count);
}

/* Number of a region's backends that may be avoided, as a share. */
static double
avoidable_share(const choice_input_t *input)
{
    const double spare = 1 - region_plan_use(input->plan) / AVOIDED_MAX_USE;
    return spare < AVOIDED_MAX_SHARE ? spare : AVOIDED_MAX_SHARE;
}

/* Puts avoided backends behind all others of their region, unless too many there are avoided: then
 * the fault lies elsewhere, or the others could not carry the load. */
static void
demote_avoided(const choice_input_t *input, candidate_t *candidates, size_t count)
{
    unsigned total[TOPOLOGY_REGIONS_MAX + 1] = {0};
    unsigned avoided[TOPOLOGY_REGIONS_MAX + 1] = {0};
    for (size_t i = 0; i < count; i++) {
        candidate_t *candidate = &candidates[i];
        const backend_t *backend = candidate->backend;
        candidate->avoided = health_is_avoided(&backend->health, input->now_ms);
        total[backend->region]++;
        avoided[backend->region] += candidate->avoided;
    }
    const double share = avoidable_share(input);
    for (size_t i = 0; i < count; i++) {
        candidate_t *candidate = &candidates[i];
        const size_t region = candidate->backend->region;
        if (candidate->avoided && avoided[region] <= share * total[region])
            candidate->score *= AVOIDED_FACTOR;
    }
}

/* The best of those that are passed over. */
typedef struct {
    passed_t why;
    double score;
    size_t region;
    uint64_t wait_ms; /* the shortest of all */
} passed_best_t;

static void
note_passed(const choice_input_t *input, const backend_t *backend, passed_t why,
            passed_best_t *best)
{
    const double score = rendezvous_score(input, backend);
    const uint64_t wait_ms = pass_over_wait_ms(backend, input->now_ms);
    if (wait_ms > 0 && (best->wait_ms == 0 || wait_ms < best->wait_ms))
        best->wait_ms = wait_ms;
    if (best->why != PASSED_NOT && best->score >= score)
        return;
    best->why = why;
    best->score = score;
    best->region = backend->region;
}

static size_t
collect(const choice_input_t *input, candidate_t *out, passed_best_t *passed)
{
    size_t count = 0;
    for (size_t i = 0; i < input->backends->count && count < CANDIDATES_MAX; i++) {
        backend_t *backend = input->backends->items[i];
        if (!serves(input, backend))
            continue;
        const passed_t why = pass_over(backend, input->may_ask, input->now_ms);
        if (why != PASSED_NOT)
            note_passed(input, backend, why, passed);
        else if (backend_is_usable(backend, input->now_ms) && is_in_pace(input, backend))
            out[count++] =
                (candidate_t){.backend = backend, .score = rendezvous_score(input, backend)};
    }
    demote_avoided(input, out, count);
    return count;
}

static double
load_per_slot(const choice_input_t *input, const backend_t *backend)
{
    return backend_load(backend, input->now_ms) / backend->info.capacity;
}

/* The best candidates of an area, in the request's order, at most `most`; returns their number. */
static size_t
find_replicas(const choice_input_t *input, const candidate_t *candidates, size_t count,
              const choice_area_t *area, candidate_t *out, size_t most)
{
    size_t found = 0;
    for (size_t i = 0; i < count; i++) {
        if (!choice_in_area(input, candidates[i].backend, area))
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

/* The candidate of an area with the fewest requests a slot, warm before cold; returns the number
 * found, 1 at the most. */
static size_t
find_least_loaded(const choice_input_t *input, const candidate_t *candidates, size_t count,
                  const choice_area_t *area, candidate_t *out)
{
    const candidate_t *best = NULL;
    double least = 0;
    for (size_t i = 0; i < count; i++) {
        const backend_t *backend = candidates[i].backend;
        if (!choice_in_area(input, backend, area))
            continue;
        const double load = load_per_slot(input, backend) +
                            (backend_is_cold(backend, input->now_ms) ? COLD_LOAD : 0);
        if (best != NULL && load >= least)
            continue;
        least = load;
        best = &candidates[i];
    }
    if (best == NULL)
        return 0;
    *out = *best;
    return 1;
}

static admission_t
admit(const choice_input_t *input, const backend_t *backend)
{
    const admission_backend_t state = {
        .load = backend_load(backend, input->now_ms),
        .slots = backend->info.capacity,
        .work_ms = backend->service_time_ms,
    };
    return admission_decide(&input->request, &state);
}

/* Index of the replica that admits the request, `count` if none does. A request about an object
 * queues at the first replica that lets it, rather than run without the object in memory; others
 * queue only if no replica has room.
 */
static size_t
pick_replica(const choice_input_t *input, const candidate_t *replicas, size_t count,
             admission_t *admission)
{
    size_t waits_at = count;
    for (size_t i = 0; i < count; i++) {
        *admission = admit(input, replicas[i].backend);
        if (*admission == ADMIT_NOW || (*admission == ADMIT_AFTER_WAIT && input->has_object))
            return i;
        if (*admission == ADMIT_AFTER_WAIT && waits_at == count)
            waits_at = i;
    }
    *admission = waits_at < count ? ADMIT_AFTER_WAIT : ADMIT_NOT;
    return waits_at;
}

/* Cuts the candidates of an area down to the object's replicas, the least loaded first; returns
 * their number. */
static size_t
keep_replicas(const choice_input_t *input, candidate_t *replicas, size_t count)
{
    if (count == 0)
        return 0;
    const size_t wanted = replicas_decide(input->object_demand, replicas[0].backend->info.capacity);
    const size_t kept = wanted < count ? wanted : count;
    size_t least = 0;
    for (size_t i = 1; i < kept; i++) {
        if (load_per_slot(input, replicas[i].backend) <
            load_per_slot(input, replicas[least].backend))
            least = i;
    }
    const candidate_t first = replicas[least];
    replicas[least] = replicas[0];
    replicas[0] = first;
    return kept;
}

static choice_reason_t
reason_of(bool elsewhere, admission_t admission, size_t index)
{
    if (elsewhere)
        return CHOICE_ELSEWHERE;
    if (admission == ADMIT_AFTER_WAIT)
        return CHOICE_QUEUED;
    return index > 0 ? CHOICE_LATER : CHOICE_FIRST;
}

/* The candidates of an area that the request looks at, in their order. */
static size_t
find_in_area(const choice_input_t *input, const candidate_t *candidates, size_t count,
             const choice_area_t *area, candidate_t *out)
{
    if (input->suspected)
        return find_least_loaded(input, candidates, count, area, out);
    const size_t most = input->has_object ? REPLICAS_MAX : REPLICAS_ANY;
    const size_t found = find_replicas(input, candidates, count, area, out, most);
    return input->has_object ? keep_replicas(input, out, found) : found;
}

/* Looks for a backend in one area after the other; false if none admits the request. */
static bool
pick(const choice_input_t *input, const candidate_t *candidates, size_t count,
     const passed_best_t *passed, choice_t *choice)
{
    choice_area_t areas[CHOICE_AREAS_MAX];
    candidate_t replicas[REPLICAS_MAX];
    const size_t area_count = choice_list_areas(input, areas);
    bool any = false;
    for (size_t i = 0; i < area_count; i++) {
        admission_t admission;
        const bool elsewhere = areas[i].region != areas[0].region;
        if (elsewhere && any)
            break;
        const size_t found = find_in_area(input, candidates, count, &areas[i], replicas);
        const size_t picked = pick_replica(input, replicas, found, &admission);
        any |= found > 0;
        if (picked == found)
            continue;
        choice->reason = reason_of(elsewhere, admission, picked);
        choice->backend = replicas[picked].backend;
        if (passed->region == areas[0].region &&
            (elsewhere || passed->score > replicas[picked].score))
            choice->passed = passed->why;
        return true;
    }
    return false;
}

choice_t
choice_make(const choice_input_t *input)
{
    static candidate_t candidates[CANDIDATES_MAX];
    passed_best_t passed = {0};
    choice_t choice = {0};
    const size_t count = collect(input, candidates, &passed);
    if (pick(input, candidates, count, &passed, &choice))
        return choice;
    choice.passed = passed.why;
    choice.wait_ms = passed.wait_ms;
    if (count > 0)
        choice.reason = CHOICE_FULL;
    else
        choice.reason = passed.why != PASSED_NOT ? CHOICE_PASSED : CHOICE_NONE;
    return choice;
}

const char *
choice_reason_name(choice_reason_t reason)
{
    static const char *const names[] = {
        [CHOICE_FIRST] = "first",   [CHOICE_LATER] = "later", [CHOICE_ELSEWHERE] = "elsewhere",
        [CHOICE_QUEUED] = "queued", [CHOICE_FULL] = "full",   [CHOICE_PASSED] = "passed",
        [CHOICE_NONE] = "none",
    };
    return names[reason];
}
