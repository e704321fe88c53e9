/*
 * The judge of a soak: counts for every rule the cases that were examined and those that broke it,
 * keeps the first broken ones with their times, and gives the verdict.
 *
 * What a case is, is decided by whoever saw it: callers.c, servers.c and fleet.c.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

typedef enum {
    RULE_LOST,      /* a whole request got no whole answer, its process was not killed */
    RULE_CROSSED,   /* the same, sent when the instance had closed and the caller could not know */
    RULE_PAUSED,    /* the same, with a pause of the process in its time */
    RULE_REFUSED,   /* an answer said not run, and the request ran */
    RULE_TWICE,     /* a request that may not be repeated ran again */
    RULE_MIXED,     /* an answer of another request, or not whole and looking whole */
    RULE_CONFIG,    /* an acknowledged configuration is not in force after the bound */
    RULE_BACKWARDS, /* a configuration that was in force is not any more */
    RULE_LEAVING,   /* work for a backend server well after its entry said that it leaves */
    RULE_POISON,    /* a request that ends backend servers reaches more of them */
    RULE_KEY,       /* a request runs under another account than its key's, or its key goes on */
    RULE_DENIED,    /* a key that is there is denied, or an account far below its limit refused */
    RULE_QUOTA,     /* an account runs more in 5 s than its limit allows and operators bear */
    RULE_LIMIT,     /* a backend server gets more requests than it says that it takes */
    RULE_REST,      /* or more than few while it wants rest from an instance */
    RULE_TOLD,      /* or a new one from an instance that it told that it leaves */
    RULE_FOREIGN,   /* work for what an entry of another writer names */
    RULE_STOP,      /* a planned stop did not end by itself within the grace time */
    RULE_ENDED,     /* a process ended without being asked to */
    RULE_EXPOSED,   /* a bad version gets more requests than a roll-out may expose, or late ones */
    RULE_ROLLOUT,   /* a bad version is completed, or a good one rolled back */
    RULE_PROBED,    /* a backend server is asked for its load that does not report its pace, or
                       more often than requests come */
    RULE_GONE,      /* a request reaches a backend server well after its caller has left */
    RULE_CUT,       /* callers of instances cut from all backend servers are served far worse */
    RULE_BUDGET,    /* more extra sends in a window than the settings allow all instances */
    RULE_COUNT,
} rule_t;

enum { CASES_KEPT = 6, CASE_TEXT_MAX = 300 };

typedef struct {
    uint64_t examined;
    uint64_t broken;
    char cases[CASES_KEPT][CASE_TEXT_MAX];
} rule_tally_t;

typedef struct {
    rule_tally_t rules[RULE_COUNT];
    uint64_t now_ms; /* from the start of the soak, for the cases' texts */
} judge_t;

/* Counts a case that kept the rule so far. */
void judge_examine(judge_t *judge, rule_t rule);
/* Counts a broken case, which must have been examined as well. */
void judge_break(judge_t *judge, rule_t rule, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
/* Prints a line a rule and the kept cases. True if no rule was broken and every main rule was
 * examined. */
bool judge_report(const judge_t *judge, FILE *out);
