/*
 * The schedule of a soak: which trouble strikes what, when, and for how long.
 *
 * Drawn whole from a seed before the soak begins, so the same seed, length and sizes give the same
 * schedule, though not the same run. Troubles of each kind come at random gaps and independently
 * of the other kinds, so they come in series and overlap.
 *
 * Pure: no clock, no sockets. Relies on base/rng.h.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

typedef enum {
    TROUBLE_STOP,             /* SIGTERM; started again some time after its end */
    TROUBLE_KILL,             /* SIGKILL; started again after the length */
    TROUBLE_PAUSE,            /* SIGSTOP, SIGCONT after the length */
    TROUBLE_SETTINGS,         /* another settings file; SIGHUP if the variant is odd */
    TROUBLE_CONFIG,           /* one change of the configuration */
    TROUBLE_STORM,            /* changes of the configuration, several a second, for the length */
    TROUBLE_STORE,            /* a mode of the store, the variant, for the length */
    TROUBLE_STORE_SLOW,       /* answers late by the variant in ms, for the length */
    TROUBLE_STORE_FORGETS,    /* its history */
    TROUBLE_SERVER_LEAVES,    /* says so, serves on for the length, ends, is replaced */
    TROUBLE_SERVER_GOES,      /* its entry goes without a word, the rest is as above */
    TROUBLE_SERVER_DIES,      /* connections break at once; the entry goes after the length */
    TROUBLE_SERVER_EXCHANGED, /* another one at the same address, with a new id */
    TROUBLE_POISON,           /* a request that ends backend servers comes for the length */
    TROUBLE_ROUTES,           /* the configuration grows by thousands of routes for the length */
    TROUBLE_SERVER_LIMITS,    /* says that it takes few requests, for the length */
    TROUBLE_SERVER_RESTS,     /* turns all away for the length, and asks for rest */
    TROUBLE_SERVER_TELLS,     /* leaves, and says so in its answers alone; else as leaves */
    TROUBLE_CUT,              /* links of instances to all backend servers, for the length */
    TROUBLE_STORE_RETURNS,    /* the store is away for the length, then back from an older copy */
    TROUBLE_SLOW,             /* short pauses in series, for the length */
    TROUBLE_COUNT,
} trouble_kind_t;

typedef struct {
    uint64_t at_ms; /* from the start of the soak */
    uint64_t length_ms;
    trouble_kind_t kind;
    uint32_t target;  /* instance or backend server, by number from 0 */
    uint32_t variant; /* meaning by kind */
} trouble_t;

typedef struct {
    uint64_t seed;
    uint64_t length_ms;
    uint32_t instances;
    uint32_t servers;
    bool says;       /* only what backend servers say of themselves */
    bool earlier;    /* without troubles that earlier versions can't bear */
    uint32_t poison; /* in place of what is drawn: so many TROUBLE_POISON together */
} schedule_conf_t;

typedef struct {
    trouble_t *items; /* by time */
    size_t count;
} schedule_t;

schedule_t schedule_draw(const schedule_conf_t *conf);
/* A line for each trouble. */
void schedule_print(const schedule_t *schedule, FILE *out);
