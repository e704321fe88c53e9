/*
 * Owner: the instance of a mesh (members.h) that keeps a count shared by all instances: the ledger
 * of a client account, or the permits of a backend server with a limit.
 *
 * Decides: one member, by rendezvous hashing of its name and the key, weighted by cores. All
 * instances of a mesh with the same member table choose the same owner; a short disagreement is
 * handled by the owners (state/account_ledgers.h, policy/rate_limit.h). Where liveness is known,
 * only alive members that are not leaving qualify. A member that does not answer is passed over at
 * most twice: an instance that misses the answers of three others is itself slow and must not
 * become the owner. In another mesh of a large fleet any member ever heard qualifies, since its
 * heartbeats are too rare to tell; the receiver forwards the message.
 *
 * Owns nothing. Depends on members.h; time is passed in.
 */
#pragma once

#include "gateway/membership/members.h"

enum { OWNER_RANKS = 8 }; /* limit of owner_input_t.rank */

/* Kinds of ownership. Instances of older versions do not support the later ones. */
typedef enum {
    OWNER_OF_ACCOUNT,
    OWNER_OF_BACKEND,
} owner_kind_t;

typedef struct {
    const members_t *members;
    owner_kind_t kind;
    uint64_t key; /* key of the owned entity */
    size_t mesh;
    bool liveness_known; /* heartbeats of the mesh are frequent enough to tell */
    size_t rank;         /* if liveness is unknown: 0 is the owner, n the n-th fallback */
    uint64_t now_ms;
} owner_input_t;

/* Returns NULL if there is no such member. Adding a member may move the result. */
member_t *owner_find(const owner_input_t *input);
/* Where liveness is unknown: the member to try as owner with the n-th message. Any OWNER_RANKS
 * messages in a row reach each of the best members, whatever the time between them. NULL if there
 * is none. */
member_t *owner_candidate(const owner_input_t *input, unsigned attempt);
