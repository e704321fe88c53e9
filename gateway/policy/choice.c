#include <math.h>

#include "gateway/policy/choice_areas.h"
#include "gateway/policy/choice_fastest.h"
#include "gateway/policy/replicas.h"
#include "gateway/policy/response_time.h"
#include "gateway/policy/rollout.h"

/* Upper bound on the share of a region's backends that are avoided. */
#define AVOIDED_MAX_SHARE 0.6
/* Backends are avoided only while the use of the remaining slots at peak demand stays below this: a
 * slow response is better for a caller than none. */
#define AVOIDED_MAX_USE 0.9
/* Load per slot added for cold backends when looking for the least loaded one; above any admitted
 * load. */
#define COLD_LOAD 100.0
/* Scales the score of an avoided backend below that of all others. */
#define AVOIDED_FACTOR 1e-9

enum {
    /* Upper bound on the backends of a service that are considered: several times those of the
     * largest service known, 3,000. */
    CANDIDATES_MAX = 8192,
    /* Backends considered per region for a request without an object. */
    REPLICAS_ANY = REPLICAS_MAX,
};

static double
rendezvous_score(const choice_input_t *input, const backend_t *backend)
{
    const uint64_t pair[] = {input->object, backend->key};
    const uint64_t hash = str_hash((str_t){(const char *)pair, sizeof(pair)}, 0);
    return (double)backend->info.capacity / -log(choice_hash_to_unit(hash));
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
allows_version(const choice_versions_t *versions, const backend_t *backend)
{
    const uint64_t version = backend->info.version;
    if (versions->only != 0)
        return version == versions->only &&
               (versions->server_cut == 0 ||
                rollout_server_hash(backend->key, versions->server_turn) <= versions->server_cut);
    for (size_t i = 0; i < CHOICE_VERSIONS_MAX; i++) {
        if (versions->except[i] != 0 && version == versions->except[i])
            return false;
    }
    return true;
}

/* True if the backend matches the request's constraints, whatever its state. */
static bool
is_eligible(const choice_input_t *input, uint64_t service_key, const backend_t *backend)
{
    return backend_is_of(backend, input->service, service_key) && !was_tried(input, backend) &&
           (input->version == 0 || backend->info.version == input->version) &&
           allows_version(&input->versions, backend) &&
           choice_allows_region(input, backend->region);
}

static size_t
mesh_of(const choice_input_t *input, const backend_t *backend)
{
    const size_t hall = topology_hall(input->topology, name_str(&backend->info.hall));
    return input->hall_meshes != NULL && hall != TOPOLOGY_NO_HALL ? input->hall_meshes[hall]
                                                                  : backend->region;
}

/* True if the backend is warm, or this instance may send it a request under cold-start pacing. */
static bool
within_cold_start_rate(const choice_input_t *input, backend_t *backend)
{
    if (!backend_is_cold(backend, input->now_ms))
        return true;
    return input->senders_settled && cold_start_may_send(&backend->cold_tokens, input->now_ms) &&
           cold_start_is_sender(backend->key, mesh_of(input, backend), input->own_key,
                                input->senders, input->sender_count);
}

/* Share of a region's backends that may be avoided. */
static double
avoidable_share(const choice_input_t *input)
{
    const double spare = 1 - region_plan_use(input->plan) / AVOIDED_MAX_USE;
    return spare < AVOIDED_MAX_SHARE ? spare : AVOIDED_MAX_SHARE;
}

/* Ranks avoided backends behind all others of their region, unless too many are avoided: the cause
 * then lies elsewhere, or the others could not carry the load. */
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

/* The best-ranked of the skipped backends. */
typedef struct {
    skip_reason_t reason;
    double score;
    size_t region;
    uint64_t wait_ms; /* shortest wait of all skipped backends; 0: not known */
} best_skipped_t;

static void
record_skipped(const choice_input_t *input, const backend_t *backend, skip_reason_t reason,
               best_skipped_t *best)
{
    const double score = rendezvous_score(input, backend);
    const uint64_t wait_ms = backend_skip_wait_ms(backend, input->now_ms);
    if (wait_ms > 0 && (best->wait_ms == 0 || wait_ms < best->wait_ms))
        best->wait_ms = wait_ms;
    if (best->reason != SKIP_NONE && best->score >= score)
        return;
    best->reason = reason;
    best->score = score;
    best->region = backend->region;
}

/* Notes when a backend that is suspended may be sent requests again. */
static void
record_suspended(const choice_input_t *input, const backend_t *backend, best_skipped_t *best)
{
    const uint64_t wait_ms = backend_suspended_ms(backend, input->now_ms);
    if (wait_ms > 0 && (best->wait_ms == 0 || wait_ms < best->wait_ms))
        best->wait_ms = wait_ms;
}

static size_t
collect_candidates(const choice_input_t *input, candidate_t *out, best_skipped_t *skipped)
{
    const uint64_t service_key = backend_service_key(input->service);
    size_t count = 0;
    for (size_t i = 0; i < input->backends->count && count < CANDIDATES_MAX; i++) {
        backend_t *backend = input->backends->items[i];
        if (!is_eligible(input, service_key, backend))
            continue;
        const skip_reason_t reason =
            backend_skip_reason(backend, input->may_request_permit, input->now_ms);
        if (reason != SKIP_NONE)
            record_skipped(input, backend, reason, skipped);
        else if (!backend_is_usable(backend, input->now_ms))
            record_suspended(input, backend, skipped);
        else if (within_cold_start_rate(input, backend))
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

/* Finds the best-ranked candidates of an area, at most `max_count`; returns their number. */
static size_t
find_replicas(const choice_input_t *input, const candidate_t *candidates, size_t count,
              const choice_area_t *area, candidate_t *out, size_t max_count)
{
    size_t found = 0;
    for (size_t i = 0; i < count; i++) {
        if (!choice_in_area(input, candidates[i].backend, area))
            continue;
        size_t at = found;
        while (at > 0 && out[at - 1].score < candidates[i].score)
            at--;
        if (at == max_count)
            continue;
        if (found < max_count)
            found++;
        for (size_t k = found - 1; k > at; k--)
            out[k] = out[k - 1];
        out[at] = candidates[i];
    }
    return found;
}

/* Finds the candidate of an area with the fewest requests per slot, warm ones first; returns the
 * number found, 0 or 1. */
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

static admission_backend_t
admission_state(const choice_input_t *input, const backend_t *backend)
{
    return (admission_backend_t){
        .load = backend_load(backend, input->now_ms),
        .slots = backend->info.capacity,
        .work_ms = backend->service_time_ms,
        .queue_work_ms = input->by_response_time ? input->service_work_ms : 0,
    };
}

static admission_t
admit(const choice_input_t *input, const backend_t *backend)
{
    const admission_backend_t state = admission_state(input, backend);
    return admission_decide(&input->request, &state);
}

/* Admission at a backend that does not have the object in memory: such a run takes a slot for
 * longer, and only if it can end in time. */
static admission_t
admit_without_object(const choice_input_t *input, const backend_t *backend)
{
    const admission_backend_t state = admission_state(input, backend);
    admission_request_t request = input->request;
    request.lacks_object = true;
    return admission_is_in_time(&request, &state) ? admission_decide(&request, &state) : ADMIT_NOT;
}

/* Returns the index of the replica that admits the request, `count` if none does. A request about
 * an object queues at the first replica that accepts it rather than run without the object in
 * memory; other requests queue only if no replica has a free slot. */
static size_t
pick_replica(const choice_input_t *input, const candidate_t *replicas, size_t count,
             admission_t *admission)
{
    size_t queue_at = count;
    for (size_t i = 0; i < count; i++) {
        *admission = admit(input, replicas[i].backend);
        if (*admission == ADMIT_NOW || (*admission == ADMIT_AFTER_WAIT && input->has_object))
            return i;
        if (*admission == ADMIT_AFTER_WAIT && queue_at == count)
            queue_at = i;
    }
    *admission = queue_at < count ? ADMIT_AFTER_WAIT : ADMIT_NOT;
    return queue_at;
}

/* Truncates the candidates of an area to the object's replicas and moves the least loaded to the
 * front; returns their number. */
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
admitted_reason(bool other_region, admission_t admission, bool is_faster, size_t index)
{
    if (other_region)
        return CHOICE_OTHER_REGION;
    if (admission == ADMIT_AFTER_WAIT)
        return CHOICE_QUEUED;
    if (is_faster && index == 0)
        return CHOICE_FASTER;
    return index > 0 ? CHOICE_FALLBACK : CHOICE_FIRST;
}

/* What is searched for a backend. */
typedef struct {
    const choice_input_t *input;
    const candidate_t *candidates;
    size_t count;
    const best_skipped_t *skipped;
} search_t;

/* Candidates of an area, by rank. */
typedef struct {
    candidate_t items[REPLICAS_MAX];
    size_t replica_count; /* the first ones, which have the object in memory */
    size_t count;
    bool moved; /* the first is not the usual one */
} area_candidates_t;

/* Finds the candidate of an area that admits the request; returns its index, or their number if
 * none does. */
typedef size_t (*pick_cb)(const search_t *search, const choice_area_t *area,
                          area_candidates_t *found, admission_t *admission);

static void
find_in_area(const search_t *search, const choice_area_t *area, area_candidates_t *out)
{
    const choice_input_t *input = search->input;
    const size_t max_count = input->has_object ? REPLICAS_MAX : REPLICAS_ANY;
    out->moved = false;
    if (input->suspected)
        out->count = find_least_loaded(input, search->candidates, search->count, area, out->items);
    else
        out->count =
            find_replicas(input, search->candidates, search->count, area, out->items, max_count);
    out->replica_count = out->count;
    if (!input->has_object || input->suspected)
        return;
    out->replica_count = keep_replicas(input, out->items, out->count);
    if (input->by_response_time)
        out->replica_count = choice_put_fastest_first(input, out->items, out->replica_count,
                                                      out->count, &out->moved);
}

static size_t
pick_replica_in_area(const search_t *search, const choice_area_t *area, area_candidates_t *found,
                     admission_t *admission)
{
    const size_t picked =
        pick_replica(search->input, found->items, found->replica_count, admission);
    return picked < found->replica_count ? picked : found->count;
}

/* Those that follow the replicas in the ranking, and the least loaded one of the area. */
static size_t
pick_other_in_area(const search_t *search, const choice_area_t *area, area_candidates_t *found,
                   admission_t *admission)
{
    for (size_t i = found->replica_count; i < found->count; i++) {
        *admission = admit_without_object(search->input, found->items[i].backend);
        if (*admission != ADMIT_NOT)
            return i;
    }
    if (found->count < REPLICAS_MAX)
        return found->count;
    candidate_t *last = &found->items[found->count - 1];
    find_least_loaded(search->input, search->candidates, search->count, area, last);
    *admission = admit_without_object(search->input, last->backend);
    return *admission != ADMIT_NOT ? found->count - 1 : found->count;
}

/* Searches the areas in order for a backend that admits the request; false if none does. */
static bool
pick_in_areas(const search_t *search, pick_cb pick, choice_t *choice)
{
    const best_skipped_t *skipped = search->skipped;
    choice_area_t areas[CHOICE_AREAS_MAX];
    area_candidates_t found;
    const size_t area_count = choice_list_areas(search->input, areas);
    bool any = false;
    for (size_t i = 0; i < area_count; i++) {
        admission_t admission;
        const bool other_region = areas[i].region != areas[0].region;
        if (other_region && any)
            break;
        find_in_area(search, &areas[i], &found);
        const size_t picked = pick(search, &areas[i], &found, &admission);
        any |= found.count > 0;
        if (picked == found.count)
            continue;
        choice->reason = admitted_reason(other_region, admission, found.moved, picked);
        choice->backend = found.items[picked].backend;
        if (skipped->region == areas[0].region &&
            (other_region || skipped->score > found.items[picked].score))
            choice->skip_reason = skipped->reason;
        return true;
    }
    return false;
}

choice_t
choice_make(const choice_input_t *input)
{
    static candidate_t candidates[CANDIDATES_MAX];
    best_skipped_t skipped = {0};
    choice_t choice = {0};
    const size_t count = collect_candidates(input, candidates, &skipped);
    const search_t search = {input, candidates, count, &skipped};
    if (pick_in_areas(&search, pick_replica_in_area, &choice) ||
        pick_in_areas(&search, pick_other_in_area, &choice))
        return choice;
    choice.skip_reason = skipped.reason;
    choice.wait_ms = skipped.wait_ms;
    if (count > 0)
        choice.reason = CHOICE_FULL;
    else
        choice.reason = skipped.reason != SKIP_NONE ? CHOICE_ALL_SKIPPED : CHOICE_NONE;
    return choice;
}

size_t
choice_first_candidates(const choice_input_t *input, backend_t **out, size_t max)
{
    static candidate_t candidates[CANDIDATES_MAX];
    best_skipped_t skipped = {0};
    choice_area_t areas[CHOICE_AREAS_MAX];
    candidate_t first[REPLICAS_MAX];
    const size_t count = collect_candidates(input, candidates, &skipped);
    choice_list_areas(input, areas);
    const size_t wanted = max < REPLICAS_MAX ? max : REPLICAS_MAX;
    const size_t found = find_replicas(input, candidates, count, &areas[0], first, wanted);
    for (size_t i = 0; i < found; i++)
        out[i] = first[i].backend;
    return found;
}

const char *
choice_reason_name(choice_reason_t reason)
{
    static const char *const names[] = {
        [CHOICE_FIRST] = "first",
        [CHOICE_FALLBACK] = "later",
        [CHOICE_OTHER_REGION] = "elsewhere",
        [CHOICE_QUEUED] = "queued",
        [CHOICE_FULL] = "full",
        [CHOICE_ALL_SKIPPED] = "passed",
        [CHOICE_NONE] = "none",
        [CHOICE_FASTER] = "faster",
        [CHOICE_SHORTAGE] = "shortage",
        [CHOICE_NO_TIME] = "no_time",
    };
    return names[reason];
}
