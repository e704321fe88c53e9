/*
 * Mutation testing: deliberate faults that show that the tests detect them.
 *
 * The environment variable IRISSTALL_MUTATE selects a mutation, in builds with -Dmutations=true
 * only.
 */
#pragma once

#include <stdbool.h>

typedef enum {
    MUTATE_NONE,
    MUTATE_NO_FENCE,      /* credits never expire */
    MUTATE_EARLY_UNLOCK,  /* new credits are used before the other instances have settled */
    MUTATE_EARLY_REISSUE, /* credits of an unreachable instance are reissued immediately */
    MUTATE_LEND_FOR_FREE, /* lent credits are not deducted from the lender */
    MUTATE_NO_CAP,        /* shares change without a rate limit */
    MUTATE_IGNORE_DRAIN,  /* draining backend servers receive new requests */
    MUTATE_RETRY_ALL,     /* requests that may have been executed are retried */
    MUTATE_CLAIM_NOT_RUN, /* every failure is reported as not executed */
    MUTATE_ACCEPT_OLD,    /* older versions of objects are accepted */
    MUTATE_NO_LIMIT,      /* concurrency limits are not enforced */
    MUTATE_CUT_ON_STOP,   /* a planned stop does not drain requests */
    MUTATE_COUNT,
} mutation_t;

void mutate_set(mutation_t mutation);
bool mutate_is(mutation_t mutation);
/* Reads IRISSTALL_MUTATE; does nothing unless built with -Dmutations=true. */
void mutate_from_environment(void);
