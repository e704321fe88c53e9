#include "gateway/membership/owner.h"

#include <math.h>

/* Members tried one after the other where liveness is known. */
enum { FALLBACKS_MAX = 3 };

/* Cores of an instance that reports none. */
#define CORES_DEFAULT 0.1

typedef struct {
    member_t *member;
    double score;
} ranked_t;

static bool
is_eligible(const owner_input_t *input, const member_t *member)
{
    const bool is_supported =
        input->kind == OWNER_OF_ACCOUNT ? member->supports_accounts : member->supports_permits;
    if (!member->heard || members_mesh(input->members, member) != input->mesh || member->leaving ||
        !is_supported || member->refuses_connections)
        return false;
    return !input->liveness_known || member_alive(member, input->now_ms);
}

static double
weighted_score(const owner_input_t *input, const member_t *member)
{
    const double cores =
        member->capacity.cpu_cores > 0 ? member->capacity.cpu_cores : CORES_DEFAULT;
    const uint64_t hash = str_hash(name_str(&member->instance), input->key);
    return cores / -log(((double)(hash >> 11) + 0.5) * 0x1.0p-53);
}

/* Ranks the best members by score; returns their number. */
static size_t
rank(const owner_input_t *input, ranked_t *best)
{
    size_t count = 0;
    for (size_t i = 0; i < input->members->count; i++) {
        member_t *member = &input->members->items[i];
        if (!is_eligible(input, member))
            continue;
        ranked_t next = {member, weighted_score(input, member)};
        for (size_t k = 0; k < OWNER_RANKS && next.member != NULL; k++) {
            if (best[k].member != NULL && best[k].score >= next.score)
                continue;
            const ranked_t moved = best[k];
            best[k] = next;
            next = moved;
        }
        count += count < OWNER_RANKS;
    }
    return count;
}

member_t *
owner_find(const owner_input_t *input)
{
    ranked_t best[OWNER_RANKS] = {0};
    const size_t count = rank(input, best);
    if (!input->liveness_known)
        return input->rank < count ? best[input->rank].member : NULL;
    for (size_t i = 0; i < count && i < FALLBACKS_MAX; i++) {
        if (input->kind != OWNER_OF_ACCOUNT ||
            input->now_ms >= best[i].member->accounts_avoided_until_ms)
            return best[i].member;
    }
    return count > 0 ? best[0].member : NULL;
}

member_t *
owner_candidate(const owner_input_t *input, unsigned attempt)
{
    owner_input_t next = *input;
    member_t *member = NULL;
    /* A rank beyond the last member stands for one of the others. */
    for (next.rank = attempt % OWNER_RANKS; next.rank > 0 && member == NULL; next.rank /= 2)
        member = owner_find(&next);
    return member != NULL ? member : owner_find(&next);
}
