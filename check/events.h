/* Events of a recorded run, merged from several histories and sorted by time. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "base/error.h"

typedef enum {
    EV_SEND,   /* a client's request was due */
    EV_RECV,   /* its final outcome, as seen by the client */
    EV_LOOKUP, /* an entry answered a lookup */
    EV_ADMIT,  /* an entry sent a request to a backend server */
    EV_ANSWER, /* an entry sent its final response */
    EV_ADOPT,  /* an entry adopted a version of an object */
    EV_ENTRY_START,
    EV_ENTRY_LEAVE,
    EV_ENTRY_STOPPED,
    EV_ENTER, /* a backend server accepted a request, queued or running */
    EV_RUN_START,
    EV_RUN_END,
    EV_LEAVE,    /* a backend server finished a request */
    EV_UPSTREAM, /* a backend server's behaviour was changed */
    EV_STORE_WRITE,
    EV_STORE_CONTROL, /* fault injection in the store was changed */
    EV_INSTANCE,      /* the platform's instance list was changed */
    EV_EDIT,          /* the outcome of an edit was reported to an operator */
    EV_PAUSE,         /* the test run suspended an entry's process */
    EV_OTHER,
} event_type_t;

/* Strings are interned in events_t; absent ones are empty. */
typedef struct {
    uint64_t t; /* wall clock, microseconds */
    size_t order;
    event_type_t type;
    const char *id;
    const char *key;
    const char *class_;
    const char *service;
    const char *place;
    const char *region;
    const char *entry;
    const char *upstream;
    const char *name;
    const char *kind;
    const char *result; /* result, state or outcome */
    uint64_t version;
    uint64_t incarnation;
    int64_t number; /* value of draining, outage or moved */
    json_t *value;  /* of a store write */
} event_t;

typedef struct {
    event_t *items;
    size_t count;
    json_t *strings;
    size_t bad_lines;
} events_t;

bool events_read(events_t *events, const char *path, err_t *err);
void events_sort(events_t *events);
void events_free(events_t *events);
