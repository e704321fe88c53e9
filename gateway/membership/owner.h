/*
 * Owner: which instance of a region keeps the count of something that all instances share: the
 * ledger of a client account, or the permits of a backend server that names a limit.
 *
 * Decides: one member, by weighted rendezvous hashing of its name and the key, by cores, so that
 * large instances own more. All instances of a region choose alike from the same list; one whose
 * list differs for a moment turns to another owner, which the owners make up for
 * (state/account_ledgers.h, policy/named_limit.h).
 * Where heartbeats tell who lives, those count that live and do not stop. One that gave no answer
 * is passed over for the next, twice: an instance that hears answers of three others too late is
 * itself slow, and must not take an account to itself. Of another region of a large fleet any
 * counts that was ever heard, since its instances are heard too seldom to be judged: whoever gets a
 * message that is not for it sends it on.
 *
 * Owns nothing. Relies on members.h; time is passed in.
 */
#pragma once

#include "gateway/membership/members.h"

enum { OWNER_RANKS = 8 }; /* that can be asked for; chosen */

/* What is owned: older instances own none of the later kinds. */
typedef enum {
    OWNER_OF_ACCOUNT,
    OWNER_OF_BACKEND,
} owner_kind_t;

typedef struct {
    const members_t *members;
    owner_kind_t kind;
    uint64_t key; /* of what is owned */
    size_t region;
    bool liveness_known; /* heartbeats tell who lives there */
    size_t rank; /* where they do not: 0 the owner, above who comes after that many others */
    uint64_t now_ms;
} owner_input_t;

/* NULL if there are not so many. The table owns what is returned; a new member may move it. */
member_t *owner_find(const owner_input_t *input);
